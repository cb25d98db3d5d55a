"""What an experiment runs on: VMs, data centres, groups, and the documents of it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Annotated, Any

import tomli_w
from pydantic import Field

from ..settings import BORDER, Name

HOST = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class GroupKind:
    """Some groups of upstreams that are alike.

    Attributes
    ----------
    groups, replicas : int
        Number of groups and of replicas in each.
    setup_ms : float
        Time that a new connection takes.
    """

    __pydantic_config__ = BORDER

    groups: int
    replicas: int
    slots: int
    connections: int
    setup_ms: float
    booking: bool = False


@dataclass(frozen=True, slots=True)
class Topology:
    """Sizes of one deployment.

    Attributes
    ----------
    vms : tuple of str
        Data centre of each entry VM.
    cell_size : int
        VMs in one cell.
    shards : dict of str to int
        Shards of each index; an index is spread over the groups of its name,
        or over all search groups if it is called "all".
    """

    __pydantic_config__ = BORDER

    data_centres: tuple[Name, ...]
    vms: tuple[Name, ...]
    kinds: dict[Name, GroupKind]
    shards: dict[Name, int]
    cell_size: int = 1000
    one_way_ms: float = 1.0
    cold_slots: int = 1
    cold_ms: int = 1500
    ramp_ms: int = 2000
    service_ms: float = 4.0
    straggler_share: float = 0.0
    straggler_factor: float = 20.0
    deadline_ms: Annotated[int, Field(ge=1)] = 1000
    coverage_floor: float = 0.0
    keep_address_s: float = 1.0
    seed: int = 1


@dataclass(slots=True)
class Ports:
    """Ports given out from one base."""

    next_port: int

    def take(self) -> int:
        """Next free port."""
        self.next_port += 1
        return self.next_port - 1


@dataclass(slots=True)
class Plan:
    """Ports of everything in a topology.

    Attributes
    ----------
    replicas : dict of str to tuple
        Data centre and port by full replica name.
    relays : tuple of str
        Addresses to list in place of the dispatch processes' own, if any.
    """

    topology: Topology
    platform: tuple[int, ...]
    entries: tuple[int, ...]
    dispatches: tuple[int, ...]
    admins: dict[str, int]
    replicas: dict[str, tuple[str, int]] = field(default_factory=dict)

    relays: tuple[str, ...] = ()

    def entry_address(self, number: int) -> str:
        """Address of an entry process."""
        return f"{vm_host(number)}:{self.entries[number]}"

    def dispatch_address(self, number: int) -> str:
        """Address of a dispatch process itself."""
        return f"{vm_host(number)}:{self.dispatches[number]}"

    def listed_dispatch(self, number: int) -> str:
        """Address of a dispatch process as the platform lists it."""
        return self.relays[number] if self.relays else self.dispatch_address(number)

    @property
    def entry_addresses(self) -> tuple[str, ...]:
        """Addresses of all entry processes."""
        return tuple(self.entry_address(item) for item in range(len(self.entries)))

    @property
    def vm_names(self) -> tuple[str, ...]:
        """Slots of the entry VMs."""
        return tuple(f"vm-{number + 1}" for number in range(len(self.entries)))


def vm_host(number: int) -> str:
    """IP number of an entry VM, on loopback."""
    return f"127.1.0.{number + 1}"


def make_plan(topology: Topology, base_port: int) -> Plan:
    """Give every process and replica its port."""
    ports = Ports(base_port)
    plan = Plan(
        topology=topology,
        platform=tuple(ports.take() for _ in topology.vms),
        entries=tuple(ports.take() for _ in topology.vms),
        dispatches=tuple(ports.take() for _ in topology.vms),
        admins={name: ports.take() for name in topology.data_centres},
    )
    centres = topology.data_centres
    for kind_name, kind in topology.kinds.items():
        for group in range(kind.groups):
            for ordinal in range(kind.replicas):
                name = f"{kind_name}-{group:03d}/{_letter(ordinal)}"
                centre = centres[(group + ordinal) % len(centres)]
                plan.replicas[name] = (centre, ports.take())
    return plan


def _letter(ordinal: int) -> str:
    return f"r{ordinal}"


def write_config(
    plan: Plan,
    out: tuple[str, ...] = (),
    profile_changes: dict[str, Any] | None = None,
) -> str:
    """Operators' document of an experiment."""
    topology = plan.topology
    profiles: dict[str, Any] = {}
    for index in topology.shards:
        profiles[f"search-{index}"] = {
            "kind": "search",
            "target": index,
            "deadline_ms": topology.deadline_ms,
            "coverage_floor": topology.coverage_floor,
            "queue_bound": 64,
            **(profile_changes or {}),
        }
    for name, kind in topology.kinds.items():
        if kind.booking:
            profiles[f"book-{name}"] = {
                "kind": "booking",
                "target": name,
                "deadline_ms": topology.deadline_ms,
            }
    return tomli_w.dumps(
        {
            "keep_address_s": topology.keep_address_s,
            "data_centres": {
                name: {"state": "out" if name in out else "in"}
                for name in topology.data_centres
            },
            "profiles": profiles,
            "services": {name: {"profile": name} for name in profiles},
        }
    )


def write_vms(
    plan: Plan, states: dict[str, str] | None = None, only: int | None = None
) -> str:
    """List of VMs of an experiment, or of one VM alone."""
    states = states or {}
    vms = {}
    for number, name in enumerate(plan.vm_names):
        if only not in (None, number):
            continue
        vms[name] = {
            "data_centre": plan.topology.vms[number],
            "entry": plan.entry_address(number),
            "dispatch": plan.listed_dispatch(number),
            "cell": f"c{number // plan.topology.cell_size}",
            "state": states.get(name, "live"),
        }
    return tomli_w.dumps({"vms": vms})


def write_directory(
    plan: Plan,
    versions: tuple[int, ...] = (1,),
    leaving: frozenset[str] = frozenset(),
) -> str:
    """Directory of an experiment, with each version's own shard map."""
    topology = plan.topology
    groups: dict[str, Any] = {}
    for name, (centre, port) in plan.replicas.items():
        group_name, _, replica = name.partition("/")
        kind = topology.kinds[group_name.rpartition("-")[0]]
        group = groups.setdefault(group_name, _describe_group(topology, kind))
        group["replicas"][replica] = {
            "address": f"{HOST}:{port}",
            "data_centre": centre,
            "ordinal": len(group["replicas"]),
            "state": "leaving" if name in leaving else "serving",
        }
    indexes = {
        index: [
            {"version": version, "shards": _spread(topology, index, count, version)}
            for version in versions
        ]
        for index, count in topology.shards.items()
    }
    pools = {
        name: [group for group in groups if group.rpartition("-")[0] == name]
        for name, kind in topology.kinds.items()
        if kind.booking
    }
    return tomli_w.dumps({"groups": groups, "indexes": indexes, "pools": pools})


def _describe_group(topology: Topology, kind: GroupKind) -> dict[str, Any]:
    return {
        "slots": kind.slots,
        "connections": kind.connections,
        "cold_slots": topology.cold_slots,
        "ramp_ms": topology.ramp_ms,
        "replicas": {},
    }


def _spread(topology: Topology, index: str, count: int, version: int) -> dict[str, str]:
    """Shard map of one version; later versions are partitioned otherwise."""
    groups = [
        f"{name}-{number:03d}"
        for name, kind in topology.kinds.items()
        if not kind.booking and index in ("all", name)
        for number in range(kind.groups)
    ]
    return {
        f"v{version}-{shard:03d}": groups[(shard + version) % len(groups)]
        for shard in range(count)
    }


def write_upstreams(plan: Plan, data_centre: str) -> str:
    """Settings of the stand-in for the upstreams of one data centre."""
    topology = plan.topology
    replicas = {}
    for name, (centre, port) in plan.replicas.items():
        if centre != data_centre:
            continue
        kind = topology.kinds[name.partition("/")[0].rpartition("-")[0]]
        replicas[name] = {
            "port": port,
            "slots": kind.slots,
            "cold_slots": topology.cold_slots,
            "cold_ms": topology.cold_ms,
            "setup_ms": kind.setup_ms,
            "connections": kind.connections,
        }
    return tomli_w.dumps(
        {
            "data_centre": data_centre,
            "admin_port": plan.admins[data_centre],
            "one_way_ms": topology.one_way_ms,
            "service_ms": topology.service_ms,
            "straggler_share": topology.straggler_share,
            "straggler_factor": topology.straggler_factor,
            "seed": topology.seed,
            "replicas": replicas,
        }
    )


def write_process(plan: Plan, number: int, listen: str, alone: bool) -> str:
    """Settings of one process of the tier."""
    numbers = (number,) if alone else range(len(plan.entries))
    peers = [plan.listed_dispatch(item) for item in numbers]
    return tomli_w.dumps(
        {
            "vm": plan.vm_names[number],
            "data_centre": plan.topology.vms[number],
            "listen": listen,
            "platform": [f"{HOST}:{plan.platform[number]}"],
            "peers": peers,
        }
    )
