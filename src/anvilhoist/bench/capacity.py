"""Slopes of processor time, memory, bytes and calls, each at three sizes."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Sequence
from dataclasses import asdict, dataclass

import numpy as np
import psutil

from ..searches.documents import DIRECTORY, VMS, Directory, Vms, parse_document
from ..searches.placement import Placement
from .caller import Caller
from .fleet import Fleet
from .load import run_load
from .topology import (
    GroupKind,
    Topology,
    make_plan,
    write_directory,
    write_vms,
)

BASE_PORT = 24000
CENTRES = ("vaxjo", "alvesta", "ljungby")
WATCH_S = 8.0
LOAD_S = 8.0
FLEET_SIZES = (4, 8, 16)
CELL_SIZE = 4
SHARD_COUNTS = (60, 250, 500)
REPLICA_COUNTS = (100, 1000, 6300)
QUERY_RATES = {60: 10.0, 250: 4.0, 500: 2.0}


@dataclass(frozen=True, slots=True)
class Slope:
    """A line fitted through measurements.

    Attributes
    ----------
    sizes, values : tuple of float
        What was measured.
    slope, intercept : float
        Of the line.
    error : float
        Standard error of the slope.
    """

    measure: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    slope: float
    intercept: float
    error: float


def fit(measure: str, sizes: Sequence[float], values: Sequence[float]) -> Slope:
    """Fit a line through three or more measurements."""
    x, y = np.asarray(sizes, float), np.asarray(values, float)
    slope, intercept = np.polyfit(x, y, 1)
    residual = y - (slope * x + intercept)
    spread = float(np.sum((x - x.mean()) ** 2))
    error = float(np.sqrt(np.sum(residual**2) / max(len(x) - 2, 1) / spread))
    rounded = tuple(float(np.round(value, 4)) for value in y)
    return Slope(
        measure, tuple(x.tolist()), rounded, float(slope), float(intercept), error
    )


@dataclass(frozen=True, slots=True)
class Idle:
    """What one VM uses without load.

    Attributes
    ----------
    core_percent : dict of str to float
        Processor time by role, in percent of a core.
    bytes_s : float
        Payload bytes of its dispatch process a second, both ways.
    """

    core_percent: dict[str, float]
    memory_mb: dict[str, float]
    bytes_s: float
    calls_s: float


async def measure_capacity() -> int:
    """Measure and print all slopes."""
    await _measure_fleets("cells of 4", CELL_SIZE)
    await _measure_fleets("one cell", max(FLEET_SIZES))
    await _measure_shards()
    _measure_documents()
    return 0


def _print(slope: Slope) -> None:
    print(json.dumps(asdict(slope)), flush=True)


def _make_topology(vms: int, cell_size: int, groups: int, shards: int) -> Topology:
    return Topology(
        data_centres=CENTRES,
        vms=tuple(CENTRES[number % len(CENTRES)] for number in range(vms)),
        kinds={"sorting": GroupKind(groups, 2, 3, 30, 6.0)},
        shards={"sorting": shards},
        cell_size=cell_size,
    )


async def _measure_fleets(name: str, cell_size: int) -> None:
    found = []
    for vms in FLEET_SIZES:
        fleet = Fleet(make_plan(_make_topology(vms, cell_size, 20, 20), BASE_PORT))
        try:
            await fleet.start()
            await fleet.wait_ready()
            found.append(await _watch_idle(fleet))
        finally:
            await fleet.stop()
    for role in ("dispatch", "entry"):
        core = [idle.core_percent[role] for idle in found]
        _print(fit(f"{name}: idle {role}, % of a core by VMs", FLEET_SIZES, core))
        memory = [idle.memory_mb[role] for idle in found]
        _print(fit(f"{name}: idle {role}, MB by VMs", FLEET_SIZES, memory))
    traffic = [idle.bytes_s for idle in found]
    _print(fit(f"{name}: control bytes/s of a dispatch by VMs", FLEET_SIZES, traffic))
    calls = [idle.calls_s for idle in found]
    _print(fit(f"{name}: platform calls/s by VMs", FLEET_SIZES, calls))


async def _watch_idle(fleet: Fleet) -> Idle:
    processes = {
        name: psutil.Process(process.pid) for name, process in fleet.processes.items()
    }
    before = {name: _cpu_s(process) for name, process in processes.items()}
    calls, traffic = await fleet.count_platform_calls(), await _read_bytes(fleet)
    await asyncio.sleep(WATCH_S)
    used = {name: _cpu_s(process) - before[name] for name, process in processes.items()}
    calls = await fleet.count_platform_calls() - calls
    traffic = await _read_bytes(fleet) - traffic
    core, memory = {}, {}
    for role in ("dispatch", "entry"):
        names = [name for name in processes if name.endswith(role)]
        core[role] = 100 * sum(used[name] for name in names) / len(names) / WATCH_S
        sizes = [processes[name].memory_info().rss / 1e6 for name in names]
        memory[role] = sum(sizes) / len(sizes)
    vms = len(fleet.plan.entries)
    return Idle(core, memory, traffic / vms / WATCH_S, calls / WATCH_S)


def _cpu_s(process: psutil.Process) -> float:
    times = process.cpu_times()
    return times.user + times.system


async def _read_bytes(fleet: Fleet) -> int:
    total = 0
    for number in range(len(fleet.plan.dispatches)):
        address = fleet.plan.dispatch_address(number)
        state = json.loads(await fleet.read_operations(address, "/ops/state"))
        total += state["sent_bytes"] + state["received_bytes"]
    return total


async def _measure_shards() -> None:
    used: dict[str, list[float]] = {"entry": [], "dispatch": [], "upstreams": []}
    medians, tails = [], []
    for shards in SHARD_COUNTS:
        plan = make_plan(_make_topology(4, 4, shards // 2, shards), BASE_PORT)
        fleet, caller = Fleet(plan), Caller(plan.entry_addresses)
        try:
            await fleet.start()
            await fleet.wait_ready()
            rate = QUERY_RATES[shards]
            await run_load(caller, "search-sorting", rate, 3.0, 1)
            processes = {
                name: psutil.Process(process.pid)
                for name, process in fleet.processes.items()
            }
            before = {name: _cpu_s(process) for name, process in processes.items()}
            load = await run_load(caller, "search-sorting", rate, LOAD_S, 2)
            for role, values in used.items():
                spent = sum(
                    _cpu_s(process) - before[name]
                    for name, process in processes.items()
                    if role in name
                )
                values.append(1e3 * spent / len(load.samples))
            medians.append(1e3 * load.percentile(50))
            tails.append(1e3 * load.percentile(99))
        finally:
            await caller.close()
            await fleet.stop()
    for role, values in used.items():
        _print(fit(f"{role}: core ms of a query by shards", SHARD_COUNTS, values))
    _print(fit("median latency of a query, ms by shards", SHARD_COUNTS, medians))
    _print(fit("p99 latency of a query, ms by shards", SHARD_COUNTS, tails))


def _measure_documents() -> None:
    sizes, parse_ms, place_ms = [], [], []
    for replicas in REPLICA_COUNTS:
        topology = _make_topology(16, CELL_SIZE, replicas // 2, replicas // 2)
        plan = make_plan(topology, BASE_PORT)
        text, listed = write_directory(plan), write_vms(plan)
        sizes.append(len(text) / 1e3)
        began = time.perf_counter()
        directory = parse_document(DIRECTORY, text)
        parse_ms.append(1e3 * (time.perf_counter() - began))
        vms = parse_document(VMS, listed)
        place_ms.append(1e3 * _time_placement(vms, directory))
    _print(fit("directory, KB by replicas", REPLICA_COUNTS, sizes))
    _print(fit("directory read, ms by replicas", REPLICA_COUNTS, parse_ms))
    _print(fit("placement, ms by replicas", REPLICA_COUNTS, place_ms))


def _time_placement(vms: Vms, directory: Directory) -> float:
    began = time.perf_counter()
    Placement(vms, directory)
    return time.perf_counter() - began
