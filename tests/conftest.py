from __future__ import annotations

import os
from collections.abc import Iterator

import pytest
from hypothesis import settings

from runner import FleetRunner

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")
os.environ["UV_USE_IO_URING"] = "0"

FIRST_PORT = 23000
PORTS_FOR_FLEET = 200
_given_out = iter(range(FIRST_PORT, 30000, PORTS_FOR_FLEET))


@pytest.fixture(scope="module")
def fleet() -> Iterator[FleetRunner]:
    """A small fleet of real processes, started once for a module."""
    runner = FleetRunner(next(_given_out))
    try:
        runner.start()
        yield runner
    finally:
        runner.stop()
