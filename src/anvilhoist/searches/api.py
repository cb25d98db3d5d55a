"""Operations of the JSON interface; replicas run its searches and bookings."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import quote

import msgspec
from expression import Error, Ok, Result

from ..errors import ErrorKind, Failure
from ..forward.handler import Forwarder
from ..forward.result import ForwardResult, GatherResult, Refusal
from ..http.messages import Request, Response
from ..peers.members import Members
from ..peers.messages import Heartbeat, VmState
from ..platform.edge import make_call, read_digest
from ..world.model import Route
from .exchange import ask_issuer
from .issuer import Issuer
from .messages import (
    DEADLINE_DEFAULT_MS,
    Addresses,
    BookingCall,
    IssuerAnswer,
    SearchAnswer,
    SearchCall,
    TicketCall,
    new_request_id,
)
from .tickets import TicketRegistry, parse_ticket

RECORD_BYTES = 16  # size of one record in the merged body of a search


@dataclass(slots=True)
class SearchApi:
    """Operations of the JSON interface.

    Parameters
    ----------
    forwarder : Forwarder
        Forwards calls to the replicas.
    members : Members
        The other VMs.
    make_heartbeat : callable
        Function that returns this VM's heartbeat.
    tickets : TicketRegistry
        Tickets that this process issued.
    port : int
        Port of this interface, the same on every VM.
    address_keep_s : float
        Time for which callers may keep an address, in seconds.

    Attributes
    ----------
    searches_in_flight : int
        Number of searches in progress.
    """

    forwarder: Forwarder
    members: Members
    make_heartbeat: Callable[[], Heartbeat]
    tickets: TicketRegistry
    port: int
    address_keep_s: float
    searches_in_flight: int = 0
    _issuer: Issuer = field(init=False)

    def __post_init__(self):
        self._issuer = Issuer(self.tickets, self._run_booking)

    @property
    def requests_in_flight(self) -> int:
        """Number of searches and bookings in progress."""
        return self.searches_in_flight + self._issuer.bookings_in_flight

    def list_addresses(self) -> Result[Addresses, Failure]:
        """List the addresses of the VMs that are ready to serve callers."""
        own = self.make_heartbeat()
        ready = self.members.list_ready()
        if own.state is VmState.READY:
            ready.append(own)
        if not ready:
            return Error(Failure(ErrorKind.OUT_OF_SERVICE, "no VM is ready to serve"))
        addresses = sorted(f"{vm.host}:{self.port}" for vm in ready)
        return Ok(Addresses(tuple(addresses), self.address_keep_s))

    async def search(
        self, call: SearchCall, request_id: str
    ) -> Result[SearchAnswer, Failure]:
        """Run a search over all shards of its service."""
        found = self._find_route(call.service)
        if found.is_error():
            return found
        route = found.ok
        if route.gather is None:
            return Error(
                Failure(
                    ErrorKind.WRONG_PROFILE,
                    f"service {call.service} offers no searches",
                )
            )
        self.searches_in_flight += 1
        try:
            target = route.prefix + quote(call.query, safe="")
            result = await self._forward(route, b"GET", target, request_id, b"", call)
        finally:
            self.searches_in_flight -= 1
        return _parse_search_result(result, call.service, request_id)

    async def issue_ticket(self, call: TicketCall) -> Result[str, Failure]:
        """Issue a ticket, if the service offers bookings."""
        found = self._find_booking_route(call.service)
        if found.is_error():
            return found
        return self.tickets.issue(call.service)

    async def book(self, call: BookingCall) -> Result[str, Failure]:
        """Run a booking at the issuer of its ticket, or return its earlier outcome."""
        parsed = parse_ticket(call.ticket)
        if parsed.is_error():
            return parsed
        if parsed.ok.vm == self.tickets.vm:
            return await self._issuer.book(call)
        return await self._ask_issuer(parsed.ok.vm, call)

    async def get_outcome(self, ticket: str) -> Result[str, Failure]:
        """Return the outcome of a ticket's booking, without running it."""
        parsed = parse_ticket(ticket)
        if parsed.is_error():
            return parsed
        if parsed.ok.vm == self.tickets.vm:
            return self._issuer.get_outcome(ticket)
        return await self._ask_issuer(parsed.ok.vm, ticket)

    async def handle_peer_request(self, request: Request) -> Response:
        """Answer another VM's request about a ticket that this VM issued."""
        try:
            call_or_ticket = msgspec.json.decode(request.body, type=BookingCall | str)
        except msgspec.DecodeError:
            return Response(400)
        if isinstance(call_or_ticket, str):
            result = self._issuer.get_outcome(call_or_ticket)
        else:
            result = await self._issuer.book(call_or_ticket)
        answer = IssuerAnswer(result.default_value(None))
        if result.is_error():
            failure = result.error
            answer = IssuerAnswer(None, failure.kind.value, failure.detail)
        return Response(200, [], msgspec.json.encode(answer))

    async def _ask_issuer(
        self, vm: str, call_or_ticket: BookingCall | str
    ) -> Result[str, Failure]:
        budget = self.forwarder.context.client_budget
        return await ask_issuer(self.members, vm, call_or_ticket, budget)

    def _find_route(self, service: str) -> Result[Route, Failure]:
        configuration = self.forwarder.context.view.configuration
        if configuration is None:
            return Error(
                Failure(ErrorKind.NO_CONFIGURATION, "no configuration is in force yet")
            )
        for route in configuration.routes:
            if route.name == service:
                return Ok(route)
        return Error(Failure(ErrorKind.UNKNOWN_SERVICE, service[:64]))

    def _find_booking_route(self, service: str) -> Result[Route, Failure]:
        found = self._find_route(service)
        if found.is_ok() and (found.ok.repeatable or found.ok.gather is not None):
            return Error(
                Failure(
                    ErrorKind.WRONG_PROFILE, f"service {service} offers no bookings"
                )
            )
        return found

    async def _forward(
        self, route: Route, method: bytes, target: str, attempt_id: str, body, call
    ) -> ForwardResult:
        # The request id serves as the attempt id, for replicas and in log lines.
        wait_s = (call.deadline_ms or DEADLINE_DEFAULT_MS) / 1000
        now = self.forwarder.context.now()
        task = asyncio.current_task()
        account = self.forwarder.context.client_budget.open_account(
            lambda reason: task.cancel()
        )

        def hold(size_bytes: int) -> None:
            account.hold(account.held_bytes + size_bytes)

        forwarded_call = make_call(
            method, route.host, target, attempt_id, body, now, wait_s, hold
        )
        try:
            return await self.forwarder.run(forwarded_call, route)
        finally:
            account.close()

    async def _run_booking(self, call: BookingCall) -> Result[str, Failure]:
        found = self._find_booking_route(call.service)
        if found.is_error():
            return found
        route = found.ok
        target = route.prefix + call.ticket
        request_id = call.request_id or new_request_id()
        body = call.payload.encode()
        return _parse_booking_result(
            await self._forward(route, b"POST", target, request_id, body, call)
        )


def _parse_search_result(
    result: ForwardResult, service: str, request_id: str
) -> Result[SearchAnswer, Failure]:
    if isinstance(result, Refusal):
        return Error(Failure(result.kind, service))
    if not isinstance(result, GatherResult):
        return Error(
            Failure(ErrorKind.INTERNAL, "search got the response of a single replica")
        )
    body = result.body
    hits = tuple(
        body[at : at + RECORD_BYTES].hex() for at in range(0, len(body), RECORD_BYTES)
    )
    shards = len(result.digests) + len(result.missing)
    return Ok(
        SearchAnswer(request_id, service, result.version, shards, result.missing, hits)
    )


def _parse_booking_result(result: ForwardResult) -> Result[str, Failure]:
    if isinstance(result, Refusal):
        return Error(Failure(result.kind, "no upstream confirmed the booking"))
    if isinstance(result, GatherResult):
        return Error(
            Failure(ErrorKind.INTERNAL, "booking got a response merged from shards")
        )
    if 200 <= result.status < 300:
        return Ok(read_digest(result).decode("latin-1"))
    if result.status < 500:
        return Error(Failure(ErrorKind.UPSTREAM_REJECTED, f"status {result.status}"))
    return Error(Failure(ErrorKind.UPSTREAM_FAILED, f"status {result.status}"))
