"""Serve callers: put the parts together, and stop without cutting anyone short."""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import structlog
from msgspec.structs import replace

from .. import __version__
from ..clock import TimerService, read_boottime
from ..directory import AddressDirectory
from ..errors import SettingsError
from ..forward.context import Context
from ..forward.handler import Forwarder
from ..http.messages import Request, Response
from ..http.server import CHECK_INTERVAL_S, ConnectionLimits, HttpServer
from ..logs import configure_logs
from ..metrics import Metrics
from ..peers.exchange import answer_peer
from ..peers.heartbeats import HEARTBEAT_PERIOD_S, HeartbeatEndpoint
from ..peers.members import Members
from ..peers.messages import Heartbeat, VmState
from ..peers.reading import RELAY_INDEXES, PeerReader
from ..peers.relays import STORE_READERS
from ..platform.edge import (
    encode_addresses,
    encode_error_response,
    is_readiness_request,
    parse_resolve_request,
)
from ..platform.store import StoreClient
from ..tasks import cancel_tasks, start_critical_task
from ..upstreams.budget import RetryBudget, RetryBudgetLimits
from ..upstreams.latency import RouteLatencies
from ..upstreams.registry import ReplicaRegistry
from ..world.follow import StoreFollower
from ..world.model import Service
from ..world.view import View
from .report import answer_operators, log_summary, watch_gauges
from .settings import FrontSettings, read_front_settings
from .stopping import plan_shutdown

if TYPE_CHECKING:
    from ..searches.serve import SearchServer

ADDRESS_KEEP_S = 1.0  # s; callers hear of a leaving VM within three times this
LOG_FLUSH_S = 0.2  # s between two writes of the log
SETTINGS_CHECK_S = 2.0  # s; the file may change without a signal
SUMMARY_S = 5.0  # s between two lines that sum up the process's state


@dataclass(slots=True)
class Front:
    """The process's parts.

    Parameters
    ----------
    settings : FrontSettings
        Settings in force.
    """

    settings: FrontSettings
    path: str | None = None
    state: VmState = VmState.STARTING
    incarnation: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    timers: TimerService = field(default_factory=TimerService)
    members: Members = field(init=False)
    view: View = field(init=False)
    replicas: ReplicaRegistry = field(init=False)
    peers: PeerReader = field(init=False)
    context: Context = field(init=False)
    forwarder: Forwarder = field(init=False)
    callers: HttpServer = field(init=False)
    _others: list[HttpServer] = field(default_factory=list)
    _heartbeats: HeartbeatEndpoint = field(init=False)
    _directory: AddressDirectory = field(init=False)
    store: StoreClient = field(init=False)
    _searches: SearchServer | None = None
    _beat: int = 0
    _refused: str = ""

    def __post_init__(self):
        settings = self.settings
        now = read_boottime
        self.members = Members(
            settings.host, settings.seed_hosts, now, settings.data_centre
        )
        self.replicas = ReplicaRegistry(
            now, self._find_service, self._count_vms, self.members.ranks_first_for
        )
        self.view = View(now, self.replicas.update, self._become_ready)
        bounds = settings.bounds
        limits = RetryBudgetLimits(
            bounds.retry_ratio, bounds.retry_allowance, bounds.retry_window_s
        )
        self.context = Context(
            now,
            settings.data_centre,
            self.view,
            self.replicas,
            RetryBudget(limits, self._count_vms),
            RouteLatencies(),
            Metrics(settings.vm, "front"),
            settings.data_centres,
        )
        self.peers = PeerReader(self.members, self.view)
        self.forwarder = Forwarder(self.context)
        self.callers = HttpServer("callers", self.forwarder.handle, self._read_limits)
        self._heartbeats = HeartbeatEndpoint(
            self.members, settings.peers_port, self.describe, self.context.random
        )
        self._directory = AddressDirectory(self.members, self.context.random)
        self.store = StoreClient(settings.store)

    @property
    def requests_in_flight(self) -> int:
        """Requests that have been read and are not yet answered."""
        searches = (
            self._searches.requests_in_flight if self._searches is not None else 0
        )
        return self.callers.requests_in_flight + searches

    async def start(self) -> list[asyncio.Task]:
        """Listen, and start to follow the store.

        Returns
        -------
        list of asyncio.Task
            Tasks that run until the end.
        """
        settings = self.settings
        listen = settings.listen
        await self._heartbeats.listen(settings.host)
        await self._listen("peers", listen.peers, self._answer_peer)
        await self._listen("readiness", listen.readiness, self._answer_readiness)
        if listen.directory is not None:
            await self._listen("directory", listen.directory, self._answer_directory)
        await self._listen(
            "metrics",
            f"{settings.host}:{settings.metrics_port}",
            partial(answer_operators, self),
        )
        await self.callers.listen(listen.callers)
        if listen.searches is not None:
            self._searches = await open_searches(self, listen.searches)
        follower = StoreFollower(
            self.view,
            self.store,
            self.peers.fetch_newer,
            read_boottime,
            self._count_readers,
            lambda: self.peers.reads_store,
        )
        self._subscribe()
        watch_gauges(self)
        tasks = [
            start_critical_task(self.peers.follow_relay(index))
            for index in RELAY_INDEXES
        ]
        return [
            *tasks,
            start_critical_task(follower.run()),
            start_critical_task(self.timers.run()),
        ]

    def reload(self, now: float = 0.0) -> None:
        """Read the settings file again, and take over what can change.

        A file that is not valid, or can't be in force without a restart, changes
        nothing.
        """
        log = structlog.get_logger()
        try:
            found = read_front_settings(self.path)
        except SettingsError as error:
            if str(error) != self._refused:
                self._refused = str(error)
                log.error("settings_refused", problem=self._refused, kept="the last")
            return
        if found == self.settings:
            return
        if found.listen != self.settings.listen or found.host != self.settings.host:
            log.warning("settings_wait", why="addresses change only with a restart")
        self.members.seeds = found.seed_hosts
        self.context.region_by_data_centre = found.data_centres
        self.settings = replace(
            found, listen=self.settings.listen, host=self.settings.host
        )
        log.info("settings_in_force", seeds=found.seeds)

    async def stop(self) -> None:
        """Answer what has been read, send callers elsewhere, and end."""
        self.state = VmState.LEAVING
        self.callers.drain()
        self._heartbeats.send()
        plan = plan_shutdown(
            read_boottime(), self.settings.bounds.stop_s, ADDRESS_KEEP_S
        )
        while not plan.may_exit(read_boottime(), self.requests_in_flight):
            await asyncio.sleep(0.05)
            if plan.should_close_idle(read_boottime()):
                self.callers.close_idle()
            if plan.should_stop_listening(read_boottime()):
                self.callers.stop_listening()
        self.callers.stop_listening()
        self.callers.close_idle()
        if self._searches is not None:
            await self._searches.close()
        self._heartbeats.send()
        await asyncio.sleep(0.05)

    def _subscribe(self) -> None:
        timers = self.timers
        timers.subscribe(HEARTBEAT_PERIOD_S, self._heartbeats.send)
        timers.subscribe(HEARTBEAT_PERIOD_S, self.members.expire_silent)
        timers.subscribe(HEARTBEAT_PERIOD_S, self.peers.update_relays)
        timers.subscribe(CHECK_INTERVAL_S, self.replicas.check)
        timers.subscribe(CHECK_INTERVAL_S, self.view.drop_missing)
        for server in (self.callers, *self._others):
            timers.subscribe(CHECK_INTERVAL_S, server.enforce_timeouts)
        timers.subscribe(SETTINGS_CHECK_S, self.reload)
        timers.subscribe(SUMMARY_S, partial(log_summary, self))

    def _become_ready(self) -> None:
        if self.state is VmState.STARTING:
            self.state = VmState.READY
            self._heartbeats.send()
            structlog.get_logger().info(
                "ready", version=self.view.configuration.version
            )

    async def _listen(self, name: str, address: str, handle) -> None:
        server = HttpServer(name, handle)
        await server.listen(address)
        self._others.append(server)

    async def _answer_peer(self, request: Request) -> Response:
        if self._searches is not None:
            response = await self._searches.handle_peer_request(request)
            if response is not None:
                return response
        return await answer_peer(self.view, request)

    async def _answer_readiness(self, request: Request) -> Response:
        if not is_readiness_request(request):
            return Response(404)
        return Response(200 if self.state is VmState.READY else 503)

    async def _answer_directory(self, request: Request) -> Response:
        place = parse_resolve_request(request)
        if place is None:
            return Response(404)
        addresses = self._directory.list_addresses(self.describe(), *place)
        if not addresses:
            return encode_error_response(503, ADDRESS_KEEP_S)
        keep_s = min(ADDRESS_KEEP_S, self.settings.bounds.address_keep_s)
        return encode_addresses(addresses, keep_s)

    def describe(self, asks: bool = False) -> Heartbeat:
        """Describe this VM for others."""
        self._beat += 1
        settings = self.settings
        return Heartbeat(
            settings.vm,
            self.incarnation,
            self._beat,
            settings.host,
            settings.listen.callers,
            settings.listen.peers,
            settings.data_centre,
            settings.region,
            self.state,
            self.view.revision,
            self.members.sample_liveness_ages(self.context.random),
            asks,
        )

    def _find_service(self, name: str) -> Service | None:
        configuration = self.view.configuration
        return configuration.services.get(name) if configuration else None

    def _count_vms(self) -> int:
        return self.members.peak_fleet_size

    def _count_readers(self) -> int:
        places = max(1, len(self.settings.data_centres))
        return min(self.members.peak_fleet_size, STORE_READERS * places)

    def _read_limits(self) -> ConnectionLimits:
        configuration = self.view.configuration
        return configuration.limits if configuration else ConnectionLimits()


async def open_searches(front: Front, address: str) -> SearchServer:
    """Serve the tier's own interface as well, where the settings ask for it."""
    # Only here: its libraries would double the time of a start.
    from ..searches.api import SearchApi
    from ..searches.serve import SearchServer
    from ..searches.tickets import TicketRegistry

    tickets = TicketRegistry(front.settings.vm, front.incarnation, read_boottime)
    port = int(address.rpartition(":")[2])
    api = SearchApi(
        front.forwarder, front.members, front.describe, tickets, port, ADDRESS_KEEP_S
    )
    front.timers.subscribe(SUMMARY_S, tickets.evict_expired)
    server = SearchServer(api)
    await server.listen(address)
    return server


async def serve(settings: FrontSettings, path: str | None) -> int:
    """Serve until SIGTERM.

    Returns
    -------
    int
        Exit code.
    """
    buffer = configure_logs(settings.vm)
    log = structlog.get_logger()
    log.info("start", version=__version__, host=settings.host)
    front = Front(settings, path)
    front.timers.subscribe(LOG_FLUSH_S, buffer.flush)
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    loop.add_signal_handler(signal.SIGINT, stopped.set)
    loop.add_signal_handler(signal.SIGHUP, front.reload)
    tasks = await front.start()
    await stopped.wait()
    log.info("stop_begins", requests=front.requests_in_flight)
    await front.stop()
    await cancel_tasks(tasks)
    log.info("stop", requests=front.requests_in_flight)
    buffer.flush()
    return 0
