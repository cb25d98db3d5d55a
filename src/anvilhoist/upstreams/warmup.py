"""Limit the rate of requests that a cold replica gets from all VMs together."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

RATE_WINDOW_S = 1.0  # sliding window in which requests are counted
# Share of the rate that one VM uses. While VMs disagree on which of them is the sender,
# two may send, and both together stay within the rate.
SENDER_RATE_SHARE = 0.5
# Extends the window, because requests may arrive closer together than they were sent.
ARRIVAL_JITTER_S = 0.1


@dataclass(slots=True)
class WarmupLimiter:
    """Rate limiter for the requests to one replica while it is cold.

    A replica breaks under more than a light load just after its start. One VM sends to
    a cold replica, at no more than half of the replica's rate, or one request per
    window if that is more.

    Parameters
    ----------
    get_rate : callable
        Requests per second that the replica bears while cold; 0: no limit.
    is_sender : callable
        Whether this VM is the one that sends to it.
    """

    get_rate: Callable[[], float] = lambda: 0.0
    is_sender: Callable[[], bool] = lambda: True
    cold_until: float = 0.0
    _sent_times: deque[float] = field(default_factory=deque)

    def set_warmup_left(self, cold_s: float, now: float) -> None:
        """Set how much longer the replica stays cold, in seconds."""
        self.cold_until = now + cold_s

    def admits(self, now: float) -> bool:
        """Return whether one more request may be sent now."""
        if now >= self.cold_until or self.get_rate() <= 0.0:
            return True
        if not self.is_sender():
            return False
        while (
            self._sent_times
            and self._sent_times[0] < now - RATE_WINDOW_S - ARRIVAL_JITTER_S
        ):
            self._sent_times.popleft()
        return len(self._sent_times) + 1 <= max(
            1.0, SENDER_RATE_SHARE * self.get_rate()
        )

    def record_sent(self, now: float) -> None:
        """Count a request that is sent while the replica is cold."""
        if now < self.cold_until:
            self._sent_times.append(now)
