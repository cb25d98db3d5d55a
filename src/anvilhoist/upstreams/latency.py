"""Quantiles of request durations by route, estimated from successful requests."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

MAX_SAMPLES = 300  # newest durations kept for each route
REFRESH_SAMPLES = 30  # new durations before the quantiles are computed again
# Share of the latency objective assumed as the median until quantiles are known.
INITIAL_MEDIAN_SHARE = 0.15
MIN_QUANTILE_S = 0.002  # keeps ratios of very short requests meaningful


@dataclass(slots=True)
class LatencyEstimate:
    """Quantiles of the durations of one route's requests at single replicas.

    Parameters
    ----------
    initial_median_s : float
        Median assumed until the first quantiles are computed, in seconds. The 90th
        percentile is then assumed to be twice as long.
    """

    initial_median_s: float
    _samples: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))
    _samples_since_refresh: int = 0
    _median_s: float = 0.0
    _p90_s: float = 0.0

    @property
    def median_s(self) -> float:
        """Median, in seconds."""
        return max(MIN_QUANTILE_S, self._median_s or self.initial_median_s)

    @property
    def p90_s(self) -> float:
        """90th percentile, in seconds."""
        return max(MIN_QUANTILE_S, self._p90_s or 2.0 * self.initial_median_s)

    def add(self, duration_s: float) -> None:
        """Add the duration of a successful request."""
        self._samples.append(duration_s)
        self._samples_since_refresh += 1
        if self._samples_since_refresh < REFRESH_SAMPLES:
            return
        self._samples_since_refresh = 0
        ordered = sorted(self._samples)
        self._median_s = ordered[len(ordered) // 2]
        self._p90_s = ordered[int(len(ordered) * 0.9)]


@dataclass(slots=True)
class RouteLatencies:
    """Latency estimates by the name of the route."""

    _by_route: dict[str, LatencyEstimate] = field(default_factory=dict)

    def get(self, route: str, target_s: float) -> LatencyEstimate:
        """Return the latency estimate of a route, created on first use.

        Parameters
        ----------
        route : str
            Name of the route.
        target_s : float
            Its latency objective, in seconds.
        """
        if route not in self._by_route:
            self._by_route[route] = LatencyEstimate(INITIAL_MEDIAN_SHARE * target_s)
        return self._by_route[route]
