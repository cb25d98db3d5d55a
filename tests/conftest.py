from __future__ import annotations

import logging
import os
from pathlib import Path

import pytest
import structlog
from hypothesis import settings

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.register_profile("fresh", max_examples=5000, deadline=None, database=None)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "fixed"))
os.environ["UV_USE_IO_URING"] = "0"

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
# Number of this pytest-xdist worker; 0 without pytest-xdist.
WORKER = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))


@pytest.fixture
def quiet_logs():
    """Log nothing below errors: played fleets log thousands of lines."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    yield
    structlog.reset_defaults()


def read_known_red() -> dict[str, str]:
    """Return the entries of KNOWN-RED.txt by the id of their test."""
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return {line.partition("|")[0].strip(): line for line in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark the tests listed in KNOWN-RED.txt as expected failures, and no others."""
    known_red = read_known_red()
    for item in items:
        if item.nodeid in known_red:
            item.add_marker(pytest.mark.xfail(reason="known fault", strict=False))


def pytest_terminal_summary(terminalreporter) -> None:
    """Print the entries of KNOWN-RED.txt at the end of each run."""
    for line in read_known_red().values():
        terminalreporter.write_line(f"known red: {line}")
