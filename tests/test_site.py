"""The whole path over the users' protocol, as separate processes."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
from collections.abc import Awaitable, Callable

import pytest

from anvilhoist.clock import read_boottime
from anvilhoist.peers.members import rank_hosts
from anvilhoist.peers.relays import RANKING_KEY, STORE_READERS
from anvilhoist.site.invariants import TrafficCutoff, find_violations
from anvilhoist.site.load import LoadGenerator
from anvilhoist.site.site import (
    DATA_CENTRES,
    NEXT_SHARDS,
    SHARDS,
    UNSHARDED_SERVICE,
    Site,
    Vm,
)
from conftest import WORKER

LEAVE_S = 3.0
SEED = 7
BASES_FOR_WORKER = 20
_bases = itertools.count(2 + WORKER * BASES_FOR_WORKER)

Act = Callable[[Site, LoadGenerator], Awaitable[list[TrafficCutoff] | None]]


def play(
    act: Act,
    require_answers: bool = True,
    seconds: float = 1.5,
    work_s=0.01,
    reuse_probability=0.8,
    vms=3,
) -> tuple[list, Site, list]:
    """Results of a load while something happens, and the promises broken."""

    async def run():
        site = Site(next(_bases), vms)
        try:
            await site.start(work_s)
            load = LoadGenerator(site, SEED, reuse_probability=reuse_probability)
            load.start()
            await asyncio.sleep(0.5)
            cutoffs = await act(site, load) or []
            await asyncio.sleep(seconds)
            results = await load.stop()
            arrivals = json.loads(await site.send_replicas_command("arrivals"))
            runs = await site.read_runs()
            violations = find_violations(
                results, runs, arrivals, cutoffs, require_answers
            )
            return results, site, violations
        finally:
            await site.stop()

    return asyncio.run(run())


def served(results: list) -> float:
    """Share of requests that got an answer with success."""
    return sum(result.status == 200 for result in results) / len(results)


def list_relays(site: Site, place: str) -> list[Vm]:
    """VMs of a data centre that the others there read through."""
    vms = {vm.host: vm for vm in site.fleet if vm.data_centre == place}
    return [vms[host] for host in rank_hosts(list(vms), RANKING_KEY)[:STORE_READERS]]


@pytest.mark.process
class TestRelays:
    """Nine VMs; in each data centre two read the store, and the third through them."""

    VMS = 9
    MANY_LEAVE_S = 5.0

    def count_late(self, paused: int, leave_s: float) -> list[float]:
        """Times at which a drained replica got requests while relays were paused.

        What a relay still sends as it wakes up is its own: it was not in touch.
        """
        late: list[float] = []

        async def act(site, load):
            relays = list_relays(site, DATA_CENTRES[0])[:paused]
            for vm in relays:
                site.signal_vm(vm, signal.SIGSTOP)
            instance = next(iter(site.entries))
            await site.drain(instance)
            left_at = read_boottime() + leave_s
            await asyncio.sleep(leave_s + 1.0)
            arrivals = json.loads(await site.send_replicas_command("arrivals"))
            late.extend(at - left_at for at in arrivals[instance] if at > left_at)
            for vm in relays:
                site.signal_vm(vm, signal.SIGCONT)

        results, _, violations = play(act, require_answers=False, vms=self.VMS)
        assert not violations
        assert results
        return late

    def test_few_vms_read_the_store(self):
        async def act(site, load):
            await asyncio.sleep(1.0)
            before = int(await site.send_store_command("calls"))
            await asyncio.sleep(3.0)
            rates.append((int(await site.send_store_command("calls")) - before) / 3.0)

        rates: list[float] = []
        results, _, violations = play(act, vms=self.VMS)
        assert not violations
        assert served(results) == 1.0
        # Each reader waits 2 s and pauses 0.4 s; three changes of state may add some.
        assert rates[0] < STORE_READERS * len(DATA_CENTRES) * 1.0

    def test_paused_relay_holds_nothing_up(self):
        assert not self.count_late(1, LEAVE_S)

    def test_followers_of_paused_relays_ask_the_store(self):
        assert not self.count_late(2, self.MANY_LEAVE_S)


@pytest.mark.process
class TestSite:
    def test_calm(self):
        async def act(site, load):
            return None

        results, site, violations = play(act)
        assert not violations
        assert served(results) == 1.0
        assert not any(result.missing_shards for result in results)
        assert set(site.exit_codes) == {0}

    def test_drain(self):
        async def act(site, load):
            instance = next(iter(site.entries))
            await site.drain(instance)
            return [TrafficCutoff(instance, read_boottime() + LEAVE_S)]

        results, _, violations = play(act, seconds=LEAVE_S + 0.5)
        assert not violations
        assert served(results) == 1.0

    def test_data_centre_out(self):
        async def act(site, load):
            out = DATA_CENTRES[0]
            await site.set_data_centre_out(out, True)
            end = read_boottime() + LEAVE_S
            return [
                TrafficCutoff(entry.instance, end)
                for entry in site.entries.values()
                if entry.data_centre == out
            ]

        results, _, violations = play(act, seconds=LEAVE_S + 0.5)
        assert not violations
        assert served(results) == 1.0

    def test_sigterm_under_load(self):
        async def act(site, load):
            vm = site.fleet[0]
            site.signal_vm(vm, signal.SIGTERM)
            await asyncio.to_thread(vm.process.wait, 10)
            assert vm.process.returncode == 0
            site.start_vm(vm)
            await site.wait_ready(vm)

        results, _, violations = play(act, work_s=0.1, reuse_probability=0.2)
        assert not violations
        assert served(results) == 1.0

    def test_sighup_cuts_nothing(self):
        async def act(site, load):
            for vm in site.fleet:
                site.signal_vm(vm, signal.SIGHUP)

        results, _, violations = play(act)
        assert not violations
        assert served(results) == 1.0

    @pytest.mark.parametrize("mode", ["busy", "silent"])
    def test_store_outage(self, mode):
        async def act(site, load):
            await site.send_store_command("mode", mode=mode)
            await asyncio.sleep(2.0)
            await site.send_store_command("mode", mode="serve")

        results, _, violations = play(act)
        assert not violations
        assert served(results) == 1.0

    def test_start_without_the_store_takes_what_a_peer_knows(self):
        async def act(site, load):
            await site.send_store_command("mode", mode="busy")
            vm = site.fleet[0]
            site.signal_vm(vm, signal.SIGTERM)
            await asyncio.to_thread(vm.process.wait, 10)
            site.start_vm(vm)
            await site.wait_ready(vm)

        results, _, violations = play(act)
        assert not violations
        assert served(results) == 1.0

    def test_peer_killed(self):
        async def act(site, load):
            site.signal_vm(site.fleet[1], signal.SIGKILL)

        results, _, violations = play(act, require_answers=False, seconds=3.0)
        assert not violations
        late = [r for r in results if r.sent_at > results[0].sent_at + 3.0]
        assert served(late) == 1.0

    @pytest.mark.parametrize("fault", ["extra", "cut", "reset", "unframed", "shed"])
    def test_spoilt_answers(self, fault):
        async def act(site, load):
            singles = [
                i for i, e in site.entries.items() if e.service == UNSHARDED_SERVICE
            ]
            for instance in {*list(site.entries)[::2], *singles}:
                await site.set_fault(instance, fault)

        results, _, violations = play(act)
        assert not violations
        searches = [r for r in results if r.path.startswith("/search")]
        assert served(searches) > 0.9

    def test_reshard(self):
        async def act(site, load):
            for service in NEXT_SHARDS:
                for data_centre in DATA_CENTRES[:2]:
                    await site.add_replica(service, data_centre)
            await site.publish_configuration(NEXT_SHARDS)
            await asyncio.sleep(LEAVE_S)
            end = read_boottime()
            old = [i for i, entry in site.entries.items() if entry.service in SHARDS]
            for instance in old:
                await site.drain(instance)
            return [TrafficCutoff(instance, end) for instance in old]

        results, _, violations = play(act)
        assert not violations
        assert served(results) == 1.0

    def test_address_taken_over_by_another_instance(self):
        async def act(site, load):
            instance = next(iter(site.entries))
            entry = site.entries.pop(instance)
            await site.send_store_command("delete", key=f"servers/{instance}")
            other = f'{{"backend":"shard-0","address":"{entry.address}",'
            other += '"zone":"vaxjo","slots":3,"state":"ready","sequence":1,"born":1}'
            await site.put_store_item("servers/i-other", other.encode())

        results, _, violations = play(act)
        assert not violations
        assert served(results) == 1.0

    def test_entries_and_configurations_of_other_writers(self):
        async def act(site, load):
            await site.put_store_item("servers/i-odd", b"\xff\xfe")
            await site.put_store_item(
                "servers/i-odder", b'{"backend": 3, "slots": "two"}'
            )
            await site.put_store_item(
                "op/config", b'{"version": 9999, "routes": "none"}'
            )
            await site.put_store_item("op/other", b"[]")

        results, site, violations = play(act)
        assert not violations
        assert served(results) == 1.0
        assert "configuration_refused" in site.read_log("front-1")
