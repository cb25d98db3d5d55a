"""The entry binary: callers, admission, planning, merging.

It does no work on replicas itself. Whatever it sends goes to the dispatch
process that owns the replica, which decides whether it may run.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import numpy as np
from expression import Error, Ok, Result
from sanic.server import AsyncioServer

from ..clock import TimerService
from ..errors import Failure, Kind, Ran
from ..process import run_binary
from ..settings import ProcessSettings, read_settings
from .balance import Balancer
from .callers import Addresses, BookingCall, SearchCall, TicketCall, build_app
from .documents import DEADLINE_MAX_MS, Profile
from .link import Link, PeerLostError, PeerUnreachedError
from .membership import SYNC_PERIOD_S, VIEW_TTL_S
from .merge import SearchAnswer
from .messages import Book, BookingReply, Message, OutcomeAsk, TicketAsk
from .node import Node, run_node
from .operations import ReplicaState
from .routing import Routing
from .search import run_search
from .tickets import parse_ticket

WINDOW_PERIOD_S = 2.0
DRAIN_POLL_S = 0.05
REPLY_MARGIN_S = 0.3
CONTROL_TIMEOUT_S = 1.0


@dataclass(slots=True)
class Entry(Node):
    """State of one entry process."""

    role = "entry"
    watches_platform = False

    stopping: bool = False
    routing: Routing = field(init=False)
    _in_progress: int = 0

    def __post_init__(self):
        Node.__post_init__(self)
        self.routing = Routing(
            self.view,
            self.links,
            Balancer(self.now, np.random.default_rng()),
            self.log,
            self.metrics,
            self.now,
            self.synchroniser.hurry,
        )
        self.metrics.watch("in_progress", lambda: float(self._in_progress))
        self.metrics.watch("late_frames", lambda: float(self.links.dropped))

    def is_ready(self) -> bool:
        """Whether this process can serve callers."""
        return self._check() is None

    def list_replicas(self) -> tuple[ReplicaState, ...]:
        """No replica is worked on here."""
        return ()

    def list_addresses(self) -> Result[Addresses, Failure]:
        """Entry addresses in service, by the view in force."""
        stale = self._check_view()
        if stale is not None:
            return Error(stale)
        config, vms = self.view.config, self.view.vms
        draining = set(self.membership.draining_directly(config.keep_address_s))
        if self.stopping or self.synchroniser.draining:
            draining.add(self.settings.vm)
        addresses = tuple(
            vm.entry
            for name, vm in sorted(vms.vms.items())
            if vm.state == "live"
            and name not in draining
            and not config.is_out(vm.data_centre)
        )
        if not addresses:
            return Error(Failure(Kind.OUT_OF_SERVICE, "no entry VM is in service"))
        return Ok(Addresses(addresses, config.keep_address_s))

    async def search(
        self, call: SearchCall, request_id: str
    ) -> Result[SearchAnswer, Failure]:
        """Run a search for a caller."""
        admitted = self._admit(call.service, "search")
        if admitted.is_error():
            return self._refuse(admitted.error, request_id)
        name, profile = admitted.ok
        state = self.routing.profile_state(name, profile)
        if state.in_progress >= profile.concurrency:
            failure = Failure(Kind.OVERLOADED, f"{state.in_progress} in progress")
            return self._refuse(failure, request_id)
        began = self.now()
        deadline = began + _choose_deadline(profile, call.deadline_ms)
        state.in_progress += 1
        self._in_progress += 1
        try:
            result = await run_search(
                self.routing, request_id, name, profile, call.query, deadline
            )
        finally:
            state.in_progress -= 1
            self._in_progress -= 1
        self.metrics.time("search", name, self.now() - began)
        if result.is_error():
            return self._refuse(result.error, request_id)
        return self._check_coverage(name, profile, result.ok)

    async def issue_ticket(
        self, call: TicketCall, request_id: str
    ) -> Result[str, Failure]:
        """Issue a ticket for one booking, at a VM that can run it."""
        admitted = self._admit(call.service, "booking")
        if admitted.is_error():
            return self._refuse(admitted.error, request_id)
        name, profile = admitted.ok
        failure = Failure(Kind.NOT_READY, "no replica can be used now")
        for link in self._list_booking_links(profile):
            ask = TicketAsk(request_id, name)
            result = await self._ask(link, ask, CONTROL_TIMEOUT_S)
            if result.is_ok():
                self.log.decide("ticket", result.ok, "issued", request_id)
                return result
            if result.error.answer.ran is Ran.NO:
                failure = result.error
        return self._refuse(failure, request_id)

    async def book(self, call: BookingCall, request_id: str) -> Result[str, Failure]:
        """Run the booking of a ticket at its issuer, or tell its outcome.

        Whether the ticket was used before, only its issuer knows. So nothing that
        is known here is a reason to say that it was not run.
        """
        name, profile = self._find_booking_profile(call.service)
        budget_s = _choose_deadline(profile, call.deadline_ms)
        book = Book(request_id, name, call.ticket, call.payload, budget_s)
        result = await self._ask_issuer(call.ticket, book, budget_s, request_id)
        if result.is_error():
            return self._refuse(result.error, request_id)
        return result

    async def tell_outcome(self, ticket: str, request_id: str) -> Result[str, Failure]:
        """Tell the outcome of a ticket; nothing runs."""
        ask = OutcomeAsk(request_id, ticket)
        return await self._ask_issuer(ticket, ask, CONTROL_TIMEOUT_S, request_id)

    async def drain(self) -> None:
        """Leave the answers on addresses, serve on, finish what is in progress.

        Callers keep an address for a while, so what arrives meanwhile is served.
        """
        config = self.view.config
        keep_s = 0.0 if config is None else config.keep_address_s
        await asyncio.sleep(keep_s + 2 * SYNC_PERIOD_S)
        self.stopping = True
        until = self.now() + DEADLINE_MAX_MS / 1000 + REPLY_MARGIN_S
        while self._in_progress and self.now() < until:
            await asyncio.sleep(DRAIN_POLL_S)

    def _check(self) -> Failure | None:
        if self.stopping:
            return Failure(Kind.SHUTTING_DOWN, "this VM is leaving")
        return self._check_view()

    def _check_view(self) -> Failure | None:
        """Whether a dispatch process with a current view confirmed this view."""
        if not self.view.complete or self.membership.superseded:
            return Failure(Kind.VIEW_STALE, "no documents, or a newer incarnation")
        limit = self.now() - VIEW_TTL_S
        for name in self.view.vms.vms:
            confirmation = self.membership.confirmation(name)
            if confirmation is None or confirmation.asked_at < limit:
                continue
            reply = confirmation.reply
            if reply.current and self.view.covers(reply.revisions):
                return None
        return Failure(Kind.VIEW_STALE, "no current peer confirmed the view")

    def _admit(self, service: str, kind: str) -> Result[tuple[str, Profile], Failure]:
        failure = self._check()
        if failure is not None:
            return Error(failure)
        config = self.view.config
        listed = config.services.get(service)
        if listed is None:
            return Error(Failure(Kind.UNKNOWN_SERVICE, service[:64]))
        profile = config.profiles[listed.profile]
        if profile.kind != kind:
            detail = f"{service} runs under {listed.profile}, which is no {kind}"
            return Error(Failure(Kind.WRONG_PROFILE, detail))
        return Ok((listed.profile, profile))

    def _find_booking_profile(self, service: str) -> tuple[str, Profile | None]:
        """Profile of a service, empty where the view has none."""
        config = self.view.config
        listed = None if config is None else config.services.get(service)
        if listed is None:
            return "", None
        return listed.profile, config.profiles[listed.profile]

    def _refuse(self, failure: Failure, request_id: str) -> Result:
        self.metrics.count("refusals", failure.kind.value)
        self.log.decide("refuse", failure.kind.value, failure.detail, request_id)
        return Error(failure)

    def _check_coverage(
        self, name: str, profile: Profile, answer: SearchAnswer
    ) -> Result[SearchAnswer, Failure]:
        self.metrics.count("shards_asked", name, answer.shards)
        self.metrics.count("shards_covered", name, answer.covered)
        if answer.coverage >= profile.coverage_floor:
            return Ok(answer)
        reasons = sorted({item.reason for item in answer.missing})
        detail = f"{answer.covered} of {answer.shards} shards: {', '.join(reasons)}"
        failure = Failure(Kind.COVERAGE_BELOW_FLOOR, detail)
        return self._refuse(failure, answer.request_id)

    def _list_booking_links(self, profile: Profile) -> list[Link]:
        """Links to the owners of a pool's replicas, in random order."""
        directory = self.view.directory
        addresses: dict[str, Link] = {}
        for group_name in directory.pools.get(profile.target, ()):
            for replica in directory.groups[group_name].replicas:
                name = f"{group_name}/{replica}"
                link = self.routing.find_link(name)
                if link is not None and self.routing.may_use(name):
                    addresses[link.address] = link
        links = list(addresses.values())
        self.routing.balancer.random.shuffle(links)
        return links

    async def _ask_issuer(
        self, ticket: str, message: Message, budget_s: float, request_id: str
    ) -> Result[str, Failure]:
        parsed = parse_ticket(ticket)
        if parsed.is_error():
            return parsed
        vms = self.view.vms
        issuer = None if vms is None else vms.vms.get(parsed.ok.vm)
        if issuer is None:
            return Error(Failure(Kind.TICKET_LOST, "its issuer is not listed"))
        link = self.links.get(issuer.dispatch)
        self.log.decide("issuer", parsed.ok.vm, "named by the ticket", request_id)
        result = await self._ask(link, message, budget_s + REPLY_MARGIN_S)
        if result.is_error() and result.error.kind is Kind.PEER_LOST:
            return Error(Failure(Kind.OUTCOME_UNKNOWN, result.error.detail))
        return result

    async def _ask(
        self, link: Link, message: Message, timeout: float
    ) -> Result[str, Failure]:
        self._in_progress += 1
        try:
            reply = await link.ask(message, timeout)
        except PeerUnreachedError:
            return Error(Failure(Kind.OUTCOME_UNKNOWN, "its issuer is not reached"))
        except PeerLostError as error:
            return Error(Failure(Kind.PEER_LOST, str(error)))
        finally:
            self._in_progress -= 1
        if not isinstance(reply, BookingReply):
            return Error(Failure(Kind.INTERNAL, "an unexpected reply"))
        if reply.kind:
            return Error(Failure(Kind(reply.kind), reply.detail))
        return Ok(reply.value)


def _choose_deadline(profile: Profile | None, asked_ms: int | None) -> float:
    longest_ms = DEADLINE_MAX_MS if profile is None else profile.deadline_ms
    return min(asked_ms or longest_ms, longest_ms) / 1000


async def run_entry(settings: ProcessSettings) -> int:
    """Run an entry process until it is told to stop.

    Returns
    -------
    int
        Exit code.
    """
    timers = TimerService()
    entry = Entry(settings, timers.now)
    timers.subscribe(WINDOW_PERIOD_S, entry.routing.rotate_windows)

    async def open_server() -> AsyncioServer:
        app = build_app(entry, entry)
        server = await app.create_server(
            settings.host, settings.port, return_asyncio_server=True
        )
        await server.startup()
        await server.start_serving()
        return server

    return await run_node(entry, timers, open_server)


def serve(settings: str):
    """Serve as an entry process.

    Parameters
    ----------
    settings : str
        Path of the settings file.
    """
    return lambda: run_entry(read_settings(str(settings)))


def main() -> None:
    """Run the binary."""
    run_binary("anvilhoist-entry", serve)


if __name__ == "__main__":
    main()
