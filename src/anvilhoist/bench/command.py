"""The experiment tool's command line."""

from __future__ import annotations

from ..process import run_binary
from .demo import run_demo


def demo():
    """Show the whole path once and stop."""
    return run_demo


def main() -> None:
    """Run the binary."""
    run_binary("anvilhoist-bench", {"demo": demo})


if __name__ == "__main__":
    main()
