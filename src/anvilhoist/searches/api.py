"""Searches and bookings, run as calls of the core."""

from __future__ import annotations

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

RECORD_BYTES = 16


@dataclass(slots=True)
class SearchApi:
    """What the tier's own edge calls.

    Parameters
    ----------
    forwarder : Forwarder
        The core.
    members : Members
        The other VMs.
    describe : callable
        Gives what this VM says of itself.
    tickets : TicketRegistry
        Tickets of this incarnation.
    port : int
        Port of this interface, the same on every VM.
    keep_s : float
        Time for which callers keep an address, in seconds.
    """

    forwarder: Forwarder
    members: Members
    describe: Callable[[], Heartbeat]
    tickets: TicketRegistry
    port: int
    keep_s: float
    searches: int = 0
    _issuer: Issuer = field(init=False)

    def __post_init__(self):
        self._issuer = Issuer(self.tickets, self._run_booking)

    @property
    def requests_in_flight(self) -> int:
        """Searches and bookings that are under way."""
        return self.searches + self._issuer.in_progress

    def list_addresses(self) -> Result[Addresses, Failure]:
        """Addresses of the VMs that serve callers."""
        own = self.describe()
        ready = self.members.list_ready()
        if own.state is VmState.READY:
            ready.append(own)
        if not ready:
            return Error(Failure(ErrorKind.OUT_OF_SERVICE, "no VM is in service"))
        addresses = sorted(f"{vm.host}:{self.port}" for vm in ready)
        return Ok(Addresses(tuple(addresses), self.keep_s))

    async def search(
        self, call: SearchCall, request_id: str
    ) -> Result[SearchAnswer, Failure]:
        """Run a search."""
        found = self._find_route(call.service)
        if found.is_error():
            return found
        route = found.ok
        if route.gather is None:
            return Error(
                Failure(ErrorKind.WRONG_PROFILE, f"{call.service}: no searches")
            )
        self.searches += 1
        try:
            target = route.prefix + quote(call.query, safe="")
            result = await self._run(route, b"GET", target, request_id, b"", call)
        finally:
            self.searches -= 1
        return _read_gathered(result, call.service, request_id)

    async def issue_ticket(self, call: TicketCall) -> Result[str, Failure]:
        """Issue a ticket, if its booking could run."""
        found = self._find_booking_route(call.service)
        if found.is_error():
            return found
        return self.tickets.issue(call.service)

    async def book(self, call: BookingCall) -> Result[str, Failure]:
        """Run a booking at the issuer of its ticket, or tell its outcome."""
        parsed = parse_ticket(call.ticket)
        if parsed.is_error():
            return parsed
        if parsed.ok.vm == self.tickets.vm:
            return await self._issuer.book(call)
        return await ask_issuer(self.members, parsed.ok.vm, call)

    async def tell_outcome(self, ticket: str) -> Result[str, Failure]:
        """Tell the outcome of a ticket; nothing runs."""
        parsed = parse_ticket(ticket)
        if parsed.is_error():
            return parsed
        if parsed.ok.vm == self.tickets.vm:
            return self._issuer.tell_outcome(ticket)
        return await ask_issuer(self.members, parsed.ok.vm, ticket)

    async def handle_peer_request(self, request: Request) -> Response:
        """Answer a VM that asks for a ticket of this one."""
        try:
            asked = msgspec.json.decode(request.body, type=BookingCall | str)
        except msgspec.DecodeError:
            return Response(400)
        if isinstance(asked, str):
            result = self._issuer.tell_outcome(asked)
        else:
            result = await self._issuer.book(asked)
        answer = IssuerAnswer(result.default_value(None))
        if result.is_error():
            failure = result.error
            answer = IssuerAnswer(None, failure.kind.value, failure.detail)
        return Response(200, [], msgspec.json.encode(answer))

    def _find_route(self, service: str) -> Result[Route, Failure]:
        configuration = self.forwarder.context.view.configuration
        if configuration is None:
            return Error(Failure(ErrorKind.NO_CONFIGURATION, "none is in force yet"))
        for route in configuration.routes:
            if route.name == service:
                return Ok(route)
        return Error(Failure(ErrorKind.UNKNOWN_SERVICE, service[:64]))

    def _find_booking_route(self, service: str) -> Result[Route, Failure]:
        found = self._find_route(service)
        if found.is_ok() and (found.ok.repeatable or found.ok.gather is not None):
            return Error(Failure(ErrorKind.WRONG_PROFILE, f"{service}: no bookings"))
        return found

    async def _run(
        self, route: Route, method: bytes, target: str, request_id: str, body, call
    ) -> ForwardResult:
        wait_s = (call.deadline_ms or DEADLINE_DEFAULT_MS) / 1000
        now = self.forwarder.context.now()
        made = make_call(method, route.host, target, request_id, body, now, wait_s)
        return await self.forwarder.run(made, route)

    async def _run_booking(self, call: BookingCall) -> Result[str, Failure]:
        found = self._find_booking_route(call.service)
        if found.is_error():
            return found
        route = found.ok
        target = route.prefix + call.ticket
        name = call.request_id or new_request_id()
        body = call.payload.encode()
        return _read_single(await self._run(route, b"POST", target, name, body, call))


def _read_gathered(
    result: ForwardResult, service: str, request_id: str
) -> Result[SearchAnswer, Failure]:
    if isinstance(result, Refusal):
        return Error(Failure(result.kind, service))
    if not isinstance(result, GatherResult):
        return Error(
            Failure(ErrorKind.INTERNAL, "a search was answered by one replica")
        )
    body = result.body
    hits = tuple(
        body[at : at + RECORD_BYTES].hex() for at in range(0, len(body), RECORD_BYTES)
    )
    shards = len(result.digests) + len(result.missing)
    return Ok(
        SearchAnswer(request_id, service, result.version, shards, result.missing, hits)
    )


def _read_single(result: ForwardResult) -> Result[str, Failure]:
    if isinstance(result, Refusal):
        return Error(Failure(result.kind, "no upstream took it"))
    if isinstance(result, GatherResult):
        return Error(Failure(ErrorKind.INTERNAL, "a booking was gathered"))
    if 200 <= result.status < 300:
        return Ok(read_digest(result).decode("latin-1"))
    if result.status < 500:
        return Error(Failure(ErrorKind.UPSTREAM_REJECTED, f"status {result.status}"))
    return Error(Failure(ErrorKind.UPSTREAM_FAILED, f"status {result.status}"))
