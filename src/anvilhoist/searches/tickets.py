"""Single-use tickets for bookings, in the memory of the process that issued them.

A ticket is valid only in the incarnation of the process that issued it, and expires
if it is not used within `TICKET_TTL_S`. It is marked spent before anything is sent,
so that its booking runs at most once. After a restart of the process, or once the
ticket is evicted, the outcome is reported as unknown and nothing runs.
"""

from __future__ import annotations

import asyncio
import hashlib
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from expression import Error, Ok, Result

from ..errors import ErrorKind, Failure

TICKET_TTL_S = 60.0  # from the issue of a ticket to its use
OUTCOME_RETENTION_S = 600.0  # from the issue of a ticket to its eviction
MAX_TICKETS = 100_000  # kept at a time, used ones included


class TicketState(Enum):
    """State of a ticket: not used, booking running, outcome known."""

    OPEN = "open"
    SPENT = "spent"
    DONE = "done"


@dataclass(slots=True)
class Ticket:
    """A ticket that this process issued.

    Attributes
    ----------
    service : str
        Service for which the ticket is valid.
    issued_at : float
        Time of issue, in seconds.
    state : TicketState
        Whether the ticket was used and its outcome is known.
    payload_digest : bytes or None
        Digest of the payload of the booking that used the ticket.
    outcome : Future or None
        The upstream's confirmation or the failure; None until the ticket is used.
    """

    service: str
    issued_at: float
    state: TicketState = TicketState.OPEN
    payload_digest: bytes | None = None
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
    """Parse the name of a ticket, in its canonical form only."""
    parts = text.rsplit(".", 2)
    try:
        vm, incarnation, number = parts[0], int(parts[1], 16), int(parts[2], 16)
    except (IndexError, ValueError):
        return Error(Failure(ErrorKind.TICKET_REQUIRED, f"{text!r} is not a ticket"))
    name = TicketName(vm, incarnation, number)
    if not vm or str(name) != text:
        return Error(Failure(ErrorKind.TICKET_REQUIRED, f"{text!r} is not a ticket"))
    return Ok(name)


@dataclass(slots=True)
class TicketRegistry:
    """All tickets that one incarnation of the process issued.

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
    _last_number: int = 0

    def issue(self, service: str) -> Result[str, Failure]:
        """Issue a ticket for one booking at a service."""
        if len(self._tickets) >= MAX_TICKETS:
            return Error(Failure(ErrorKind.OVERLOADED, "too many tickets are kept"))
        self._last_number += 1
        self._tickets[self._last_number] = Ticket(service, self.now())
        return Ok(str(TicketName(self.vm, self.incarnation, self._last_number)))

    def find(self, text: str) -> Result[Ticket, Failure]:
        """Find a ticket that this incarnation issued and still keeps."""
        parsed = parse_ticket(text)
        if parsed.is_error():
            return parsed
        name = parsed.ok
        if name.vm != self.vm or name.incarnation != self.incarnation:
            return Error(
                Failure(
                    ErrorKind.TICKET_LOST,
                    "the ticket was issued by another VM or before a restart",
                )
            )
        if name.number > self._last_number or name.number < 1:
            return Error(
                Failure(ErrorKind.TICKET_REQUIRED, "the ticket was never issued")
            )
        ticket = self._tickets.get(name.number)
        if ticket is None:
            return Error(
                Failure(
                    ErrorKind.TICKET_EXPIRED,
                    "the ticket was evicted with its outcome, if any",
                )
            )
        return Ok(ticket)

    def spend(self, ticket: Ticket, payload: str) -> Result[bool, Failure]:
        """Mark a ticket spent; to be called before its booking is sent.

        Returns
        -------
        Result
            True if the booking is to be run now; False if it runs or ran already, or
            if the ticket expired unused, which is then its outcome. An error if it
            was used with another payload.
        """
        payload_digest = hashlib.blake2b(payload.encode(), digest_size=16).digest()
        if ticket.state is not TicketState.OPEN:
            if ticket.payload_digest != payload_digest:
                detail = "the ticket was used with another payload"
                return Error(Failure(ErrorKind.TICKET_MISUSED, detail))
            return Ok(False)
        if self.now() - ticket.issued_at > TICKET_TTL_S:
            ticket.state = TicketState.DONE
            ticket.payload_digest = payload_digest
            ticket.outcome = asyncio.get_running_loop().create_future()
            expired = Failure(
                ErrorKind.QUEUE_EXPIRED, "the ticket expired before it was used"
            )
            ticket.outcome.set_result(Error(expired))
            return Ok(False)
        ticket.state = TicketState.SPENT
        ticket.payload_digest = payload_digest
        ticket.outcome = asyncio.get_running_loop().create_future()
        return Ok(True)

    def record_outcome(self, ticket: Ticket, outcome: Result[str, Failure]) -> None:
        """Record the outcome of a ticket's booking."""
        ticket.state = TicketState.DONE
        if ticket.outcome is not None and not ticket.outcome.done():
            ticket.outcome.set_result(outcome)

    def evict_expired(self, now: float) -> None:
        """Remove tickets after `OUTCOME_RETENTION_S`, unless their booking runs."""
        # Tickets are stored in the order of issue, so all later ones are recent too.
        for number, ticket in list(self._tickets.items()):
            if now - ticket.issued_at <= OUTCOME_RETENTION_S:
                return
            if ticket.state is not TicketState.SPENT:
                del self._tickets[number]
