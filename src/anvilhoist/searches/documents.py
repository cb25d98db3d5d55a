"""The three documents that the platform publishes, as validated data classes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Literal

from pydantic import Field

from ..errors import SettingsError
from ..settings import BORDER, Address, Name, parse_toml

CONFIG = "config"
VMS = "vms"
DIRECTORY = "directory"
KEYS = (CONFIG, VMS, DIRECTORY)

DEADLINE_MAX_MS = 2000

Fraction = Annotated[float, Field(ge=0.0, le=1.0)]
Milliseconds = Annotated[int, Field(ge=0, le=60_000)]
Deadline = Annotated[int, Field(ge=1, le=DEADLINE_MAX_MS)]


@dataclass(frozen=True, slots=True)
class DataCentre:
    """Operators' word on a data centre."""

    __pydantic_config__ = BORDER

    state: Literal["in", "out"] = "in"


@dataclass(frozen=True, slots=True)
class Profile:
    """How one kind of request is treated.

    Attributes
    ----------
    kind : {"search", "booking"}
        A booking may not be repeated; a search may.
    target : str
        Index (for a search) or pool (for a booking).
    deadline_ms : int
        Longest deadline and the one used where a caller names none.
    coverage_floor : float
        Least share of shards that still counts as an answer.
    choice : {"least_loaded", "round_robin"}
        How a replica is chosen among those of a shard.
    hedge : bool
        Whether a late sub-request is sent to a second replica.
    hedge_quantile : float
        Quantile of the sub-request latency after which a hedge is sent.
    hedge_budget, retry_budget : float
        Extra sub-requests allowed, as a share of first tries.
    queue_bound : int
        Most sub-requests waiting for one replica.
    concurrency : int
        Most requests of this profile in progress at one entry process.
    """

    __pydantic_config__ = BORDER

    kind: Literal["search", "booking"]
    target: Name
    deadline_ms: Deadline
    coverage_floor: Fraction = 1.0
    choice: Literal["least_loaded", "round_robin"] = "least_loaded"
    hedge: bool = True
    hedge_quantile: Annotated[float, Field(ge=0.5, lt=1.0)] = 0.95
    hedge_budget: Fraction = 0.04
    retry_budget: Fraction = 0.01
    queue_bound: Annotated[int, Field(ge=0, le=1000)] = 16
    concurrency: Annotated[int, Field(ge=1, le=10_000)] = 64


@dataclass(frozen=True, slots=True)
class Service:
    """A caller's service and the profile that it runs under."""

    __pydantic_config__ = BORDER

    profile: Name


@dataclass(frozen=True, slots=True)
class Config:
    """The operators' document: data centres, profiles, services."""

    __pydantic_config__ = BORDER

    data_centres: dict[Name, DataCentre]
    profiles: dict[Name, Profile]
    services: dict[Name, Service]
    keep_address_s: Annotated[float, Field(gt=0, le=60)] = 2.0

    def is_out(self, data_centre: str) -> bool:
        """Tell whether operators have taken the data centre out."""
        entry = self.data_centres.get(data_centre)
        return entry is not None and entry.state == "out"


@dataclass(frozen=True, slots=True)
class Vm:
    """One slot of the fleet, as the platform lists it.

    Attributes
    ----------
    cell : str
        VMs of one cell confirm each other's ownership of replicas.
    state : {"live", "leaving", "gone"}
        The platform's view, which lags.
    """

    __pydantic_config__ = BORDER

    data_centre: Name
    entry: Address
    dispatch: Address
    cell: Name = "a"
    state: Literal["live", "leaving", "gone"] = "live"


@dataclass(frozen=True, slots=True)
class Vms:
    """The platform's lagging list of VMs."""

    __pydantic_config__ = BORDER

    vms: dict[Name, Vm]


@dataclass(frozen=True, slots=True)
class Replica:
    """One replica of a group of upstreams.

    Attributes
    ----------
    ordinal : int
        Place in its group, which decides the VM that owns it. It stays the same
        for as long as the replica keeps its name.
    """

    __pydantic_config__ = BORDER

    address: Address
    data_centre: Name
    ordinal: Annotated[int, Field(ge=0, le=1000)]
    state: Literal["serving", "leaving"] = "serving"


@dataclass(frozen=True, slots=True)
class Group:
    """Replicas that hold the same shards, and what each of them can bear.

    Attributes
    ----------
    slots, cold_slots : int
        Most sub-requests at work in one replica, warm and in cold start.
    connections : int
        Most connections that one replica accepts.
    ramp_ms : int
        Time without a fault after which a cold replica counts as warm.
    """

    __pydantic_config__ = BORDER

    slots: Annotated[int, Field(ge=1, le=1000)]
    connections: Annotated[int, Field(ge=1, le=10_000)]
    replicas: dict[Name, Replica]
    cold_slots: Annotated[int, Field(ge=1, le=1000)] = 1
    ramp_ms: Milliseconds = 2000


@dataclass(frozen=True, slots=True)
class Snapshot:
    """One version of an index together with its shard map.

    Attributes
    ----------
    shards : dict of str to str
        Group that holds each shard.
    """

    __pydantic_config__ = BORDER

    version: Annotated[int, Field(ge=1)]
    shards: dict[Name, Name]


@dataclass(frozen=True, slots=True)
class Directory:
    """Upstreams, the snapshots of each index, and the pools for bookings."""

    __pydantic_config__ = BORDER

    groups: dict[Name, Group]
    indexes: dict[Name, tuple[Snapshot, ...]] = field(default_factory=dict)
    pools: dict[Name, tuple[Name, ...]] = field(default_factory=dict)

    def find_group(self, replica_id: str) -> Group | None:
        """Group of a replica, whose name is ``<group>/<replica>``."""
        return self.groups.get(replica_id.partition("/")[0])

    def find_replica(self, replica_id: str) -> Replica | None:
        """Replica by its full name, or None where it is not listed."""
        group_name, _, name = replica_id.partition("/")
        group = self.groups.get(group_name)
        return None if group is None else group.replicas.get(name)


Document = Config | Vms | Directory
MODELS: dict[str, type] = {CONFIG: Config, VMS: Vms, DIRECTORY: Directory}


def parse_document(key: str, text: str) -> Document:
    """Validate a published document whole, its references included.

    Raises
    ------
    SettingsError
        If anything in it is wrong.
    """
    document = parse_toml(key, text, MODELS[key])
    problems = tuple(_check_references(document))
    if problems:
        raise SettingsError(key, problems)
    return document


def _check_references(document: Document) -> list[str]:
    if isinstance(document, Config):
        return _check_config(document)
    if isinstance(document, Directory):
        return _check_directory(document)
    return [] if document.vms else ["vms: found no VM; at least one is needed"]


def _check_config(config: Config) -> list[str]:
    allowed = ", ".join(sorted(config.profiles))
    return [
        f"services.{name}.profile: found {service.profile!r}; allowed: {allowed}"
        for name, service in config.services.items()
        if service.profile not in config.profiles
    ]


def _check_directory(directory: Directory) -> list[str]:
    problems = []
    for name, group in directory.groups.items():
        if group.cold_slots > group.slots:
            problems.append(
                f"groups.{name}.cold_slots: found {group.cold_slots}; "
                f"at most slots ({group.slots})"
            )
        if not group.replicas:
            problems.append(f"groups.{name}.replicas: found none; at least one")
    for name, snapshots in directory.indexes.items():
        problems += _check_snapshots(name, snapshots, directory)
    for name, groups in directory.pools.items():
        problems += [
            f"pools.{name}: found {group!r}; no such group"
            for group in groups
            if group not in directory.groups
        ]
    return problems


def _check_snapshots(
    name: str, snapshots: tuple[Snapshot, ...], directory: Directory
) -> list[str]:
    problems = []
    versions = [snapshot.version for snapshot in snapshots]
    if len(set(versions)) != len(versions):
        problems.append(f"indexes.{name}: found versions {versions}; each once")
    for snapshot in snapshots:
        if not snapshot.shards:
            problems.append(f"indexes.{name}.{snapshot.version}: found no shard")
        problems += [
            f"indexes.{name}.{snapshot.version}.{shard}: found {group!r}; no such group"
            for shard, group in snapshot.shards.items()
            if group not in directory.groups
        ]
    return problems
