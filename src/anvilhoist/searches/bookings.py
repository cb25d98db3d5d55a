"""Bookings at the process that issued their tickets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from expression import Error, Ok, Result

from ..errors import Failure, Kind
from ..tasks import start_task
from .decisions import DecisionLog
from .messages import Book, OutcomeAsk, TicketAsk
from .replicas import Replicas, Station
from .tickets import State, Ticket, TicketBook
from .upstream import BookAsk
from .view import View


@dataclass(slots=True)
class Bookings:
    """Bookings of one dispatch process.

    Parameters
    ----------
    tickets : TicketBook
        Tickets of this incarnation.
    replicas : Replicas
        Where bookings are put to work.
    now : callable
        Clock, in seconds.

    Attributes
    ----------
    in_progress : int
        Bookings that are being run.
    """

    tickets: TicketBook
    replicas: Replicas
    view: View
    log: DecisionLog
    now: Callable[[], float]
    in_progress: int = 0

    def issue(self, ask: TicketAsk) -> Result[str, Failure]:
        """Issue a ticket, if a booking of its profile could run here."""
        station = self._choose_station(ask.profile)
        if station.is_error():
            return station
        return self.tickets.issue(ask.profile)

    def _choose_station(self, profile_name: str) -> Result[Station, Failure]:
        profile, directory = (
            self.replicas.find_profile(profile_name),
            self.view.directory,
        )
        if profile is None or directory is None or profile.kind != "booking":
            return Error(Failure(Kind.WRONG_PROFILE, f"{profile_name}: no bookings"))
        groups = directory.pools.get(profile.target, ())
        failure = Failure(Kind.NOT_OWNER, f"no replica of {profile.target} is here")
        best: Station | None = None
        for station in self.replicas.list_stations():
            if station.name.partition("/")[0] not in groups:
                continue
            refused = self.replicas.check(station.name)
            if refused is not None:
                failure = refused
            elif best is None or station.gate.load < best.gate.load:
                best = station
        return Error(failure) if best is None else Ok(best)

    async def book(self, book: Book) -> Result[str, Failure]:
        """Run the booking of a ticket once, or tell its outcome."""
        found = self.tickets.find(book.ticket)
        if found.is_error():
            return found
        ticket = found.ok
        if ticket.state is State.OPEN and ticket.profile != book.profile:
            return Error(Failure(Kind.TICKET_MISUSED, f"it is for {ticket.profile}"))
        spent = self.tickets.spend(ticket, book.payload)
        if spent.is_error():
            return spent
        if spent.ok:
            self.in_progress += 1
            start_task(self._run_booking(ticket, book))
        return await asyncio.shield(ticket.outcome)

    async def _run_booking(self, ticket: Ticket, book: Book) -> None:
        outcome: Result[str, Failure] = Error(Failure(Kind.OUTCOME_UNKNOWN))
        try:
            outcome = await self._send_booking(book)
        finally:
            self.in_progress -= 1
            self.tickets.finish(ticket, outcome)

    async def _send_booking(self, book: Book) -> Result[str, Failure]:
        deadline = self.now() + book.budget_s
        chosen = self._choose_station(book.profile)
        if chosen.is_error():
            return chosen
        station = chosen.ok
        bound = self.replicas.queue_bound(book.profile)
        self.log.decide("book", station.name, "least loaded here", book.request_id)
        ask = BookAsk(book.ticket, book.payload)
        served = await self.replicas.book(station, ask, deadline, bound)
        if served.result.is_error():
            return served.result
        return Ok(served.result.ok.confirmation)

    async def tell_outcome(self, ask: OutcomeAsk) -> Result[str, Failure]:
        """Tell the outcome of a ticket; nothing runs."""
        found = self.tickets.find(ask.ticket)
        if found.is_error():
            return found
        ticket = found.ok
        if ticket.outcome is None:
            return Error(Failure(Kind.NOT_FOUND, "the ticket was not used yet"))
        if not ticket.outcome.done():
            return Error(Failure(Kind.OUTCOME_UNKNOWN, "it is being run"))
        return ticket.outcome.result()
