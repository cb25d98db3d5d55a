"""Types of what operators and replicas publish."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..http.server import ConnectionLimits


@dataclass(frozen=True, slots=True)
class Gather:
    """How a query over many shards is put together.

    Attributes
    ----------
    shards : tuple of str
        Services that each hold one shard.
    top : int
        Number of records in the answer.
    least_share : float
        Share of the shards below which there is no answer, 0 to 1.
    """

    shards: tuple[str, ...]
    top: int
    least_share: float

    @property
    def min_shards(self) -> int:
        """Least number of shards in an answer."""
        total = len(self.shards)
        return next(
            (n for n in range(1, total) if n / total >= self.least_share), total
        )


@dataclass(frozen=True, slots=True)
class Route:
    """How requests of one host and path prefix are treated.

    Attributes
    ----------
    name, host, prefix : str
        Name, and what a request must match.
    repeatable : bool
        Whether a request may run more than once.
    timeout_s, target_s : float
        Longest time until the final answer, and the latency objective, in seconds.
    attempts : int
        Replicas that one request may be sent to, for each shard.
    priority : int
        Rank; 0 is the highest.
    services : tuple of tuple
        Pairs of a service and its weight; empty where `gather` is set.
    gather : Gather or None
        Set for queries over many shards.
    regions : tuple of str
        Regions in which the request may be handled; empty: everywhere.
    """

    name: str
    host: str
    prefix: str
    repeatable: bool
    timeout_s: float
    target_s: float
    attempts: int
    priority: int = 0
    services: tuple[tuple[str, float], ...] = ()
    gather: Gather | None = None
    regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Service:
    """A service as the configuration names it.

    Attributes
    ----------
    name : str
        Name.
    max_connections : int
        Connections that one replica accepts from all VMs together.
    cold_rate : float
        Requests a second that a replica bears while cold; 0: no bound is named.
    """

    name: str
    max_connections: int
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """One version of what operators publish.

    Attributes
    ----------
    version : int
        Rises with each change.
    routes : tuple of Route
        All routes.
    services : dict of Service
        All services by name.
    limits : ConnectionLimits
        What callers may send.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ConnectionLimits


@dataclass(frozen=True, slots=True)
class ReplicaEntry:
    """What a replica says of itself.

    Attributes
    ----------
    instance : str
        Id of this start of the replica.
    service, address, data_centre : str
        What it serves, and where.
    slots : int
        Requests that it works on at the same time.
    draining : bool
        Whether it is about to leave.
    born_ms : int
        Wall-clock time of its start in ms; 0 where it tells none.
    cold_s : float
        How much longer it stays cold, in seconds.
    sequence : int
        Rises with each heartbeat of one start.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    born_ms: int = 0
    cold_s: float = 0.0
    sequence: int = 0


@dataclass(frozen=True, slots=True)
class ConfigurationChanged:
    """A configuration was published."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ReplicaChanged:
    """A replica's entry was written."""

    entry: ReplicaEntry


@dataclass(frozen=True, slots=True)
class ReplicaRemoved:
    """A replica's entry was removed, or names no replica that can be used."""

    instance: str


@dataclass(frozen=True, slots=True)
class DataCentreChanged:
    """Operators take a data centre out, or back in."""

    data_centre: str
    out: bool


Change = ConfigurationChanged | ReplicaChanged | ReplicaRemoved | DataCentreChanged


@dataclass(slots=True)
class Snapshot:
    """All that is published at one time.

    Attributes
    ----------
    revision : int
        The store's revision that this is at least as new as.
    changes : list
        One for each thing that exists.
    """

    revision: int
    changes: list[Change] = field(default_factory=list)
