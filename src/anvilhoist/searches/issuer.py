"""Execution of bookings at the VM that issued their tickets."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from expression import Error, Result

from ..errors import ErrorKind, Failure
from ..tasks import start_task
from .messages import BookingCall
from .tickets import Ticket, TicketRegistry, TicketState

RunBooking = Callable[[BookingCall], Awaitable[Result[str, Failure]]]


@dataclass(slots=True)
class Issuer:
    """Runs each ticket's booking at most once, and keeps its outcome.

    Parameters
    ----------
    tickets : TicketRegistry
        Tickets that this process issued.
    run_booking : callable
        Coroutine function that sends a booking to an upstream, once.

    Attributes
    ----------
    bookings_in_flight : int
        Number of bookings that are running.
    """

    tickets: TicketRegistry
    run_booking: RunBooking
    bookings_in_flight: int = 0

    async def book(self, call: BookingCall) -> Result[str, Failure]:
        """Run a ticket's booking, or wait for the outcome of its earlier run."""
        found = self.tickets.find(call.ticket)
        if found.is_error():
            return found
        ticket = found.ok
        if ticket.service != call.service:
            return Error(
                Failure(
                    ErrorKind.TICKET_MISUSED,
                    f"the ticket is for service {ticket.service}",
                )
            )
        spent = self.tickets.spend(ticket, call.payload)
        if spent.is_error():
            return spent
        if spent.ok:
            self.bookings_in_flight += 1
            start_task("booking", self._run_and_record(ticket, call))
        return await asyncio.shield(ticket.outcome)

    def get_outcome(self, name: str) -> Result[str, Failure]:
        """Return the outcome of a ticket's booking, without running it."""
        found = self.tickets.find(name)
        if found.is_error():
            return found
        ticket = found.ok
        if ticket.state is TicketState.OPEN:
            return Error(
                Failure(ErrorKind.NOT_FOUND, "the ticket has not been used yet")
            )
        if not ticket.outcome.done():
            return Error(
                Failure(ErrorKind.OUTCOME_UNKNOWN, "the booking is still running")
            )
        return ticket.outcome.result()

    async def _run_and_record(self, ticket: Ticket, call: BookingCall) -> None:
        outcome: Result[str, Failure] = Error(
            Failure(ErrorKind.OUTCOME_UNKNOWN, "the booking ended with an error")
        )
        try:
            outcome = await self.run_booking(call)
        finally:
            self.bookings_in_flight -= 1
            self.tickets.record_outcome(ticket, outcome)
