"""Estimates of how slow, how loaded and how unreliable one replica is."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

SLOWNESS_WEIGHT = 0.35  # weight of the newest duration in the moving average
SLOWNESS_DECAY_S = 1.2  # time in which excess slowness fades to 1/e
FAILURE_WEIGHT = 0.25  # weight of the newest outcome in the moving average
FAILURE_DECAY_S = 2.0  # time in which the failure rate fades to 1/e
LOAD_DECAY_S = 0.25  # time in which a reported load fades to 1/e
STALL_RATIO = 3.0  # age, in typical durations, at which a pending request is stalled
# A replica is unresponsive after a silence that is longer than both limits.
UNRESPONSIVE_RATIO = 8.0  # in typical durations
MIN_UNRESPONSIVE_S = 0.35
# Shortest time between two probes of an unresponsive replica: if the probe is the only
# send of a request, and if it is sent besides one to another replica.
PROBE_INTERVAL_S = 0.3
EXTRA_PROBE_INTERVAL_S = 1.5


@dataclass(slots=True)
class PendingRequest:
    """A request that a replica has not answered yet.

    Attributes
    ----------
    sent_at : float
        When it was sent, in seconds.
    typical_s : float
        Typical duration of such a request, in seconds.
    """

    sent_at: float
    typical_s: float

    def compute_relative_age(self, now: float) -> float:
        """Return the age in multiples of the typical duration."""
        return (now - self.sent_at) / self.typical_s


@dataclass(slots=True)
class Health:
    """Health estimates of a replica, each with the time of its last update.

    Attributes
    ----------
    slowness, slowness_at : float
        Moving average of durations in multiples of the typical one, and when it was
        updated.
    failure_rate, failure_rate_at : float
        Moving average of failures, 0 to 1, and when it was updated.
    other_load, other_load_at : float
        Requests of other VMs at the replica, and when the replica reported them.
    answered_at, probed_at : float
        When it last answered, and when the last probe was sent.
    unresponsive : bool
        Whether it is taken to be unresponsive. Only an answer resets this.
    pending : dict of PendingRequest
        Requests without an answer by their keys, the oldest first.
    """

    slowness: float = 1.0
    slowness_at: float = 0.0
    failure_rate: float = 0.0
    failure_rate_at: float = 0.0
    other_load: float = 0.0
    other_load_at: float = 0.0
    answered_at: float = 0.0
    probed_at: float = 0.0
    unresponsive: bool = False
    pending: dict[int, PendingRequest] = field(default_factory=dict)
    _last_key: int = 0

    def start_request(self, now: float, typical_s: float) -> int:
        """Record a request that is sent; return its key for `finish_request`."""
        self._last_key += 1
        self.pending[self._last_key] = PendingRequest(now, typical_s)
        return self._last_key

    def finish_request(
        self, key: int, now: float, answered: bool, failed: bool
    ) -> None:
        """Record the end of a request.

        Parameters
        ----------
        key : int
            From `start_request`.
        answered : bool
            Whether the replica responded at all. A failure to connect counts as a
            response, a timeout does not.
        failed : bool
            Whether the outcome counts as a failure of the replica.
        """
        request = self.pending.pop(key, None)
        if request is None:
            return
        relative_duration = request.compute_relative_age(now)
        if answered:
            self.answered_at = now
            self.unresponsive = False
            if not failed:
                self._update_slowness(relative_duration, now)
        elif relative_duration > self.estimate_slowness(now):
            # The age of an unanswered request is a lower bound of its duration.
            self.slowness = relative_duration
            self.slowness_at = now
        if answered or failed:
            rate = self.estimate_failure_rate(now)
            self.failure_rate = rate + FAILURE_WEIGHT * (float(failed) - rate)
            self.failure_rate_at = now

    def record_load(self, running_and_waiting: int, now: float) -> None:
        """Record the load that a replica reported with an answer.

        The answered request and this VM's pending ones are subtracted: what is left is
        the load from other VMs.
        """
        self.other_load = max(0.0, running_and_waiting - 1.0 - len(self.pending))
        self.other_load_at = now

    def estimate_slowness(self, now: float) -> float:
        """Return the expected duration of a request, in multiples of the typical one.

        Without new observations it decays to 1.
        """
        decay = math.exp(-(now - self.slowness_at) / SLOWNESS_DECAY_S)
        return 1.0 + (self.slowness - 1.0) * decay

    def estimate_failure_rate(self, now: float) -> float:
        """Return the share of requests that fail, 0 to 1.

        Without new outcomes it decays to 0.
        """
        return self.failure_rate * math.exp(
            -(now - self.failure_rate_at) / FAILURE_DECAY_S
        )

    def estimate_stall(self, now: float) -> float:
        """Return the relative age of the oldest pending request.

        It is in multiples of the typical duration, and 0 up to `STALL_RATIO`.
        """
        if not self.pending:
            return 0.0
        oldest = next(iter(self.pending.values()))
        relative_age = oldest.compute_relative_age(now)
        return relative_age if relative_age > STALL_RATIO else 0.0

    def estimate_load(self, now: float) -> float:
        """Return the number of requests at the replica, from this VM and others."""
        return len(self.pending) + self.other_load * math.exp(
            -(now - self.other_load_at) / LOAD_DECAY_S
        )

    def is_unresponsive(self, now: float) -> bool:
        """Return whether the replica has been silent for too long.

        Silence is the time without any answer while a request is pending. A replica
        that became unresponsive stays so until it answers.
        """
        if self.unresponsive:
            return True
        if not self.pending:
            return False
        oldest = next(iter(self.pending.values()))
        silent_s = now - max(oldest.sent_at, self.answered_at)
        limit_s = max(MIN_UNRESPONSIVE_S, UNRESPONSIVE_RATIO * oldest.typical_s)
        self.unresponsive = silent_s > limit_s
        return self.unresponsive

    def is_probe_due(self, now: float, interval_s: float = PROBE_INTERVAL_S) -> bool:
        """Return whether at least an interval has passed since the last probe."""
        return now - self.probed_at > interval_s

    def _update_slowness(self, relative_duration: float, now: float) -> None:
        current = self.estimate_slowness(now)
        self.slowness = current + SLOWNESS_WEIGHT * (relative_duration - current)
        self.slowness_at = now
