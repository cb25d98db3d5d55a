from __future__ import annotations

import asyncio
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from anvilhoist.upstreams.budget import RetryBudget, RetryBudgetLimits
from virtual_fleet import VirtualFleet
from virtual_time import run_in_virtual_time

LIMITS = RetryBudgetLimits(ratio=0.2, allowance=40.0, window_s=10.0)
VMS = 4
START = -100.0  # of a process that has run for long
WINDOWS_BACK_S = (0.0, 5.0, 10.0)  # windows of which the one with most requests counts


def make_budget(started_at: float = START) -> RetryBudget:
    return RetryBudget(LIMITS, lambda: VMS, started_at)


def count_window(times: list[float], end: float, length_s: float = 10.0) -> int:
    return sum(end - length_s < at <= end for at in times)


def count_requests(requests: list[float], end: float) -> int:
    """Return the requests that a limit on extra arrivals up to `end` goes by."""
    return max(count_window(requests, end - back_s) for back_s in WINDOWS_BACK_S)


def spend_steadily(budget: RetryBudget, start: float, seconds: float) -> list[float]:
    """Spend whatever remains, 100 times a second; return the times."""
    times = [start + step / 100 for step in range(round(seconds * 100))]
    return [at for at in times if budget.try_spend("a", at)]


class TestRetryBudget:
    def test_without_requests_a_vm_spends_its_share_of_the_allowance_in_a_window(self):
        spent = spend_steadily(make_budget(), 0.0, 60.0)
        assert sum(at < 10.0 for at in spent) == 9
        assert max(count_window(spent, end) for end in spent) == 9

    def test_part_of_the_share_is_spent_at_once_and_the_rest_at_an_even_pace(self):
        spent = spend_steadily(make_budget(), 0.0, 10.0)
        assert 3 <= sum(at < 0.1 for at in spent) <= 4
        assert max(later - at for at, later in pairwise(spent)) < 2.0

    def test_each_service_has_its_own_budget(self):
        budget = make_budget()
        while budget.try_spend("a", 0.0):
            pass
        assert budget.try_spend("b", 0.0)

    def test_requests_that_are_never_repeated_take_no_lasting_memory(self):
        # Guards against a window that grows by each request of a service.
        budget = make_budget()
        sizes = []
        for step in range(5000):
            budget.add_request("a", step / 10)
            sizes.append(len(budget._services["a"].requests._event_times))
        assert max(sizes[500:]) == max(sizes[:500]) < 120

    @given(
        st.lists(
            st.tuples(st.integers(0, 3), st.floats(0.0, 0.5), st.integers(0, 6)),
            max_size=300,
        )
    )
    def test_all_vms_together_stay_within_the_limits(self, steps):
        budgets = [make_budget() for _ in range(VMS)]
        now, requests, extras = 0.0, [], []
        for vm, pause_s, attempts in steps:
            now += pause_s
            budgets[vm].add_request("a", now)
            requests.append(now)
            extras += [now for _ in range(attempts) if budgets[vm].try_spend("a", now)]
        for end in extras:
            allowed = 0.2 * count_window(requests, end) + 40.0
            assert count_window(extras, end) <= allowed


class TestRestartedProcess:
    def test_can_retry_at_once(self):
        assert make_budget(started_at=50.0).try_spend("a", 50.0)

    def test_spends_much_of_what_a_process_that_ran_on_spends(self):
        # Guards against a start after which nothing can be sent again.
        spent = []
        for started_at in (START, 50.0):
            budget = make_budget(started_at)
            count = 0
            for step in range(60 * 11):
                at = step / 11
                if at >= 50.0 or started_at == START:
                    budget.add_request("a", at)
                    count += at >= 50.0 and budget.try_spend("a", at)
            spent.append(count)
        assert spent[1] >= spent[0] / 2

    def test_service_that_is_new_to_a_long_lived_process_has_its_credit(self):
        spent = spend_steadily(make_budget(), 0.0, 0.1)
        assert len(spent) >= 3

    @given(
        st.lists(
            st.tuples(
                st.integers(0, 3),
                st.floats(0.0, 0.3),
                st.integers(0, 6),
                st.integers(0, 9).map(lambda n: n == 0),
            ),
            max_size=300,
        )
    )
    def test_each_restart_adds_no_more_than_its_initial_credit(self, steps):
        # Guards against restarted processes that spend the retry budget anew.
        budgets = [make_budget() for _ in range(VMS)]
        now, requests, extras, restarts = 0.0, [], [], []
        for vm, pause_s, attempts, restarted in steps:
            now += pause_s
            if restarted:
                budgets[vm] = make_budget(started_at=now)
                restarts.append(now)
            budgets[vm].add_request("a", now)
            requests.append(now)
            extras += [now for _ in range(attempts) if budgets[vm].try_spend("a", now)]
        for end in extras:
            allowed = 0.2 * count_requests(requests, end) + 40.0
            allowed += count_window(restarts, end, 20.0)
            assert count_window(extras, end) <= allowed


@pytest.mark.usefixtures("quiet_logs")
class TestFleetBudget:
    """Load: queries at all VMs while the replicas of one shard reject many of them."""

    SHARD = "shard-0"
    RATE = 45
    FAULT_AT = 15.0
    FAULT_S = 12.0

    def count_most_over(self, monkeypatch, seed: int, act) -> float:
        """Return by how much a window's extra arrivals exceed their limit, at most."""

        async def main():
            fleet = VirtualFleet(monkeypatch, VMS, seed=seed)
            loop = asyncio.get_running_loop()

            async def fail():
                await asyncio.sleep(self.FAULT_AT)
                fleet.replicas.rejected_share[self.SHARD] = 0.5
                await asyncio.sleep(self.FAULT_S)
                fleet.replicas.rejected_share.clear()

            tasks = [loop.create_task(fail()), loop.create_task(act(fleet))]
            await fleet.play(self.FAULT_AT + self.FAULT_S + 5.0, self.RATE)
            await asyncio.gather(*tasks)
            return fleet

        fleet = run_in_virtual_time(main())
        arrivals = [
            at
            for instance, times in fleet.replicas.arrivals.items()
            if instance.startswith(self.SHARD)
            for at in times
        ]
        requests = fleet.requested_at
        limits = RetryBudgetLimits()
        return max(
            count_window(arrivals, end)
            - count_window(requests, end)
            - limits.ratio * count_requests(requests, end)
            - limits.allowance
            for end in arrivals
        )

    async def restart(self, fleet: VirtualFleet, number: int, gap_s: float) -> None:
        fleet.kill(number)
        await asyncio.sleep(gap_s)
        fleet.start(number)

    @pytest.mark.parametrize("seed", range(1, 5))
    def test_vms_that_restart_in_turn_stay_within_the_budget(self, monkeypatch, seed):
        # Guards against restarted processes that spend the retry budget anew.
        async def act(fleet):
            await asyncio.sleep(self.FAULT_AT + 1.0)
            for number in range(1, VMS + 1):
                await self.restart(fleet, number, 0.7)
                await asyncio.sleep(1.3)

        assert self.count_most_over(monkeypatch, seed, act) <= 0

    @pytest.mark.parametrize("seed", range(1, 5))
    def test_vms_that_all_restart_twice_stay_within_the_budget(self, monkeypatch, seed):
        async def act(fleet):
            for at in (self.FAULT_AT + 2.0, self.FAULT_AT + 5.0):
                await asyncio.sleep(at - asyncio.get_running_loop().time())
                numbers = range(1, VMS + 1)
                await asyncio.gather(*(self.restart(fleet, n, 0.5) for n in numbers))

        assert self.count_most_over(monkeypatch, seed, act) <= 0

    @pytest.mark.parametrize("seed", range(1, 5))
    def test_vms_without_a_restart_stay_within_the_budget(self, monkeypatch, seed):
        async def act(fleet):
            return

        assert self.count_most_over(monkeypatch, seed, act) <= 0
