"""Critical tasks, whose failure stops the process, and cancellation of tasks."""

from __future__ import annotations

import asyncio
import signal
import traceback
from collections.abc import Coroutine, Sequence

import structlog

TASK_FAILED_EXIT_CODE = 70
CANCEL_RETRY_INTERVAL_S = 0.2

_failure_traces: list[str] = []


def start_critical_task(work: Coroutine) -> asyncio.Task:
    """Start a task whose failure is logged and stops the process by SIGTERM."""
    task = asyncio.create_task(work)
    task.add_done_callback(_stop_on_failure)
    return task


async def cancel_tasks(tasks: Sequence[asyncio.Task]) -> None:
    """Cancel tasks repeatedly until all have ended.

    A cancellation that arrives together with the result that a task awaits may be lost.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_INTERVAL_S)


def resolve_exit_code(code: int) -> int:
    """Return `code`, or `TASK_FAILED_EXIT_CODE` if a critical task has failed."""
    return TASK_FAILED_EXIT_CODE if _failure_traces else code


def _stop_on_failure(task: asyncio.Task) -> None:
    if task.cancelled() or task.exception() is None:
        return
    trace = "".join(traceback.format_exception(task.exception()))
    _failure_traces.append(trace)
    structlog.get_logger().error("task_failed", trace=trace)
    signal.raise_signal(signal.SIGTERM)
