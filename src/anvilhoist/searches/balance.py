"""Choice among the replicas of a shard, by the entry's own measurement.

Load and limit as owners state them come with each answer. They are hints that
fade; what this process has outstanding itself counts first.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import numpy as np

HINT_LIFE_S = 0.25
AVOID_S = 0.1
LATENCY_WEIGHT = 0.1
LATENCY_FLOOR_S = 0.001
START_LATENCY_S = 0.01


@dataclass(slots=True)
class Measured:
    """What this process measured at one replica.

    Attributes
    ----------
    outstanding : int
        Sub-requests of this process without an answer.
    latency_s : float
        Weighted mean of the time to an answer.
    """

    outstanding: int = 0
    latency_s: float = START_LATENCY_S
    load: int = 0
    limit: int = 1
    hinted_at: float = -HINT_LIFE_S
    avoid_until: float = 0.0


@dataclass(slots=True)
class Balancer:
    """Measurements of all replicas, and the choice by them.

    Parameters
    ----------
    now : callable
        Clock, in seconds.
    random : Generator
        Breaks ties.
    """

    now: Callable[[], float]
    random: np.random.Generator
    _measured: dict[str, Measured] = field(default_factory=dict)
    _turn: int = 0

    def measured(self, replica: str) -> Measured:
        """Measurements of one replica."""
        found = self._measured.get(replica)
        if found is None:
            found = self._measured[replica] = Measured()
        return found

    def note_sent(self, replica: str) -> None:
        """Count a sub-request that was sent."""
        self.measured(replica).outstanding += 1

    def note_done(self, replica: str) -> None:
        """Count a sub-request that needs no answer any more."""
        self.measured(replica).outstanding -= 1

    def note_answer(
        self, replica: str, elapsed_s: float, load: int, limit: int
    ) -> None:
        """Take an answer in."""
        found = self.measured(replica)
        found.latency_s += LATENCY_WEIGHT * (elapsed_s - found.latency_s)
        self.note_hint(replica, load, limit)

    def note_hint(self, replica: str, load: int, limit: int) -> None:
        """Take the owner's word on load and limit in."""
        found = self.measured(replica)
        found.load, found.limit = load, limit
        found.hinted_at = self.now()

    def avoid(self, replica: str) -> None:
        """Prefer other replicas for a moment."""
        self.measured(replica).avoid_until = self.now() + AVOID_S

    def choose(self, replicas: Iterable[str]) -> str | None:
        """Best of some replicas, or None if there is none."""
        names = list(replicas)
        if len(names) < 2:
            return names[0] if names else None
        if len(names) > 2:
            picked = self.random.choice(len(names), size=2, replace=False)
            names = [names[position] for position in picked]
        first, second = names
        cost_first, cost_second = self.cost(first), self.cost(second)
        if cost_first == cost_second:
            return names[int(self.random.integers(2))]
        return first if cost_first < cost_second else second

    def take_turns(self, replicas: Iterable[str]) -> str | None:
        """Next of some replicas in turn, whatever their load."""
        names = list(replicas)
        if not names:
            return None
        self._turn += 1
        return names[self._turn % len(names)]

    def cost(self, replica: str) -> float:
        """Expected time to an answer, in seconds, for comparison only."""
        found = self.measured(replica)
        now = self.now()
        hinted = now - found.hinted_at <= HINT_LIFE_S
        others = max(found.load - found.outstanding, 0) if hinted else 0
        limit = max(found.limit, 1) if hinted else 1
        ahead = found.outstanding + others
        cost = max(found.latency_s, LATENCY_FLOOR_S) * (1.0 + ahead / limit)
        return cost + (1.0 if now < found.avoid_until else 0.0)
