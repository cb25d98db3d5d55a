"""An event loop whose clock jumps to the next timer instead of waiting for it."""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine


class _JumpingSelector(selectors.DefaultSelector):
    """Selector that adds the time it would wait to `skipped_s` and returns at once."""

    skipped_s = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("the test waits for something that never happens")
        self.skipped_s += max(0.0, timeout)
        return super().select(0)


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Event loop that starts at time 0 and in which code takes no time."""

    def __init__(self):
        self._jumping_selector = _JumpingSelector()
        super().__init__(self._jumping_selector)

    def time(self) -> float:
        return self._jumping_selector.skipped_s


def run_in_virtual_time(main: Coroutine):
    """Run a coroutine to its end; equal runs take equal times on the loop's clock."""
    with asyncio.Runner(loop_factory=VirtualTimeLoop) as runner:
        return runner.run(main)
