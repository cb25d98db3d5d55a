"""Divide the rate limit that a replica names for all VMs together between the VMs.

Load: a replica in need bears only part of its usual rate, and every VM sends to it. A
few VMs may send, each at its share of the rate. All shares add up to the rate where the
VMs agree on the fleet; where their views differ in a few VMs, the small bursts leave
room for that. The more VMs may send, the more callers find one that still may.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

# Time over which a replica's requests are added up. The margin is for requests that
# take unequal times to arrive.
COUNTING_WINDOW_S = 4.0
ARRIVAL_MARGIN_S = 0.5
# Requests beyond the rate, besides one second's worth, that all VMs together may send
# in a window.
BURST_REQUESTS = 2.5
# Requests per second of all VMs together to a replica that accepts fewer. Without them
# nobody would notice that it accepts more again.
MIN_RATE = 0.4
# Requests that a VM keeps back for those that have no other usable replica.
RESERVED_REQUESTS = 1.0
# Age of a limit from which a request is sent to learn whether it still holds, even if
# another replica would be faster.
REFRESH_S = 3.0
MIN_LOGGED_CHANGE = 0.1  # relative change of a limit that is worth a log line
# How long a withdrawn limit is reported to other VMs, and one that a VM still assumes.
WITHDRAWAL_REPORT_S = 15.0


@dataclass(frozen=True, slots=True)
class SenderRank:
    """Place of a VM in the order in which VMs may send to one replica.

    Attributes
    ----------
    rank : int
        Number of VMs before it.
    vm_count : int
        Number of VMs that may be alive.
    """

    rank: int
    vm_count: int


@dataclass(frozen=True, slots=True)
class QuotaShare:
    """What one VM may send to a replica.

    Attributes
    ----------
    rate : float
        Requests per second.
    burst : float
        Requests that may be sent at once after a pause.
    """

    rate: float
    burst: float


NO_SHARE = QuotaShare(0.0, 0.0)


def compute_share(limit: float, rank: SenderRank) -> QuotaShare:
    """Return a VM's share of a rate limit.

    A request can't be sent in part, so a share allows at least one at once. Where
    every VM's part of the burst is smaller than that, there are as many senders as
    keep to the limit even if each of them sends all that it may in one window.

    Parameters
    ----------
    limit : float
        Requests per second from all VMs together.
    rank : SenderRank
        Place of the VM among those that may send.
    """
    rate = max(limit, MIN_RATE)
    burst = limit + BURST_REQUESTS
    window_s = COUNTING_WINDOW_S + ARRIVAL_MARGIN_S
    window_requests = rate * COUNTING_WINDOW_S + burst
    senders = rank.vm_count
    if senders > burst:
        requests_each = 1 + int(rate / senders * window_s)
        senders = min(senders, int(window_requests / requests_each))
    if rank.rank >= senders:
        return NO_SHARE
    sender_rate = rate / senders
    requests_each = int(window_requests / senders)
    # With this burst, the request after these ones falls into another window.
    whole_burst = requests_each + 1 - sender_rate * window_s
    return QuotaShare(sender_rate, max(burst / senders, whole_burst))


@dataclass(slots=True)
class ReplicaQuota:
    """Rate limit of one replica, and a token bucket with this VM's share of it.

    Parameters
    ----------
    get_rank : callable
        Place of this VM among those that may send to the replica.

    Attributes
    ----------
    limit : float
        Requests per second from all VMs; infinite if the replica names no limit.
    observed_at : float
        When the replica last answered this, to any VM, in seconds.
    sent : int
        Requests that this VM has sent since the limit was named.
    """

    get_rank: Callable[[], SenderRank] = lambda: SenderRank(0, 1)
    limit: float = math.inf
    observed_at: float = -math.inf
    sent: int = 0
    _tokens: float = field(default=0.0, init=False)
    _refilled_at: float = field(default=0.0, init=False)
    _report_until: float = field(default=-math.inf, init=False)
    _logged_limit: float = field(default=math.inf, init=False)

    @property
    def is_limited(self) -> bool:
        """Whether the replica names a limit."""
        return self.limit < math.inf

    @property
    def share(self) -> QuotaShare:
        """What this VM may send while the replica names a limit."""
        return compute_share(self.limit, self.get_rank())

    def record_answer(self, limit: float, sent_at: float, now: float) -> None:
        """Record the limit in a response; infinite if it names none.

        A response without a limit counts only if its request was sent after the last
        response with one: responses may be received in another order than sent.
        """
        if self.is_limited and limit == math.inf and sent_at <= self.observed_at:
            return
        self._set_limit(limit, now, now)

    def record_report(self, limit: float, observed_at: float, now: float) -> None:
        """Record the limit that another VM reports, unless this VM knows a newer one.

        A VM that reports an outdated limit is corrected by this VM's own reports.
        """
        if observed_at > self.observed_at:
            self._set_limit(limit, observed_at, now)
        elif (limit < math.inf) != self.is_limited:
            self._report_until = now + WITHDRAWAL_REPORT_S

    def should_report(self, now: float) -> bool:
        """Return whether other VMs should be told the limit, or that there is none."""
        return self.is_limited or now < self._report_until

    def admits(self, now: float) -> bool:
        """Return whether one more request may be sent now."""
        return not self.is_limited or self._refill(now) >= 1.0

    def is_nearly_spent(self, now: float) -> bool:
        """Return whether requests with another usable replica should go there.

        What is left is kept for those that have no other one, such as hedges.
        """
        if not self.is_limited:
            return False
        return self._refill(now) < min(1.0 + RESERVED_REQUESTS, self.share.burst)

    def is_refresh_due(self, now: float) -> bool:
        """Return whether a request should be sent to learn whether the limit holds."""
        return self.is_limited and now - self.observed_at > REFRESH_S

    def record_sent(self, now: float) -> None:
        """Count a request that is sent to the replica."""
        if self.is_limited:
            self.sent += 1
            self._tokens = self._refill(now) - 1.0

    def take_logged_change(self) -> bool:
        """Return whether the limit differs from the one returned for last."""
        if self.limit == self._logged_limit:
            return False
        change = abs(self.limit - self._logged_limit)
        if change <= MIN_LOGGED_CHANGE * self._logged_limit < math.inf:
            return False
        self._logged_limit = self.limit
        return True

    def _set_limit(self, limit: float, observed_at: float, now: float) -> None:
        if not self.is_limited and limit < math.inf:
            self.sent = 0
            self._tokens = 1.0
            self._refilled_at = now
        if self.is_limited and limit == math.inf:
            self._report_until = now + WITHDRAWAL_REPORT_S
        self.limit = limit
        self.observed_at = observed_at

    def _refill(self, now: float) -> float:
        share = self.share
        earned = share.rate * (now - self._refilled_at)
        self._tokens = min(share.burst, self._tokens + earned)
        self._refilled_at = now
        return self._tokens
