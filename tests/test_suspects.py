"""Requests that end the replicas that run them."""

from __future__ import annotations

import asyncio
from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from anvilhoist.errors import ERROR_RESPONSES, ErrorKind, Executed
from anvilhoist.forward.result import Refusal
from anvilhoist.upstreams.suspects import (
    FORGET_AFTER_S,
    MAX_ANSWERED,
    MAX_RECORDS,
    QUARANTINE_S,
    SuspectList,
    Suspicion,
    compute_request_key,
)
from virtual_fleet import GATHER_ROUTE, RESTART_S, SHARDS, SINGLE_ROUTE, VirtualFleet
from virtual_time import run_in_virtual_time

pytestmark = pytest.mark.usefixtures("quiet_logs")

DEADLY = b"/deadly"
RATE = 40


class TestSuspectList:
    def make(self) -> SuspectList:
        self.at = 100.0
        self.told = 0

        def tell() -> None:
            self.told += 1

        return SuspectList(lambda: self.at, tell)

    def end_round(self, suspects: SuspectList, key: int, ends: int) -> None:
        sent_at = self.at
        for _ in range(ends):
            self.at += 0.01
            suspects.record_end(key, key, sent_at, self.at)

    def test_one_replica_that_ends_with_many_requests_open_suspects_none(self):
        suspects = self.make()
        for key in range(20):
            suspects.record_end(key, key, 99.9, 100.0)
        assert {suspects.judge(key) for key in range(20)} == {Suspicion.NONE}
        assert not self.told

    def test_ends_in_one_round_may_have_another_cause(self):
        suspects = self.make()
        self.end_round(suspects, 1, 20)
        assert suspects.judge(1) is Suspicion.SUSPECTED
        assert self.told == 1

    def test_ends_in_two_rounds_quarantine(self):
        suspects = self.make()
        self.end_round(suspects, 1, 20)
        self.end_round(suspects, 1, 1)
        assert suspects.judge(1) is Suspicion.QUARANTINED
        assert self.told == 2

    def test_third_replica_of_a_request_to_one_at_a_time_quarantines(self):
        suspects = self.make()
        found = []
        for _ in range(3):
            self.end_round(suspects, 1, 1)
            found.append(suspects.judge(1))
        assert found == [Suspicion.NONE, Suspicion.SUSPECTED, Suspicion.QUARANTINED]

    def test_quarantine_ends_and_one_replica_is_risked(self):
        suspects = self.make()
        self.end_round(suspects, 1, 20)
        self.end_round(suspects, 1, 1)
        self.at += QUARANTINE_S - 1.0
        assert suspects.compute_quarantine_left(1) == pytest.approx(1.0)
        self.at += 1.5
        assert suspects.judge(1) is Suspicion.SUSPECTED
        self.end_round(suspects, 1, 1)
        assert suspects.judge(1) is Suspicion.QUARANTINED

    def test_answer_clears(self):
        suspects = self.make()
        self.end_round(suspects, 1, 2)
        suspects.clear(1)
        assert suspects.judge(1) is Suspicion.NONE
        suspects.merge(1, 2, 1, self.at)
        assert suspects.judge(1) is Suspicion.NONE

    def test_request_that_others_get_answered_meanwhile_is_harmless(self):
        suspects = self.make()
        suspects.record_answer(1)
        for _ in range(5):
            self.end_round(suspects, 1, 4)
        assert suspects.judge(1) is Suspicion.NONE

    def test_request_that_was_answered_long_ago_is_not(self):
        suspects = self.make()
        suspects.record_answer(1)
        self.at += 10.0
        self.end_round(suspects, 1, 4)
        assert suspects.judge(1) is Suspicion.SUSPECTED

    def test_memory_of_answers_is_bounded(self):
        suspects = self.make()
        for key in range(3 * MAX_ANSWERED):
            suspects.record_answer(key)
        kept = len(suspects._answered_at) + len(suspects._answered_before)
        assert MAX_ANSWERED // 2 <= kept <= MAX_ANSWERED

    def test_what_another_vm_knows_is_added(self):
        suspects = self.make()
        suspects.merge(1, 2, 2, 99.0)
        assert suspects.judge(1) is Suspicion.SUSPECTED
        self.end_round(suspects, 1, 1)
        assert suspects.judge(1) is Suspicion.QUARANTINED

    def test_memory_is_bounded_and_given_back(self):
        suspects = self.make()
        for key in range(3 * MAX_RECORDS):
            self.end_round(suspects, key, 2)
        assert len(suspects.records) == MAX_RECORDS
        assert suspects.judge(3 * MAX_RECORDS - 1) is Suspicion.SUSPECTED
        self.at += FORGET_AFTER_S + 1.0
        suspects.expire(self.at)
        assert len(suspects.records) == 0

    @given(st.lists(st.tuples(st.integers(0, 3), st.integers(1, 30)), max_size=30))
    def test_no_request_is_quarantined_before_its_third_replica(self, steps):
        suspects = self.make()
        ends = Counter()
        for key, count in steps:
            self.end_round(suspects, key, count)
            ends[key] += count
            if suspects.judge(key) is Suspicion.QUARANTINED:
                assert ends[key] >= 3


class TestRequestKey:
    PARTS = (b"GET", "h.example", b"/a?b=1", b"body")

    def test_each_part_counts(self):
        keys = {compute_request_key(*self.PARTS)}
        for number, other in enumerate((b"POST", "i.example", b"/a?b=2", b"bodz")):
            parts = [*self.PARTS]
            parts[number] = other
            keys.add(compute_request_key(*parts))
        assert len(keys) == 5

    def test_parts_are_kept_apart(self):
        assert compute_request_key(b"GET", "h", b"/ab", b"c") != compute_request_key(
            b"GET", "h", b"/a", b"bc"
        )


class TestDeadlyRequest:
    """Load: queries at all VMs, and one request that ends whichever replica runs it."""

    def play(self, monkeypatch, act, vms=4, copies=2, seconds=20.0, seed=1):
        async def main():
            fleet = VirtualFleet(monkeypatch, vms, copies, seed)
            fleet.replicas.deadly.add(DEADLY)
            loop = asyncio.get_running_loop()
            task = loop.create_task(act(fleet))
            await fleet.play(seconds, RATE)
            await task
            return fleet

        return run_in_virtual_time(main())

    async def send_deadly(self, fleet, route, times=12, gap_s=1.0) -> list:
        """Send the request at VMs in turn; return what its callers get."""
        found = []
        for number in range(times):
            await asyncio.sleep(gap_s)
            hosts = sorted(fleet.fronts)
            front = fleet.fronts[hosts[number % len(hosts)]]
            found.append(await fleet.request(front, route, DEADLY))
        return found

    def test_query_ends_hardly_more_replicas_than_its_first_sends(self, monkeypatch):
        # Guards against a query that takes down all copies of all shards.
        async def act(fleet):
            results.extend(await self.send_deadly(fleet, GATHER_ROUTE))

        results: list = []
        fleet = self.play(monkeypatch, act)
        assert len(fleet.replicas.ends) <= len(SHARDS) + 1
        assert {result.kind for result in results[1:]} == {ErrorKind.QUARANTINED}
        total = sum(fleet.results.values())
        assert fleet.results["whole"] + fleet.results["partial"] >= 0.99 * total
        # Only until the replicas that ended are back, one shard may be missing.
        assert fleet.results["partial"] <= RATE * (RESTART_S + 0.5)

    @pytest.mark.parametrize("vms", [1, 4, 33])
    def test_request_to_one_replica_ends_three(self, monkeypatch, vms):
        async def act(fleet):
            results.extend(
                await self.send_deadly(fleet, SINGLE_ROUTE, 6, 4.0 + RESTART_S)
            )

        results: list = []
        fleet = self.play(monkeypatch, act, vms=vms, seconds=50.0)
        assert len(fleet.replicas.ends) <= 3
        assert results[-1].kind is ErrorKind.QUARANTINED

    def test_refusal_is_at_once_and_says_that_nothing_ran(self, monkeypatch):
        async def act(fleet):
            await self.send_deadly(fleet, GATHER_ROUTE, 1)
            await asyncio.sleep(0.1)
            before = sum(map(len, fleet.replicas.arrivals.values()))
            now = asyncio.get_running_loop().time()
            for front in fleet.fronts.values():
                found.append(await fleet.request(front, GATHER_ROUTE, DEADLY))
            assert asyncio.get_running_loop().time() == now
            assert sum(map(len, fleet.replicas.arrivals.values())) == before

        found: list[Refusal] = []
        self.play(monkeypatch, act, seconds=3.0)
        for refusal in found:
            assert refusal.kind is ErrorKind.QUARANTINED
            assert ERROR_RESPONSES[refusal.kind].executed is Executed.NO
            assert QUARANTINE_S - 1.0 <= refusal.retry_after_s <= QUARANTINE_S

    def test_all_vms_of_a_large_fleet_learn_it(self, monkeypatch):
        async def act(fleet):
            await self.send_deadly(fleet, GATHER_ROUTE, 1, 5.0)
            await asyncio.sleep(4.0)
            key = compute_request_key(b"GET", "h", DEADLY, b"")
            judged.extend(f.context.suspects.judge(key) for f in fleet.fronts.values())

        judged: list = []
        self.play(monkeypatch, act, vms=33, seconds=12.0)
        assert set(judged) == {Suspicion.QUARANTINED}

    def test_query_of_which_each_shard_has_one_replica(self, monkeypatch):
        async def act(fleet):
            await self.send_deadly(fleet, GATHER_ROUTE, 3, 5.0)

        fleet = self.play(monkeypatch, act, copies=1, seconds=20.0)
        assert len(fleet.replicas.ends) <= len(SHARDS) + 2


class TestHarmlessRequests:
    """Load: queries and requests while replicas end for other reasons."""

    def play(self, monkeypatch, act, seed) -> VirtualFleet:
        async def main():
            fleet = VirtualFleet(monkeypatch, 4, seed=seed)
            loop = asyncio.get_running_loop()
            task = loop.create_task(act(fleet))
            single = loop.create_task(fleet.play(15.0, RATE, SINGLE_ROUTE))
            await fleet.play(15.0, 3 * RATE)
            await asyncio.gather(task, single)
            return fleet

        return run_in_virtual_time(main())

    def count_quarantined(self, fleet: VirtualFleet) -> int:
        return sum(
            record.judge(fleet.replicas.random.random()) is Suspicion.QUARANTINED
            for front in fleet.fronts.values()
            for record in front.context.suspects.records.values()
        ) + sum(
            front.context.metrics.read_counter("refused", "quarantined")
            for front in fleet.fronts.values()
        )

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_one_replica_that_is_killed_again_and_again(self, monkeypatch, seed):
        async def act(fleet):
            for _ in range(4):
                await asyncio.sleep(RESTART_S + 0.2)
                fleet.replicas.end("10.8.0.1:1")

        fleet = self.play(monkeypatch, act, seed)
        assert self.count_quarantined(fleet) == 0
        assert fleet.results["whole"] >= 0.98 * sum(fleet.results.values())

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_replicas_of_a_domain_that_end_at_once(self, monkeypatch, seed):
        async def act(fleet):
            await asyncio.sleep(5.0)
            for shard in range(len(SHARDS)):
                fleet.replicas.end(f"10.8.{shard}.1:1")

        fleet = self.play(monkeypatch, act, seed)
        assert self.count_quarantined(fleet) == 0
        assert fleet.results["whole"] >= 0.98 * sum(fleet.results.values())

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_rolling_release(self, monkeypatch, seed):
        async def act(fleet):
            for copy in (1, 2):
                for shard in range(len(SHARDS)):
                    fleet.replicas.end(f"10.8.{shard}.{copy}:1")
                    await asyncio.sleep(0.4)
                await asyncio.sleep(RESTART_S)

        fleet = self.play(monkeypatch, act, seed)
        assert self.count_quarantined(fleet) == 0

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_resets_by_something_between(self, monkeypatch, seed):
        async def act(fleet):
            await asyncio.sleep(3.0)
            fleet.replicas.reset_share = 0.1
            await asyncio.sleep(8.0)
            fleet.replicas.reset_share = 0.0

        fleet = self.play(monkeypatch, act, seed)
        assert not any(f.context.suspects.records for f in fleet.fronts.values())
        assert self.count_quarantined(fleet) == 0
