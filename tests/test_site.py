"""End-to-end tests over the users' protocol, with separate processes."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
from collections.abc import Awaitable, Callable
from dataclasses import replace

import aiohttp
import pytest

from anvilhoist.clock import read_boottime
from anvilhoist.peers.members import rank_hosts
from anvilhoist.peers.relays import RANKING_KEY, STORE_READERS
from anvilhoist.platform.publish import encode_replica
from anvilhoist.site.invariants import TrafficCutoff, find_violations
from anvilhoist.site.load import LoadGenerator
from anvilhoist.site.replicas import QUIET_S, RATE_LIMIT_PER_S
from anvilhoist.site.site import (
    DATA_CENTRES,
    HOST_NAME,
    NEXT_SHARDS,
    SEARCH_PREFIX,
    SHARDS,
    UNSHARDED_SERVICE,
    Site,
    Vm,
)
from conftest import WORKER

CUTOFF_DELAY_S = 3.0  # Time after a change by which a replica gets no more requests.
SEED = 7
LIMIT_GRACE_S = 4.0  # Time after which VMs keep to a rate limit that a replica names.
LIMIT_WINDOW_S = 4.0  # Time in which its requests are counted.
OCTETS_PER_WORKER = 20  # Loopback octets, one a site, for each pytest-xdist worker.
_loopback_octets = itertools.count(2 + WORKER * OCTETS_PER_WORKER)

Action = Callable[[Site, LoadGenerator], Awaitable[list[TrafficCutoff] | None]]


def run_under_load(
    action: Action,
    require_answers: bool = True,
    seconds: float = 1.5,
    work_s=0.01,
    reuse_probability=0.8,
    vms=3,
) -> tuple[list, Site, list]:
    """Run an action under load; return the results, the site and the violations."""

    async def run():
        site = Site(next(_loopback_octets), vms)
        try:
            await site.start(work_s)
            load = LoadGenerator(site, SEED, reuse_probability=reuse_probability)
            load.start()
            await asyncio.sleep(0.5)
            cutoffs = await action(site, load) or []
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


def compute_success_rate(results: list) -> float:
    """Return the share of requests that got status 200."""
    return sum(result.status == 200 for result in results) / len(results)


def read_log_lines(site: Site, results: list) -> str:
    """Return the lines of all processes' logs that name one of the requests."""
    lines = [
        line
        for log in sorted(site.run_directory.glob("*.log"))
        for line in log.read_text().splitlines()
        if any(result.attempt in line for result in results)
    ]
    return "\n".join(lines)


def find_vms(site: Site, results: list) -> dict[str, str]:
    """Return the name of the VM that served each attempt, by the VMs' logs."""
    attempts = {result.attempt for result in results}
    found = {}
    for vm in site.fleet:
        for line in site.read_log(vm.name).splitlines():
            attempt = json.loads(line).get("request") if "request" in line else None
            if attempt in attempts:
                found[attempt] = vm.name
    return found


async def send_search(vm: Vm, query: str, attempt: str) -> int:
    """Send a search to a VM, and return the status of its response."""
    headers = {"Host": HOST_NAME, "x-attempt-id": attempt, "x-deadline-ms": "1500"}
    url = f"http://{vm.callers_address}{SEARCH_PREFIX}{query}"
    async with aiohttp.request("GET", url, headers=headers) as reply:
        return reply.status


async def count_arrivals(site: Site) -> dict[str, int]:
    """Return how many requests have arrived at each replica."""
    arrivals = json.loads(await site.send_replicas_command("arrivals"))
    return {instance: len(times) for instance, times in arrivals.items()}


def list_relays(site: Site, data_centre: str) -> list[Vm]:
    """Return the VMs of a data centre through which its other VMs read the store."""
    vms = {vm.host: vm for vm in site.fleet if vm.data_centre == data_centre}
    return [vms[host] for host in rank_hosts(list(vms), RANKING_KEY)[:STORE_READERS]]


@pytest.mark.process
class TestRelays:
    """Nine VMs: in each data centre two read the store, and the third through them."""

    VMS = 9
    BOTH_RELAYS_CUTOFF_DELAY_S = 5.0

    def find_late_arrivals(
        self, paused_count: int, cutoff_delay_s: float
    ) -> list[float]:
        """Return how late a drained replica still got requests with relays paused.

        Each is a time in seconds after the cutoff. Requests that a relay sends as it
        resumes are not counted, because it could not learn of the drain while paused.
        """
        late_arrivals: list[float] = []

        async def action(site, load):
            relays = list_relays(site, DATA_CENTRES[0])[:paused_count]
            for vm in relays:
                site.signal_vm(vm, signal.SIGSTOP)
            instance = next(iter(site.entries))
            await site.drain(instance)
            cutoff_at = read_boottime() + cutoff_delay_s
            await asyncio.sleep(cutoff_delay_s + 1.0)
            arrivals = json.loads(await site.send_replicas_command("arrivals"))
            late_arrivals.extend(
                at - cutoff_at for at in arrivals[instance] if at > cutoff_at
            )
            for vm in relays:
                site.signal_vm(vm, signal.SIGCONT)

        results, _, violations = run_under_load(
            action, require_answers=False, vms=self.VMS
        )
        assert not violations
        assert results
        return late_arrivals

    def test_few_vms_read_the_store(self):
        async def action(site, load):
            await asyncio.sleep(1.0)
            calls_before = int(await site.send_store_command("calls"))
            await asyncio.sleep(3.0)
            call_rates.append(
                (int(await site.send_store_command("calls")) - calls_before) / 3.0
            )

        call_rates: list[float] = []
        results, _, violations = run_under_load(action, vms=self.VMS)
        assert not violations
        assert compute_success_rate(results) == 1.0
        # Each reader's watch waits 2 s, and the next one follows 0.4 s later; three
        # changes of state may add calls.
        assert call_rates[0] < STORE_READERS * len(DATA_CENTRES) * 1.0

    def test_one_paused_relay_delays_no_change(self):
        assert not self.find_late_arrivals(1, CUTOFF_DELAY_S)

    def test_followers_of_paused_relays_read_the_store(self):
        assert not self.find_late_arrivals(2, self.BOTH_RELAYS_CUTOFF_DELAY_S)


@pytest.mark.process
class TestSite:
    def test_no_fault(self):
        async def action(site, load):
            return None

        results, site, violations = run_under_load(action)
        assert not violations
        assert compute_success_rate(results) == 1.0
        incomplete = [result for result in results if result.missing_shards]
        assert not incomplete, read_log_lines(site, incomplete)
        assert set(site.exit_codes) == {0}

    def test_drain(self):
        async def action(site, load):
            instance = next(iter(site.entries))
            await site.drain(instance)
            return [TrafficCutoff(instance, read_boottime() + CUTOFF_DELAY_S)]

        results, _, violations = run_under_load(action, seconds=CUTOFF_DELAY_S + 0.5)
        assert not violations
        assert compute_success_rate(results) == 1.0

    def test_data_centre_out(self):
        async def action(site, load):
            out = DATA_CENTRES[0]
            await site.set_data_centre_out(out, True)
            cutoff_at = read_boottime() + CUTOFF_DELAY_S
            return [
                TrafficCutoff(entry.instance, cutoff_at)
                for entry in site.entries.values()
                if entry.data_centre == out
            ]

        results, _, violations = run_under_load(action, seconds=CUTOFF_DELAY_S + 0.5)
        assert not violations
        assert compute_success_rate(results) == 1.0

    def test_sigterm_under_load(self):
        async def action(site, load):
            vm = site.fleet[0]
            site.signal_vm(vm, signal.SIGTERM)
            await asyncio.to_thread(vm.process.wait, 10)
            assert vm.process.returncode == 0
            site.start_vm(vm)
            await site.wait_ready(vm)

        results, _, violations = run_under_load(
            action, work_s=0.1, reuse_probability=0.2
        )
        assert not violations
        assert compute_success_rate(results) == 1.0

    def test_sighup_interrupts_no_request(self):
        async def action(site, load):
            for vm in site.fleet:
                site.signal_vm(vm, signal.SIGHUP)

        results, _, violations = run_under_load(action)
        assert not violations
        assert compute_success_rate(results) == 1.0

    @pytest.mark.parametrize("mode", ["busy", "silent"])
    def test_store_outage(self, mode):
        async def action(site, load):
            await site.send_store_command("mode", mode=mode)
            await asyncio.sleep(2.0)
            await site.send_store_command("mode", mode="serve")

        results, _, violations = run_under_load(action)
        assert not violations
        assert compute_success_rate(results) == 1.0

    def test_start_without_the_store_reads_the_view_of_a_peer(self):
        async def action(site, load):
            await site.send_store_command("mode", mode="busy")
            vm = site.fleet[0]
            site.signal_vm(vm, signal.SIGTERM)
            await asyncio.to_thread(vm.process.wait, 10)
            site.start_vm(vm)
            await site.wait_ready(vm)

        results, _, violations = run_under_load(action)
        assert not violations
        assert compute_success_rate(results) == 1.0

    def test_peer_killed(self):
        async def action(site, load):
            site.signal_vm(site.fleet[1], signal.SIGKILL)

        results, _, violations = run_under_load(
            action, require_answers=False, seconds=3.0
        )
        assert not violations
        late_results = [r for r in results if r.sent_at > results[0].sent_at + 3.0]
        assert compute_success_rate(late_results) == 1.0

    @pytest.mark.parametrize(
        "fault", ["extra", "cut", "cut_head", "reset", "unframed", "shed"]
    )
    def test_faulty_answers(self, fault):
        async def action(site, load):
            unsharded = [
                i for i, e in site.entries.items() if e.service == UNSHARDED_SERVICE
            ]
            for instance in {*list(site.entries)[::2], *unsharded}:
                await site.set_fault(instance, fault)

        results, _, violations = run_under_load(action)
        assert not violations
        searches = [r for r in results if r.path.startswith("/search")]
        assert compute_success_rate(searches) > 0.9

    def test_replicas_get_no_more_than_the_rate_that_they_name(self):
        limited: list[str] = []

        async def action(site, load):
            limited.extend(list(site.entries)[::2])
            for instance in limited:
                await site.set_fault(instance, "limit")
            await asyncio.sleep(LIMIT_GRACE_S)
            counts.append(await count_arrivals(site))
            await asyncio.sleep(LIMIT_WINDOW_S)
            counts.append(await count_arrivals(site))

        counts: list[dict[str, int]] = []
        results, _, violations = run_under_load(action, seconds=0.5)
        assert not violations
        assert compute_success_rate(results) > 0.98
        allowed = 1.5 * RATE_LIMIT_PER_S * LIMIT_WINDOW_S + 5
        for instance in limited:
            assert counts[1][instance] - counts[0][instance] <= allowed

    def test_replica_that_says_that_it_leaves_gets_nothing_later(self):
        # Guards against requests to a replica after a VM has been told that it leaves.
        asked: list[str] = []
        runs: list[dict] = []

        async def action(site, load):
            asked.extend(list(site.entries)[::2])
            asked_at.append(read_boottime())
            for instance in asked:
                await site.set_fault(instance, "leaving")
            await asyncio.sleep(CUTOFF_DELAY_S + 2.5)
            runs.extend(await site.read_runs())

        asked_at: list[float] = []
        results, site, violations = run_under_load(action, seconds=0.2)
        assert not violations
        assert compute_success_rate(results) > 0.95
        vm_by_attempt = find_vms(site, results)
        told_at: dict[tuple[str, str], float] = {}
        for run in sorted(runs, key=lambda run: run["at"]):
            vm = vm_by_attempt.get(run["attempt"])
            if run["instance"] not in asked or run["at"] < asked_at[0] or vm is None:
                continue
            first_at = told_at.setdefault((vm, run["instance"]), run["at"])
            assert run["at"] <= first_at + CUTOFF_DELAY_S, run
        assert len(told_at) >= len(asked)

    def test_replicas_that_want_quiet_get_little(self):
        asked: list[str] = []

        async def action(site, load):
            asked.extend(list(site.entries)[::2])
            for instance in asked:
                await site.set_fault(instance, "quiet")
            await asyncio.sleep(1.0)
            counts.append(await count_arrivals(site))
            await asyncio.sleep(QUIET_S - 1.0)
            counts.append(await count_arrivals(site))

        counts: list[dict[str, int]] = []
        results, site, violations = run_under_load(action, seconds=0.2)
        assert not violations
        assert compute_success_rate(results) > 0.95
        for instance in asked:
            assert counts[1][instance] - counts[0][instance] <= 2 * len(site.fleet)

    def test_request_that_ends_replicas_is_stopped(self):
        # Guards against a request that takes down each copy of each shard.
        async def action(site, load):
            for number in range(9):
                vm = site.fleet[number % len(site.fleet)]
                await send_search(vm, "deadly", f"deadly-{number}")
                await asyncio.sleep(0.4)
            ends.extend(json.loads(await site.send_replicas_command("ends")))

        ends: list[str] = []
        results, site, _ = run_under_load(action, require_answers=False)
        assert len(SHARDS) <= len(ends) <= len(SHARDS) + 1
        assert compute_success_rate(results) >= 0.95
        for vm in site.fleet:
            assert "request_quarantined" in site.read_log(vm.name)

    def test_reshard(self):
        async def action(site, load):
            for service in NEXT_SHARDS:
                for data_centre in DATA_CENTRES[:2]:
                    await site.add_replica(service, data_centre)
            await site.publish_configuration(NEXT_SHARDS)
            await asyncio.sleep(CUTOFF_DELAY_S)
            cutoff_at = read_boottime()
            old_instances = [
                i for i, entry in site.entries.items() if entry.service in SHARDS
            ]
            for instance in old_instances:
                await site.drain(instance)
            return [TrafficCutoff(instance, cutoff_at) for instance in old_instances]

        results, _, violations = run_under_load(action)
        assert not violations
        assert compute_success_rate(results) == 1.0

    def test_address_taken_over_by_another_instance(self):
        async def action(site, load):
            instance = next(iter(site.entries))
            entry = site.entries.pop(instance)
            await site.send_store_command("delete", key=f"servers/{instance}")
            other = replace(
                entry, instance="i-other", service="shard-0", data_centre="vaxjo",
                slots=3, draining=False, sequence=1, born_ms=1,
            )  # fmt: skip
            await site.put_store_item("servers/i-other", encode_replica(other))

        results, _, violations = run_under_load(action)
        assert not violations
        assert compute_success_rate(results) == 1.0

    def test_odd_entry_stops_neither_requests_nor_later_changes(self):
        # Guards against one entry of another writer that fails a whole service.
        async def action(site, load):
            entry = next(e for e in site.entries.values() if e.service == SHARDS[0])
            good = json.loads(encode_replica(entry))
            odd = {
                "i-nested": '{"backend":' * 20_000,
                "i-inside": json.dumps(good)[:-1] + ',"x":' + "[" * 20_000,
                "i-slots": json.dumps({**good, "slots": 10**309}),
                "i-born": json.dumps({**good, "born": 10**309}),
                "i-port": json.dumps({**good, "address": "10.0.0.1:65536"}),
                "i-\r\nx-more: 1": json.dumps(good),
                "i-\x00": json.dumps(good),
            }
            for name, document in odd.items():
                await site.put_store_item(f"servers/{name}", document.encode())
            await asyncio.sleep(1.0)
            await site.publish_configuration()
            await site.drain(entry.instance)
            return [TrafficCutoff(entry.instance, read_boottime() + CUTOFF_DELAY_S)]

        results, site, violations = run_under_load(action, seconds=CUTOFF_DELAY_S + 0.5)
        assert not violations
        assert compute_success_rate(results) == 1.0
        assert set(site.exit_codes) == {0}
        version = f'"version":{site.configuration_version},'
        for vm in site.fleet:
            assert version in site.read_log(vm.name)
            assert "task_failed" not in site.read_log(vm.name)

    def test_malformed_entries_and_configuration(self):
        async def action(site, load):
            await site.put_store_item("servers/i-odd", b"\xff\xfe")
            await site.put_store_item(
                "servers/i-odder", b'{"backend": 3, "slots": "two"}'
            )
            await site.put_store_item(
                "op/config", b'{"version": 9999, "routes": "none"}'
            )
            await site.put_store_item("op/other", b"[]")

        results, site, violations = run_under_load(action)
        assert not violations
        assert compute_success_rate(results) == 1.0
        assert "configuration_refused" in site.read_log("front-1")
