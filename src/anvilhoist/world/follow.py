"""Keep the view in step with the store, and with peers while it can't be read."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import structlog

from ..errors import Failure
from .model import Snapshot
from .source import HistoryGone, Source
from .view import View

WATCH_WAIT_S = 2.0  # s; a connection that went silent is found out after this
PAUSE_S = 0.3  # s between two watches, so that changes come in batches
PAUSE_PER_VM_S = 0.02  # s more for each VM that reads the store
MAX_PAUSE_S = 1.0  # s; a change is in force well within 3 s
RETRY_S = 0.3  # s after a failed call
OTHERS_RETRY_S = 1.2  # s after a failed call where others read the store as well
OUTAGE_S = 1.0  # s without an answer, after which entries may have lapsed
PEER_AFTER_S = 1.0  # s without the store, after which a peer is asked
STALE_S = 2.8  # s without news through others, after which the store is asked
LOOK_S = 0.1  # s between two looks at the age of what others have read


def choose_pause(readers: int) -> float:
    """Choose the pause between two watches, in seconds.

    Parameters
    ----------
    readers : int
        VMs that read the store.
    """
    return min(MAX_PAUSE_S, PAUSE_S + PAUSE_PER_VM_S * (readers - 1))


AskPeer = Callable[[int], Awaitable[Snapshot | None]]


@dataclass(slots=True)
class StoreFollower:
    """Reads the store once, watches it, and starts over where it must.

    Parameters
    ----------
    view : View
        Takes the changes.
    source : Source
        The store.
    ask_peer : callable
        Coroutine function from the revision known to what a peer holds, if newer.
    now : callable
        Clock, in seconds.
    count_readers : callable
        VMs that read from the same store.
    reads_store : callable
        Whether this VM is to read the store, or others read it for this one.
    """

    view: View
    source: Source
    ask_peer: AskPeer
    now: Callable[[], float]
    count_readers: Callable[[], int] = lambda: 1
    reads_store: Callable[[], bool] = lambda: True
    lost: bool = False
    _heard_store_at: float | None = None
    _started_at: float = 0.0
    _whole: bool = False

    async def run(self) -> None:
        """Follow until the task is cancelled."""
        self._started_at = self.now()
        while True:
            others_read = self._whole and not self.reads_store()
            if others_read and self.view.age_s < STALE_S:
                await asyncio.sleep(LOOK_S)
            elif await self._step(0.0 if others_read else WATCH_WAIT_S):
                await asyncio.sleep(choose_pause(self.count_readers()))
            else:
                await self._bridge()
                await asyncio.sleep(OTHERS_RETRY_S if others_read else RETRY_S)

    async def _step(self, wait_s: float) -> bool:
        if not self._whole:
            found = await self.source.read_all()
        else:
            found = await self.source.watch(self.view.revision, wait_s)
        if isinstance(found, Failure):
            self._lose(found)
            return False
        self._regain()
        match found:
            case HistoryGone():
                self._whole = False
                structlog.get_logger().info(
                    "store_history_gone", revision=self.view.revision
                )
            case Snapshot():
                self.view.replace(found)
                self._whole = True
            case _:
                self.view.apply(found.revision, found.changes)
        return True

    def _lose(self, failure: Failure) -> None:
        if not self.lost:
            structlog.get_logger().warning(
                "store_lost", kind=failure.kind.value, detail=failure.detail
            )
        self.lost = True

    def _regain(self) -> None:
        now = self.now()
        heard_at = self._heard_at()
        self._heard_store_at = now
        if not self.lost:
            return
        self.lost = False
        outage_s = now - heard_at
        structlog.get_logger().info("store_regained", outage_s=round(outage_s, 2))
        if outage_s > OUTAGE_S:
            self.view.start_grace_period(outage_s)

    def _heard_at(self) -> float:
        # Others may have read the store for this VM until a moment ago.
        store = self._heard_store_at
        times = [self._started_at if store is None else store]
        if not self.reads_store() and self.view.synced_at is not None:
            times.append(self.view.synced_at)
        return max(times)

    async def _bridge(self) -> None:
        if self.view.has_configuration and self.now() - self._heard_at() < PEER_AFTER_S:
            return
        found = await self.ask_peer(self.view.revision)
        if found is None:
            return
        structlog.get_logger().info(
            "published_from_peer", revision=found.revision, known=self.view.revision
        )
        self.view.replace(found)
        self._whole = True
