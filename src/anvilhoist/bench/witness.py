"""State of the stand-in of upstreams.

It counts what reaches each replica against what that replica can bear, and so
is the witness of every run.
"""

from __future__ import annotations

import asyncio
import weakref
from dataclasses import dataclass, field
from typing import Annotated

import numpy as np
from aiohttp import web
from pydantic import Field

from ..clock import read_boottime
from ..settings import BORDER, Name

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


async def listen(runner: web.AppRunner, port: int) -> web.TCPSite:
    """Listen on the port of one replica."""
    site = web.TCPSite(runner, "127.0.0.1", port, backlog=BACKLOG, reuse_address=True)
    await site.start()
    return site
