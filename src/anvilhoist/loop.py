"""Run a coroutine on the event loop that the project pins."""

from __future__ import annotations

import asyncio
import gc
import logging
from collections.abc import Awaitable, Callable

import uvloop

from .tasks import resolve_exit_code

GC_ALLOCATIONS = 5_000
GC_FACTOR = 20

AsyncMain = Callable[[], Awaitable[int]]


def run_loop(run: AsyncMain) -> int:
    """Run a coroutine function on the event loop that the project pins."""
    gc.freeze()
    gc.enable()
    gc.set_threshold(GC_ALLOCATIONS, GC_FACTOR, GC_FACTOR)
    logging.getLogger("sanic").setLevel(logging.CRITICAL)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return resolve_exit_code(runner.run(run()))
