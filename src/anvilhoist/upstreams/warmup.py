"""Bound the requests that a cold replica gets from all VMs together."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

WINDOW_S = 1.0  # s in which requests are counted
SAFE_SHARE = 0.5  # of the bound, so that two VMs that both send still fit
CROSSING_S = 0.1  # s by which arrivals may move together on their way


@dataclass(slots=True)
class WarmupLimiter:
    """Admits requests to one replica while it is cold.

    Answers replicas that break under more than a light load after their start. One
    VM sends to a cold replica, at no more than half of its bound.

    Parameters
    ----------
    read_rate : callable
        Requests a second that the replica bears while cold; 0: none is named.
    is_sender : callable
        Whether this VM is the one that sends to it.
    """

    read_rate: Callable[[], float] = lambda: 0.0
    is_sender: Callable[[], bool] = lambda: True
    cold_until: float = 0.0
    _sent: deque[float] = field(default_factory=deque)

    def set_warmup_left(self, cold_s: float, now: float) -> None:
        """Take over how much longer the replica stays cold, in seconds."""
        self.cold_until = now + cold_s

    def admits(self, now: float) -> bool:
        """Whether one more request may be sent now."""
        if now >= self.cold_until or self.read_rate() <= 0.0:
            return True
        if not self.is_sender():
            return False
        while self._sent and self._sent[0] < now - WINDOW_S - CROSSING_S:
            self._sent.popleft()
        return len(self._sent) + 1 <= max(1.0, SAFE_SHARE * self.read_rate())

    def record_sent(self, now: float) -> None:
        """Count a request that is sent."""
        if now < self.cold_until:
            self._sent.append(now)
