"""Work on replicas: gates, connections and the evidence from each answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Error, Result

from ..errors import Failure, Kind
from ..metrics import Metrics
from ..tasks import start_task
from .decisions import DecisionLog
from .documents import Group, Profile, Replica
from .gate import Gate
from .membership import Membership
from .messages import Handed
from .ownership import Ownership
from .upstream import Attempt, BookAsk, Confirmation, Part, SearchAsk, UpstreamClient
from .view import View

DEFAULT_QUEUE_BOUND = 16

_COLD_EVIDENCE = {
    Kind.SHED: "it shed load",
    Kind.CONNECT_FAILED: "no connection could be made",
    Kind.UPSTREAM_FAILED: "an exchange was cut short",
}


@dataclass(slots=True)
class Station:
    """What one process keeps for one replica that it owns."""

    name: str
    group: Group
    replica: Replica
    gate: Gate
    client: UpstreamClient


@dataclass(frozen=True, slots=True)
class Served:
    """Outcome of one piece of work.

    Attributes
    ----------
    service_s : float
        Time from grant to answer, in seconds; 0 where nothing was sent.
    """

    result: Result[Part | Confirmation, Failure]
    service_s: float


@dataclass(slots=True)
class Replicas:
    """Stations of one dispatch process, kept in step with its view.

    Parameters
    ----------
    data_centre : str
        Data centre of this process.
    prefix : str
        Beginning of each attempt's name, unique to this incarnation.
    """

    data_centre: str
    prefix: str
    view: View
    membership: Membership
    ownership: Ownership
    log: DecisionLog
    metrics: Metrics
    now: Callable[[], float]
    stopping: bool = False
    _stations: dict[str, Station] = field(default_factory=dict)
    _attempts: int = 0

    @property
    def at_work(self) -> int:
        """Pieces of work at upstreams."""
        return sum(station.gate.at_work for station in self._stations.values())

    @property
    def bound(self) -> int:
        """Most pieces of work that all replicas here may have now."""
        return sum(station.gate.limit for station in self._stations.values())

    def count_at_work(self, name: str) -> int:
        """Pieces of work at one replica."""
        station = self._stations.get(name)
        return 0 if station is None else station.gate.at_work

    def find(self, name: str) -> Station | None:
        """Station of a replica."""
        return self._stations.get(name)

    def list_stations(self) -> tuple[Station, ...]:
        """Stations of all replicas with work or ownership here."""
        return tuple(self._stations.values())

    def describe_handed(self, name: str) -> Handed:
        """What the next owner of a replica needs to know of it."""
        station = self._stations.get(name)
        if station is None:
            return Handed(name, "", -1.0)
        gate = station.gate
        return Handed(name, gate.incarnation, gate.ramp_age_s)

    def adopt(self, handed: tuple[Handed, ...]) -> None:
        """Take over what earlier owners knew of their replicas."""
        self.refresh()
        for item in handed:
            station = self._stations.get(item.replica)
            if station is not None:
                station.gate.adopt(item.incarnation, item.ramp_age_s)

    def find_profile(self, name: str) -> Profile | None:
        """Profile in force."""
        config = self.view.config
        return None if config is None else config.profiles.get(name)

    def queue_bound(self, profile_name: str) -> int:
        """Most sub-requests of a profile that wait for one replica."""
        profile = self.find_profile(profile_name)
        return DEFAULT_QUEUE_BOUND if profile is None else profile.queue_bound

    def refresh(self) -> None:
        """Make stations for new replicas and drop those that are done with."""
        directory = self.view.directory
        if directory is None:
            return
        for name in self.ownership.held | self.ownership.waiting:
            group, replica = directory.find_group(name), directory.find_replica(name)
            if group is not None and replica is not None:
                self._keep(name, group, replica)
        for name in list(self._stations):
            self._drop_if_done(name)
        for station in self._stations.values():
            station.gate.pump()

    def tick(self, _now: float) -> None:
        """Pass slots on where a limit rose, and drop what is done with."""
        for name, station in list(self._stations.items()):
            station.gate.pump()
            self._drop_if_done(name)

    def check(self, name: str) -> Failure | None:
        """Failure that forbids work on a replica right now, or None."""
        if self.stopping:
            return Failure(Kind.SHUTTING_DOWN, "this process is shutting down")
        if not self.ownership.owns(name):
            return Failure(Kind.NOT_OWNER, name)
        if not self.membership.is_current():
            return Failure(Kind.VIEW_STALE, "the view is not confirmed")
        if not self.ownership.may_send(name):
            return Failure(Kind.NOT_READY, "an earlier owner may still act")
        return self._check_service(name)

    async def search(
        self,
        station: Station,
        ask: SearchAsk,
        deadline: float,
        queue_bound: int,
        started: Callable[[Attempt], None],
    ) -> Served:
        """Search one shard at a replica.

        Parameters
        ----------
        started : callable
            Called with the attempt once a slot is taken.
        """
        refused = await self._enter(station, deadline, queue_bound)
        if refused is not None:
            return refused
        attempt = self._new_attempt(station, deadline)
        started(attempt)
        return await self._work(station, station.client.search(ask, attempt), attempt)

    async def book(
        self, station: Station, ask: BookAsk, deadline: float, queue_bound: int
    ) -> Served:
        """Run a booking at a replica."""
        refused = await self._enter(station, deadline, queue_bound)
        if refused is not None:
            return refused
        attempt = self._new_attempt(station, deadline)
        return await self._work(station, station.client.book(ask, attempt), attempt)

    async def close(self) -> None:
        """Close all connections."""
        clients = [station.client for station in self._stations.values()]
        await asyncio.gather(*(client.close() for client in clients))

    async def _enter(
        self, station: Station, deadline: float, queue_bound: int
    ) -> Served | None:
        entered = await station.gate.enter(deadline, queue_bound)
        return Served(Error(entered.error), 0.0) if entered.is_error() else None

    async def _work(self, station: Station, exchange, attempt: Attempt) -> Served:
        began = self.now()
        try:
            result = await exchange
        finally:
            station.gate.leave(has_begun=attempt.sent)
        service_s = self.now() - began if attempt.sent else 0.0
        self._note(station, result, service_s)
        return Served(result, service_s)

    def _note(self, station: Station, result: Result, service_s: float) -> None:
        if result.is_ok():
            answer = result.ok
            station.gate.note_success(answer.incarnation, answer.cold, service_s)
            self.metrics.time("upstream", station.name.partition("/")[0], service_s)
            return
        kind = result.error.kind
        self.metrics.count("upstream_failures", kind.value)
        evidence = _COLD_EVIDENCE.get(kind)
        if evidence is not None:
            station.gate.note_cold(evidence)

    def _new_attempt(self, station: Station, deadline: float) -> Attempt:
        self._attempts += 1
        self.metrics.count("attempts")
        name = f"{self.prefix}-{self._attempts}"
        return Attempt(name, deadline, lambda: self._check_first_byte(station))

    def _check_first_byte(self, station: Station) -> Failure | None:
        return self.check(station.name) or station.gate.begin()

    def _check_service(self, name: str) -> Failure | None:
        directory, config = self.view.directory, self.view.config
        replica = None if directory is None else directory.find_replica(name)
        if replica is None or replica.state == "leaving":
            return Failure(Kind.OUT_OF_SERVICE, f"{name} is leaving")
        if config is None or config.is_out(replica.data_centre):
            return Failure(Kind.OUT_OF_SERVICE, f"{replica.data_centre} is out")
        return None

    def _keep(self, name: str, group: Group, replica: Replica) -> None:
        station = self._stations.get(name)
        if station is not None and station.replica.address == replica.address:
            station.group = group
            station.replica = replica
            station.gate.group = group
            return
        gate = Gate(
            group,
            self.now,
            check=lambda: self.check(name),
            tell=lambda event, reason: self.log.decide(event, name, reason),
        )
        client = UpstreamClient(
            replica.address,
            self.data_centre,
            group.connections,
            self.now,
            gate.note_unproven,
        )
        self._stations[name] = Station(name, group, replica, gate, client)

    def _drop_if_done(self, name: str) -> None:
        station = self._stations[name]
        if self.ownership.keeps(name) or station.gate.load > 0:
            return
        del self._stations[name]
        start_task(station.client.close())
