from __future__ import annotations

import asyncio

from anvilhoist.tasks import end_tasks


class TestEndTasks:
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
            await end_tasks([task])
            assert task.cancelled()

        asyncio.run(run())
        assert lost == [1]
