"""Send a mix of requests to a site at a constant mean rate."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from .caller import AttemptResult, SiteCaller
from .site import BOOK_PREFIX, READ_PREFIX, SEARCH_PREFIX, Site

PATH_MIX = (SEARCH_PREFIX, SEARCH_PREFIX, SEARCH_PREFIX, READ_PREFIX, BOOK_PREFIX)
# Most time for open requests to finish after the last is sent.
OPEN_REQUESTS_TIMEOUT_S = 6.0


@dataclass(slots=True)
class LoadGenerator:
    """Sends requests from several callers until stopped.

    Parameters
    ----------
    site : Site
        Target of the requests.
    seed : int
        Seed of the choice of callers, paths and times, and of the callers' seeds.
    rate : float
        Mean number of requests a second.
    callers : int
        Number of callers, each with connections of its own.
    reuse_probability : float
        Probability that a request uses an idle connection if there is one, 0 to 1.
    """

    site: Site
    seed: int
    rate: float = 40.0
    callers: int = 4
    reuse_probability: float = 0.8
    _callers: list[SiteCaller] = field(default_factory=list)
    _tasks: set[asyncio.Task] = field(default_factory=set)
    _send_task: asyncio.Task | None = None

    @property
    def results(self) -> list[AttemptResult]:
        """Results of all attempts that ended so far, caller by caller."""
        return [result for caller in self._callers for result in caller.results]

    def start(self) -> None:
        """Start sending in the background."""
        directory_addresses = [vm.directory_address for vm in self.site.fleet]
        self._callers = [
            SiteCaller(
                directory_addresses, self.seed * 1000 + number, self.reuse_probability
            )
            for number in range(self.callers)
        ]
        self._send_task = asyncio.create_task(self._send_until_cancelled())

    async def stop(self) -> list[AttemptResult]:
        """Stop sending, wait for open requests, and return all results."""
        self._send_task.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=OPEN_REQUESTS_TIMEOUT_S)
        return self.results

    async def _send_until_cancelled(self) -> None:
        rng = random.Random(self.seed)
        while True:
            caller = rng.choice(self._callers)
            task = asyncio.create_task(caller.send(rng.choice(PATH_MIX)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(rng.expovariate(self.rate))


def summarize_results(results: Sequence[AttemptResult]) -> str:
    """Summarise the results of callers in one line."""
    statuses = Counter(result.status or "no answer" for result in results)
    counts = ", ".join(
        f"{status}: {count}" for status, count in sorted(statuses.items(), key=str)
    )
    missing = sum(result.missing_shards for result in results)
    slowest = max((result.took_s for result in results), default=0.0)
    totals = f"{missing} shards missing; slowest {slowest:.2f} s"
    return f"{len(results)} requests ({counts}); {totals}"
