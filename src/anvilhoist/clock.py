"""Time: one clock and a timer service that parts subscribe to."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field

TICK_INTERVAL_S = 0.1


def read_boottime() -> float:
    """Read a clock that also advances while the VM is suspended.

    Returns
    -------
    float
        Seconds since the VM booted.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@dataclass(slots=True)
class _Subscription:
    period: float
    call: Callable[[float], None]
    due: float


@dataclass(slots=True)
class TimerService:
    """Calls subscribers at their period and tells how late each tick comes.

    Parameters
    ----------
    now : callable
        Clock, in seconds. Tests give one that they advance by hand.
    """

    now: Callable[[], float] = read_boottime
    _subscriptions: list[_Subscription] = field(default_factory=list)
    _delay_calls: list[Callable[[float], None]] = field(default_factory=list)
    _last_tick: float | None = None

    def subscribe(self, period: float, call: Callable[[float], None]) -> None:
        """Call `call` with the current time every `period` seconds."""
        self._subscriptions.append(_Subscription(period, call, self.now()))

    def subscribe_loop_lag(self, call: Callable[[float], None]) -> None:
        """Call `call` at each tick with how late it came, in seconds."""
        self._delay_calls.append(call)

    def tick(self) -> None:
        """Run what is due; how late the tick comes is told first."""
        now = self.now()
        gap = 0.0 if self._last_tick is None else now - self._last_tick
        if self._last_tick is not None:
            for call in self._delay_calls:
                call(max(0.0, gap - TICK_INTERVAL_S))
        self._last_tick = now
        for subscription in self._subscriptions:
            if now < subscription.due:
                continue
            subscription.due = now + subscription.period
            subscription.call(now)

    async def run(self) -> None:
        """Tick until the task is cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_INTERVAL_S)
