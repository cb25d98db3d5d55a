"""Randomized soak: real processes, faults from outside, promises checked.

Each seed plans its faults in advance; they come in series and overlap. At the end all
faults are healed, and everything has to be served again.
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
from .invariants import TrafficCutoff, Violation, find_violations
from .load import LoadGenerator, describe
from .proxy import MODES as PROXY_MODES
from .proxy import Proxy
from .replicas import FAULTS
from .site import DATA_CENTRES, NEXT_SHARDS, SHARDS, Site, Vm

LEAVE_S = 3.0  # s after which nothing may reach what left
CALM_S = 3.0  # s after the last fault, until all is served again
TOUCH_S = 4.0  # s without a fault of its own, after which a VM keeps every bound
EVENT_EVERY_S = 0.6
CHECK_S = 2.0


@dataclass(slots=True)
class Soak:
    """One seed's run.

    Parameters
    ----------
    seed : int
        Seed of every choice.
    seconds : float
        Length of the part with faults.
    vms : int
        Processes of the tier.
    """

    seed: int
    seconds: float
    vms: int
    site: Site = field(init=False)
    chance: random.Random = field(init=False)
    cutoffs: list[TrafficCutoff] = field(default_factory=list)
    event_log: list[str] = field(default_factory=list)
    _disturbed_until: float = 0.0
    _tasks: set[asyncio.Task] = field(default_factory=set)
    _busy_vms: set[str] = field(default_factory=set)
    _proxies: list[Proxy] = field(default_factory=list)

    def __post_init__(self):
        self.chance = random.Random(self.seed)
        self.site = Site(100 + self.seed % 100, self.vms)

    async def run(self) -> list[Violation]:
        """Play the seed.

        Returns
        -------
        list of Violation
            Promises that were broken.
        """
        try:
            await self.site.start()
            await self._add_proxies()
            load = LoadGenerator(self.site, self.seed)
            load.start()
            await self._play()
            calm_from = read_boottime() + CALM_S
            await asyncio.sleep(CALM_S + CHECK_S)
            results = await load.stop()
            arrivals = json.loads(await self.site.send_replicas_command("arrivals"))
            runs = await self.site.read_runs()
            violations = find_violations(results, runs, arrivals, self.cutoffs)
            late = [r for r in results if r.sent_at > calm_from and r.status != 200]
            violations += [
                Violation("recovered", f"{r.attempt} {r.path}: {r.status} {r.detail}")
                for r in late
            ]
            self.event_log.append(describe(results))
            return violations
        finally:
            for proxy in self._proxies:
                proxy.close()
            await self.site.stop()

    async def _play(self) -> None:
        acts: list[Callable[[], Awaitable[None]]] = [
            self._stop_vm, self._kill_vm, self._kill_many, self._pause_vm,
            self._pause_relays, self._hang_up,
            self._harm_store, self._compact, self._harm_replica, self._harm_replica,
            self._drain, self._take_out, self._configure, self._reshard,
            self._harm_link,
        ]  # fmt: skip
        end = read_boottime() + self.seconds
        while read_boottime() < end:
            act = self.chance.choice(acts)
            task = asyncio.create_task(act())
            self._tasks.add(task)
            await asyncio.sleep(self.chance.expovariate(1 / EVENT_EVERY_S))
        for task in list(self._tasks):
            await task
        for instance in self.site.entries:
            await self.site.set_fault(instance, "")

    def _tell(self, text: str) -> None:
        self.event_log.append(f"{read_boottime():.2f} {text}")

    def _disturb(self, seconds: float) -> None:
        until = read_boottime() + seconds + TOUCH_S
        self._disturbed_until = max(self._disturbed_until, until)

    def _pick_vm(self):
        free = [vm for vm in self.site.fleet if vm.name not in self._busy_vms]
        if len(free) < 2:
            return None
        vm = self.chance.choice(free)
        self._busy_vms.add(vm.name)
        return vm

    async def _end_vm(self, number: signal.Signals) -> None:
        vm = self._pick_vm()
        if vm is None:
            return
        pause_s = self.chance.uniform(0.0, 1.5)
        self._tell(f"{number.name} {vm.name}")
        self._disturb(pause_s + 6.0)
        self.site.signal_vm(vm, number)
        await asyncio.to_thread(vm.process.wait, 10)
        await asyncio.sleep(pause_s)
        self.site.start_vm(vm)
        await self.site.wait_ready(vm)
        self._disturb(0.0)
        self._busy_vms.discard(vm.name)

    async def _stop_vm(self) -> None:
        await self._end_vm(signal.SIGTERM)

    async def _kill_vm(self) -> None:
        await self._end_vm(signal.SIGKILL)

    async def _kill_many(self) -> None:
        number = self.chance.randint(2, max(2, len(self.site.fleet) // 2))
        await asyncio.gather(*(self._kill_vm() for _ in range(number)))

    async def _pause_vm(self) -> None:
        vm = self._pick_vm()
        if vm is not None:
            await self._pause(vm, self.chance.uniform(0.3, 2.5))

    async def _pause_relays(self) -> None:
        hosts = [vm.host for vm in self.site.fleet if vm.data_centre == DATA_CENTRES[0]]
        relays = rank_hosts(hosts, RANKING_KEY)[:STORE_READERS]
        free = [
            vm
            for vm in self.site.fleet
            if vm.host in relays and vm.name not in self._busy_vms
        ]
        # Somebody has to answer callers meanwhile.
        if len(free) + len(self._busy_vms) >= len(self.site.fleet):
            return
        self._busy_vms.update(vm.name for vm in free)
        pause_s = self.chance.uniform(0.5, 2.5)
        await asyncio.gather(*(self._pause(vm, pause_s) for vm in free))

    async def _pause(self, vm: Vm, pause_s: float) -> None:
        self._tell(f"pause {vm.name} {pause_s:.1f}")
        self._disturb(pause_s)
        self.site.signal_vm(vm, signal.SIGSTOP)
        await asyncio.sleep(pause_s)
        self.site.signal_vm(vm, signal.SIGCONT)
        self._busy_vms.discard(vm.name)

    async def _hang_up(self) -> None:
        for vm in self.site.fleet:
            if vm.name not in self._busy_vms:
                self.site.signal_vm(vm, signal.SIGHUP)

    async def _harm_store(self) -> None:
        mode = self.chance.choice(("busy", "silent"))
        pause_s = self.chance.uniform(0.5, 3.0)
        self._tell(f"store {mode} {pause_s:.1f}")
        self._disturb(pause_s + 1.0)
        await self.site.send_store_command("mode", mode=mode)
        await asyncio.sleep(pause_s)
        await self.site.send_store_command("mode", mode="serve")

    async def _compact(self) -> None:
        self._tell("history dropped")
        await self.site.send_store_command("compact")

    async def _harm_replica(self) -> None:
        instance = self.chance.choice(sorted(self.site.entries))
        fault = self.chance.choice(
            [name for name in FAULTS if name not in ("", "gone")]
        )
        pause_s = self.chance.uniform(0.5, 3.0)
        self._tell(f"{instance} {fault} {pause_s:.1f}")
        await self.site.set_fault(instance, fault)
        await asyncio.sleep(pause_s)
        await self.site.set_fault(instance, "")

    async def _drain(self) -> None:
        ready = sorted(i for i, e in self.site.entries.items() if not e.draining)
        instance = self.chance.choice(ready)
        entry = self.site.entries[instance]
        self._tell(f"drain {instance}")
        await self.site.add_replica(entry.service, entry.data_centre)
        calm = read_boottime() > self._disturbed_until
        await self.site.drain(instance)
        at = read_boottime() + LEAVE_S
        await asyncio.sleep(LEAVE_S)
        if calm and read_boottime() > self._disturbed_until:
            self.cutoffs.append(TrafficCutoff(instance, at))
        if instance in self.site.entries:
            await self.site.remove(instance)

    async def _take_out(self) -> None:
        place = self.chance.choice(DATA_CENTRES)
        self._tell(f"{place} is out")
        await self.site.set_data_centre_out(place, True)
        await asyncio.sleep(self.chance.uniform(0.5, 3.0))
        await self.site.set_data_centre_out(place, False)

    async def _configure(self) -> None:
        self._tell("configuration")
        await self.site.publish_configuration()

    async def _reshard(self) -> None:
        following = NEXT_SHARDS if self.site.shards == SHARDS else SHARDS
        services = {entry.service for entry in self.site.entries.values()}
        for service in following:
            if service not in services:
                for place in DATA_CENTRES[:2]:
                    await self.site.add_replica(service, place)
        self._tell(f"reshard to {len(following)}")
        await self.site.publish_configuration(following)

    async def _add_proxies(self) -> None:
        for vm in self.site.fleet[1:]:
            proxy = Proxy(self.site.store_address)
            await proxy.listen(vm.host)
            self._proxies.append(proxy)
            vm.store_address = proxy.address

    async def _harm_link(self) -> None:
        if not self._proxies:
            return
        proxy = self.chance.choice(self._proxies)
        mode = self.chance.choice([name for name in PROXY_MODES if name != "pass"])
        pause_s = self.chance.uniform(0.5, 3.0)
        self._tell(f"link to the store {mode} {pause_s:.1f}")
        self._disturb(pause_s + 1.0)
        proxy.set_mode(mode)
        await asyncio.sleep(pause_s)
        proxy.set_mode("pass")


def soak(seed: int = 1, count: int = 1, seconds: float = 10.0, vms: int = 3):
    """Play seeds one after the other; exit code 1 if a promise was broken.

    Parameters
    ----------
    seed : int
        First seed.
    count : int
        Number of seeds.
    seconds : float
        Length of the part with faults, for each seed.
    vms : int
        Processes of the tier.
    """

    async def run() -> int:
        broken = 0
        for number in range(seed, seed + count):
            run_one = Soak(number, seconds, vms)
            violations = await run_one.run()
            broken += bool(violations)
            print(f"seed {number}: {len(violations)} broken; {run_one.event_log[-1]}")
            for violation in violations[:8]:
                print(f"  {violation.invariant}: {violation.detail}")
            if violations:
                print("  " + "\n  ".join(run_one.event_log))
            sys.stdout.flush()
        return 1 if broken else 0

    return run


if __name__ == "__main__":
    run_cli("anvilhoist-soak", soak)
