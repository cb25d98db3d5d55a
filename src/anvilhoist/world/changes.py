"""The newest changes of a view, kept for VMs that read through this one."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from .model import Change

MAX_KEPT_CHANGES = 4000  # a repartition of all shards of a large deployment fits in


@dataclass(frozen=True, slots=True)
class _Step:
    before: int
    after: int
    changes: tuple[Change, ...]


@dataclass(slots=True)
class ChangeLog:
    """Steps from one revision of the view to the next.

    Attributes
    ----------
    revision : int
        Revision that the newest step leads to.
    """

    revision: int = 0
    _steps: deque[_Step] = field(default_factory=deque)
    _kept: int = 0
    _waiting: set[asyncio.Future] = field(default_factory=set)

    def add(self, revision: int, changes: list[Change]) -> None:
        """Note that the view has come to a revision by some changes."""
        if revision > self.revision:
            self._steps.append(_Step(self.revision, revision, tuple(changes)))
            self._kept += len(changes)
            self.revision = revision
        while self._kept > MAX_KEPT_CHANGES:
            self._kept -= len(self._steps.popleft().changes)
        self._wake()

    def reset(self, revision: int) -> None:
        """Note that the view was read anew, whatever changed."""
        self._steps.clear()
        self._kept = 0
        self.revision = revision
        self._wake()

    def since(self, after: int) -> list[Change] | None:
        """Changes after a revision, or None if they are not kept."""
        if after >= self.revision:
            return []
        if not self._steps or after < self._steps[0].before:
            return None
        return [
            change
            for step in self._steps
            if step.after > after
            for change in step.changes
        ]

    async def wait(self, limit_s: float) -> None:
        """Wait until the source was heard again, for at most `limit_s` seconds."""
        heard = asyncio.get_running_loop().create_future()
        self._waiting.add(heard)
        try:
            async with asyncio.timeout(limit_s):
                await heard
        except TimeoutError:
            return
        finally:
            self._waiting.discard(heard)

    def _wake(self) -> None:
        for heard in self._waiting:
            if not heard.done():
                heard.set_result(None)
