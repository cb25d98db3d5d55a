from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from anvilhoist.upstreams.budget import RetryBudget, RetryBudgetLimits

LIMITS = RetryBudgetLimits(ratio=0.2, allowance=40.0, window_s=10.0)


class TestRetryBudget:
    def test_without_requests_a_vm_spends_its_share_of_the_allowance(self):
        budget = RetryBudget(LIMITS, lambda: 4)
        spent = sum(budget.try_spend("a", 0.0) for _ in range(100))
        assert spent == 9

    def test_each_service_has_its_own_budget(self):
        budget = RetryBudget(LIMITS, lambda: 4)
        while budget.try_spend("a", 0.0):
            pass
        assert budget.try_spend("b", 0.0)

    def test_budget_returns_as_the_window_slides(self):
        budget = RetryBudget(LIMITS, lambda: 4)
        while budget.try_spend("a", 0.0):
            pass
        assert not budget.try_spend("a", 9.9)
        assert budget.try_spend("a", 10.1)

    @given(
        st.lists(
            st.tuples(st.integers(0, 3), st.floats(0.0, 0.5), st.integers(0, 6)),
            max_size=300,
        )
    )
    def test_all_vms_together_stay_within_the_limits(self, steps):
        budgets = [RetryBudget(LIMITS, lambda: 4) for _ in range(4)]
        now, requests, extras = 0.0, [], []
        for vm, pause_s, attempts in steps:
            now += pause_s
            budgets[vm].add_request("a", now)
            requests.append(now)
            extras += [now for _ in range(attempts) if budgets[vm].try_spend("a", now)]
        for end in extras:
            extras_in_window = [at for at in extras if end - 10.0 < at <= end]
            requests_in_window = [at for at in requests if end - 10.0 < at <= end]
            assert len(extras_in_window) <= 0.2 * len(requests_in_window) + 40.0
