"""Structured logs to standard output that never block the process.

Lines wait in a bounded buffer while nobody reads. Beyond its size new lines are
dropped, counted, and the count is logged as soon as there is room.
"""

from __future__ import annotations

import json
import os
import sys
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import structlog

BUFFER_BYTES = 1 << 20  # bytes that may wait, a bound on memory
WRITE_BYTES = 1 << 16  # bytes handed over at once


@dataclass(slots=True)
class LogBuffer:
    """Lines on their way to a file descriptor."""

    descriptor: int
    dropped: int = 0
    _lines: deque[bytes] = field(default_factory=deque)
    _size: int = 0

    def write(self, line: str) -> None:
        """Take a line, or count it as dropped."""
        data = line.encode("utf-8", "replace") + b"\n"
        if self._size + len(data) > BUFFER_BYTES:
            self.dropped += 1
            return
        self._lines.append(data)
        self._size += len(data)

    msg = debug = info = warning = error = critical = exception = write

    def flush(self, now: float = 0.0) -> None:
        """Hand over what the reader takes now."""
        while self._lines:
            chunk = self._take()
            try:
                written = os.write(self.descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody will ever read: drop what waits, and keep serving.
                self.dropped += len(self._lines) + 1
                self._lines.clear()
                self._size = 0
                return
            if written < len(chunk):
                self._lines.appendleft(chunk[written:])
                self._size += len(chunk) - written
                return
        if self.dropped:
            count, self.dropped = self.dropped, 0
            self.write(json.dumps({"event": "log_lines_dropped", "count": count}))

    def _take(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while self._lines and size < WRITE_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        self._size -= size
        return b"".join(parts)


def configure_logs(vm: str) -> LogBuffer:
    """Send the process's structured logs to standard output.

    Parameters
    ----------
    vm : str
        Name that every line bears.

    Returns
    -------
    LogBuffer
        To be flushed by a timer, and at the end.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    buffer = LogBuffer(descriptor)

    def add_vm(logger: Any, method: str, event: dict[str, Any]) -> dict[str, Any]:
        event["vm"] = vm
        event["level"] = method
        return event

    structlog.configure(
        processors=[
            add_vm,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(separators=(",", ":")),
        ],
        logger_factory=lambda *args: buffer,
        wrapper_class=structlog.BoundLogger,
        cache_logger_on_first_use=True,
    )
    return buffer
