"""The experiment tool's command line."""

from __future__ import annotations

from ..process import run_binary
from .demo import run_demo


def demo():
    """Show the whole path once and stop."""
    return run_demo


def experiment(path: str, reports: str = "reports"):
    """Run an experiment and write its report.

    Parameters
    ----------
    path : str
        Experiment file.
    reports : str
        Folder for the report.
    """

    async def run() -> int:
        from .experiment import run_experiment

        return await run_experiment(str(path), str(reports))

    return run


def capacity():
    """Measure the slopes behind the capacity page."""

    async def run() -> int:
        from .capacity import measure_capacity

        return await measure_capacity()

    return run


def main() -> None:
    """Run the binary."""
    commands = {"demo": demo, "experiment": experiment, "capacity": capacity}
    run_binary("anvilhoist-bench", commands)


if __name__ == "__main__":
    main()
