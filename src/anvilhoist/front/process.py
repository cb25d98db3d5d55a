"""Build the front process from its parts, run it, and shut it down gracefully."""

from __future__ import annotations

import asyncio
import signal
import time
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

import structlog

from .. import __version__
from ..clock import TimerService, read_boottime
from ..directory import AddressDirectory
from ..forward.context import Context
from ..forward.handler import Forwarder
from ..http.client_budget import ClientBudget
from ..http.limits import ConnectionLimits
from ..http.messages import Request, Response
from ..http.server import CHECK_INTERVAL_S, HttpServer
from ..logs import configure_logs
from ..metrics import Metrics
from ..peers.exchange import answer_peer
from ..peers.heartbeats import HEARTBEAT_PERIOD_S, HeartbeatEndpoint
from ..peers.limits import apply_limit_reports, collect_limit_reports
from ..peers.members import Members
from ..peers.messages import Heartbeat, VmState
from ..peers.reading import RELAY_INDEXES, PeerReader
from ..peers.relays import STORE_READERS
from ..peers.senders import SenderOrder
from ..peers.suspects import apply_suspect_reports, collect_suspect_reports
from ..platform.edge import (
    encode_addresses,
    encode_error_response,
    is_readiness_request,
    parse_resolve_request,
)
from ..platform.store import StoreClient
from ..tasks import cancel_tasks, start_supervised_task
from ..upstreams.budget import RetryBudget
from ..upstreams.latency import RouteLatencies
from ..upstreams.registry import ReplicaRegistry
from ..world.era import get_era, get_store_revision
from ..world.follow import StoreFollower
from ..world.model import Service
from ..world.view import View
from .json_interface import start_api_server
from .limits import make_budget_limits, make_client_limits
from .reload import SettingsReloader
from .report import answer_operators, log_summary, register_gauges
from .settings import FrontSettings
from .stopping import ShutdownPlan, plan_shutdown

if TYPE_CHECKING:
    from ..searches.serve import SearchServer

# Longest time for which callers are told to keep an address. They learn within three
# times this (`ADDRESS_KEEP_FACTOR`) that a VM is leaving.
ADDRESS_KEEP_S = 1.0
LOG_FLUSH_INTERVAL_S = 0.2
SETTINGS_CHECK_INTERVAL_S = 2.0  # the settings file may change without a SIGHUP
STOP_CHECK_INTERVAL_S = 0.05  # between two checks of a graceful shutdown
SUMMARY_INTERVAL_S = 5.0  # between log summaries, and evictions of expired tickets


@dataclass(slots=True)
class Front:
    """Parts of the front process.

    Parameters
    ----------
    settings : FrontSettings
        Settings in force.
    """

    settings: FrontSettings
    state: VmState = VmState.STARTING
    incarnation: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    timers: TimerService = field(default_factory=TimerService)
    members: Members = field(init=False)
    view: View = field(init=False)
    replicas: ReplicaRegistry = field(init=False)
    peer_reader: PeerReader = field(init=False)
    client_budget: ClientBudget = field(init=False)
    context: Context = field(init=False)
    forwarder: Forwarder = field(init=False)
    caller_server: HttpServer = field(init=False)
    _other_servers: list[HttpServer] = field(default_factory=list)
    _heartbeat_endpoint: HeartbeatEndpoint = field(init=False)
    _directory: AddressDirectory = field(init=False)
    store_client: StoreClient = field(init=False)
    _api_server: SearchServer | None = None
    _heartbeat_count: int = 0

    def __post_init__(self):
        settings = self.settings
        now = read_boottime
        self.members = Members(
            settings.host, settings.seed_hosts, now, settings.data_centre
        )
        self.replicas = ReplicaRegistry(
            now,
            self._find_service,
            self._count_vms,
            self.members.ranks_first_for,
            SenderOrder(self.members).rank,
        )
        self.view = View(now, self.replicas.update, self._mark_ready)
        self.client_budget = ClientBudget(make_client_limits(settings.limits), now)
        self.context = Context(
            now,
            settings.data_centre,
            self.view,
            self.replicas,
            RetryBudget(make_budget_limits(settings.bounds), self._count_vms, now()),
            RouteLatencies(),
            Metrics(settings.vm, "front"),
            settings.data_centres,
            client_budget=self.client_budget,
        )
        self.peer_reader = PeerReader(self.members, self.view)
        self.forwarder = Forwarder(self.context)
        self.caller_server = HttpServer(
            "callers", self.forwarder.handle, self._read_limits, self.client_budget
        )
        self._heartbeat_endpoint = HeartbeatEndpoint(
            self.members,
            settings.peers_port,
            self.make_heartbeat,
            self.context.random,
            self._apply_reports,
        )
        self.context.suspects.on_worse = self._heartbeat_endpoint.send
        self._directory = AddressDirectory(self.members, self.context.random)
        self.store_client = StoreClient(settings.store)

    @property
    def requests_in_flight(self) -> int:
        """Requests that have been read and are not yet answered."""
        return self.caller_server.requests_in_flight + self._searches_in_flight

    @property
    def unfinished_requests(self) -> int:
        """Connections and searches with requests being read or not yet answered."""
        return self.caller_server.busy_connections + self._searches_in_flight

    @property
    def _searches_in_flight(self) -> int:
        return self._api_server.requests_in_flight if self._api_server else 0

    async def start(self) -> list[asyncio.Task]:
        """Start to listen, to follow the store and to run the timers.

        Returns
        -------
        list of asyncio.Task
            Tasks that run until they are cancelled.
        """
        settings = self.settings
        listen = settings.listen
        await self._heartbeat_endpoint.listen(settings.host)
        await self._listen("peers", listen.peers, self._answer_peer)
        await self._listen("readiness", listen.readiness, self._answer_readiness)
        if listen.directory is not None:
            await self._listen("directory", listen.directory, self._answer_directory)
        await self._listen(
            "metrics",
            f"{settings.host}:{settings.metrics_port}",
            partial(answer_operators, self),
        )
        await self.caller_server.listen(listen.callers)
        if listen.searches is not None:
            self._api_server = await start_api_server(
                self, listen.searches, ADDRESS_KEEP_S, SUMMARY_INTERVAL_S
            )
        follower = StoreFollower(
            self.view,
            self.store_client,
            self.peer_reader.fetch_newer,
            read_boottime,
            self._count_readers,
            lambda: self.peer_reader.reads_store,
            self.store_client.probe,
        )
        self._subscribe_timers()
        register_gauges(self)
        relay_tasks = [
            start_supervised_task(
                "relay", partial(self.peer_reader.follow_relay, index)
            )
            for index in RELAY_INDEXES
        ]
        return [
            *relay_tasks,
            start_supervised_task("store", follower.run),
            start_supervised_task("timers", self.timers.run),
        ]

    def apply_settings(self, settings: FrontSettings) -> None:
        """Apply settings that were read again."""
        self.settings = settings
        self.members.seeds = settings.seed_hosts
        self.context.region_by_data_centre = settings.data_centres
        self.context.budget.limits = make_budget_limits(settings.bounds)
        self.client_budget.limits = make_client_limits(settings.limits)

    async def stop(self) -> None:
        """Shut down gracefully: complete requests while callers move to other VMs."""
        self.state = VmState.LEAVING
        self.caller_server.drain()
        self._heartbeat_endpoint.send()
        plan = plan_shutdown(
            read_boottime(), self.settings.bounds.stop_s, ADDRESS_KEEP_S
        )
        self.context.serves_until = plan.exit_at
        await self._serve_until_exit(plan)
        self.caller_server.stop_listening()
        # Requests that were accepted last are still answered.
        await asyncio.sleep(STOP_CHECK_INTERVAL_S)
        await self._serve_until_exit(plan)
        self.caller_server.close_idle()
        self.caller_server.abandon_requests()
        if self._api_server is not None:
            await self._api_server.close()
        self._heartbeat_endpoint.send()
        await asyncio.sleep(STOP_CHECK_INTERVAL_S)

    async def _serve_until_exit(self, plan: ShutdownPlan) -> None:
        while not plan.may_exit(read_boottime(), self.unfinished_requests):
            await asyncio.sleep(STOP_CHECK_INTERVAL_S)
            if plan.should_close_idle(read_boottime()):
                self.caller_server.close_idle()
            if plan.should_stop_listening(read_boottime()):
                self.caller_server.stop_listening()

    def _subscribe_timers(self) -> None:
        timers = self.timers
        timers.subscribe(HEARTBEAT_PERIOD_S, self._heartbeat_endpoint.send)
        timers.subscribe(HEARTBEAT_PERIOD_S, self.members.expire_silent)
        timers.subscribe(HEARTBEAT_PERIOD_S, self.peer_reader.update_relays)
        timers.subscribe(CHECK_INTERVAL_S, self.replicas.maintain)
        timers.subscribe(CHECK_INTERVAL_S, self.view.drop_missing)
        for server in (self.caller_server, *self._other_servers):
            timers.subscribe(CHECK_INTERVAL_S, server.enforce_timeouts)
        timers.subscribe(SUMMARY_INTERVAL_S, partial(log_summary, self))
        timers.subscribe(SUMMARY_INTERVAL_S, self.context.suspects.expire)

    def _mark_ready(self) -> None:
        if self.state is VmState.STARTING:
            self.state = VmState.READY
            self._heartbeat_endpoint.send()
            structlog.get_logger().info(
                "ready", version=self.view.configuration.version
            )

    async def _listen(self, name: str, address: str, handle) -> None:
        server = HttpServer(name, handle, budget=self.client_budget)
        await server.listen(address)
        self._other_servers.append(server)

    async def _answer_peer(self, request: Request) -> Response:
        if self._api_server is not None:
            response = await self._api_server.handle_peer_request(request)
            if response is not None:
                return response
        return await answer_peer(self.view, request)

    async def _answer_readiness(self, request: Request) -> Response:
        if not is_readiness_request(request):
            return Response(404)
        return Response(200 if self.state is VmState.READY else 503)

    async def _answer_directory(self, request: Request) -> Response:
        location = parse_resolve_request(request)
        if location is None:
            return Response(404)
        addresses = self._directory.list_addresses(self.make_heartbeat(), *location)
        if not addresses:
            return encode_error_response(503, ADDRESS_KEEP_S)
        keep_s = min(ADDRESS_KEEP_S, self.settings.bounds.address_keep_s)
        return encode_addresses(addresses, keep_s)

    def make_heartbeat(self, asks: bool = False) -> Heartbeat:
        """Return this VM's next heartbeat; `asks` requests one in return."""
        self._heartbeat_count += 1
        settings = self.settings
        return Heartbeat(
            settings.vm,
            self.incarnation,
            self._heartbeat_count,
            settings.host,
            settings.listen.callers,
            settings.listen.peers,
            settings.data_centre,
            settings.region,
            self.state,
            get_store_revision(self.view.revision),
            self.members.sample_liveness_ages(self.context.random),
            asks,
            collect_limit_reports(self.replicas, read_boottime(), self.context.random),
            collect_suspect_reports(self.context.suspects, read_boottime()),
            get_era(self.view.revision),
        )

    def _apply_reports(self, heartbeat: Heartbeat) -> None:
        now = read_boottime()
        apply_limit_reports(self.replicas, heartbeat.limits, now)
        apply_suspect_reports(self.context.suspects, heartbeat.suspects, now)

    def _find_service(self, name: str) -> Service | None:
        configuration = self.view.configuration
        return configuration.services.get(name) if configuration else None

    def _count_vms(self) -> int:
        return self.members.peak_fleet_size

    def _count_readers(self) -> int:
        data_centre_count = max(1, len(self.settings.data_centres))
        return min(self.members.peak_fleet_size, STORE_READERS * data_centre_count)

    def _read_limits(self) -> ConnectionLimits:
        configuration = self.view.configuration
        return configuration.limits if configuration else ConnectionLimits()


async def serve(settings: FrontSettings, settings_path: str | None) -> int:
    """Run the front process until SIGTERM or SIGINT, and return its exit code."""
    log_buffer = configure_logs(settings.vm)
    log = structlog.get_logger()
    log.info("start", version=__version__, host=settings.host)
    front = Front(settings)
    reloader = SettingsReloader(settings_path, settings, front.apply_settings)
    front.timers.subscribe(SETTINGS_CHECK_INTERVAL_S, reloader.reload)
    front.timers.subscribe(LOG_FLUSH_INTERVAL_S, log_buffer.flush)
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stop_requested.set)
    loop.add_signal_handler(signal.SIGINT, stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    tasks = await front.start()
    await stop_requested.wait()
    log.info("stop_begins", requests=front.requests_in_flight)
    await front.stop()
    await cancel_tasks(tasks)
    log.info("stop", requests=front.requests_in_flight)
    log_buffer.flush()
    return 0
