"""The dispatch binary: owns replicas and does all work on them.

It answers its peers, runs sub-requests for entry processes, and keeps tickets
and outcomes of bookings.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from .clock import TimerService
from .decisions import DecisionLog, configure_logs
from .documents import DEADLINE_MAX_MS, Profile
from .errors import Failure, Kind
from .link import HttpAnswer, Reply, new_incarnation, serve_links
from .membership import Membership
from .messages import (
    Book,
    BookingReply,
    Cancel,
    Frame,
    OutcomeAsk,
    SubBatch,
    SubReplies,
    SubReply,
    SubRequest,
    Sync,
    SyncReply,
    TicketAsk,
)
from .metrics import Metrics
from .operations import ReplicaState, answer_operator
from .ownership import Ownership
from .platform import PlatformClient
from .process import run_binary, wait_for_stop
from .replicas import Replicas, Served, Station
from .settings import ProcessSettings, read_settings
from .sync import Links, Synchroniser
from .tasks import start_task
from .tickets import State, Ticket, TicketBook
from .upstream import Attempt, BookAsk, SearchAsk
from .view import View

HANDOVER_LIMIT_S = 5.0
URGENT_WAIT_S = 2.0
DRAIN_POLL_S = 0.05
UPKEEP_PERIOD_S = 0.1
GATHER_S = 0.001
DEFAULT_QUEUE_BOUND = 16
LOAD_HINT_NONE = 0


@dataclass(slots=True)
class _ReplyBuffer:
    """Gathers the replies of one exchange that are ready together."""

    reply: Reply
    _ready: list[SubReply] = field(default_factory=list)

    def put(self, item: SubReply) -> None:
        if not self._ready:
            asyncio.get_running_loop().call_later(GATHER_S, self._flush)
        self._ready.append(item)

    def _flush(self) -> None:
        items, self._ready = tuple(self._ready), []
        self.reply(SubReplies(items))


@dataclass(slots=True)
class _Running:
    """One sub-request in progress."""

    task: asyncio.Task
    station: Station | None = None
    attempt: Attempt | None = None


Exchange = tuple[int, int]


@dataclass(slots=True)
class Dispatch:
    """State of one dispatch process.

    Parameters
    ----------
    settings : ProcessSettings
        Settings of the process.
    now : callable
        Clock, in seconds.
    """

    settings: ProcessSettings
    now: Callable[[], float]
    incarnation: int = field(default_factory=new_incarnation)
    view: View = field(init=False)
    membership: Membership = field(init=False)
    log: DecisionLog = field(init=False)
    metrics: Metrics = field(init=False)
    ownership: Ownership = field(init=False)
    replicas: Replicas = field(init=False)
    tickets: TicketBook = field(init=False)
    links: Links = field(init=False)
    platform: PlatformClient = field(init=False)
    synchroniser: Synchroniser = field(init=False)
    _running: dict[Exchange, dict[int, _Running]] = field(default_factory=dict)
    _bookings: set[asyncio.Task] = field(default_factory=set)

    def __post_init__(self):
        settings, now = self.settings, self.now
        self.view = View(now)
        self.membership = Membership(settings.vm, self.view, now)
        self.log = DecisionLog(settings.vm, "dispatch", now)
        self.metrics = Metrics(settings.vm, "dispatch")
        self.ownership = Ownership(
            settings.vm, self.view, self.membership, now, self._tell_placement
        )
        self.replicas = Replicas(
            settings.data_centre,
            f"{settings.vm}-{self.incarnation:x}",
            self.view,
            self.membership,
            self.ownership,
            self.log,
            self.metrics,
            now,
        )
        self.tickets = TicketBook(settings.vm, self.incarnation, now)
        self.links = Links(self.incarnation, settings.host)
        self.platform = PlatformClient(settings.platform, settings.host, now)
        self.synchroniser = Synchroniser(
            settings,
            "dispatch",
            True,
            self.view,
            self.membership,
            self.links,
            self.platform,
            self.log,
            self.metrics,
            now,
            self._take_sync_reply,
            lambda: self.ownership.has_young_wait(URGENT_WAIT_S),
        )
        self.view.listen(self._on_document)

    def handle(self, frame: Frame, reply: Reply) -> None:
        """Take one message of a peer."""
        body = frame.body
        match body:
            case Sync():
                reply(self._answer_sync(body))
            case SubBatch():
                self._start_batch((frame.incarnation, frame.number), body, reply)
            case Cancel():
                self._cancel((frame.incarnation, frame.number), body)
            case TicketAsk():
                reply(_to_reply(self._issue(body)))
            case Book():
                self._spawn_booking(self._book(body), reply)
            case OutcomeAsk():
                self._spawn_booking(self._tell_outcome(body), reply)

    def on_tick(self, now: float) -> None:
        """Regular upkeep."""
        self.ownership.settle(now)
        self.replicas.tick(now)
        self.tickets.forget_old(now)

    def on_jump(self, gap: float) -> None:
        """Trust nothing that was confirmed before a pause."""
        self.membership.void()
        self.metrics.count("pauses")
        self.log.decide("pause", self.settings.vm, f"paused for {gap:.3f} s")

    def is_ready(self) -> bool:
        """Whether this process can serve what it owns."""
        if self.ownership.placement is None or self.replicas.stopping:
            return False
        return self.membership.is_current() and not self.ownership.waiting

    def list_replicas(self) -> tuple[ReplicaState, ...]:
        """State of the replicas that this process works on."""
        held = self.ownership.held
        return tuple(
            ReplicaState(
                name=station.name,
                held=station.name in held,
                warm=station.gate.is_warm,
                at_work=station.gate.at_work,
                waiting=station.gate.load - station.gate.at_work,
                limit=station.gate.limit,
                peak=station.gate.peak,
            )
            for station in self.replicas.list_stations()
        )

    async def drain(self) -> None:
        """Hand over, then finish what is in progress."""
        self.synchroniser.draining = True
        self.log.decide("drain", self.settings.vm, "asked to stop")
        until = self.now() + HANDOVER_LIMIT_S
        while self._has_to_hand_over() and self.now() < until:
            await asyncio.sleep(DRAIN_POLL_S)
        self.replicas.stopping = True
        until = self.now() + DEADLINE_MAX_MS / 1000
        while self._is_busy() and self.now() < until:
            await asyncio.sleep(DRAIN_POLL_S)

    def _has_to_hand_over(self) -> bool:
        """Whether replicas are here that another live VM can take."""
        vms = self.view.vms
        if vms is None or not (self.ownership.held or self.ownership.lingering):
            return False
        others = (vm for name, vm in vms.vms.items() if name != self.settings.vm)
        return any(vm.state == "live" for vm in others)

    def _is_busy(self) -> bool:
        return bool(self._running or self._bookings)

    def _answer_sync(self, sync: Sync) -> SyncReply:
        given = self.ownership.hand_over(sync, self.replicas.count_at_work)
        handed = tuple(self.replicas.describe_handed(name) for name in given)
        return self.synchroniser.answer(sync, handed, self.membership.is_current())

    def _take_sync_reply(self, reply: SyncReply) -> None:
        taken = self.ownership.take_over(reply)
        self.replicas.adopt(
            tuple(item for item in reply.handed if item.replica in taken)
        )

    def _on_document(self, _key: str) -> None:
        self.ownership.refresh()
        self.replicas.refresh()

    def _tell_placement(self, replica: str, event: str, reason: str) -> None:
        self.log.decide(event, replica, reason)

    def _start_batch(self, exchange: Exchange, batch: SubBatch, reply: Reply) -> None:
        buffer = _ReplyBuffer(reply)
        running = self._running.setdefault(exchange, {})
        for item in batch.items:
            task = start_task(self._run_sub(exchange, batch, item, buffer))
            running[item.number] = _Running(task)

    async def _run_sub(
        self,
        exchange: Exchange,
        batch: SubBatch,
        item: SubRequest,
        buffer: _ReplyBuffer,
    ) -> None:
        try:
            served = await self._serve_sub(exchange, batch, item)
            buffer.put(self._to_sub_reply(batch, item, served))
        finally:
            self._forget(exchange, item.number)

    async def _serve_sub(
        self, exchange: Exchange, batch: SubBatch, item: SubRequest
    ) -> Served:
        deadline = self.now() + item.budget_s
        station = self.replicas.find(item.replica)
        if station is None:
            return Served(Error(Failure(Kind.NOT_OWNER, item.replica)), 0.0)

        def started(attempt: Attempt) -> None:
            running = self._running[exchange][item.number]
            running.station = station
            running.attempt = attempt

        profile = self._find_profile(batch.profile)
        bound = DEFAULT_QUEUE_BOUND if profile is None else profile.queue_bound
        ask = SearchAsk(batch.index, batch.version, item.shard, batch.query)
        return await self.replicas.search(station, ask, deadline, bound, started)

    def _to_sub_reply(
        self, batch: SubBatch, item: SubRequest, served: Served
    ) -> SubReply:
        station = self.replicas.find(item.replica)
        load = LOAD_HINT_NONE if station is None else station.gate.load
        limit = LOAD_HINT_NONE if station is None else station.gate.limit
        result = served.result
        if result.is_ok() and not _is_asked_for(batch, item, result.ok):
            self.metrics.count("crossed_answers")
            result = Error(Failure(Kind.UPSTREAM_FAILED, "another answer came back"))
        if result.is_error():
            failure = result.error
            kind, detail = failure.kind.value, failure.detail
            return SubReply(
                item.number,
                kind,
                detail,
                item.shard,
                0,
                (),
                load,
                limit,
                served.service_s,
            )
        part = result.ok
        return SubReply(
            item.number,
            "",
            "",
            part.shard,
            part.version,
            part.to_hits(),
            load,
            limit,
            served.service_s,
        )

    def _forget(self, exchange: Exchange, number: int) -> None:
        running = self._running[exchange]
        del running[number]
        if not running:
            del self._running[exchange]

    def _cancel(self, exchange: Exchange, cancel: Cancel) -> None:
        running = self._running.get(exchange, {})
        for number in cancel.numbers:
            item = running.get(number)
            if item is None:
                continue
            self.metrics.count("cancelled")
            if item.attempt is None:
                item.task.cancel()
            else:
                start_task(item.station.client.cancel(item.attempt.name))

    def _find_profile(self, name: str) -> Profile | None:
        config = self.view.config
        return None if config is None else config.profiles.get(name)

    def _issue(self, ask: TicketAsk) -> Result[str, Failure]:
        station = self._choose_station(ask.profile)
        if station.is_error():
            return station
        return self.tickets.issue(ask.profile)

    def _choose_station(self, profile_name: str) -> Result[Station, Failure]:
        profile, directory = self._find_profile(profile_name), self.view.directory
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

    def _spawn_booking(self, work, reply: Reply) -> None:
        async def run() -> None:
            reply(_to_reply(await work))

        task = start_task(run())
        self._bookings.add(task)
        task.add_done_callback(self._bookings.discard)

    async def _book(self, book: Book) -> Result[str, Failure]:
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
            task = start_task(self._run_booking(ticket, book))
            self._bookings.add(task)
            task.add_done_callback(self._bookings.discard)
        return await asyncio.shield(ticket.outcome)

    async def _run_booking(self, ticket: Ticket, book: Book) -> None:
        outcome: Result[str, Failure] = Error(Failure(Kind.OUTCOME_UNKNOWN))
        try:
            outcome = await self._send_booking(book)
        finally:
            self.tickets.finish(ticket, outcome)

    async def _send_booking(self, book: Book) -> Result[str, Failure]:
        deadline = self.now() + book.budget_s
        chosen = self._choose_station(book.profile)
        if chosen.is_error():
            return chosen
        station = chosen.ok
        profile = self._find_profile(book.profile)
        bound = DEFAULT_QUEUE_BOUND if profile is None else profile.queue_bound
        self.log.decide("book", station.name, "least loaded here", book.request_id)
        ask = BookAsk(book.ticket, book.payload)
        served = await self.replicas.book(station, ask, deadline, bound)
        if served.result.is_error():
            return served.result
        return Ok(served.result.ok.confirmation)

    async def _tell_outcome(self, ask: OutcomeAsk) -> Result[str, Failure]:
        found = self.tickets.find(ask.ticket)
        if found.is_error():
            return found
        ticket = found.ok
        if ticket.outcome is None:
            return Error(Failure(Kind.NOT_FOUND, "the ticket was not used yet"))
        if not ticket.outcome.done():
            return Error(Failure(Kind.OUTCOME_UNKNOWN, "it is being run"))
        return ticket.outcome.result()


def _is_asked_for(batch: SubBatch, item: SubRequest, part) -> bool:
    return part.version == batch.version and part.shard == item.shard


def _to_reply(result: Result[str, Failure]) -> BookingReply:
    if result.is_ok():
        return BookingReply("", "", result.ok)
    return BookingReply(result.error.kind.value, result.error.detail, "")


async def run_dispatch(settings: ProcessSettings) -> int:
    """Run a dispatch process until it is told to stop.

    Returns
    -------
    int
        Exit code.
    """
    configure_logs()
    timers = TimerService()
    dispatch = Dispatch(settings, timers.now)
    timers.subscribe(UPKEEP_PERIOD_S, dispatch.on_tick)
    timers.subscribe_jump(dispatch.on_jump)
    ticking = start_task(timers.run())

    def respond(path: str) -> HttpAnswer | None:
        return answer_operator(path, dispatch)

    server = await serve_links(settings.host, settings.port, dispatch.handle, respond)
    dispatch.synchroniser.start()
    dispatch.log.decide("start", settings.vm, f"listening on {settings.listen}")
    signal_name = await wait_for_stop()
    await dispatch.drain()
    dispatch.log.decide("stop", settings.vm, signal_name)
    await dispatch.synchroniser.stop()
    server.close()
    await server.wait_closed()
    await dispatch.replicas.close()
    await dispatch.links.stop()
    await dispatch.platform.close()
    ticking.cancel()
    return 0


def serve(settings: str):
    """Serve as a dispatch process.

    Parameters
    ----------
    settings : str
        Path of the settings file.
    """
    return lambda: run_dispatch(read_settings(str(settings)))


def main() -> None:
    """Run the binary."""
    run_binary("anvilhoist-dispatch", serve)


if __name__ == "__main__":
    main()
