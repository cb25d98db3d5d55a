"""Retry budget of each service, divided between the VMs."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

# Share of the budget that may be spent. The rest allows for extra arrivals that are
# counted in one window here but reach the replica in the next one.
USABLE_SHARE = 0.9


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
        """Return the number of events in the window that ends now."""
        oldest = now - self.length_s
        while self._event_times and self._event_times[0] <= oldest:
            self._event_times.popleft()
        return len(self._event_times)


@dataclass(slots=True)
class RetryBudget:
    """Limit on the retries and hedges that this VM sends to each service.

    It bounds the load that retries and hedges add to a service's replicas. The ratio
    applies to this VM's own requests; the allowance is split evenly between all VMs.

    Parameters
    ----------
    limits : RetryBudgetLimits
        Limits for all VMs together.
    count_vms : callable
        Number of VMs that spend from the same budget.
    """

    limits: RetryBudgetLimits
    count_vms: Callable[[], int]
    _requests: dict[str, _SlidingWindowCounter] = field(init=False)
    _extras: dict[str, _SlidingWindowCounter] = field(init=False)

    def __post_init__(self):
        length_s = self.limits.window_s
        self._requests = defaultdict(lambda: _SlidingWindowCounter(length_s))
        self._extras = defaultdict(lambda: _SlidingWindowCounter(length_s))

    def add_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._requests[service].add(now)

    def compute_remaining(self, service: str, now: float) -> float:
        """Return how many extra arrivals may still be sent to a service."""
        earned = self.limits.ratio * self._requests[service].count(now)
        share = self.limits.allowance / max(1, self.count_vms())
        return USABLE_SHARE * (earned + share) - self._extras[service].count(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Spend one extra arrival; return False if less than one remains."""
        if self.compute_remaining(service, now) < 1.0:
            return False
        self._extras[service].add(now)
        return True

    def count_spent(self, now: float) -> dict[str, int]:
        """Return the number of extra arrivals in the window, by service."""
        return {name: window.count(now) for name, window in self._extras.items()}
