"""Types for what operators and replicas publish."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..http.limits import ConnectionLimits
from ..validation import Address


@dataclass(frozen=True, slots=True)
class Gather:
    """How the results of a query over many shards are merged.

    Attributes
    ----------
    shards : tuple of str
        Services that each hold one shard.
    top : int
        Largest number of records in the answer.
    least_share : float
        Share of the shards below which a query is refused, 0 to 1.
    """

    shards: tuple[str, ...]
    top: int
    least_share: float

    @property
    def min_shards(self) -> int:
        """Smallest number of shards from which an answer is given."""
        total = len(self.shards)
        return next(
            (n for n in range(1, total) if n / total >= self.least_share), total
        )


@dataclass(frozen=True, slots=True)
class Route:
    """How requests for one host and path prefix are forwarded.

    Attributes
    ----------
    name, host, prefix : str
        Name of the route, and the host and path prefix that a request must match.
    repeatable : bool
        Whether a request may be executed more than once.
    timeout_s, target_s : float
        Longest time until the final answer, and the latency objective, in seconds.
    attempts : int
        Largest number of sends of one request, for each shard; a send counts unless
        the replica was not reached or did not execute the request.
    priority : int
        Priority of the requests; 0 is the highest.
    services : tuple of tuple
        Pairs of a service and its weight; empty if `gather` is set.
    gather : Gather or None
        Set for queries over many shards.
    regions : tuple of str
        Regions in which a request may be handled; if empty, all of them.
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
    """A service as defined in the configuration.

    Attributes
    ----------
    name : str
        Name.
    max_connections : int
        Connections that one replica accepts from all VMs together.
    cold_rate : float
        Requests a second that a replica can take while cold; 0 if no limit is set.
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
        Increases with each change.
    routes : tuple of Route
        All routes.
    services : dict of Service
        All services by name.
    limits : ConnectionLimits
        Limits on callers' requests and on the time they take.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: ConnectionLimits


@dataclass(frozen=True, slots=True)
class ReplicaEntry:
    """What a replica publishes about itself.

    Attributes
    ----------
    instance : str
        Id of the replica; `born_ms` tells apart the starts of one id.
    service, address, data_centre : str
        Service that it belongs to, its IP address and port, and where it runs.
    slots : int
        Number of requests that it executes concurrently.
    draining : bool
        Whether it is about to stop.
    born_ms : int
        Wall-clock time of its start in ms.
    cold_s : float
        Remaining time for which it stays cold, in seconds.
    sequence : int
        Increases with each heartbeat since its start.
    """

    instance: str
    service: str
    address: Address
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
    """A replica's entry was removed, or is not valid."""

    instance: str


@dataclass(frozen=True, slots=True)
class DataCentreChanged:
    """Operators took a data centre out of service, or brought it back."""

    data_centre: str
    out: bool


Change = ConfigurationChanged | ReplicaChanged | ReplicaRemoved | DataCentreChanged


@dataclass(slots=True)
class Snapshot:
    """Everything that is published at one time.

    Attributes
    ----------
    revision : int
        Store revision that the snapshot is at least as new as.
    changes : list
        One change for each item that exists.
    age_s : float
        Time since its source was known to match the store, in seconds; 0 from the store
        itself.
    grace_left_s : float
        Remaining time for which the source keeps replicas without an entry, in seconds.
    confirmed_revision : int
        Revision up to which the source knows that removed entries did not lapse in an
        outage.
    """

    revision: int
    changes: list[Change] = field(default_factory=list)
    age_s: float = 0.0
    grace_left_s: float = 0.0
    confirmed_revision: int = 0

    @property
    def instances(self) -> set[str]:
        """Ids of the replicas that have an entry."""
        return {
            change.entry.instance
            for change in self.changes
            if isinstance(change, ReplicaChanged)
        }

    @property
    def data_centres_out(self) -> set[str]:
        """Data centres that are out of service."""
        return {
            change.data_centre
            for change in self.changes
            if isinstance(change, DataCentreChanged) and change.out
        }
