"""Connections of callers of the JSON interface, counted with all other clients."""

from __future__ import annotations

import asyncio

from sanic.server.protocols.http_protocol import HttpProtocol

from ..http.client_budget import (
    CONNECTION_BYTES,
    ClientBudget,
    MemoryAccount,
    read_client_address,
)


class CountedProtocol(HttpProtocol):
    """Connection whose memory counts in the budget of all clients.

    Attributes
    ----------
    budget : ClientBudget
        The budget; set by `make_counted_protocol`.
    """

    __slots__ = ("_account", "_request_bytes")
    budget: ClientBudget

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Open the connection's account."""
        self._request_bytes = 0
        self._account: MemoryAccount = self.budget.open_account(
            lambda reason: transport.abort(), read_client_address(transport)
        )
        super().connection_made(transport)
        self._count_held()

    def connection_lost(self, exc: Exception | None) -> None:
        """Give back what was held."""
        self._account.close()
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Count what waits to be parsed."""
        super().data_received(data)
        self._count_held()

    def hold_request(self, size_bytes: int) -> None:
        """Set the size of the body being read or, later, of its response."""
        self._request_bytes = size_bytes
        self._count_held()

    def _count_held(self) -> None:
        buffered_bytes = len(self.recv_buffer)
        self._account.hold(CONNECTION_BYTES + buffered_bytes + self._request_bytes)


def make_counted_protocol(budget: ClientBudget) -> type[CountedProtocol]:
    """Return the protocol of connections that count in a budget."""
    return type("BudgetProtocol", (CountedProtocol,), {"budget": budget})
