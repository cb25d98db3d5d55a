"""Structured logs to standard output that never block the process.

Lines wait in a bounded buffer while the reader is slow. When it is full, new lines are
dropped and counted. The count is logged once the buffer has been written out.
"""

from __future__ import annotations

import json
import os
import sys
from collections import deque
from dataclasses import dataclass, field
from typing import Any

import structlog

MAX_BUFFER_BYTES = 1 << 20  # bound on the memory of lines that wait to be written
CHUNK_BYTES = 1 << 16  # lines are joined until they reach this size, then written


@dataclass(slots=True)
class LogBuffer:
    """Buffer of log lines in front of a non-blocking file descriptor.

    Attributes
    ----------
    descriptor : int
        File descriptor that the lines are written to.
    dropped : int
        Number of lines dropped since the last such count was logged.
    """

    descriptor: int
    dropped: int = 0
    _lines: deque[bytes] = field(default_factory=deque)
    _buffered_bytes: int = 0

    def write(self, line: str) -> None:
        """Buffer a line, or count it as dropped if the buffer is full."""
        data = line.encode("utf-8", "replace") + b"\n"
        if self._buffered_bytes + len(data) > MAX_BUFFER_BYTES:
            self.dropped += 1
            return
        self._lines.append(data)
        self._buffered_bytes += len(data)

    # structlog calls the method that is named after the level of a line.
    msg = debug = info = warning = error = critical = exception = write

    def flush(self, now: float = 0.0) -> None:
        """Write as much of the buffer as the descriptor accepts without blocking.

        Timers pass the current time, which is not used.
        """
        while self._lines:
            chunk = self._take_chunk()
            try:
                written = os.write(self.descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader is gone for good: drop the buffer and keep serving.
                self.dropped += len(self._lines) + 1
                self._lines.clear()
                self._buffered_bytes = 0
                return
            if written < len(chunk):
                self._lines.appendleft(chunk[written:])
                self._buffered_bytes += len(chunk) - written
                return
        if self.dropped:
            count, self.dropped = self.dropped, 0
            self.write(json.dumps({"event": "log_lines_dropped", "count": count}))

    def _take_chunk(self) -> bytes:
        parts: list[bytes] = []
        size = 0
        while self._lines and size < CHUNK_BYTES:
            parts.append(self._lines.popleft())
            size += len(parts[-1])
        self._buffered_bytes -= size
        return b"".join(parts)


def configure_logs(vm: str) -> LogBuffer:
    """Send the process's structured logs to standard output.

    Parameters
    ----------
    vm : str
        Name of the VM, which is added to every line.

    Returns
    -------
    LogBuffer
        Buffer that the caller flushes periodically and before the process exits.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    buffer = LogBuffer(descriptor)

    def add_vm_and_level(
        logger: Any, method_name: str, event_dict: dict[str, Any]
    ) -> dict[str, Any]:
        event_dict["vm"] = vm
        event_dict["level"] = method_name
        return event_dict

    structlog.configure(
        processors=[
            add_vm_and_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(separators=(",", ":")),
        ],
        logger_factory=lambda *args: buffer,
        wrapper_class=structlog.BoundLogger,
        cache_logger_on_first_use=True,
    )
    return buffer
