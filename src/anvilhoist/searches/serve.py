"""Server of the JSON interface, within the front process."""

from __future__ import annotations

from dataclasses import dataclass

from sanic.server import AsyncioServer

from ..http.messages import Request, Response
from ..process import close_server
from .api import SearchApi
from .connection import make_counted_protocol
from .edge import build_app
from .exchange import TICKETS_PATH


@dataclass(slots=True)
class SearchServer:
    """HTTP server of the JSON interface.

    Parameters
    ----------
    api : SearchApi
        Operations behind the routes.
    """

    api: SearchApi
    _server: AsyncioServer | None = None

    @property
    def requests_in_flight(self) -> int:
        """Number of searches and bookings in progress."""
        return self.api.requests_in_flight

    async def listen(self, address: str) -> None:
        """Start to accept connections on `address`, an IP address and a port."""
        host, _, port = address.rpartition(":")
        app = build_app(self.api)
        self._server = await app.create_server(
            host,
            int(port),
            return_asyncio_server=True,
            protocol=make_counted_protocol(self.api.forwarder.context.client_budget),
        )
        await self._server.startup()
        await self._server.start_serving()

    async def close(self) -> None:
        """Accept no more connections; those that are open are not closed."""
        if self._server is not None:
            await close_server(self._server)

    async def handle_peer_request(self, request: Request) -> Response | None:
        """Answer another VM's request about a ticket; return None for other paths."""
        if request.path != TICKETS_PATH:
            return None
        return await self.api.handle_peer_request(request)
