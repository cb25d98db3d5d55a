from __future__ import annotations

import asyncio

import pytest
import structlog

from anvilhoist.clock import TICK_INTERVAL_S, TimerService
from anvilhoist.tasks import (
    MIN_RESTART_DELAY_S,
    cancel_tasks,
    start_supervised_task,
    start_task,
)


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


class TestSupervisedTask:
    def test_is_restarted_after_a_failure(self):
        runs = []

        async def work() -> None:
            runs.append(len(runs))
            if len(runs) < 3:
                raise RuntimeError("unexpected")
            await asyncio.sleep(60)

        async def run() -> None:
            with structlog.testing.capture_logs() as logs:
                task = start_supervised_task("work", work)
                await asyncio.sleep(6 * MIN_RESTART_DELAY_S)
                assert not task.done()
                await cancel_tasks([task])
            assert [line["task"] for line in logs] == ["work", "work"]
            assert logs[0]["restart_in_s"] < logs[1]["restart_in_s"]
            assert "unexpected" in logs[0]["trace"]

        asyncio.run(run())
        assert runs == [0, 1, 2]


class TestTask:
    def test_failure_is_logged(self):
        async def work() -> None:
            raise RuntimeError("unexpected")

        async def run() -> None:
            with structlog.testing.capture_logs() as logs:
                task = start_task("work", work())
                await asyncio.wait([task])
                await asyncio.sleep(0)
            assert logs[0]["task"] == "work"

        asyncio.run(run())


class TestTimerService:
    def test_failing_subscriber_does_not_keep_others_from_being_called(self):
        timers = TimerService(lambda: 5.0)
        called = []

        def fail(now: float) -> None:
            raise RuntimeError("unexpected")

        timers.subscribe(1.0, fail)
        timers.subscribe(1.0, called.append)
        with structlog.testing.capture_logs() as logs:
            timers.tick()
        assert called == [5.0]
        assert "unexpected" in logs[0]["trace"]

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
