"""Connections of callers: their requests in order, and the responses."""

from __future__ import annotations

import asyncio
from collections import deque
from functools import partial
from typing import TYPE_CHECKING

import structlog

from ..clock import read_boottime
from .client_budget import CONNECTION_BYTES, MemoryAccount, read_client_address
from .limits import ConnectionLimits
from .messages import Request, Response
from .parse_queue import SLICE_BYTES
from .request_reader import RequestReader
from .response_writer import ResponseWriter
from .tcp_info import read_round_trip

if TYPE_CHECKING:
    from .server import HttpServer

MAX_PIPELINED_REQUESTS = 16  # parsing pauses at this queue length, to bound memory
READ_BYTES = 16 << 10  # read at a time from one connection
# Read and thrown away after a refused request, so that the client sees the response.
MAX_DISCARDED_BYTES = 256 << 10
LINGER_S = 0.5  # for the client to read the last response before the close
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

# Every connection reads into this buffer and copies what it got at once.
_read_buffer = memoryview(bytearray(READ_BYTES))


class CallerConnection(asyncio.BufferedProtocol):
    """Connection of one client; one task handles its requests in order.

    Everything that the client makes the process hold is counted in the connection's
    account: input that is not parsed yet, the request being read, those that wait, what
    replicas have sent for the one being handled, and the response until it is sent.
    """

    def __init__(self, server: HttpServer):
        self._server = server
        self._reader = RequestReader(
            server.read_limits,
            self._begin_request,
            self._add_request,
            self._add_refusal,
        )
        self._account: MemoryAccount | None = None
        self._unparsed = b""
        self._discarded_bytes = 0
        # Requests to handle; an error response, if any, comes last.
        self._queue: deque[Request | Response] = deque()
        self._queue_changed: asyncio.Future | None = None
        self._task: asyncio.Task | None = None
        self._transport: asyncio.Transport | None = None
        self._is_handling = False
        self._is_paused = False
        self._is_closing = False
        self._writer: ResponseWriter | None = None
        self._last_active_at = read_boottime()
        # When the caller began to send a request, or got the response before it.
        self._head_due_from = self._last_active_at
        self._requests_bytes = 0  # of complete requests, waiting or being handled
        self._replies_bytes = 0  # held for the request that is being handled

    @property
    def requests_in_flight(self) -> int:
        """Number of requests that have been read and are not yet answered."""
        return len(self._queue) + self._is_handling

    @property
    def is_busy(self) -> bool:
        """Whether a request is being read or in flight, or a response is unsent."""
        if self._transport.get_write_buffer_size():
            return True
        if self._is_closing:
            return False
        is_reading = self._unparsed or self._reader.is_reading
        return bool(self.requests_in_flight or is_reading)

    @property
    def can_parse(self) -> bool:
        """Whether there is input that may be parsed now.

        A client that does not read its responses can't make further requests.
        """
        return (
            bool(self._unparsed)
            and not self._reader.ended
            and not self._writer.is_blocked
            and len(self._queue) < MAX_PIPELINED_REQUESTS
        )

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the connection's task."""
        self._transport = transport
        self._writer = ResponseWriter(transport)
        client = read_client_address(transport)
        self._account = self._server.budget.open_account(self.shed, client)
        self._server.connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())
        self._count_held()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel the task, as its responses can no longer be sent."""
        self._is_closing = True
        self._server.connections.discard(self)
        # The reader refers to the connection, and so does the traceback of the task's
        # cancellation: the cyclic garbage collector alone would free the bodies late.
        self._cancel_task()
        self._reader.close()
        self._account.close()
        self._unparsed = b""
        self._queue.clear()

    def pause_writing(self) -> None:
        """Handle no further request until the caller reads its responses."""
        self._writer.pause()

    def resume_writing(self) -> None:
        """Continue once the caller has read its responses."""
        self._writer.resume()
        self._count_held()
        self._submit_input()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer to read into."""
        return _read_buffer

    def buffer_updated(self, size_bytes: int) -> None:
        """Parse received bytes, at once or when it is this connection's turn."""
        if self._reader.ended:
            self._discard(size_bytes)
            return
        data = bytes(_read_buffer[:size_bytes])
        self._last_active_at = read_boottime()
        if not self._unparsed and len(data) <= self._reader.body_bytes_due:
            self._reader.feed(data)
            self._count_held()
            return
        self._unparsed += data
        self._submit_input()
        # Nothing more is read while there is input that waits to be parsed.
        self._pause_reading(bool(self._unparsed))

    def parse_slice(self, size_bytes: int) -> int:
        """Parse some of the input that waits, and return how many bytes of it."""
        data = self._unparsed[:size_bytes]
        self._unparsed = self._unparsed[size_bytes:]
        self._last_active_at = read_boottime()
        self._reader.feed(data)
        if self._reader.ended:
            self._unparsed = b""
        self._send_continue_if_due()
        self._count_held()
        self._pause_reading(bool(self._unparsed))
        return len(data)

    def close_if_idle(self) -> None:
        """Close the connection if no request is being read or in flight."""
        if not (self.is_busy or self._is_closing):
            self._transport.close()

    def abandon_requests(self) -> None:
        """Answer the requests in flight at once and close the connection.

        The one that is being handled may have run (status 504); those that wait behind
        it have not (503).
        """
        if self._is_closing or not self.requests_in_flight:
            return
        self._cancel_task()
        statuses = [504] * self._is_handling
        statuses += [
            item.status if isinstance(item, Response) else 503 for item in self._queue
        ]
        self._queue.clear()
        self._is_handling = False
        for status in statuses[:-1]:
            self._write_response(Response(status), close=False)
        structlog.get_logger().warning(
            "requests_abandoned", server=self._server.name, statuses=statuses
        )
        self._send_last_response(Response(statuses[-1]))

    def shed(self, reason: str) -> None:
        """Give back what is held for the client, and close the connection.

        Requests that are in flight or being read are answered, if that takes no memory.
        """
        if self._writer.is_blocked:
            self._transport.abort()
        elif self.requests_in_flight:
            self.abandon_requests()
        elif not self._is_closing:
            if self._reader.is_reading:
                self._write_response(Response(503), close=True)
            self._is_closing = True
            self._transport.close()
        self._reader.end()
        self._unparsed = b""
        self._requests_bytes = self._replies_bytes = 0

    def enforce_timeouts(self, now: float, limits: ConnectionLimits) -> None:
        """Refuse a request that arrives too slowly; close an idle connection.

        A caller that does not read its responses is idle, too.
        """
        if self._writer.is_blocked:
            if self._writer.has_progressed():
                self._last_active_at = now
            if now - self._last_active_at > limits.idle_s:
                self._transport.abort()
            return
        if self.requests_in_flight or self._unparsed:
            return
        inactive_s = now - self._last_active_at
        head_s = now - self._head_due_from if self._reader.is_reading_head else 0.0
        body_s = inactive_s if self._reader.is_reading_body else 0.0
        if max(head_s, body_s) > limits.header_s:
            self._reader.refuse(408)
        elif inactive_s > limits.idle_s:
            self._transport.close()

    def _cancel_task(self) -> None:
        task, self._task = self._task, None
        if task is not None:
            task.cancel()

    async def _serve(self) -> None:
        while await self._serve_next():
            self._last_active_at = self._head_due_from = read_boottime()
            self._account.since = self._last_active_at
            self._submit_input()

    async def _serve_next(self) -> bool:
        """Answer the next request; return whether the connection stays open.

        Neither the request nor the response is kept while the next one is awaited.
        """
        while not self._queue:
            self._send_continue_if_due()
            self._queue_changed = asyncio.get_running_loop().create_future()
            await self._queue_changed
        item = self._queue.popleft()
        if isinstance(item, Response):
            self._send_last_response(item)
            return False
        self._is_handling = True
        response = await self._server.answer(item)
        self._is_handling = False
        self._requests_bytes -= item.held_bytes
        self._replies_bytes = 0
        keep_alive = item.keep_alive
        del item
        # Requests that were read before the drain are still answered.
        is_last = not (self._queue or self._unparsed) and (
            self._reader.ended or self._server.draining
        )
        if is_last or not keep_alive:
            self._send_last_response(response)
            return False
        self._write_response(response, close=False)
        del response
        await self._writer.wait()
        return True

    def _send_last_response(self, response: Response) -> None:
        self._reader.end()
        self._unparsed = b""
        self._is_closing = True
        self._write_response(response, close=True)
        # A close with unread input resets the connection; the response may be lost.
        self._pause_reading(False)
        if self._transport.can_write_eof():
            self._transport.write_eof()
        asyncio.get_running_loop().call_later(LINGER_S, self._transport.close)

    def _write_response(self, response: Response, close: bool) -> None:
        self._writer.write(response, close)
        self._count_held()

    def _submit_input(self) -> None:
        if self.can_parse:
            is_new = (
                not (self.requests_in_flight or self._reader.is_reading_body)
                and self._reader.head_bytes + len(self._unparsed) <= SLICE_BYTES
            )
            self._server.budget.parsing.submit(self, is_new)

    def _pause_reading(self, should_pause: bool) -> None:
        if should_pause == self._is_paused or self._transport.is_closing():
            return
        self._is_paused = should_pause
        if should_pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _discard(self, size_bytes: int) -> None:
        self._discarded_bytes += size_bytes
        self._pause_reading(self._discarded_bytes > MAX_DISCARDED_BYTES)

    def _begin_request(self) -> None:
        self._head_due_from = read_boottime()
        if not self.requests_in_flight:
            self._account.since = self._head_due_from

    def _add_request(self, request: Request) -> None:
        request.read_round_trip = partial(
            read_round_trip, self._transport.get_extra_info("socket")
        )
        request.hold = self._hold_reply
        self._requests_bytes += request.held_bytes
        self._enqueue(request)

    def _add_refusal(self, status: int) -> None:
        structlog.get_logger().info(
            "request_refused", server=self._server.name, status=status, ran="no"
        )
        self._enqueue(Response(status))

    def _enqueue(self, item: Request | Response) -> None:
        self._queue.append(item)
        if self._queue_changed is not None and not self._queue_changed.done():
            self._queue_changed.set_result(None)

    def _send_continue_if_due(self) -> None:
        # An earlier request's response comes first.
        if self._reader.continue_due and not self.requests_in_flight:
            self._reader.continue_due = False
            self._transport.write(CONTINUE_RESPONSE)

    def _hold_reply(self, size_bytes: int) -> None:
        """Count what a replica has sent for the request that is being handled."""
        if self._is_handling:
            self._replies_bytes += size_bytes
            self._count_held()

    def _count_held(self) -> None:
        """Bring the account up to date."""
        held_bytes = CONNECTION_BYTES + len(self._unparsed) + self._writer.held_bytes
        held_bytes += self._requests_bytes + self._replies_bytes
        if self._reader.is_reading:
            held_bytes += self._reader.held_bytes
        self._account.hold(held_bytes)
