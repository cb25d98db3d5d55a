"""Single-use tickets for bookings, in the memory of the process that issued them.

A ticket is good at one incarnation of one process and until its time is over. It
is marked spent before anything is sent, so that it runs at most once. Where the
memory is gone, the answer is "unknown" and nothing runs.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from expression import Error, Ok, Result

from ..errors import ErrorKind, Failure

TICKET_TTL_S = 60.0
OUTCOME_RETENTION_S = 600.0
TICKETS_LIMIT = 100_000


class TicketState(Enum):
    """What became of a ticket."""

    OPEN = "open"
    SPENT = "spent"
    DONE = "done"


@dataclass(slots=True)
class Ticket:
    """One ticket.

    Attributes
    ----------
    outcome : Future
        The upstream's confirmation or the failure.
    """

    service: str
    issued_at: float
    state: TicketState = TicketState.OPEN
    payload: str | None = None
    outcome: asyncio.Future[Result[str, Failure]] | None = None


@dataclass(frozen=True, slots=True)
class TicketName:
    """The parts of a ticket's name, ``<vm>.<incarnation>.<number>``."""

    vm: str
    incarnation: int
    number: int

    def __str__(self) -> str:
        return f"{self.vm}.{self.incarnation:x}.{self.number:x}"


def parse_ticket(text: str) -> Result[TicketName, Failure]:
    """Read the name of a ticket."""
    parts = text.rsplit(".", 2)
    try:
        vm, incarnation, number = parts[0], int(parts[1], 16), int(parts[2], 16)
    except (IndexError, ValueError):
        return Error(Failure(ErrorKind.TICKET_REQUIRED, f"{text!r} is no ticket"))
    name = TicketName(vm, incarnation, number)
    if not vm or str(name) != text:
        return Error(Failure(ErrorKind.TICKET_REQUIRED, f"{text!r} is no ticket"))
    return Ok(name)


@dataclass(slots=True)
class TicketRegistry:
    """All tickets of one incarnation.

    Parameters
    ----------
    vm : str
        Name of this VM.
    incarnation : int
        Incarnation of this process.
    now : callable
        Clock, in seconds.
    """

    vm: str
    incarnation: int
    now: Callable[[], float]
    _tickets: dict[int, Ticket] = field(default_factory=dict)
    _last: int = 0

    def issue(self, service: str) -> Result[str, Failure]:
        """Issue a ticket for one booking at a service."""
        if len(self._tickets) >= TICKETS_LIMIT:
            return Error(Failure(ErrorKind.OVERLOADED, "too many tickets are open"))
        self._last += 1
        self._tickets[self._last] = Ticket(service, self.now())
        return Ok(str(TicketName(self.vm, self.incarnation, self._last)))

    def find(self, text: str) -> Result[Ticket, Failure]:
        """Find a ticket that this incarnation issued and still remembers."""
        parsed = parse_ticket(text)
        if parsed.is_error():
            return parsed
        name = parsed.ok
        if name.vm != self.vm or name.incarnation != self.incarnation:
            return Error(Failure(ErrorKind.TICKET_LOST, "its issuer's memory is gone"))
        if name.number > self._last or name.number < 1:
            return Error(Failure(ErrorKind.TICKET_REQUIRED, "it was never issued"))
        ticket = self._tickets.get(name.number)
        if ticket is None:
            return Error(Failure(ErrorKind.TICKET_EXPIRED, "its outcome is forgotten"))
        return Ok(ticket)

    def spend(self, ticket: Ticket, payload: str) -> Result[bool, Failure]:
        """Mark a ticket spent, before anything is sent.

        Returns
        -------
        Result
            Whether the caller of this method has to run the booking; False where
            it runs or ran already.
        """
        if ticket.state is not TicketState.OPEN:
            if ticket.payload != payload:
                detail = "the ticket was used for another booking"
                return Error(Failure(ErrorKind.TICKET_MISUSED, detail))
            return Ok(False)
        if self.now() - ticket.issued_at > TICKET_TTL_S:
            ticket.state = TicketState.DONE
            ticket.payload = payload
            ticket.outcome = asyncio.get_running_loop().create_future()
            never = Failure(ErrorKind.QUEUE_EXPIRED, "the ticket was used too late")
            ticket.outcome.set_result(Error(never))
            return Ok(False)
        ticket.state = TicketState.SPENT
        ticket.payload = payload
        ticket.outcome = asyncio.get_running_loop().create_future()
        return Ok(True)

    def finish(self, ticket: Ticket, outcome: Result[str, Failure]) -> None:
        """Record what the upstream answered."""
        ticket.state = TicketState.DONE
        if ticket.outcome is not None and not ticket.outcome.done():
            ticket.outcome.set_result(outcome)

    def evict_expired(self, now: float) -> None:
        """Drop tickets whose outcome nobody can need any more."""
        for number, ticket in list(self._tickets.items()):
            if now - ticket.issued_at <= OUTCOME_RETENTION_S:
                return
            if ticket.state is not TicketState.SPENT:
                del self._tickets[number]
