"""The clock of the process, and a timer service for periodic callbacks."""

from __future__ import annotations

import asyncio
import time
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

TICK_INTERVAL_S = 0.1  # subscribers are called at the first tick after they are due


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
    period_s: float
    callback: Callable[[float], None]
    due_at: float


@dataclass(slots=True)
class TimerService:
    """Calls subscribers periodically and reports the lag of the event loop.

    Parameters
    ----------
    now : callable
        Clock, in seconds. Tests pass one that they advance by hand.
    """

    now: Callable[[], float] = read_boottime
    _subscriptions: list[_Subscription] = field(default_factory=list)
    _lag_callbacks: list[Callable[[float], None]] = field(default_factory=list)
    _last_tick_at: float | None = None

    def subscribe(self, period_s: float, callback: Callable[[float], None]) -> None:
        """Call `callback` with the current time every `period_s` seconds.

        The first call comes with the next tick. Periods missed by a late tick are
        not made up for.
        """
        self._subscriptions.append(_Subscription(period_s, callback, self.now()))

    def subscribe_loop_lag(self, callback: Callable[[float], None]) -> None:
        """Call `callback` with the lateness of each tick but the first, in seconds."""
        self._lag_callbacks.append(callback)

    def tick(self) -> None:
        """Report how late the tick is, then call the subscribers that are due.

        A subscriber that fails is logged, and called again when it is next due.
        """
        now = self.now()
        elapsed_s = 0.0 if self._last_tick_at is None else now - self._last_tick_at
        if self._last_tick_at is not None:
            for callback in self._lag_callbacks:
                callback(max(0.0, elapsed_s - TICK_INTERVAL_S))
        self._last_tick_at = now
        for subscription in self._subscriptions:
            if now < subscription.due_at:
                continue
            subscription.due_at = now + subscription.period_s
            try:
                subscription.callback(now)
            except Exception:
                structlog.get_logger().error(
                    "timer_failed",
                    callback=getattr(
                        subscription.callback, "__qualname__", "(partial)"
                    ),
                    trace=traceback.format_exc(),
                )

    async def run(self) -> None:
        """Tick until the task is cancelled."""
        while True:
            self.tick()
            await asyncio.sleep(TICK_INTERVAL_S)
