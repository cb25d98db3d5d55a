"""Open-loop load with seeded arrivals, and what came of it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import numpy as np

from ..metrics import new_histogram
from .caller import Caller

LATE_SHARE_LIMIT = 0.1


@dataclass(frozen=True, slots=True)
class Sample:
    """One query.

    Attributes
    ----------
    at_s : float
        Planned time since the start of the load, in seconds.
    latency_s : float
        Time from its planned start to its answer, in seconds.
    """

    at_s: float
    latency_s: float
    status: int
    coverage: float


@dataclass(slots=True)
class LoadResult:
    """All queries of one load.

    Attributes
    ----------
    lateness_s : list of float
        How late each query was sent, in seconds.
    """

    samples: list[Sample] = field(default_factory=list)
    lateness_s: list[float] = field(default_factory=list)

    def percentile(self, percent: float) -> float:
        """Latency percentile over all queries, in seconds."""
        histogram = new_histogram()
        for sample in self.samples:
            histogram.record_value(max(int(sample.latency_s * 1e6), 1))
        return histogram.get_value_at_percentile(percent) / 1e6

    def between(self, begin_s: float, end_s: float) -> LoadResult:
        """Queries planned within a span of time."""
        kept = [item for item in self.samples if begin_s <= item.at_s < end_s]
        return LoadResult(kept, self.lateness_s)

    @property
    def answered(self) -> int:
        """Queries with an answer."""
        return sum(1 for item in self.samples if item.status == 200)

    @property
    def lowest_coverage(self) -> float:
        """Lowest coverage of an answer."""
        return min((s.coverage for s in self.samples if s.status == 200), default=0.0)

    @property
    def lateness_p99_s(self) -> float:
        """99th percentile of how late queries were sent, in seconds."""
        return float(np.percentile(self.lateness_s, 99)) if self.lateness_s else 0.0

    @property
    def is_generator_bound(self) -> bool:
        """Whether the load generator itself may have made the tail."""
        return self.lateness_p99_s > LATE_SHARE_LIMIT * self.percentile(99)


async def run_load(
    caller: Caller, service: str, rate: float, seconds: float, seed: int
) -> LoadResult:
    """Send searches at seeded exponential intervals, whatever comes back.

    Parameters
    ----------
    rate : float
        Queries a second.
    seconds : float
        Length of the load.
    """
    loop = asyncio.get_running_loop()
    random = np.random.default_rng(seed)
    gaps = random.exponential(1 / rate, size=int(rate * seconds))
    result = LoadResult()
    began = loop.time()
    tasks = []
    for number, planned in enumerate(np.cumsum(gaps)):
        delay = began + planned - loop.time()
        if delay > 0:
            await asyncio.sleep(delay)
        result.lateness_s.append(max(loop.time() - began - planned, 0.0))
        work = _send(caller, service, number, float(planned), began, result)
        tasks.append(asyncio.create_task(work))
    await asyncio.gather(*tasks)
    result.samples.sort(key=lambda item: item.at_s)
    return result


async def _send(
    caller: Caller,
    service: str,
    number: int,
    planned: float,
    began: float,
    result: LoadResult,
) -> None:
    reply = await caller.search(service, f"q{number}")
    latency = asyncio.get_running_loop().time() - began - planned
    result.samples.append(Sample(planned, latency, reply.status, reply.coverage))
