"""What is believed of one replica: how slow it is, and whether it fails."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

RECENT = 0.35  # weight of the newest observation of slowness
FORGET_SLOW_S = 1.2  # s in which a belief in slowness fades to 1/e
FAILED_WEIGHT = 0.25  # weight of the newest outcome in the failure rate
FORGET_FAILED_S = 2.0  # s in which a belief in failures fades to 1/e
FORGET_LOAD_S = 0.25  # s in which a reported load fades to 1/e
STALLED_RATIO = 3.0  # times the usual duration, after which an open request tells
DARK_RATIO = 8.0  # times the usual duration without any answer
DARK_LEAST_S = 0.35  # s without any answer, before a replica counts as dark
PROBE_EVERY_S = 0.3  # s between two requests that find out whether it is back


@dataclass(slots=True)
class Open:
    """A request that a replica has not answered yet.

    Attributes
    ----------
    since : float
        When it was sent, in seconds.
    usual_s : float
        Usual duration of such a request, in seconds.
    """

    since: float
    usual_s: float

    def ratio(self, now: float) -> float:
        """Age in multiples of the usual duration."""
        return (now - self.since) / self.usual_s


@dataclass(slots=True)
class Health:
    """Beliefs about a replica, each with the time of its evidence."""

    slowness: float = 1.0
    slow_at: float = 0.0
    failed: float = 0.0
    failed_at: float = 0.0
    others: float = 0.0
    others_at: float = 0.0
    answered_at: float = 0.0
    probed_at: float = 0.0
    unresponsive: bool = False
    open: dict[int, Open] = field(default_factory=dict)
    _next: int = 0

    def start_request(self, now: float, usual_s: float) -> int:
        """Note a request that is sent; gives a key for `finish_request`."""
        self._next += 1
        self.open[self._next] = Open(now, usual_s)
        return self._next

    def finish_request(
        self, key: int, now: float, answered: bool, failed: bool
    ) -> None:
        """Note the end of a request.

        Parameters
        ----------
        key : int
            From `start_request`.
        answered : bool
            Whether the replica responded at all; False where it was given up.
        failed : bool
            Whether the outcome speaks against the replica.
        """
        opened = self.open.pop(key, None)
        if opened is None:
            return
        ratio = opened.ratio(now)
        if answered:
            self.answered_at = now
            self.unresponsive = False
            if not failed:
                self._observe(ratio, now)
        elif ratio > self.estimate_slowness(now):
            self.slowness = ratio
            self.slow_at = now
        if answered or failed:
            rate = self.estimate_failure_rate(now)
            self.failed = rate + FAILED_WEIGHT * (float(failed) - rate)
            self.failed_at = now

    def record_load(self, waiting_and_running: int, now: float) -> None:
        """Take over what the replica told of its load, less this VM's share."""
        self.others = max(0.0, waiting_and_running - 1.0 - len(self.open))
        self.others_at = now

    def estimate_slowness(self, now: float) -> float:
        """Duration in multiples of the usual one; evidence fades with time."""
        fading = math.exp(-(now - self.slow_at) / FORGET_SLOW_S)
        return 1.0 + (self.slowness - 1.0) * fading

    def estimate_failure_rate(self, now: float) -> float:
        """Share of requests that fail, 0 to 1; evidence fades with time."""
        return self.failed * math.exp(-(now - self.failed_at) / FORGET_FAILED_S)

    def estimate_stall(self, now: float) -> float:
        """Age of the oldest open request in multiples of the usual, or 0."""
        if not self.open:
            return 0.0
        oldest = next(iter(self.open.values()))
        ratio = oldest.ratio(now)
        return ratio if ratio > STALLED_RATIO else 0.0

    def estimate_load(self, now: float) -> float:
        """Requests at the replica, this VM's and others'."""
        return len(self.open) + self.others * math.exp(
            -(now - self.others_at) / FORGET_LOAD_S
        )

    def is_unresponsive(self, now: float) -> bool:
        """Whether the replica has been silent for so long that it may be gone."""
        if self.unresponsive:
            return True
        if not self.open:
            return False
        oldest = next(iter(self.open.values()))
        silent_s = now - max(oldest.since, self.answered_at)
        limit_s = max(DARK_LEAST_S, DARK_RATIO * oldest.usual_s)
        self.unresponsive = silent_s > limit_s
        return self.unresponsive

    def may_probe(self, now: float) -> bool:
        """Whether a dark replica is due for one more request."""
        return now - self.probed_at > PROBE_EVERY_S

    def _observe(self, ratio: float, now: float) -> None:
        current = self.estimate_slowness(now)
        self.slowness = current + RECENT * (ratio - current)
        self.slow_at = now
