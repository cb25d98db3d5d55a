from __future__ import annotations

import asyncio

import pytest

from anvilhoist.clock import TICK_INTERVAL_S, TimerService
from anvilhoist.tasks import cancel_tasks


class TestCancelTasks:
    def test_a_task_that_loses_a_cancellation_ends_all_the_same(self):
        lost = []

        async def lose_one() -> None:
            while True:
                try:
                    await asyncio.sleep(60)
                except asyncio.CancelledError:
                    if lost:
                        raise
                    lost.append(1)

        async def run() -> None:
            task = asyncio.create_task(lose_one())
            await asyncio.sleep(0)
            await cancel_tasks([task])
            assert task.cancelled()

        asyncio.run(run())
        assert lost == [1]


class TestTimerService:
    def test_tells_how_late_each_tick_comes(self):
        at = 5.0
        timers = TimerService(lambda: at)
        told: list[float] = []
        timers.subscribe_loop_lag(told.append)
        timers.tick()
        for gap in (TICK_INTERVAL_S, TICK_INTERVAL_S + 0.25, TICK_INTERVAL_S / 2):
            at += gap
            timers.tick()
        assert told == [pytest.approx(late) for late in (0.0, 0.25, 0.0)]
