"""One request and its response on a connection to a server."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

import httptools

from ..errors import ErrorKind, Failure
from .messages import BODILESS, Headers, find_header

SILENT_LIMIT_MS = 3000  # ms until unacknowledged bytes end a connection
MAX_RESPONSE_BYTES = 4 << 20  # bytes; a larger response is taken as spoilt
TCP_CLOSE_WAIT = 8  # state of a connection that the peer has closed in order

ResponseMatcher = Callable[[int, Headers], bool]


@dataclass(frozen=True, slots=True)
class Reply:
    """A whole response of a server.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : list of tuple of bytes
        Names in lower case.
    body : bytes
        Whole body.
    """

    status: int
    headers: Headers
    body: bytes


Outcome = Reply | Failure


def closed_gracefully(connection: socket.socket) -> bool:
    """Whether the peer closed a connection, rather than reset it.

    An event loop may report the end of the stream in both cases.
    """
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return info[0] == TCP_CLOSE_WAIT


class ServerConnection(asyncio.Protocol):
    """A connection to a server; it carries one request at a time.

    Bytes that belong to no request end the connection once the exchange at hand is
    over; a whole response that belongs to another request is passed over.
    """

    def __init__(self, on_closed: Callable[[ServerConnection], None]):
        self._on_closed = on_closed
        self._on_done: Callable[[Outcome], None] | None = None
        self._matches: ResponseMatcher | None = None
        self._transport: asyncio.Transport | None = None
        self._head_only = False
        self._spoilt = ""
        self.closed = False
        self.exchanges = 0
        self.surplus = 0
        self.idle_since = 0.0
        self.keep_alive_timeout_s: float | None = None
        self._reset()

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent."""
        return not (self.closed or self._spoilt or self._on_done)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Bound the time for which sent bytes may stay unacknowledged."""
        self._transport = transport
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, SILENT_LIMIT_MS)

    def send(
        self, data: bytes, matches: ResponseMatcher, on_done: Callable[[Outcome], None]
    ) -> None:
        """Send a request.

        Parameters
        ----------
        data : bytes
            The request's bytes.
        matches : callable
            Tells from status and headers whether a response is this request's.
        on_done : callable
            Called once with the outcome.
        """
        self._matches = matches
        self._on_done = on_done
        self._head_only = data.startswith(b"HEAD ")
        self.exchanges += 1
        self._reset()
        self._transport.write(data)

    def abort(self) -> None:
        """Close at once; the outcome of the request at hand is not reported."""
        self._on_done = None
        self._close()

    def data_received(self, data: bytes) -> None:
        """Parse; bytes without a request end the connection."""
        if self._on_done is None:
            self.surplus += len(data)
            self._close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._spoil(f"not HTTP: {type(error).__name__}")
        self._deliver()

    def eof_received(self) -> bool:
        """Complete a response that ends with its connection."""
        if self._until_eof and self._on_done is not None:
            if closed_gracefully(self._transport.get_extra_info("socket")):
                self._complete()
            else:
                self._spoil("reset on the way")
            self._deliver()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Report what was left unanswered."""
        self.closed = True
        self._spoilt = self._spoilt or f"connection lost: {exc}"
        self._outcome = self._outcome or Failure(
            ErrorKind.UPSTREAM_FAILED, self._spoilt
        )
        self._deliver()
        self._on_closed(self)

    def on_message_begin(self) -> None:
        """Start a response."""
        self._headers: Headers = []
        self._body = bytearray()
        if self._outcome is not None:
            self.surplus += 1
            self._spoilt = self._spoilt or "a response that nobody asked for"

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Find out how the body ends."""
        status = self._parser.get_status_code()
        framed = any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )
        self._until_eof = not framed and status >= 200 and status not in BODILESS
        if self._head_only and status >= 200:
            self._complete()

    def on_body(self, body: bytes) -> None:
        """Collect the body."""
        self._body += body
        if len(self._body) > MAX_RESPONSE_BYTES:
            self._spoil("response too large")

    def on_message_complete(self) -> None:
        """Deliver the response, or pass over another request's."""
        if self._outcome is not None or self._parser.get_status_code() < 200:
            return
        if not self._parser.should_keep_alive():
            self._spoilt = self._spoilt or "closed by the server"
        self._complete()

    def _complete(self) -> None:
        status = self._parser.get_status_code()
        if self._until_eof:
            self._spoilt = self._spoilt or "ends with its connection"
        if self._head_only:
            self._spoilt = self._spoilt or "head only"
        if not self._matches(status, self._headers):
            self.surplus += 1
            self._spoilt = self._spoilt or "response to another request"
            return
        self._read_keep_alive()
        if self._transport.get_write_buffer_size():
            self._spoilt = self._spoilt or "answered before the request was sent"
        self._outcome = Reply(status, self._headers, bytes(self._body))

    def _read_keep_alive(self) -> None:
        value = find_header(self._headers, b"keep-alive")
        if value is None:
            return
        _, _, seconds = value.partition(b"timeout=")
        digits = seconds.split(b",")[0].strip()
        if digits.isdigit():
            self.keep_alive_timeout_s = float(digits)

    def _spoil(self, why: str) -> None:
        self._spoilt = self._spoilt or why
        self._outcome = self._outcome or Failure(ErrorKind.UPSTREAM_FAILED, why)

    def _deliver(self) -> None:
        # Only after the parser has returned: what follows may send on this connection.
        if self._spoilt and self._outcome is not None:
            self._close()
        on_done, outcome = self._on_done, self._outcome
        if on_done is None or outcome is None:
            return
        self._on_done = self._outcome = None
        on_done(outcome)

    def _close(self) -> None:
        self.closed = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()

    def _reset(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        self._body = bytearray()
        self._until_eof = False
        self._outcome: Outcome | None = None
