"""Client connections: one request and its response at a time."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

import httptools

from ..errors import ErrorKind, Failure
from .body import Body
from .client_budget import HEADER_BYTES, ClientBudget, MemoryAccount
from .messages import BODILESS_STATUSES, JOINED_BODY_BYTES, Headers, find_header
from .replies import Outcome, Reply, ResponseMatcher, ServerRequest
from .tcp_info import closed_gracefully

# The kernel closes a connection whose sent bytes stay unacknowledged for this long
# (TCP_USER_TIMEOUT).
UNACKNOWLEDGED_TIMEOUT_MS = 3000
# Limits on what is received for one request; beyond them, the request fails.
MAX_RESPONSE_BODY_BYTES = 4 << 20  # bodies, those of discarded responses included
MAX_FRAMING_BYTES = 256 << 10  # all else: heads, interim responses, chunk framing
HTTP_STATUSES = range(100, 600)


class ServerConnection(asyncio.Protocol):
    """A connection to a server that carries one request at a time.

    A complete response that belongs to another request is discarded. After that, or
    after other bytes that belong to no request, the connection is closed: at once
    if no request is outstanding, otherwise after the outcome of that request.

    Attributes
    ----------
    closed : bool
        Whether the connection has been closed or lost.
    requests_sent : int
        Number of requests sent.
    unsolicited : int
        Number of bytes received without a request, plus the number of responses
        that belong to another request or to none.
    idle_since : float
        Time at which the connection was returned to its pool, in seconds. Set by
        the pool.
    keep_alive_timeout_s : float or None
        Timeout of the last Keep-Alive header in seconds, or None without one.
    """

    def __init__(self, on_closed: Callable[[ServerConnection], None]):
        self._on_closed = on_closed
        self._on_outcome: Callable[[Outcome], None] | None = None
        self._matches: ResponseMatcher | None = None
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._budget: ClientBudget | None = None
        self._account: MemoryAccount | None = None
        self._is_head_request = False
        self._close_reason = ""
        self.closed = False
        self.requests_sent = 0
        self.unsolicited = 0
        self.idle_since = 0.0
        self.keep_alive_timeout_s: float | None = None
        self._reset_response()

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent on the connection."""
        return not (self.closed or self._close_reason or self._on_outcome)

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
        self._matches = request.matches
        self._on_outcome = on_outcome
        self._is_head_request = request.head.startswith(b"HEAD ")
        self._budget = request.budget
        self.requests_sent += 1
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
        """Parse received bytes; close the connection if no request is outstanding."""
        if self._on_outcome is None:
            self.unsolicited += len(data)
            self._close()
            return
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(f"cannot parse the response as HTTP: {type(error).__name__}")
        if self._framing_bytes > MAX_FRAMING_BYTES:
            self._fail(f"response has over {MAX_FRAMING_BYTES} bytes besides its body")
        if self._outcome is None and self._budget is not None:
            self._count_held()
        self._deliver_outcome()

    def eof_received(self) -> bool:
        """Complete a response that ends with the connection, unless it was reset."""
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
        self._close_reason = (
            self._close_reason or f"connection lost before a complete response: {exc}"
        )
        kind = ErrorKind.UPSTREAM_FAILED
        if not self._framing_bytes:
            kind = ErrorKind.CONNECTION_LOST
        self._outcome = self._outcome or Failure(kind, self._close_reason)
        self._deliver_outcome()
        self._on_closed(self)

    def on_message_begin(self) -> None:
        """Start a response; a second one to the same request closes the connection."""
        self._headers: Headers = []
        self._body = Body()
        if self._outcome is not None:
            self.unsolicited += 1
            self._close_reason = self._close_reason or "second response to one request"

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine what ends the body; complete the response to a HEAD request."""
        status = self._parser.get_status_code()
        if status not in HTTP_STATUSES:
            self._fail(f"status {status:03} is no HTTP status")
        framed = any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        self._body_ends_at_eof = (
            not framed and status >= 200 and status not in BODILESS_STATUSES
        )
        if self._is_head_request and status >= 200:
            self._complete_response()

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self._body.add(body)
        self._body_bytes += len(body)
        self._framing_bytes -= len(body)
        if self._body_bytes > MAX_RESPONSE_BODY_BYTES:
            self._fail(f"response body exceeds {MAX_RESPONSE_BODY_BYTES} bytes")

    def on_message_complete(self) -> None:
        """Take a final response as the outcome, unless it is to another request."""
        if self._outcome is not None or self._parser.get_status_code() < 200:
            return
        if not self._parser.should_keep_alive():
            self._close_reason = (
                self._close_reason or "server does not keep the connection open"
            )
        self._complete_response()

    def _complete_response(self) -> None:
        status = self._parser.get_status_code()
        if self._body_ends_at_eof:
            self._close_reason = (
                self._close_reason or "response body ends with the connection"
            )
        if self._is_head_request:
            self._close_reason = (
                self._close_reason or "connection is not reused after a HEAD request"
            )
        if not self._matches(status, self._headers):
            self.unsolicited += 1
            self._close_reason = self._close_reason or "response to another request"
            return
        self._parse_keep_alive()
        if self._transport.get_write_buffer_size():
            self._close_reason = (
                self._close_reason or "response came before the whole request was sent"
            )
        self._outcome = Reply(status, self._headers, self._body.join())

    def _parse_keep_alive(self) -> None:
        value = find_header(self._headers, b"keep-alive")
        if value is None:
            return
        _, _, seconds = value.partition(b"timeout=")
        digits = seconds.split(b",")[0].strip()
        if digits.isdigit():
            self.keep_alive_timeout_s = float(digits)

    def _fail(self, reason: str) -> None:
        self._close_reason = self._close_reason or reason
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
        if self._account is None:
            self._account = self._budget.open_account(self._shed)
        headers_bytes = len(self._headers) * HEADER_BYTES
        self._account.hold(self._body.size_bytes + self._framing_bytes + headers_bytes)

    def _shed(self, reason: str) -> None:
        """Fail the outstanding request, to give back what was received for it."""
        detail = f"response given up: {reason}"
        self._close_reason = self._close_reason or detail
        self._outcome = Failure(ErrorKind.MEMORY_SHORT, detail)
        self._deliver_outcome()

    def _end_exchange(self) -> None:
        """Let go of the request and its response.

        The parser refers to the connection: without this, only the cyclic garbage
        collector would free the body.
        """
        self._on_outcome = self._matches = self._parser = self._budget = None
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
        self._framing_bytes = 0
        self._body_ends_at_eof = False
        self._outcome: Outcome | None = None
