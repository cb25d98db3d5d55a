"""Retry budget of each service, divided between the VMs."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

# Share of the budget that may be spent. The rest allows for extra arrivals that are
# counted in one window here but reach the replica in the next one.
USABLE_SHARE = 0.95
# Share of a window's budget that may be saved up and spent at once. The rest is earned
# at an even pace, so that a process that starts in the place of another one has little
# to spend that the other one may have spent already.
BURST_SHARE = 0.35
EARNED_SHARE = 1.0 - BURST_SHARE
# Extra arrivals that a process may send to each service just after its start.
INITIAL_CREDIT = 1.0
# Time after which a request brings the credit up to date; a retry always does.
UPDATE_INTERVAL_S = 0.5


@dataclass(slots=True)
class RetryBudgetLimits:
    """Limits on extra arrivals: those beyond the first of each request.

    Attributes
    ----------
    ratio : float
        Extra arrivals per request.
    allowance : float
        Extra arrivals per window on top of the ratio, for all VMs together.
    window_s : float
        Length of the sliding window, in seconds.
    """

    ratio: float = 0.2
    allowance: float = 50.0
    window_s: float = 10.0


class _SlidingWindowCounter:
    """Number of events in the last `length_s` seconds."""

    def __init__(self, length_s: float):
        self.length_s = length_s
        self._event_times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count one event."""
        self._event_times.append(now)

    def count(self, now: float) -> int:
        """Return the number of events in the window that ends now; drop older ones."""
        oldest = now - self.length_s
        while self._event_times and self._event_times[0] <= oldest:
            self._event_times.popleft()
        return len(self._event_times)


class _ServiceBudget:
    """Requests for one service, the extra arrivals sent to it, and the credit left."""

    __slots__ = ("credit", "credited_at", "extras", "requests")

    def __init__(self, window_s: float, started_at: float):
        self.requests = _SlidingWindowCounter(window_s)
        self.extras = _SlidingWindowCounter(window_s)
        self.credit = INITIAL_CREDIT
        self.credited_at = started_at


@dataclass(slots=True)
class RetryBudget:
    """Limit on the retries and hedges that this VM sends to each service.

    It bounds the load that retries and hedges add to a service's replicas. The ratio
    applies to this VM's own requests; the allowance is split evenly between all VMs.

    Two limits hold. In a sliding window, no more is spent than its requests and the
    share of the allowance give. Besides, each extra arrival takes one unit of credit,
    which requests and time earn; at most `BURST_SHARE` of a window's budget is saved
    up. The second limit needs no memory of an earlier process: where a VM restarts,
    what was spent before and what is earned since add up to one budget, apart from the
    `INITIAL_CREDIT` of the start. The same holds where callers move to another VM.

    Parameters
    ----------
    limits : RetryBudgetLimits
        Limits for all VMs together.
    count_vms : callable
        Number of VMs that spend from the same budget.
    started_at : float
        Time from which credit is earned, in seconds: the start of the process.
    """

    limits: RetryBudgetLimits
    count_vms: Callable[[], int]
    started_at: float = 0.0
    _services: dict[str, _ServiceBudget] = field(default_factory=dict)

    def add_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        budget = self._services.get(service) or self._add_service(service)
        budget.requests.add(now)
        budget.credit += EARNED_SHARE * USABLE_SHARE * self.limits.ratio
        if now - budget.credited_at >= UPDATE_INTERVAL_S:
            self._update_credit(budget, now)

    def compute_remaining(self, service: str, now: float) -> float:
        """Return how many extra arrivals may still be sent to a service now."""
        budget = self._services.get(service) or self._add_service(service)
        usable = self._update_credit(budget, now)
        return min(budget.credit, usable - budget.extras.count(now))

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one extra arrival; return False if less than one remains."""
        if self.compute_remaining(service, now) < 1.0:
            return False
        budget = self._services[service]
        budget.credit -= 1.0
        budget.extras.add(now)
        return True

    def count_spent(self, now: float) -> dict[str, int]:
        """Return the number of extra arrivals in the window, by service."""
        return {
            name: budget.extras.count(now) for name, budget in self._services.items()
        }

    def _add_service(self, service: str) -> _ServiceBudget:
        budget = _ServiceBudget(self.limits.window_s, self.started_at)
        self._services[service] = budget
        return budget

    def _update_credit(self, budget: _ServiceBudget, now: float) -> float:
        """Add the credit that time has earned; return the budget of the window."""
        limits = self.limits
        share = USABLE_SHARE * limits.allowance / max(1, self.count_vms())
        elapsed = (now - budget.credited_at) / limits.window_s
        budget.credited_at = now
        earned = USABLE_SHARE * limits.ratio * budget.requests.count(now)
        usable = earned + share
        most = max(INITIAL_CREDIT, BURST_SHARE * usable)
        budget.credit = min(budget.credit + EARNED_SHARE * share * elapsed, most)
        return usable
