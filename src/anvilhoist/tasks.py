"""Tasks that must not die unseen: a failure is logged and stops the process."""

from __future__ import annotations

import asyncio
import signal
import traceback
from collections.abc import Coroutine

import structlog

FAILED_EXIT_CODE = 70

_failures: list[str] = []


def start_task(work: Coroutine) -> asyncio.Task:
    """Start a task whose failure stops the process."""
    task = asyncio.create_task(work)
    task.add_done_callback(_check)
    return task


def find_exit_code(code: int) -> int:
    """Exit code of the process, given the one that it would have otherwise."""
    return FAILED_EXIT_CODE if _failures else code


def _check(task: asyncio.Task) -> None:
    if task.cancelled() or task.exception() is None:
        return
    trace = "".join(traceback.format_exception(task.exception()))
    _failures.append(trace)
    structlog.get_logger().error("task_failed", trace=trace)
    signal.raise_signal(signal.SIGTERM)
