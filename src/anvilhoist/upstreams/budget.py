"""The retry budget of each service, held as a share by each VM."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

SAFETY = 0.9  # share of the budget in use, for what crosses a window's edge


@dataclass(slots=True)
class RetryBudgetLimits:
    """Bounds on arrivals beyond the first of each request.

    Attributes
    ----------
    ratio : float
        Extra arrivals for each request.
    allowance : float
        Extra arrivals in a window besides, of all VMs together.
    window_s : float
        Length of a window, in seconds.
    """

    ratio: float = 0.2
    allowance: float = 50.0
    window_s: float = 10.0


class _Window:
    """Counts events of the last `length` seconds."""

    def __init__(self, length: float):
        self.length = length
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Count one event."""
        self._times.append(now)

    def count(self, now: float) -> int:
        """Events in the window that ends now."""
        oldest = now - self.length
        while self._times and self._times[0] <= oldest:
            self._times.popleft()
        return len(self._times)


@dataclass(slots=True)
class RetryBudget:
    """Decides whether one more arrival at a service may be caused.

    Answers the load that hedges and retries put on a service's replicas. The ratio
    applies to this VM's own requests; the allowance is split between all VMs.

    Parameters
    ----------
    limits : RetryBudgetLimits
        Bounds for all VMs together.
    count_vms : callable
        Number of VMs that may spend from the same budget.
    """

    limits: RetryBudgetLimits
    count_vms: Callable[[], int]
    _requests: dict[str, _Window] = field(init=False)
    _extras: dict[str, _Window] = field(init=False)

    def __post_init__(self):
        length = self.limits.window_s
        self._requests = defaultdict(lambda: _Window(length))
        self._extras = defaultdict(lambda: _Window(length))

    def add_request(self, service: str, now: float) -> None:
        """Count a caller's request for a service."""
        self._requests[service].add(now)

    def left(self, service: str, now: float) -> float:
        """Extra arrivals that may still be caused at a service."""
        own = self.limits.ratio * self._requests[service].count(now)
        share = self.limits.allowance / max(1, self.count_vms())
        return SAFETY * (own + share) - self._extras[service].count(now)

    def try_spend(self, service: str, now: float) -> bool:
        """Take one extra arrival out of the budget, if there is one left."""
        if self.left(service, now) < 1.0:
            return False
        self._extras[service].add(now)
        return True

    def count_spent(self, now: float) -> dict[str, int]:
        """Extra arrivals in the window, by service."""
        return {name: window.count(now) for name, window in self._extras.items()}
