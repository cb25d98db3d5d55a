"""Callers' connections: whole requests in, whole responses out."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

import httptools
import structlog

from ..clock import read_boottime
from .messages import Headers, Request, Response, encode_response

MAX_PIPELINED = 16  # requests that wait on one connection, a bound on memory
LINGER_S = 0.5  # s for the peer to read a last response before the close
CHECK_INTERVAL_S = 0.25  # s between two looks for idle connections
HEADER_FRAMING = 4  # bytes of a header beside its name and value
BACKLOG = 1024  # connections, so that a burst of new ones is not dropped

TCP_INFO_BYTES = 72  # bytes of the kernel's figures up to the round-trip time
ROUND_TRIP_AT = 68  # byte at which it stands, in microseconds
LONGEST_ROUND_TRIP_S = 0.5  # s; a larger figure tells of a fault, not of the way

Handle = Callable[[Request], Awaitable[Response]]


@dataclass(slots=True)
class ConnectionLimits:
    """What a caller may send and how long it may take.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Sizes of a request's head and body, in bytes.
    header_s, idle_s : float
        Longest time for a head, and between two requests, in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_s: float = 3.0
    idle_s: float = 15.0


def read_round_trip(connection: socket.socket) -> float:
    """Round-trip time of a connection as the kernel measured it, in seconds, or 0."""
    try:
        info = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except OSError:
        return 0.0
    if len(info) < TCP_INFO_BYTES:
        return 0.0
    (microseconds,) = struct.unpack_from("I", info, ROUND_TRIP_AT)
    seconds = microseconds / 1e6
    return seconds if seconds < LONGEST_ROUND_TRIP_S else 0.0


@dataclass(slots=True)
class HttpServer:
    """A listening address and its open connections.

    Parameters
    ----------
    name : str
        Name for the logs.
    handle : callable
        Coroutine function from a request to its response.
    read_limits : callable
        Limits in force.
    """

    name: str
    handle: Handle
    read_limits: Callable[[], ConnectionLimits] = ConnectionLimits
    connections: set[CallerConnection] = field(default_factory=set)
    draining: bool = False
    _listener: asyncio.Server | None = None

    @property
    def requests_in_flight(self) -> int:
        """Requests that have been read and are not yet answered."""
        return sum(connection.waiting for connection in self.connections)

    async def listen(self, address: str) -> None:
        """Start to accept connections on `address`, an IP number and a port."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            lambda: CallerConnection(self),
            host,
            int(port),
            backlog=BACKLOG,
            reuse_address=True,
        )

    def drain(self) -> None:
        """Answer with a close from now on; idle connections stay for their caller."""
        self.draining = True

    def close_idle(self) -> None:
        """Close the connections on which no request is waiting."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop_listening(self) -> None:
        """Accept no more connections."""
        if self._listener is not None:
            self._listener.close()

    def enforce_timeouts(self, now: float) -> None:
        """Close connections whose caller was idle or slow for too long."""
        limits = self.read_limits()
        for connection in list(self.connections):
            connection.enforce_timeouts(now, limits)


class CallerConnection(asyncio.Protocol):
    """One connection of a caller, served by one task."""

    def __init__(self, server: HttpServer):
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._ready: deque[Request | Response] = deque()
        self._wake: asyncio.Future | None = None
        self._task: asyncio.Task | None = None
        self._transport: asyncio.Transport | None = None
        self._answering = False
        self._in_head = False
        self._refused = False
        self._ended = False
        self._since = read_boottime()
        self._reset_message()

    @property
    def waiting(self) -> int:
        """Requests that have been read and are not yet answered."""
        return len(self._ready) + self._answering

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Start the connection's task."""
        self._transport = transport
        self._server.connections.add(self)
        self._task = asyncio.get_running_loop().create_task(self._serve())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel what the caller no longer waits for."""
        self._ended = True
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def eof_received(self) -> bool:
        """Close as soon as the caller has closed."""
        return False

    def data_received(self, data: bytes) -> None:
        """Parse; what is no request is answered in its turn and ends reading."""
        if self._refused:
            return
        if not self._headers_done:
            self._head_bytes += len(data)
        self._since = read_boottime()
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._refused = True
        except httptools.HttpParserError:
            self._refuse(400)
        if not self._headers_done:
            self._check_head()

    def on_message_begin(self) -> None:
        """Start a request."""
        self._in_head = True

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Invite the body where the caller waits for that."""
        self._in_head = False
        self._headers_done = True
        # A head that came in one piece with its body is measured by its parts.
        self._head_bytes = len(self._url) + sum(
            len(name) + len(value) + HEADER_FRAMING for name, value in self._headers
        )
        self._check_head()
        for name, value in self._headers:
            if name == b"expect" and value.lower() == b"100-continue":
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, body: bytes) -> None:
        """Collect the body up to its limit."""
        if self._refused:
            return
        self._body += body
        if len(self._body) > self._server.read_limits().body_bytes:
            self._refuse(413)

    def on_message_complete(self) -> None:
        """Hand a whole request to the connection's task."""
        if self._refused:
            return
        request = Request(
            self._parser.get_method(),
            self._url,
            self._headers,
            bytes(self._body),
            read_boottime(),
            self._parser.should_keep_alive(),
            partial(read_round_trip, self._transport.get_extra_info("socket")),
        )
        self._reset_message()
        self._put(request)

    def close_if_idle(self) -> None:
        """Close if no request is waiting or being read."""
        if self.waiting or self._in_head or self._headers_done or self._ended:
            return
        self._transport.close()

    def enforce_timeouts(self, now: float, limits: ConnectionLimits) -> None:
        """Refuse a slow request head; close a connection that is idle."""
        quiet_s = now - self._since
        if self.waiting:
            return
        if (self._in_head or self._headers_done) and quiet_s > limits.header_s:
            self._refuse(408)
        elif quiet_s > limits.idle_s:
            self._transport.close()

    async def _serve(self) -> None:
        while True:
            while not self._ready:
                self._wake = asyncio.get_running_loop().create_future()
                await self._wake
            item = self._ready.popleft()
            if isinstance(item, Response):
                return self._finish(item)
            self._answering = True
            response = await self._answer(item)
            self._answering = False
            self._since = read_boottime()
            if self._refused and not self._ready:
                return self._finish(response)
            if self._server.draining or not item.keep_alive:
                return self._finish(response)
            self._transport.write(encode_response(response, close=False))
            if len(self._ready) < MAX_PIPELINED:
                self._transport.resume_reading()

    async def _answer(self, request: Request) -> Response:
        try:
            return await self._server.handle(request)
        except Exception:
            structlog.get_logger().exception("handler_failed", server=self._server.name)
            return Response(500)

    def _finish(self, response: Response) -> None:
        self._refused = True
        self._ended = True
        self._transport.write(encode_response(response, close=True))
        if self._transport.can_write_eof():
            self._transport.write_eof()
        loop = asyncio.get_running_loop()
        loop.call_later(LINGER_S, self._transport.close)

    def _put(self, item: Request | Response) -> None:
        self._ready.append(item)
        if len(self._ready) >= MAX_PIPELINED:
            self._transport.pause_reading()
        if self._wake is not None and not self._wake.done():
            self._wake.set_result(None)

    def _refuse(self, status: int) -> None:
        if self._refused:
            return
        self._refused = True
        structlog.get_logger().info(
            "request_refused", server=self._server.name, status=status, ran="no"
        )
        self._put(Response(status))

    def _check_head(self) -> None:
        if self._head_bytes > self._server.read_limits().header_bytes:
            self._refuse(431)

    def _reset_message(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._body = bytearray()
        self._headers_done = False
        self._head_bytes = 0
