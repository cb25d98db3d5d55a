"""The dispatch binary: owns replicas and does all work on them.

It answers its peers, runs sub-requests for entry processes, and keeps tickets
and outcomes of bookings.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable
from dataclasses import dataclass, field

from expression import Result
from websockets.asyncio.server import Server

from ..clock import TimerService
from ..errors import Failure
from ..process import run_binary
from ..settings import ProcessSettings, read_settings
from ..tasks import start_task
from .bookings import Bookings
from .documents import DEADLINE_MAX_MS
from .link import HttpAnswer, Reply, serve_links
from .messages import (
    Book,
    BookingReply,
    Cancel,
    Frame,
    OutcomeAsk,
    SubBatch,
    Sync,
    SyncReply,
    TicketAsk,
)
from .node import Node, run_node
from .operations import ReplicaState, answer_operator
from .ownership import Ownership
from .replicas import Replicas
from .subrequests import SubRequests
from .tickets import TicketBook

HANDOVER_LIMIT_S = 5.0
URGENT_WAIT_S = 2.0
DRAIN_POLL_S = 0.05
UPKEEP_PERIOD_S = 0.1


@dataclass(slots=True)
class Dispatch(Node):
    """State of one dispatch process."""

    role = "dispatch"
    watches_platform = True

    ownership: Ownership = field(init=False)
    replicas: Replicas = field(init=False)
    tickets: TicketBook = field(init=False)
    subrequests: SubRequests = field(init=False)
    bookings: Bookings = field(init=False)

    def __post_init__(self):
        Node.__post_init__(self)
        settings, now, incarnation = self.settings, self.now, self.links.incarnation
        self.ownership = Ownership(
            settings.vm, self.view, self.membership, now, self._tell_placement
        )
        self.replicas = Replicas(
            settings.data_centre,
            f"{settings.vm}-{incarnation:x}",
            self.view,
            self.membership,
            self.ownership,
            self.log,
            self.metrics,
            now,
        )
        self.tickets = TicketBook(settings.vm, incarnation, now)
        self.subrequests = SubRequests(self.replicas, self.metrics, now)
        self.bookings = Bookings(self.tickets, self.replicas, self.view, self.log, now)
        self.view.listen(self._on_document)
        self.metrics.watch("upstream_work", lambda: float(self.replicas.at_work))
        self.metrics.watch("upstream_bound", lambda: float(self.replicas.bound))

    def handle(self, frame: Frame, reply: Reply) -> None:
        """Take one message of a peer."""
        body, exchange = frame.body, (frame.incarnation, frame.number)
        match body:
            case Sync():
                reply(self._answer_sync(body))
            case SubBatch():
                self.subrequests.start(exchange, body, reply)
            case Cancel():
                self.subrequests.cancel(exchange, body)
            case TicketAsk():
                reply(_to_reply(self.bookings.issue(body)))
            case Book():
                start_task(_reply_to(self.bookings.book(body), reply))
            case OutcomeAsk():
                start_task(_reply_to(self.bookings.tell_outcome(body), reply))

    def on_tick(self, now: float) -> None:
        """Regular upkeep."""
        self.ownership.settle(now)
        self.replicas.tick(now)
        self.tickets.forget_old(now)

    def is_urgent(self) -> bool:
        """Whether replicas are waited for that may be handed over soon."""
        return self.ownership.has_young_wait(URGENT_WAIT_S)

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
        until = self.now() + HANDOVER_LIMIT_S
        while self._has_to_hand_over() and self.now() < until:
            await asyncio.sleep(DRAIN_POLL_S)
        self.replicas.stopping = True
        until = self.now() + DEADLINE_MAX_MS / 1000
        while self._is_busy() and self.now() < until:
            await asyncio.sleep(DRAIN_POLL_S)

    async def close(self) -> None:
        """Close links and connections."""
        await self.replicas.close()
        await Node.close(self)

    def _has_to_hand_over(self) -> bool:
        """Whether replicas are here that another live VM can take."""
        vms = self.view.vms
        if vms is None or not (self.ownership.held or self.ownership.lingering):
            return False
        others = (vm for name, vm in vms.vms.items() if name != self.settings.vm)
        return any(vm.state == "live" for vm in others)

    def _is_busy(self) -> bool:
        return self.subrequests.is_busy or self.bookings.in_progress > 0

    def _answer_sync(self, sync: Sync) -> SyncReply:
        given = self.ownership.hand_over(sync, self.replicas.count_at_work)
        handed = tuple(self.replicas.describe_handed(name) for name in given)
        return self.synchroniser.answer(sync, handed, self.membership.is_current())

    def take_sync_reply(self, reply: SyncReply) -> None:
        """Take replicas that a peer hands over."""
        taken = self.ownership.take_over(reply)
        self.replicas.adopt(
            tuple(item for item in reply.handed if item.replica in taken)
        )

    def _on_document(self, _key: str) -> None:
        self.ownership.refresh()
        self.replicas.refresh()

    def _tell_placement(self, replica: str, event: str, reason: str) -> None:
        self.log.decide(event, replica, reason)


def _to_reply(result: Result[str, Failure]) -> BookingReply:
    if result.is_ok():
        return BookingReply("", "", result.ok)
    return BookingReply(result.error.kind.value, result.error.detail, "")


async def _reply_to(work: Awaitable[Result[str, Failure]], reply: Reply) -> None:
    reply(_to_reply(await work))


async def run_dispatch(settings: ProcessSettings) -> int:
    """Run a dispatch process until it is told to stop.

    Returns
    -------
    int
        Exit code.
    """
    timers = TimerService()
    dispatch = Dispatch(settings, timers.now)
    timers.subscribe(UPKEEP_PERIOD_S, dispatch.on_tick)

    def respond(path: str) -> HttpAnswer | None:
        return answer_operator(path, dispatch)

    async def open_server() -> Server:
        host, port, traffic = settings.host, settings.port, dispatch.links.traffic
        return await serve_links(host, port, dispatch.handle, respond, traffic)

    return await run_node(dispatch, timers, open_server)


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
