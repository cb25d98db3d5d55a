"""HTTP server: reads complete requests and sends complete responses."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import structlog

from ..tasks import start_task
from .caller_connection import CallerConnection
from .client_budget import ClientBudget
from .limits import ConnectionLimits
from .messages import Request, Response

CHECK_INTERVAL_S = 0.25  # between two calls of `HttpServer.enforce_timeouts`
LISTEN_BACKLOG = 1024  # connections waiting to be accepted; a burst is not dropped
# The event loop accepts one connection a turn. While clients' input takes long turns,
# this many are accepted in each, so that none waits behind all that came before it.
BUSY_ACCEPTS = 16

RequestHandler = Callable[[Request], Awaitable[Response]]


@dataclass(slots=True)
class HttpServer:
    """HTTP server on one address, with its open connections.

    Parameters
    ----------
    name : str
        Name in log lines.
    handle : callable
        Coroutine function from a request to its response.
    read_limits : callable
        Function that returns the limits in force.
    budget : ClientBudget
        Bounds what all clients make the process hold; servers of one process share it.

    Attributes
    ----------
    connections : set of CallerConnection
        Open connections.
    draining : bool
        Whether each response closes its connection.
    """

    name: str
    handle: RequestHandler
    read_limits: Callable[[], ConnectionLimits] = ConnectionLimits
    budget: ClientBudget = field(default_factory=ClientBudget)
    connections: set[CallerConnection] = field(default_factory=set)
    draining: bool = False
    _listener: asyncio.Server | None = None
    _is_accepting: bool = False
    _socket: socket.socket | None = None  # the listener's, which closes its own copy

    @property
    def requests_in_flight(self) -> int:
        """Number of requests that have been read and are not yet answered."""
        return sum(connection.requests_in_flight for connection in self.connections)

    @property
    def busy_connections(self) -> int:
        """Number of connections on which a request is being read or in flight."""
        return sum(connection.is_busy for connection in self.connections)

    async def listen(self, address: str) -> None:
        """Start to accept connections on `address`, an IP address and a port."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._listener = await loop.create_server(
            self._make_connection,
            host,
            int(port),
            backlog=LISTEN_BACKLOG,
            reuse_address=True,
        )
        self._socket = self._listener.sockets[0].dup()

    async def answer(self, request: Request) -> Response:
        """Return the handler's response to a request; 500 if the handler fails."""
        try:
            return await self.handle(request)
        except Exception:
            structlog.get_logger().exception("handler_failed", server=self.name)
            return Response(500)

    def drain(self) -> None:
        """Close each connection with its next response; idle ones stay open."""
        self.draining = True

    def close_idle(self) -> None:
        """Close the connections on which no request is being read or in flight."""
        for connection in list(self.connections):
            connection.close_if_idle()

    def stop_listening(self) -> None:
        """Accept no more connections than those that are already established."""
        if self._listener is None:
            return
        self._listener.close()
        self._listener = None
        # The kernel would reset the connections that it has established but that were
        # not accepted yet. Their callers may have sent requests.
        while self._accept():
            pass
        self._socket.close()
        self._socket = None

    def abandon_requests(self) -> None:
        """Answer all requests in flight at once, as the process is about to exit."""
        for connection in list(self.connections):
            connection.abandon_requests()

    def enforce_timeouts(self, now: float) -> None:
        """Refuse requests that stopped arriving, and close idle connections."""
        limits = self.read_limits()
        for connection in list(self.connections):
            connection.enforce_timeouts(now, limits)

    def _make_connection(self) -> CallerConnection:
        if self.budget.parsing.is_busy and not self._is_accepting:
            self._is_accepting = True
            asyncio.get_running_loop().call_soon(self._accept_several)
        return CallerConnection(self)

    def _accept_several(self) -> None:
        self._is_accepting = False
        for _ in range(BUSY_ACCEPTS):
            if self._socket is None or not self._accept():
                return

    def _accept(self) -> bool:
        """Accept a connection that is established; return False if there is none."""
        try:
            accepted, _ = self._socket.accept()
        except OSError:
            return False
        accepted.setblocking(False)
        loop = asyncio.get_running_loop()
        start_task(
            "accept", loop.connect_accepted_socket(self._make_connection, accepted)
        )
        return True
