"""Randomised soak test: real processes, injected faults, checked invariants.

All random choices come from the seed. Faults start at random times and may overlap.
At the end no fault is left, and every request has to succeed again.
"""

from __future__ import annotations

import asyncio
import json
import random
import signal
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from ..clock import read_boottime
from ..peers.members import rank_hosts
from ..peers.relays import RANKING_KEY, STORE_READERS
from ..process import run_cli
from .drill import (
    LAPSED_S,
    bring_back,
    copy_store,
    find_old_configurations,
    lose_changes,
)
from .invariants import TrafficCutoff, Violation, find_violations
from .load import LoadGenerator, summarize_results
from .proxy import MODES as PROXY_MODES
from .proxy import Proxy
from .replicas import FAULTS
from .site import DATA_CENTRES, NEXT_SHARDS, SHARDS, Site, Vm
from .store import MODES

DRAIN_CUTOFF_S = 3.0  # Time after a drain from which no request may reach the replica.
RECOVERY_S = 3.0  # Time after the last fault until every request succeeds again.
# Time after a fault of a VM, the store or a link to it until the VMs keep all time
# limits again; drains that overlap it get no cutoff.
SETTLE_S = 4.0
MEAN_FAULT_INTERVAL_S = 0.6
RECOVERY_CHECK_S = 2.0  # Time at the end in which every request has to succeed.
# Faults that are not drawn: callers would not know a long answer for right.
UNDRAWN_FAULTS = ("", "gone", "long")


@dataclass(slots=True)
class Soak:
    """Run of one seed.

    Parameters
    ----------
    seed : int
        Seed of all faults and of the load.
    seconds : float
        Length of the part with faults, in seconds.
    vms : int
        Number of VMs.
    """

    seed: int
    seconds: float
    vms: int
    site: Site = field(init=False)
    rng: random.Random = field(init=False)
    cutoffs: list[TrafficCutoff] = field(default_factory=list)
    event_log: list[str] = field(default_factory=list)
    _disturbed_until: float = 0.0
    _tasks: set[asyncio.Task] = field(default_factory=set)
    _reserved_vms: set[str] = field(default_factory=set)
    _proxies: list[Proxy] = field(default_factory=list)
    _data_centres_out: set[str] = field(default_factory=set)

    def __post_init__(self):
        self.rng = random.Random(self.seed)
        self.site = Site(100 + self.seed % 100, self.vms)

    async def run(self) -> list[Violation]:
        """Run the load and the faults of the seed.

        Returns
        -------
        list of Violation
            Violations of the invariants.
        """
        try:
            await self.site.start()
            await self._add_proxies()
            load = LoadGenerator(self.site, self.seed)
            load.start()
            await self._inject_faults()
            recovered_at = read_boottime() + RECOVERY_S
            await asyncio.sleep(RECOVERY_S + RECOVERY_CHECK_S)
            results = await load.stop()
            arrivals = json.loads(await self.site.send_replicas_command("arrivals"))
            runs = await self.site.read_runs()
            violations = find_violations(results, runs, arrivals, self.cutoffs)
            failed = [
                r for r in results if r.sent_at > recovered_at and r.status != 200
            ]
            violations += await find_old_configurations(self.site)
            violations += [
                Violation("recovered", f"{r.attempt} {r.path}: {r.status} {r.detail}")
                for r in failed
            ]
            self.event_log.append(summarize_results(results))
            return violations
        finally:
            for proxy in self._proxies:
                proxy.close()
            await self.site.stop()

    async def _inject_faults(self) -> None:
        fault_actions: list[Callable[[], Awaitable[None]]] = [
            self._terminate_vm, self._kill_vm, self._kill_several_vms, self._pause_vm,
            self._pause_relays, self._reload_settings,
            self._inject_store_fault, self._compact_store,
            self._inject_replica_fault, self._inject_replica_fault,
            self._drain_replica, self._take_out_data_centre,
            self._publish_configuration, self._reshard,
            self._inject_link_fault, self._restore_store,
        ]  # fmt: skip
        end = read_boottime() + self.seconds
        while read_boottime() < end:
            fault_action = self.rng.choice(fault_actions)
            task = asyncio.create_task(fault_action())
            self._tasks.add(task)
            await asyncio.sleep(self.rng.expovariate(1 / MEAN_FAULT_INTERVAL_S))
        for task in list(self._tasks):
            await task
        for instance in self.site.entries:
            await self.site.set_fault(instance, "")

    def _log_event(self, text: str) -> None:
        self.event_log.append(f"{read_boottime():.2f} {text}")

    def _extend_disturbance(self, seconds: float) -> None:
        """Record no cutoffs until `SETTLE_S` after a fault that lasts these seconds."""
        until = read_boottime() + seconds + SETTLE_S
        self._disturbed_until = max(self._disturbed_until, until)

    def _reserve_vm(self):
        """Reserve a random VM for a fault; return None if fewer than two are free."""
        available = [vm for vm in self.site.fleet if vm.name not in self._reserved_vms]
        if len(available) < 2:
            return None
        vm = self.rng.choice(available)
        self._reserved_vms.add(vm.name)
        return vm

    async def _restart_vm(self, signal_number: signal.Signals) -> None:
        vm = self._reserve_vm()
        if vm is None:
            return
        downtime_s = self.rng.uniform(0.0, 1.5)
        self._log_event(f"{vm.name} gets {signal_number.name}")
        self._extend_disturbance(downtime_s + 6.0)
        self.site.signal_vm(vm, signal_number)
        await asyncio.to_thread(vm.process.wait, 10)
        await asyncio.sleep(downtime_s)
        self.site.start_vm(vm)
        await self.site.wait_ready(vm)
        self._extend_disturbance(0.0)
        self._reserved_vms.discard(vm.name)

    async def _terminate_vm(self) -> None:
        await self._restart_vm(signal.SIGTERM)

    async def _kill_vm(self) -> None:
        await self._restart_vm(signal.SIGKILL)

    async def _kill_several_vms(self) -> None:
        vm_count = self.rng.randint(2, max(2, len(self.site.fleet) // 2))
        await asyncio.gather(*(self._kill_vm() for _ in range(vm_count)))

    async def _pause_vm(self) -> None:
        vm = self._reserve_vm()
        if vm is not None:
            await self._pause_reserved_vm(vm, self.rng.uniform(0.3, 2.5))

    async def _pause_relays(self) -> None:
        hosts = [vm.host for vm in self.site.fleet if vm.data_centre == DATA_CENTRES[0]]
        relays = rank_hosts(hosts, RANKING_KEY)[:STORE_READERS]
        available = [
            vm
            for vm in self.site.fleet
            if vm.host in relays and vm.name not in self._reserved_vms
        ]
        # At least one VM has to keep serving callers.
        if len(available) + len(self._reserved_vms) >= len(self.site.fleet):
            return
        self._reserved_vms.update(vm.name for vm in available)
        duration_s = self.rng.uniform(0.5, 2.5)
        await asyncio.gather(
            *(self._pause_reserved_vm(vm, duration_s) for vm in available)
        )

    async def _pause_reserved_vm(self, vm: Vm, duration_s: float) -> None:
        self._log_event(f"{vm.name} paused for {duration_s:.1f} s")
        self._extend_disturbance(duration_s)
        self.site.signal_vm(vm, signal.SIGSTOP)
        await asyncio.sleep(duration_s)
        self.site.signal_vm(vm, signal.SIGCONT)
        self._reserved_vms.discard(vm.name)

    async def _reload_settings(self) -> None:
        for vm in self.site.fleet:
            if vm.name not in self._reserved_vms:
                self.site.signal_vm(vm, signal.SIGHUP)

    async def _inject_store_fault(self) -> None:
        mode = self.rng.choice([name for name in MODES if name != "serve"])
        duration_s = self.rng.uniform(0.5, 3.0)
        self._log_event(f"store in mode {mode} for {duration_s:.1f} s")
        self._extend_disturbance(duration_s + 1.0)
        await self.site.send_store_command("mode", mode=mode)
        await asyncio.sleep(duration_s)
        await self.site.send_store_command("mode", mode="serve")

    async def _restore_store(self) -> None:
        # A VM that starts meanwhile can't know which replicas the copy brings back.
        if self._reserved_vms:
            return
        self._reserved_vms.update(vm.name for vm in self.site.fleet)
        copy_age_s = self.rng.uniform(0.5, 4.0)
        away_s = self.rng.uniform(0.5, 2.0)
        self._log_event(
            f"store away for {away_s:.1f} s, back from a copy {copy_age_s:.1f} s old"
        )
        await copy_store(self.site)
        await asyncio.sleep(copy_age_s)
        self._extend_disturbance(away_s + LAPSED_S)
        await lose_changes(self.site, away_s, self._data_centres_out)
        await bring_back(self.site)
        self._reserved_vms.clear()

    async def _compact_store(self) -> None:
        self._log_event("history of the store dropped")
        await self.site.send_store_command("compact")

    async def _inject_replica_fault(self) -> None:
        instance = self.rng.choice(sorted(self.site.entries))
        fault = self.rng.choice([name for name in FAULTS if name not in UNDRAWN_FAULTS])
        duration_s = self.rng.uniform(0.5, 3.0)
        self._log_event(f"{instance} with fault {fault} for {duration_s:.1f} s")
        await self.site.set_fault(instance, fault)
        await asyncio.sleep(duration_s)
        await self.site.set_fault(instance, "")

    async def _drain_replica(self) -> None:
        ready = sorted(i for i, e in self.site.entries.items() if not e.draining)
        instance = self.rng.choice(ready)
        entry = self.site.entries[instance]
        self._log_event(f"{instance} drains")
        await self.site.add_replica(entry.service, entry.data_centre)
        undisturbed = read_boottime() > self._disturbed_until
        await self.site.drain(instance)
        cutoff_at = read_boottime() + DRAIN_CUTOFF_S
        await asyncio.sleep(DRAIN_CUTOFF_S)
        if undisturbed and read_boottime() > self._disturbed_until:
            self.cutoffs.append(TrafficCutoff(instance, cutoff_at))
        if instance in self.site.entries:
            await self.site.remove(instance)

    async def _take_out_data_centre(self) -> None:
        data_centre = self.rng.choice(DATA_CENTRES)
        self._log_event(f"{data_centre} out of service")
        self._data_centres_out.add(data_centre)
        await self.site.set_data_centre_out(data_centre, True)
        await asyncio.sleep(self.rng.uniform(0.5, 3.0))
        self._data_centres_out.discard(data_centre)
        await self.site.set_data_centre_out(data_centre, False)

    async def _publish_configuration(self) -> None:
        self._log_event("publishing the next version of the configuration")
        await self.site.publish_configuration()

    async def _reshard(self) -> None:
        next_shards = NEXT_SHARDS if self.site.shards == SHARDS else SHARDS
        services = {entry.service for entry in self.site.entries.values()}
        for service in next_shards:
            if service not in services:
                for data_centre in DATA_CENTRES[:2]:
                    await self.site.add_replica(service, data_centre)
        self._log_event(f"reshard to {len(next_shards)} shards")
        await self.site.publish_configuration(next_shards)

    async def _add_proxies(self) -> None:
        """Let all VMs but one use proxies to the store from their next start on."""
        for vm in self.site.fleet[1:]:
            proxy = Proxy(self.site.store_address)
            await proxy.listen(vm.host)
            self._proxies.append(proxy)
            vm.store_address = proxy.address

    async def _inject_link_fault(self) -> None:
        if not self._proxies:
            return
        proxy = self.rng.choice(self._proxies)
        mode = self.rng.choice([name for name in PROXY_MODES if name != "pass"])
        duration_s = self.rng.uniform(0.5, 3.0)
        self._log_event(f"link to the store in mode {mode} for {duration_s:.1f} s")
        self._extend_disturbance(duration_s + 1.0)
        proxy.set_mode(mode)
        await asyncio.sleep(duration_s)
        proxy.set_mode("pass")


def soak(seed: int = 1, count: int = 1, seconds: float = 10.0, vms: int = 3):
    """Run the soak test with consecutive seeds.

    The exit code is 1 if an invariant was violated.

    Parameters
    ----------
    seed : int
        First seed.
    count : int
        Number of seeds.
    seconds : float
        Length of the part with faults, in seconds, for each seed.
    vms : int
        Number of VMs.
    """

    async def run() -> int:
        failed_seeds = 0
        for number in range(seed, seed + count):
            soak_run = Soak(number, seconds, vms)
            violations = await soak_run.run()
            failed_seeds += bool(violations)
            print(
                f"seed {number}: {len(violations)} violations; {soak_run.event_log[-1]}"
            )
            for violation in violations[:8]:
                print(f"  {violation.invariant}: {violation.detail}")
            if violations:
                print("  " + "\n  ".join(soak_run.event_log))
            sys.stdout.flush()
        return 1 if failed_seeds else 0

    return run


if __name__ == "__main__":
    run_cli("anvilhoist-soak", soak)
