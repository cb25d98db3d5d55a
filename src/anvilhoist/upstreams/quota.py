"""Rate limit that a replica names for all VMs together."""

from __future__ import annotations

import math
from dataclasses import dataclass

MIN_LOGGED_CHANGE = 0.1  # relative change of a limit that is worth a log line


@dataclass(slots=True)
class ReplicaQuota:
    """Rate limit of one replica, as its responses name it.

    Attributes
    ----------
    limit : float
        Requests per second from all VMs; infinite if the replica names no limit.
    observed_at : float
        When the replica last answered this, in seconds.
    sent : int
        Requests that this VM has sent since the limit was named.
    """

    limit: float = math.inf
    observed_at: float = -math.inf
    sent: int = 0
    _logged_limit: float = math.inf

    @property
    def is_limited(self) -> bool:
        """Whether the replica names a limit."""
        return self.limit < math.inf

    def record_answer(self, limit: float, sent_at: float, now: float) -> None:
        """Record the limit in a response; infinite if it names none.

        A response without a limit counts only if its request was sent after the last
        response with one: responses may be received in another order than sent.
        """
        if self.is_limited and limit == math.inf and sent_at <= self.observed_at:
            return
        if not self.is_limited:
            self.sent = 0
        self.limit = limit
        self.observed_at = now

    def record_sent(self) -> None:
        """Count a request that is sent to the replica."""
        self.sent += 1

    def take_logged_change(self) -> bool:
        """Return whether the limit differs from the one returned for last."""
        if self.limit == self._logged_limit:
            return False
        change = abs(self.limit - self._logged_limit)
        if change <= MIN_LOGGED_CHANGE * self._logged_limit < math.inf:
            return False
        self._logged_limit = self.limit
        return True
