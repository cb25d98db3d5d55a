"""Counters, gauges and latency histograms of one process."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
SIGNIFICANT_DIGITS = 2
QUANTILES = (50.0, 95.0, 99.0, 99.9)


def new_histogram() -> HdrHistogram:
    """Histogram of durations in microseconds, up to a minute."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Latencies:
    """Durations of one kind, with a count of those out of range."""

    histogram: HdrHistogram = field(default_factory=new_histogram)
    clamped: int = 0

    def record(self, seconds: float) -> None:
        """Record a duration; one out of range is clamped and counted."""
        value = int(seconds * 1e6)
        bounded = min(max(value, LOWEST_US), HIGHEST_US)
        self.clamped += value > HIGHEST_US
        self.histogram.record_value(bounded)


@dataclass(slots=True)
class Metrics:
    """Everything that one process counts.

    Parameters
    ----------
    vm, role : str
        Labels of each line.
    """

    vm: str
    role: str
    _counters: Counter[tuple[str, str]] = field(default_factory=Counter)
    _latencies: dict[tuple[str, str], Latencies] = field(default_factory=dict)
    _gauges: dict[str, Callable[[], float]] = field(default_factory=dict)

    def increment(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[(name, label)] += amount

    def read(self, name: str, label: str = "") -> int:
        """Value of a counter."""
        return self._counters[(name, label)]

    def record_duration(self, name: str, label: str, seconds: float) -> None:
        """Record a duration."""
        self._latencies.setdefault((name, label), Latencies()).record(seconds)

    def register_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Read a gauge anew at each rendering."""
        self._gauges[name] = read

    def render(self) -> str:
        """Everything in the text form that scrapers read."""
        lines = [
            self._line(name, value, label)
            for (name, label), value in sorted(self._counters.items())
        ]
        lines += [self._line(name, read()) for name, read in self._gauges.items()]
        for (name, label), latencies in sorted(self._latencies.items()):
            lines += self._render_latencies(name, label, latencies)
        return "\n".join(lines) + "\n"

    def _render_latencies(
        self, name: str, label: str, latencies: Latencies
    ) -> list[str]:
        histogram = latencies.histogram
        lines = [
            self._line(
                f"{name}_us",
                histogram.get_value_at_percentile(quantile),
                label,
                f',quantile="{quantile / 100:g}"',
            )
            for quantile in QUANTILES
        ]
        lines.append(self._line(f"{name}_count", histogram.get_total_count(), label))
        lines.append(self._line(f"{name}_clamped", latencies.clamped, label))
        return lines

    def _line(self, name: str, value: float, label: str = "", extra: str = "") -> str:
        labels = f'vm="{self.vm}",role="{self.role}"'
        if label:
            labels += f',kind="{label}"'
        return f"anvilhoist_{name}{{{labels}{extra}}} {value:g}"
