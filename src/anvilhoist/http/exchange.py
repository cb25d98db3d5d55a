"""Client connections: one request and its response at a time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import httptools

from ..errors import ErrorKind, Failure
from .body import Body
from .client_budget import HEADER_BYTES, ClientBudget, MemoryAccount
from .messages import (
    BODILESS_STATUSES,
    JOINED_BODY_BYTES,
    Headers,
    find_header,
    has_foreign_coding,
    make_header,
    parse_keep_alive_timeout,
)
from .parse_queue import SLICE_BYTES, ParseQueue
from .replies import OriginCheck, OriginReader, Outcome, Reply, ServerRequest
from .tcp_info import closed_gracefully

# The kernel closes a connection whose sent bytes stay unacknowledged for this long
# (TCP_USER_TIMEOUT).
UNACKNOWLEDGED_TIMEOUT_MS = 3000
# Limits on what is received for one request; beyond them, the request fails.
MAX_RESPONSE_BODY_BYTES = 4 << 20  # bodies, those of discarded responses included
MAX_FRAMING_BYTES = 256 << 10  # all else: heads, interim responses, chunk framing
HTTP_STATUSES = range(100, 600)
PIECE_BYTES = 4  # of the shortest header: name, colon and CRLF
PIECES_PER_MESSAGE = 3  # a response's begin, end, and end of its head
LONG_PIECE_FACTOR = 16  # bytes of a long piece that take as long as one of a short one


class ServerConnection(asyncio.Protocol):
    """A connection to a server that carries one request at a time.

    A complete response that belongs to another request is discarded. After that, or
    after other bytes that belong to no request, the connection is closed: at once
    if no request is outstanding, otherwise after the outcome of that request.

    Received bytes are parsed in slices, in turn with those of other connections, as
    many short pieces take much processor time.

    Attributes
    ----------
    closed : bool
        Whether the connection has been closed or lost.
    idle_since : float
        Time at which the connection was returned to its pool, in seconds. Set by
        the pool.
    keep_alive_timeout_s : float or None
        Timeout of the last Keep-Alive header in seconds, or None without one.
    body_too_large : bool
        Whether it was closed because a body exceeded `MAX_RESPONSE_BODY_BYTES`.
    """

    def __init__(self, on_closed: Callable[[ServerConnection], None]):
        self._on_closed = on_closed
        self._on_outcome: Callable[[Outcome], None] | None = None
        self._read_origin: OriginReader | None = None
        self._origins = OriginCheck()
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._budget: ClientBudget | None = None
        self._account: MemoryAccount | None = None
        self._parsing: ParseQueue | None = None
        self._unparsed: bytes | memoryview = b""
        self._is_paused = False
        self._is_head_request = False
        self._close_reason = ""
        self.closed = False
        self.idle_since = 0.0
        self.keep_alive_timeout_s: float | None = None
        self.body_too_large = False
        self._reset_response()

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return not (self.closed or self._close_reason or self._on_outcome)

    @property
    def can_parse(self) -> bool:
        """Whether there is input that may be parsed now."""
        return bool(self._unparsed) and self._on_outcome is not None

    @property
    def _body_bytes_due(self) -> int:
        """Bytes of a body of known length that are still to come; 0 if unknown."""
        return self._content_length - self._body.size_bytes

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Disable Nagle's algorithm and bound how long data stays unacknowledged."""
        self._transport = transport
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS
        )

    def send(
        self, request: ServerRequest, on_outcome: Callable[[Outcome], None]
    ) -> None:
        """Send a request; `on_outcome` is called once, unless `abort` is before."""
        self._read_origin = request.read_origin
        self._on_outcome = on_outcome
        self._is_head_request = request.head.startswith(b"HEAD ")
        self._budget = request.budget
        self._parsing = self._budget.reply_parsing if self._budget else ParseQueue()
        self._parser = httptools.HttpResponseParser(self)
        if len(request.body) <= JOINED_BODY_BYTES:
            self._transport.write(request.head + request.body)
        else:
            self._transport.writelines((request.head, request.body))

    def abort(self) -> None:
        """Close at once, without reporting the outcome of an outstanding request."""
        self._end_exchange()
        self._close()

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, at once or when it is this connection's turn.

        The connection is closed if no request is outstanding.
        """
        if self._on_outcome is None:
            self._close()
            return
        size_bytes, parsing = len(data), self._parsing
        is_cheap = size_bytes <= self._body_bytes_due
        if not self._unparsed and (is_cheap or parsing.has_room_for(size_bytes)):
            parsing.charge(self._parse(data))
            return
        is_new = not self._framing_bytes and size_bytes <= SLICE_BYTES
        self._unparsed = memoryview(bytes(self._unparsed) + data)
        parsing.submit(self, is_new)
        # Nothing more is read while there is input that waits to be parsed.
        if self._unparsed:
            self._pause_reading(True)
            self._count_held()

    def parse_slice(self, size_bytes: int) -> int:
        """Parse some of the input that waits, and return what it costs."""
        cost_bytes = self._parse_next(size_bytes)
        # What is left of a body of known length takes one step, however long it is.
        if self.can_parse and self._body_bytes_due > 0:
            cost_bytes += self._parse_next(self._body_bytes_due)
        if not self._unparsed:
            self._pause_reading(False)
        return cost_bytes

    def eof_received(self) -> bool:
        """Complete a response that ends with the connection, unless it was reset."""
        self._parse_rest()
        if self._body_ends_at_eof and self._on_outcome is not None:
            if closed_gracefully(self._transport.get_extra_info("socket")):
                self._complete_response()
            else:
                self._fail("connection reset before the response was complete")
            self._deliver_outcome()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail an outstanding request and report the close."""
        self.closed = True
        self._parse_rest()
        self._close_after(f"connection lost before a complete response: {exc}")
        kind = ErrorKind.UPSTREAM_FAILED
        if not self._framing_bytes:
            kind = ErrorKind.CONNECTION_LOST
        self._outcome = self._outcome or Failure(kind, self._close_reason)
        self._deliver_outcome()
        self._on_closed(self)

    def on_message_begin(self) -> None:
        """Start a response; a second one to the same request closes the connection."""
        self._pieces += PIECES_PER_MESSAGE
        self._headers: Headers = []
        self._body = Body()
        if self._outcome is not None:
            self._close_after("second response to one request")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._pieces += 1
        self._headers.append(make_header(name, value))

    def on_headers_complete(self) -> None:
        """Determine what ends the body; complete the response to a HEAD request."""
        status = self._parser.get_status_code()
        if status not in HTTP_STATUSES:
            self._fail(f"status {status:03} is no HTTP status")
        if has_foreign_coding(self._headers):
            self._fail("response in a transfer coding other than chunked")
        framed = any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        self._body_ends_at_eof = (
            not framed and status >= 200 and status not in BODILESS_STATUSES
        )
        length = find_header(self._headers, b"content-length") or b""
        self._content_length = int(length) if length.isdigit() else 0
        if self._is_head_request and status >= 200 and self._outcome is None:
            self._complete_response()

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self._pieces += 1
        self._body.add(body)
        self._body_bytes += len(body)
        self._framing_bytes -= len(body)
        if self._body_bytes > MAX_RESPONSE_BODY_BYTES:
            self.body_too_large = True
            self._fail(f"response body exceeds {MAX_RESPONSE_BODY_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Take a final response as the outcome, unless it is to another request."""
        self._content_length = 0
        if self._outcome is not None or self._parser.get_status_code() < 200:
            return
        if not self._parser.should_keep_alive():
            self._close_after("server does not keep the connection open")
        self._complete_response()

    def _parse_next(self, size_bytes: int) -> int:
        data = self._unparsed[:size_bytes]
        self._unparsed = self._unparsed[size_bytes:]
        return self._parse(data)

    def _parse(self, data: bytes | memoryview) -> int:
        """Parse received bytes, and return what they cost.

        The shortest piece of a response, a header, costs as much as its bytes; a longer
        one takes hardly more time.
        """
        self._framing_bytes += len(data)
        self._pieces = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"cannot parse the response as HTTP: {type(error).__name__}")
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._fail(f"response has over {MAX_FRAMING_BYTES} bytes besides its body")
        cost_bytes = max(self._pieces * PIECE_BYTES, len(data) // LONG_PIECE_FACTOR)
        if self._outcome is None:
            self._count_held()
        elif self._unparsed:
            self._close_after("bytes after the response")
        self._deliver_outcome()
        return cost_bytes

    def _parse_rest(self) -> None:
        """Parse all input that waits, as no more is to come."""
        while self.can_parse:
            self.parse_slice(SLICE_BYTES)

    def _pause_reading(self, should_pause: bool) -> None:
        if should_pause == self._is_paused or self._transport.is_closing():
            return
        self._is_paused = should_pause
        if should_pause:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _complete_response(self) -> None:
        status = self._parser.get_status_code()
        if self._body_ends_at_eof:
            self._close_after("response body ends with the connection")
        if self._is_head_request:
            self._close_after("connection is not reused after a HEAD request")
        if not self._origins.accepts(self._read_origin(self._headers)):
            self._close_after("response to another request")
            return
        timeout_s = parse_keep_alive_timeout(self._headers)
        if timeout_s is not None:
            self.keep_alive_timeout_s = timeout_s
        if self._transport.get_write_buffer_size():
            self._close_after("response came before the whole request was sent")
        self._outcome = Reply(status, self._headers, self._body.join())

    def _close_after(self, reason: str) -> None:
        """Close the connection after this exchange; the first reason is kept."""
        self._close_reason = self._close_reason or reason

    def _fail(self, reason: str) -> None:
        self._close_after(reason)
        self._outcome = self._outcome or Failure(ErrorKind.UPSTREAM_FAILED, reason)

    def _deliver_outcome(self) -> None:
        # This runs only after the parser has returned, because the callback may send
        # the next request on this connection, which replaces the parser.
        if self._close_reason and self._outcome is not None:
            self._close()
        callback, outcome = self._on_outcome, self._outcome
        if callback is None or outcome is None:
            return
        self._end_exchange()
        callback(outcome)

    def _count_held(self) -> None:
        """Count a response that did not arrive at once."""
        if self._budget is None:
            return
        if self._account is None:
            self._account = self._budget.open_account(self._shed)
        received_bytes = self._body.size_bytes + self._framing_bytes
        headers_bytes = len(self._headers) * HEADER_BYTES
        self._account.hold(received_bytes + headers_bytes + len(self._unparsed))

    def _shed(self, reason: str) -> None:
        """Fail the outstanding request, to give back what was received for it."""
        detail = f"response given up: {reason}"
        self._close_after(detail)
        self._outcome = Failure(ErrorKind.MEMORY_SHORT, detail)
        self._deliver_outcome()

    def _end_exchange(self) -> None:
        """Let go of the request and its response.

        The parser refers to the connection: without this, only the cyclic garbage
        collector would free the body.
        """
        self._on_outcome = self._read_origin = self._parser = self._budget = None
        self._unparsed = b""
        if self._account is not None:
            self._account.close()
            self._account = None
        self._reset_response()

    def _close(self) -> None:
        self.closed = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()

    def _reset_response(self) -> None:
        self._headers: Headers = []
        self._body = Body()
        self._body_bytes = 0
        self._content_length = 0
        self._framing_bytes = 0
        self._pieces = 0  # in the bytes that were parsed last
        self._body_ends_at_eof = False
        self._outcome: Outcome | None = None
