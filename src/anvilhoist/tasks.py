"""Tasks that must not die unseen: a failure is logged and stops the process."""

from __future__ import annotations

import asyncio
import signal
import traceback
from collections.abc import Coroutine, Sequence

import structlog

FAILED_EXIT_CODE = 70
CANCEL_AGAIN_S = 0.2

_failures: list[str] = []


def start_critical_task(work: Coroutine) -> asyncio.Task:
    """Start a task whose failure stops the process."""
    task = asyncio.create_task(work)
    task.add_done_callback(_check)
    return task


async def cancel_tasks(tasks: Sequence[asyncio.Task]) -> None:
    """Cancel tasks until all have ended.

    A task may lose a cancellation that comes together with what it waits for.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_AGAIN_S)


def resolve_exit_code(code: int) -> int:
    """Exit code of the process, given the one that it would have otherwise."""
    return FAILED_EXIT_CODE if _failures else code


def _check(task: asyncio.Task) -> None:
    if task.cancelled() or task.exception() is None:
        return
    trace = "".join(traceback.format_exception(task.exception()))
    _failures.append(trace)
    structlog.get_logger().error("task_failed", trace=trace)
    signal.raise_signal(signal.SIGTERM)
