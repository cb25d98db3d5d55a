"""Tasks whose failures are logged, supervised tasks, and cancellation of tasks."""

from __future__ import annotations

import asyncio
import traceback
from collections.abc import Callable, Coroutine, Sequence

import structlog

CANCEL_RETRY_INTERVAL_S = 0.2
# Delay before a failed task is started again; it doubles with each failure in a row.
MIN_RESTART_DELAY_S = 0.1
MAX_RESTART_DELAY_S = 5.0

# The event loop keeps only weak references to tasks.
_running: set[asyncio.Task] = set()


def start_task(name: str, work: Coroutine) -> asyncio.Task:
    """Start a task that runs once; its failure is logged.

    Parameters
    ----------
    name : str
        Name in log lines.
    work : coroutine
        What the task runs.
    """
    task = asyncio.create_task(work, name=name)
    _running.add(task)
    task.add_done_callback(_finish)
    return task


def start_supervised_task(name: str, run: Callable[[], Coroutine]) -> asyncio.Task:
    """Start a task that runs until it is cancelled.

    If it fails, the failure is logged and it is started again after a delay, so that
    an unexpected error does not stop the process.

    Parameters
    ----------
    name : str
        Name in log lines.
    run : callable
        Coroutine function that is called for each start.
    """
    return start_task(name, _run_again_after_failures(name, run))


async def cancel_tasks(tasks: Sequence[asyncio.Task]) -> None:
    """Cancel tasks repeatedly until all have ended.

    A cancellation that arrives together with the result that a task awaits may be lost.
    """
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_INTERVAL_S)


async def _run_again_after_failures(name: str, run: Callable[[], Coroutine]) -> None:
    loop = asyncio.get_running_loop()
    delay_s = MIN_RESTART_DELAY_S
    while True:
        started_at = loop.time()
        try:
            return await run()
        except Exception as error:
            if loop.time() - started_at > MAX_RESTART_DELAY_S:
                delay_s = MIN_RESTART_DELAY_S
            _log_failure(name, error, restart_in_s=delay_s)
        await asyncio.sleep(delay_s)
        delay_s = min(MAX_RESTART_DELAY_S, 2 * delay_s)


def _finish(task: asyncio.Task) -> None:
    _running.discard(task)
    if not task.cancelled() and task.exception() is not None:
        _log_failure(task.get_name(), task.exception())


def _log_failure(name: str, error: BaseException, **fields) -> None:
    trace = "".join(traceback.format_exception(error))
    structlog.get_logger().error("task_failed", task=name, trace=trace, **fields)
