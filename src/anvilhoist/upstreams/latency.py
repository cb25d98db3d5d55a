"""Usual durations of requests, learned from those that were answered."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

KEPT = 300  # durations kept for each kind of request
REFRESH = 30  # new durations until the quantiles are worked out again
FIRST_GUESS_SHARE = 0.15  # of the latency objective, before anything is known
LEAST_S = 0.002  # s; keeps ratios of very short requests meaningful


@dataclass(slots=True)
class LatencyEstimate:
    """Durations of one kind of request at single replicas.

    Parameters
    ----------
    first_guess_s : float
        Used until enough was seen, in seconds.
    """

    first_guess_s: float
    _seen: deque[float] = field(default_factory=lambda: deque(maxlen=KEPT))
    _since_refresh: int = 0
    _median_s: float = 0.0
    _p90_s: float = 0.0

    @property
    def median_s(self) -> float:
        """Median, in seconds."""
        return max(LEAST_S, self._median_s or self.first_guess_s)

    @property
    def p90_s(self) -> float:
        """90th percentile, in seconds."""
        return max(LEAST_S, self._p90_s or 2.0 * self.first_guess_s)

    def add(self, duration_s: float) -> None:
        """Note a request that was answered."""
        self._seen.append(duration_s)
        self._since_refresh += 1
        if self._since_refresh < REFRESH:
            return
        self._since_refresh = 0
        ordered = sorted(self._seen)
        self._median_s = ordered[len(ordered) // 2]
        self._p90_s = ordered[int(len(ordered) * 0.9)]


@dataclass(slots=True)
class RouteLatencies:
    """Durations by the name of the route."""

    _by_route: dict[str, LatencyEstimate] = field(default_factory=dict)

    def get(self, route: str, target_s: float) -> LatencyEstimate:
        """Durations of a route's requests.

        Parameters
        ----------
        route : str
            Name of the route.
        target_s : float
            Its latency objective, in seconds.
        """
        if route not in self._by_route:
            self._by_route[route] = LatencyEstimate(FIRST_GUESS_SHARE * target_s)
        return self._by_route[route]
