"""Counters, gauges and latency histograms of one process."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

# Range and precision of the histograms.
MIN_DURATION_US = 1
MAX_DURATION_US = 60_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 95.0, 99.0, 99.9)  # rendered for each histogram


def new_histogram() -> HdrHistogram:
    """Return an empty histogram of durations in microseconds, up to a minute."""
    return HdrHistogram(MIN_DURATION_US, MAX_DURATION_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class Latencies:
    """Durations of one kind, with a count of those above `MAX_DURATION_US`."""

    histogram: HdrHistogram = field(default_factory=new_histogram)
    clamped: int = 0

    def record(self, seconds: float) -> None:
        """Record a duration, clamped to the range of the histogram."""
        duration_us = int(seconds * 1e6)
        clamped_us = min(max(duration_us, MIN_DURATION_US), MAX_DURATION_US)
        self.clamped += duration_us > MAX_DURATION_US
        self.histogram.record_value(clamped_us)


@dataclass(slots=True)
class Metrics:
    """Metrics of one process, rendered as text for Prometheus.

    The argument `label` of the methods is the value of the label `kind`, which is left
    out if it is empty.

    Parameters
    ----------
    vm, role : str
        Values of the labels `vm` and `role` of every line.
    """

    vm: str
    role: str
    _counters: Counter[tuple[str, str]] = field(default_factory=Counter)
    _latencies: dict[tuple[str, str], Latencies] = field(default_factory=dict)
    _gauges: dict[str, Callable[[], float]] = field(default_factory=dict)

    def increment(self, name: str, label: str = "", amount: int = 1) -> None:
        """Add to a counter."""
        self._counters[(name, label)] += amount

    def read_counter(self, name: str, label: str = "") -> int:
        """Return the value of a counter."""
        return self._counters[(name, label)]

    def record_duration(self, name: str, label: str, seconds: float) -> None:
        """Record a duration in the histogram of its name and label."""
        self._latencies.setdefault((name, label), Latencies()).record(seconds)

    def register_gauge(self, name: str, read_value: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each rendering."""
        self._gauges[name] = read_value

    def render(self) -> str:
        """Return all metrics in the text format that scrapers read."""
        lines = [
            self._format_line(name, value, label)
            for (name, label), value in sorted(self._counters.items())
        ]
        lines += [
            self._format_line(name, read_value())
            for name, read_value in self._gauges.items()
        ]
        for (name, label), latencies in sorted(self._latencies.items()):
            lines += self._render_latencies(name, label, latencies)
        return "\n".join(lines) + "\n"

    def _render_latencies(
        self, name: str, label: str, latencies: Latencies
    ) -> list[str]:
        histogram = latencies.histogram
        lines = [
            self._format_line(
                f"{name}_us",
                histogram.get_value_at_percentile(percentile),
                label,
                f',quantile="{percentile / 100:g}"',
            )
            for percentile in PERCENTILES
        ]
        lines.append(
            self._format_line(f"{name}_count", histogram.get_total_count(), label)
        )
        lines.append(self._format_line(f"{name}_clamped", latencies.clamped, label))
        return lines

    def _format_line(
        self, name: str, value: float, label: str = "", more_labels: str = ""
    ) -> str:
        labels = f'vm="{self.vm}",role="{self.role}"'
        if label:
            labels += f',kind="{label}"'
        return f"anvilhoist_{name}{{{labels}{more_labels}}} {value:g}"
