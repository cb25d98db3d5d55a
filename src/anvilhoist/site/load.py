"""Send a mix of requests to a site at a steady rate."""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field

from .caller import AttemptResult, SiteCaller
from .site import BOOK, READ, SEARCH, Site

PATHS = (SEARCH, SEARCH, SEARCH, READ, BOOK)
END_LIMIT_S = 6.0


@dataclass(slots=True)
class LoadGenerator:
    """Several callers that send until they are stopped.

    Parameters
    ----------
    site : Site
        Where to.
    seed : int
        Seed of all choices.
    rate : float
        Requests a second.
    callers : int
        Callers, each with connections of its own.
    reuse_probability : float
        Share of the requests that go out on a connection that is open.
    """

    site: Site
    seed: int
    rate: float = 40.0
    callers: int = 4
    reuse_probability: float = 0.8
    _callers: list[SiteCaller] = field(default_factory=list)
    _tasks: set[asyncio.Task] = field(default_factory=set)
    _sender: asyncio.Task | None = None

    @property
    def results(self) -> list[AttemptResult]:
        """What came of every attempt so far."""
        return [result for caller in self._callers for result in caller.results]

    def start(self) -> None:
        """Begin to send."""
        directories = [vm.directory_address for vm in self.site.fleet]
        self._callers = [
            SiteCaller(directories, self.seed * 1000 + number, self.reuse_probability)
            for number in range(self.callers)
        ]
        self._sender = asyncio.create_task(self._send())

    async def stop(self) -> list[AttemptResult]:
        """Stop to send, and wait for what is under way."""
        self._sender.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=END_LIMIT_S)
        return self.results

    async def _send(self) -> None:
        chance = random.Random(self.seed)
        while True:
            caller = chance.choice(self._callers)
            task = asyncio.create_task(caller.send(chance.choice(PATHS)))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(chance.expovariate(self.rate))


def describe(results: Sequence[AttemptResult]) -> str:
    """Sum up what callers got, in one line."""
    statuses = Counter(result.status or "none" for result in results)
    parts = ", ".join(
        f"{key}: {number}" for key, number in sorted(statuses.items(), key=str)
    )
    missing = sum(result.missing_shards for result in results)
    slowest = max((result.took_s for result in results), default=0.0)
    ends = f"{missing} shards left out; slowest {slowest:.2f} s"
    return f"{len(results)} requests ({parts}); {ends}"
