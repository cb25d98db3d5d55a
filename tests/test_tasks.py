from __future__ import annotations

import asyncio

import pytest

from anvilhoist.clock import TICK_INTERVAL_S, TimerService
from anvilhoist.tasks import cancel_tasks


class TestCancelTasks:
    def test_task_that_swallows_a_cancellation_is_cancelled_again(self):
        swallowed = []

        async def swallow_one() -> None:
            while True:
                try:
                    await asyncio.sleep(60)
                except asyncio.CancelledError:
                    if swallowed:
                        raise
                    swallowed.append(1)

        async def run() -> None:
            task = asyncio.create_task(swallow_one())
            await asyncio.sleep(0)
            await cancel_tasks([task])
            assert task.cancelled()

        asyncio.run(run())
        assert swallowed == [1]


class TestTimerService:
    def test_reports_the_lag_of_each_tick(self):
        now = 5.0
        timers = TimerService(lambda: now)
        lags: list[float] = []
        timers.subscribe_loop_lag(lags.append)
        timers.tick()
        for elapsed_s in (TICK_INTERVAL_S, TICK_INTERVAL_S + 0.25, TICK_INTERVAL_S / 2):
            now += elapsed_s
            timers.tick()
        assert lags == [pytest.approx(lag) for lag in (0.0, 0.25, 0.0)]
