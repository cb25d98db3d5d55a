"""Command line of the process that serves callers."""

from __future__ import annotations

from ..process import run_binary
from .settings import read_front_settings


def front(settings: str | None = None):
    """Serve callers' requests until SIGTERM.

    Parameters
    ----------
    settings : str
        Settings file; without it, the one that the environment names.
    """
    found = read_front_settings(settings)

    async def run() -> int:
        from .process import serve

        return await serve(found, settings)

    return run


def main() -> None:
    """Run the binary."""
    run_binary("anvilhoist-front", front)


if __name__ == "__main__":
    main()
