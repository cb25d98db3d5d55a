"""Event loop and garbage collection of the processes."""

from __future__ import annotations

import asyncio
import gc
import logging
from collections.abc import Awaitable, Callable

import uvloop

GC_YOUNG_THRESHOLD = 5_000  # net allocations between collections of generation 0
GC_OLD_THRESHOLD = 20  # collections of a generation before the next older is collected

AsyncMain = Callable[[], Awaitable[int]]


def run_loop(main: AsyncMain) -> int:
    """Run a coroutine function on uvloop and return the exit code of the process."""
    # Objects created by the imports live as long as the process: never collect them.
    # The front process disables collection until this point.
    gc.freeze()
    gc.enable()
    gc.set_threshold(GC_YOUNG_THRESHOLD, GC_OLD_THRESHOLD, GC_OLD_THRESHOLD)
    logging.getLogger("sanic").setLevel(logging.CRITICAL)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(main())
