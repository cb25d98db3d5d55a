"""What clients can make the process hold and do, counted and bounded in one place."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from ..clock import read_boottime
from .parse_queue import ParseQueue

CONNECTION_BYTES = 8 << 10  # estimate of what a connection without a request takes
REQUEST_BYTES = 1 << 10  # estimate of the objects of a request, without its bytes
HEADER_BYTES = 160  # estimate of the objects of a header, without its bytes
# Shedding goes on a little below a limit, so that it is not repeated at once.
SHED_TARGET = 0.9


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits for all clients of the process together.

    Attributes
    ----------
    memory_bytes : float
        Memory that may be held for clients, in bytes.
    connections : float
        Connections of clients that may be open.
    """

    memory_bytes: float = 64 << 20
    connections: float = 2048


def read_client_address(transport: asyncio.BaseTransport) -> str:
    """Return the IP address of the client at the other end, for the logs."""
    address = transport.get_extra_info("peername")
    return address[0] if address else "unknown"


class MemoryAccount:
    """Memory that is held for one connection.

    Attributes
    ----------
    client : str
        IP address of the client whose connection it is; empty for one to a server.
    held_bytes : int
        Memory that is held, in bytes.
    since : float
        Since when it has been held, in seconds.
    shed : callable
        Gives up what is held; its argument says why, for the logs.
    """

    __slots__ = ("_budget", "client", "held_bytes", "shed", "since")

    def __init__(self, budget: ClientBudget, shed: Callable[[str], None], client: str):
        self._budget = budget
        self.client = client
        self.held_bytes = 0
        self.since = budget.now()
        self.shed = shed

    def hold(self, held_bytes: int) -> None:
        """Set how much is held; accounts are shed if that is too much in all."""
        self._budget.change(held_bytes - self.held_bytes, self)

    def close(self) -> None:
        """Give back everything; the account counts no more."""
        self._budget.close_account(self)


@dataclass(slots=True)
class ClientBudget:
    """Memory and connections of all clients, and their turns of the event loop.

    Above a limit, what costs the process most is shed first: the most memory, held for
    the longest time.

    Parameters
    ----------
    limits : ClientLimits
        Limits in force.
    now : callable
        Clock, in seconds.

    Attributes
    ----------
    parsing : ParseQueue
        Turns of the event loop in which clients' input is parsed.
    reply_parsing : ParseQueue
        Turns in which servers' replies to clients' requests are parsed.
    held_bytes, connections : int
        Memory that is held now, and clients' connections that are open.
    shed_count : dict of int
        Number of accounts that were shed, by reason.
    """

    limits: ClientLimits = field(default_factory=ClientLimits)
    now: Callable[[], float] = read_boottime
    parsing: ParseQueue = field(default_factory=ParseQueue)
    reply_parsing: ParseQueue = field(default_factory=ParseQueue)
    held_bytes: int = 0
    connections: int = 0
    shed_count: dict[str, int] = field(
        default_factory=lambda: {"memory": 0, "connections": 0}
    )
    _accounts: set[MemoryAccount] = field(default_factory=set)
    _is_shedding: bool = False

    def open_account(
        self, shed: Callable[[str], None], client: str = ""
    ) -> MemoryAccount:
        """Open an account; a client's may take the place of another one's.

        Parameters
        ----------
        shed : callable
            Gives up what is held; its argument says why, for the logs.
        client : str
            IP address of the client whose connection it is; empty for one to a server.
        """
        account = MemoryAccount(self, shed, client)
        if client:
            self.connections += 1
            if self.connections > self.limits.connections:
                self._shed("connections", self._has_too_many_connections)
        self._accounts.add(account)
        return account

    def change(self, added_bytes: int, account: MemoryAccount) -> None:
        """Count memory that an account holds from now on, or gives back if negative."""
        if account not in self._accounts:
            return
        account.held_bytes += added_bytes
        self.held_bytes += added_bytes
        if added_bytes > 0 and self.held_bytes > self.limits.memory_bytes:
            self._shed("memory", self._has_too_much_memory)

    def close_account(self, account: MemoryAccount) -> None:
        """Give back everything that an account holds."""
        if account not in self._accounts:
            return
        self._accounts.discard(account)
        self.held_bytes -= account.held_bytes
        self.connections -= bool(account.client)
        # The account and what it belongs to refer to each other.
        account.held_bytes = 0
        account.shed = _ignore

    def _has_too_much_memory(self) -> bool:
        return self.held_bytes > SHED_TARGET * self.limits.memory_bytes

    def _has_too_many_connections(self) -> bool:
        return self.connections > SHED_TARGET * self.limits.connections

    def _shed(self, reason: str, is_over: Callable[[], bool]) -> None:
        """Shed accounts, the costliest first, until the limit holds again."""
        if self._is_shedding:
            return
        now = self.now()
        held_before = self.held_bytes
        costliest = self._list_costliest(now, reason)
        if not costliest:
            return
        first = costliest[0]
        first_bytes, first_s = first.held_bytes, now - first.since
        count = 0
        self._is_shedding = True
        try:
            for account in costliest:
                if not is_over():
                    break
                account.shed(reason)
                # Its holder may end in a later turn of the loop only.
                self.close_account(account)
                count += 1
        finally:
            self._is_shedding = False
        self.shed_count[reason] += count
        structlog.get_logger().warning(
            "clients_shed",
            reason=reason,
            count=count,
            first_client=first.client,
            first_bytes=first_bytes,
            first_s=round(first_s, 2),
            held_bytes=held_before,
            kept_bytes=self.held_bytes,
            limit_bytes=self.limits.memory_bytes,
            connections=self.connections,
            max_connections=self.limits.connections,
        )

    def _list_costliest(self, now: float, reason: str) -> list[MemoryAccount]:
        candidates = [
            account
            for account in self._accounts
            if account.client or reason == "memory"
        ]
        candidates.sort(
            key=lambda account: account.held_bytes * (now - account.since), reverse=True
        )
        return candidates


def _ignore(reason: str) -> None:
    return
