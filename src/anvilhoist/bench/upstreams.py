"""Stand-in of upstreams: many replicas in one process, each on its own port.

It counts what reaches each replica against what that replica can bear, and so
is the witness of every run.
"""

from __future__ import annotations

import asyncio
import json
import weakref
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated

import numpy as np
from aiohttp import web
from pydantic import Field

from ..clock import read_boottime
from ..process import run_binary, wait_for_stop
from ..settings import BORDER, Name, parse_toml

BACKLOG = 256
ARRIVALS_LIMIT = 400_000


@dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """One replica.

    Attributes
    ----------
    cold_ms : int
        Length of a cold start.
    setup_ms : float
        Time that a new connection takes, in milliseconds.
    """

    __pydantic_config__ = BORDER

    port: int
    slots: int
    cold_slots: int
    cold_ms: int
    setup_ms: float
    connections: int


@dataclass(frozen=True, slots=True)
class UpstreamSettings:
    """All replicas of one process, in one data centre.

    Attributes
    ----------
    one_way_ms : float
        Delay to callers in other data centres, one way, in milliseconds.
    service_ms, spread : float
        Median and log-normal spread of the time to answer.
    straggler_share, straggler_factor : float
        Share of late answers and how many times later they are.
    """

    __pydantic_config__ = BORDER

    data_centre: Name
    admin_port: int
    replicas: dict[str, ReplicaSettings]
    one_way_ms: float = 1.0
    service_ms: Annotated[float, Field(gt=0)] = 4.0
    spread: Annotated[float, Field(ge=0)] = 0.15
    straggler_share: Annotated[float, Field(ge=0, le=1)] = 0.0
    straggler_factor: Annotated[float, Field(ge=1)] = 20.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Arrival:
    """Work that reached a replica.

    Attributes
    ----------
    at_s : float
        Clock reading, comparable among processes of one machine.
    at_work, bound : int
        Work in the replica with this one, and what it could bear.
    """

    at_s: float
    replica: str
    data_centre: str
    kind: str
    attempt: str
    subject: str
    at_work: int
    bound: int
    cold: bool


@dataclass(slots=True)
class ReplicaState:
    """State of one replica."""

    name: str
    settings: ReplicaSettings
    run: int = 1
    cold_until: float = 0.0
    at_work: int = 0
    peak: int = 0
    over_bound: int = 0
    received: int = 0
    lies: bool = False
    is_listening: bool = True
    connections_peak: int = 0
    connections_made: int = 0
    gone_versions: set[int] = field(default_factory=set)
    connections: weakref.WeakSet = field(default_factory=weakref.WeakSet)
    site: web.TCPSite | None = None

    @property
    def is_cold(self) -> bool:
        """Whether the replica is in cold start."""
        return read_boottime() < self.cold_until

    @property
    def bound(self) -> int:
        """Most work that the replica can bear now."""
        return self.settings.cold_slots if self.is_cold else self.settings.slots

    def restart(self, quiet: bool) -> None:
        """Fall back into cold start; if `quiet`, without a sign of it."""
        self.cold_until = read_boottime() + self.settings.cold_ms / 1000
        self.lies = quiet
        if quiet:
            return
        self.run += 1
        self.at_work = 0
        for transport in list(self.connections):
            transport.abort()


@dataclass(slots=True)
class Upstreams:
    """All replicas of one process."""

    settings: UpstreamSettings
    replicas: dict[int, ReplicaState] = field(default_factory=dict)
    arrivals: list[Arrival] = field(default_factory=list)
    attempts: dict[str, asyncio.Event] = field(default_factory=dict)
    bookings: dict[str, int] = field(default_factory=dict)
    service_factor: float = 1.0
    straggler_share: float = 0.0
    lose_answers: bool = False
    random: np.random.Generator = field(init=False)
    runner: web.AppRunner | None = None

    def __post_init__(self):
        self.random = np.random.default_rng(self.settings.seed)
        self.straggler_share = self.settings.straggler_share
        for name, settings in self.settings.replicas.items():
            self.replicas[settings.port] = ReplicaState(name, settings)

    def find(self, request: web.Request) -> ReplicaState:
        """Replica that a request was sent to."""
        port = request.transport.get_extra_info("sockname")[1]
        return self.replicas[port]

    def draw_service_s(self) -> float:
        """Time that the next answer takes, in seconds."""
        settings = self.settings
        factor = float(np.exp(settings.spread * self.random.standard_normal()))
        if self.random.random() < self.straggler_share:
            factor *= settings.straggler_factor
        return settings.service_ms / 1000 * factor * self.service_factor

    def note_arrival(
        self, replica: ReplicaState, kind: str, attempt: str, subject: str
    ) -> None:
        """Record work that reached a replica."""
        if len(self.arrivals) >= ARRIVALS_LIMIT:
            return
        self.arrivals.append(
            Arrival(
                read_boottime(),
                replica.name,
                self.settings.data_centre,
                kind,
                attempt,
                subject,
                replica.at_work,
                replica.bound,
                replica.is_cold,
            )
        )


async def _work(
    upstreams: Upstreams, request: web.Request, kind: str, subject: str
) -> tuple[int, ReplicaState]:
    """Do one piece of work and give its status."""
    replica = upstreams.find(request)
    if not replica.is_listening:
        request.transport.abort()
        return 503, replica
    attempt = request.headers["x-attempt"]
    extra_s = _connection_delay(replica, request) + _distance(upstreams, request)
    run = replica.run
    replica.at_work += 1
    replica.received += 1
    replica.peak = max(replica.peak, replica.at_work)
    upstreams.note_arrival(replica, kind, attempt, subject)
    cancelled = asyncio.Event()
    upstreams.attempts[attempt] = cancelled
    try:
        if replica.at_work > replica.bound:
            replica.over_bound += 1
            return 503, replica
        deadline_s = int(request.headers["x-deadline-ms"]) / 1000
        return await _serve(upstreams, cancelled, extra_s, deadline_s), replica
    finally:
        if replica.run == run:
            replica.at_work -= 1
        upstreams.attempts.pop(attempt, None)


async def _serve(
    upstreams: Upstreams, cancelled: asyncio.Event, extra_s: float, deadline_s: float
) -> int:
    service_s = upstreams.draw_service_s() + extra_s
    try:
        await asyncio.wait_for(cancelled.wait(), min(service_s, deadline_s))
        return 499
    except TimeoutError:
        return 200 if service_s <= deadline_s else 504


def _connection_delay(replica: ReplicaState, request: web.Request) -> float:
    transport = request.transport
    if transport in replica.connections:
        return 0.0
    replica.connections.add(transport)
    replica.connections_made += 1
    count = sum(1 for item in replica.connections if not item.is_closing())
    replica.connections_peak = max(replica.connections_peak, count)
    return replica.settings.setup_ms / 1000


def _distance(upstreams: Upstreams, request: web.Request) -> float:
    if request.headers.get("x-from") == upstreams.settings.data_centre:
        return 0.0
    return 2 * upstreams.settings.one_way_ms / 1000


def build_app(upstreams: Upstreams) -> web.Application:
    """Build the application that all replicas share."""

    async def search(request: web.Request) -> web.Response:
        ask = json.loads(await request.read())
        shard, version, query = ask["shard"], ask["version"], ask["query"]
        replica = upstreams.find(request)
        if version in replica.gone_versions:
            return web.Response(status=409)
        status, replica = await _work(
            upstreams, request, "search", f"{ask['index']}@{version}/{shard}"
        )
        if status != 200:
            return web.Response(status=status)
        return web.json_response(
            {
                "shard": shard,
                "version": version,
                "hits": [[f"{shard}:{query}", 1.0, f"{query} in {shard}@{version}"]],
                "incarnation": f"{replica.name}#{replica.run}",
                "cold": replica.is_cold and not replica.lies,
            }
        )

    async def book(request: web.Request) -> web.Response:
        ask = json.loads(await request.read())
        ticket = ask["ticket"]
        status, replica = await _work(upstreams, request, "book", ticket)
        if status != 200:
            return web.Response(status=status)
        upstreams.bookings[ticket] = upstreams.bookings.get(ticket, 0) + 1
        if upstreams.lose_answers:
            request.transport.abort()
        return web.json_response(
            {
                "confirmation": f"{replica.name}:{ticket}",
                "incarnation": f"{replica.name}#{replica.run}",
                "cold": replica.is_cold and not replica.lies,
            }
        )

    async def cancel(request: web.Request) -> web.Response:
        ask = json.loads(await request.read())
        event = upstreams.attempts.get(ask["attempt"])
        if event is not None:
            event.set()
        return web.Response()

    app = web.Application()
    app.router.add_post("/search", search)
    app.router.add_post("/book", book)
    app.router.add_post("/cancel", cancel)
    return app


def build_admin(upstreams: Upstreams) -> web.Application:
    """Build the application that experiments drive the stand-in with."""
    settings = upstreams.settings
    by_name = {state.name: state for state in upstreams.replicas.values()}

    async def restart(request: web.Request) -> web.Response:
        quiet = request.query.get("quiet") == "1"
        for state in _select(by_name, request):
            state.restart(quiet)
        return web.Response()

    async def stop(request: web.Request) -> web.Response:
        for state in _select(by_name, request):
            await state.site.stop()
            state.is_listening = False
            state.restart(quiet=False)
        return web.Response()

    async def gone(request: web.Request) -> web.Response:
        for state in _select(by_name, request):
            state.gone_versions.add(int(request.query["version"]))
        return web.Response()

    async def tune(request: web.Request) -> web.Response:
        query = request.query
        if "service_factor" in query:
            upstreams.service_factor = float(query["service_factor"])
        if "straggler_share" in query:
            upstreams.straggler_share = float(query["straggler_share"])
        if "lose_answers" in query:
            upstreams.lose_answers = query["lose_answers"] == "1"
        return web.Response()

    async def heal(_request: web.Request) -> web.Response:
        upstreams.service_factor = 1.0
        upstreams.straggler_share = settings.straggler_share
        upstreams.lose_answers = False
        for state in by_name.values():
            state.gone_versions.clear()
            if not state.is_listening:
                state.restart(quiet=False)
                state.site = await _listen(upstreams.runner, state.settings.port)
                state.is_listening = True
        return web.Response()

    async def reset(_request: web.Request) -> web.Response:
        upstreams.arrivals.clear()
        for state in by_name.values():
            state.peak = state.over_bound = state.received = 0
        return web.Response()

    async def stats(_request: web.Request) -> web.Response:
        return web.json_response([_describe(state) for state in by_name.values()])

    async def arrivals(_request: web.Request) -> web.Response:
        return web.json_response([asdict(item) for item in upstreams.arrivals])

    async def bookings(_request: web.Request) -> web.Response:
        return web.json_response(upstreams.bookings)

    app = web.Application()
    app.router.add_post("/restart", restart)
    app.router.add_post("/stop", stop)
    app.router.add_post("/heal", heal)
    app.router.add_post("/gone", gone)
    app.router.add_post("/tune", tune)
    app.router.add_post("/reset", reset)
    app.router.add_get("/stats", stats)
    app.router.add_get("/arrivals", arrivals)
    app.router.add_get("/bookings", bookings)
    return app


def _select(
    by_name: dict[str, ReplicaState], request: web.Request
) -> list[ReplicaState]:
    wanted = request.query.get("replica")
    return list(by_name.values()) if wanted is None else [by_name[wanted]]


def _describe(state: ReplicaState) -> dict[str, str | int | bool]:
    return {
        "replica": state.name,
        "received": state.received,
        "peak": state.peak,
        "over_bound": state.over_bound,
        "connections_peak": state.connections_peak,
        "connections_made": state.connections_made,
        "connections": state.settings.connections,
        "slots": state.settings.slots,
        "cold": state.is_cold,
    }


async def _listen(runner: web.AppRunner, port: int) -> web.TCPSite:
    site = web.TCPSite(runner, "127.0.0.1", port, backlog=BACKLOG, reuse_address=True)
    await site.start()
    return site


async def run_upstreams(settings: UpstreamSettings) -> int:
    """Run all replicas until told to stop."""
    upstreams = Upstreams(settings)
    runner = web.AppRunner(
        build_app(upstreams),
        access_log=None,
        shutdown_timeout=0.1,
        handler_cancellation=True,
        keepalive_timeout=600,
    )
    await runner.setup()
    upstreams.runner = runner
    for state in upstreams.replicas.values():
        state.site = await _listen(runner, state.settings.port)
    admin = web.AppRunner(build_admin(upstreams), access_log=None, shutdown_timeout=0.1)
    await admin.setup()
    await web.TCPSite(admin, "127.0.0.1", settings.admin_port).start()
    await wait_for_stop()
    await runner.cleanup()
    await admin.cleanup()
    return 0


def serve(settings: str):
    """Serve as upstreams.

    Parameters
    ----------
    settings : str
        Path of the settings file.
    """
    path = str(settings)

    async def run() -> int:
        text = Path(path).read_text(encoding="utf-8")
        return await run_upstreams(parse_toml(path, text, UpstreamSettings))

    return run


def main() -> None:
    """Run the binary."""
    run_binary("anvilhoist-standin-upstreams", serve)


if __name__ == "__main__":
    main()
