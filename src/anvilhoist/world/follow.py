"""Keep the view in step with the store, and with peers while it can't be read."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import structlog

from ..errors import Failure
from .model import Published
from .source import HistoryGone, Source
from .view import View

WATCH_WAIT_S = 3.0  # s; a connection that went silent is found out after this
PAUSE_S = 0.3  # s between two watches, so that changes come in batches
PAUSE_PER_VM_S = 0.02  # s more for each VM, so that calls grow less than the fleet
PAUSE_MOST_S = 1.0  # s; a change is in force well within 3 s
RETRY_S = 0.3  # s after a failed call
OUTAGE_S = 1.0  # s without an answer, after which entries may have lapsed
PEER_AFTER_S = 1.0  # s without the store, after which a peer is asked


def choose_pause(vms: int) -> float:
    """Choose the pause between two watches, in seconds, for a fleet of `vms`."""
    return min(PAUSE_MOST_S, PAUSE_S + PAUSE_PER_VM_S * (vms - 1))


AskPeer = Callable[[int], Awaitable[Published | None]]


@dataclass(slots=True)
class Follower:
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
    count_vms : callable
        VMs that read from the same store.
    """

    view: View
    source: Source
    ask_peer: AskPeer
    now: Callable[[], float]
    count_vms: Callable[[], int] = lambda: 1
    lost: bool = False
    _heard_store_at: float | None = None
    _started_at: float = 0.0
    _whole: bool = False

    async def run(self) -> None:
        """Follow until the task is cancelled."""
        self._started_at = self.now()
        while True:
            if await self._step():
                await asyncio.sleep(choose_pause(self.count_vms()))
            else:
                await self._bridge()
                await asyncio.sleep(RETRY_S)

    async def _step(self) -> bool:
        if not self._whole:
            found = await self.source.read_all()
        else:
            found = await self.source.watch(self.view.revision, WATCH_WAIT_S)
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
            case Published():
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
        heard_at = self._heard_store_at
        self._heard_store_at = now
        if not self.lost:
            return
        self.lost = False
        outage_s = now - (self._started_at if heard_at is None else heard_at)
        structlog.get_logger().info("store_regained", outage_s=round(outage_s, 2))
        if outage_s > OUTAGE_S:
            self.view.regained(outage_s)

    async def _bridge(self) -> None:
        heard_at = self._heard_store_at
        since = self._started_at if heard_at is None else heard_at
        if self.view.known and self.now() - since < PEER_AFTER_S:
            return
        found = await self.ask_peer(self.view.revision)
        if found is None:
            return
        structlog.get_logger().info(
            "published_from_peer", revision=found.revision, known=self.view.revision
        )
        self.view.replace(found)
        self._whole = True
