"""Bookings at the VM that issued their tickets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from expression import Error, Result

from ..errors import ErrorKind, Failure
from ..tasks import start_critical_task
from .messages import BookingCall
from .tickets import Ticket, TicketRegistry, TicketState

RunBooking = Callable[[BookingCall], Awaitable[Result[str, Failure]]]


@dataclass(slots=True)
class Issuer:
    """Runs each ticket's booking at most once, and remembers what came of it.

    Parameters
    ----------
    tickets : TicketRegistry
        Tickets of this incarnation.
    run_booking : callable
        Coroutine function that sends a booking to an upstream, once.

    Attributes
    ----------
    in_progress : int
        Bookings that are being run.
    """

    tickets: TicketRegistry
    run_booking: RunBooking
    in_progress: int = 0

    async def book(self, call: BookingCall) -> Result[str, Failure]:
        """Run the booking of a ticket once, or tell its outcome."""
        found = self.tickets.find(call.ticket)
        if found.is_error():
            return found
        ticket = found.ok
        if ticket.service != call.service:
            return Error(
                Failure(ErrorKind.TICKET_MISUSED, f"it is for {ticket.service}")
            )
        spent = self.tickets.spend(ticket, call.payload)
        if spent.is_error():
            return spent
        if spent.ok:
            self.in_progress += 1
            start_critical_task(self._run(ticket, call))
        return await asyncio.shield(ticket.outcome)

    def tell_outcome(self, name: str) -> Result[str, Failure]:
        """Tell the outcome of a ticket; nothing runs."""
        found = self.tickets.find(name)
        if found.is_error():
            return found
        ticket = found.ok
        if ticket.state is TicketState.OPEN:
            return Error(Failure(ErrorKind.NOT_FOUND, "the ticket was not used yet"))
        if not ticket.outcome.done():
            return Error(Failure(ErrorKind.OUTCOME_UNKNOWN, "it is being run"))
        return ticket.outcome.result()

    async def _run(self, ticket: Ticket, call: BookingCall) -> None:
        outcome: Result[str, Failure] = Error(Failure(ErrorKind.OUTCOME_UNKNOWN))
        try:
            outcome = await self.run_booking(call)
        finally:
            self.in_progress -= 1
            self.tickets.finish(ticket, outcome)
