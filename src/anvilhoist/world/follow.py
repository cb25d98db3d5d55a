"""Keep the view in sync with the store, or with peers while it can't be read."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import structlog

from ..errors import ErrorKind, Failure, has_failed_with
from .era import format_revision, get_era
from .model import Snapshot
from .probing import ProbeStore, SignOfLife, find_longest_gap, probe_beside
from .source import ChangeBatch, ChangeSource, HistoryGone
from .view import RETURN_GRACE_S, View

# How long one watch waits for changes; a dead connection is detected after this.
WATCH_WAIT_S = 2.0
# A watch that is unanswered for this much longer may be on a silent connection.
WATCH_OVERDUE_S = 0.3
# Pause between two watches. The minimum makes changes come in batches; each further VM
# that reads the store adds to it; the maximum keeps the time until a change is in force
# well within 3 s.
MIN_PAUSE_S = 0.3
PAUSE_PER_READER_S = 0.02
MAX_PAUSE_S = 1.0
# Pause after a failed call to the store; the longer one is for a VM that usually reads
# through others.
STORE_RETRY_S = 0.3
NON_READER_RETRY_S = 1.2
# Entries may have lapsed if the store did not answer for longer than this.
MIN_OUTAGE_S = 1.0
# Between two signs of life; an entry lapses two check-ins after the first that fails.
MAX_SILENCE_S = 2.3
# Entries may also have lapsed unnoticed if no watch came to its end for longer than
# this, as after a pause of the process.
MAX_UNNOTICED_GAP_S = WATCH_WAIT_S + MAX_PAUSE_S + 2 * MIN_OUTAGE_S
# Full reads in a row after which the store is right about an era below the view's.
LOWER_ERA_READS = 3
PEER_FALLBACK_AFTER_S = 1.0  # time without the store after which a peer is asked
# Age at which a view read through others is too old, and this VM asks the store itself.
MAX_RELAYED_AGE_S = 2.8
AGE_CHECK_INTERVAL_S = 0.1  # time between two checks of the age of such a view


def choose_watch_pause(readers: int) -> float:
    """Choose the pause between two watches, in seconds.

    Parameters
    ----------
    readers : int
        Number of VMs that read the store.
    """
    return min(MAX_PAUSE_S, MIN_PAUSE_S + PAUSE_PER_READER_S * (readers - 1))


FetchFromPeer = Callable[[int], Awaitable[Snapshot | None]]


@dataclass(slots=True)
class StoreFollower:
    """Reads the store in full, then watches it; starts over if its history is gone.

    Parameters
    ----------
    view : View
        Receives what was read.
    source : ChangeSource
        The store.
    fetch_from_peer : callable
        Coroutine function that takes the view's revision and returns a peer's
        snapshot, or None if it got no newer one.
    now : callable
        Clock, in seconds.
    count_readers : callable
        Returns the number of VMs that read from the same store.
    reads_store : callable
        Returns whether this VM is to read the store itself, not through others.
    probe : callable or None
        Coroutine function that returns whether the store answers on a new connection,
        at a tenth of the cost of a call. None if that isn't asked.
    """

    view: View
    source: ChangeSource
    fetch_from_peer: FetchFromPeer
    now: Callable[[], float]
    count_readers: Callable[[], int] = lambda: 1
    reads_store: Callable[[], bool] = lambda: True
    probe: ProbeStore | None = None
    store_lost: bool = False
    _store_answered_at: float | None = None
    _started_at: float = 0.0
    _in_contact_since: float | None = None
    _has_snapshot: bool = False
    _lower_era_reads: int = 0
    _era: int = 0

    async def run(self) -> None:
        """Follow the store until the task is cancelled."""
        self._started_at = self.now()
        while True:
            reads_through_peers = self._has_snapshot and not self.reads_store()
            if reads_through_peers and self.view.age_s < MAX_RELAYED_AGE_S:
                await asyncio.sleep(AGE_CHECK_INTERVAL_S)
            elif await self._sync(0.0 if reads_through_peers else WATCH_WAIT_S):
                if self._has_snapshot:
                    await asyncio.sleep(choose_watch_pause(self.count_readers()))
            else:
                await self._sync_from_peer()
                await asyncio.sleep(
                    NON_READER_RETRY_S if reads_through_peers else STORE_RETRY_S
                )

    async def _sync(self, wait_s: float) -> bool:
        if not self._has_snapshot:
            found = await self.source.read_all()
        else:
            found = await self._watch(wait_s)
            if has_failed_with(found, ErrorKind.STORE_ANSWER_TOO_LARGE):
                self._has_snapshot = False
                found = await self.source.read_all()
        if isinstance(found, Failure):
            self._record_failure(found)
            return False
        self._record_answer()
        match found:
            case HistoryGone():
                self._has_snapshot = False
                structlog.get_logger().info(
                    "store_history_gone", revision=format_revision(self.view.revision)
                )
            case Snapshot():
                self._replace_view(found)
            case _:
                self.view.apply(found.revision, found.changes)
        self._note_era()
        if self._has_long_contact():
            self.view.confirm_removals(self.view.revision)
        return True

    def _replace_view(self, snapshot: Snapshot) -> None:
        era, known_era = get_era(snapshot.revision), get_era(self.view.revision)
        self._lower_era_reads = self._lower_era_reads + 1 if era < known_era else 0
        leaves_era = self._lower_era_reads >= LOWER_ERA_READS
        self.view.replace(snapshot, leaves_era)
        self._has_snapshot = True

    async def _watch(self, wait_s: float) -> ChangeBatch | HistoryGone | Failure:
        """Watch the store, anew if the connection turns out to be silent or is lost.

        Entries lapse when replicas have been silent for several check-ins. If the store
        answers between two watches, in the middle of the second, and once that one is
        overdue, it can't have been away for long enough.
        """
        if self.probe is None or self.store_lost or wait_s < WATCH_OVERDUE_S:
            return await self.source.watch(self.view.revision, wait_s)
        start = asyncio.get_running_loop().time()
        overdue_at = start + wait_s + WATCH_OVERDUE_S
        middle_s = max(0.0, wait_s - choose_watch_pause(self.count_readers())) / 2
        watch = asyncio.ensure_future(self.source.watch(self.view.revision, wait_s))
        try:
            middle = await self._probe_beside(watch, start + middle_s, overdue_at)
            overdue = await self._probe_beside(watch, overdue_at, math.inf)
            if watch.done() and not has_failed_with(
                watch.result(), ErrorKind.CONNECTION_LOST
            ):
                return watch.result()
        finally:
            watch.cancel()
        await asyncio.wait({watch})
        self.source.close()
        self._record_lost_connection(watch.cancelled(), [middle, overdue])
        # No probe is made beside this one, so it must not wait.
        return await self.source.watch(self.view.revision, 0.0)

    async def _probe_beside(
        self, watch: asyncio.Future, start: float, until: float
    ) -> SignOfLife | None:
        """Probe the store from a time on, unless the watch has been answered by then.

        Both times are in seconds, on the event loop's clock.
        """
        delay_s = start - asyncio.get_running_loop().time()
        await asyncio.wait({watch}, timeout=max(0.0, delay_s))
        return await probe_beside(watch, self.probe, self.now, until)

    def _record_lost_connection(
        self, is_silent: bool, signs: list[SignOfLife | None]
    ) -> None:
        gap_s = find_longest_gap(self._find_last_contact(), signs, self.now())
        has_answered = gap_s <= MAX_SILENCE_S
        structlog.get_logger().warning(
            "store_silent" if is_silent else "store_reset",
            has_answered=has_answered,
            gap_s=round(gap_s, 2),
        )
        if has_answered:
            heard = [sign.asked_at for sign in signs if sign is not None]
            self._store_answered_at = max([self._find_last_contact(), *heard])
        else:
            self._record_failure(
                Failure(ErrorKind.STORE_UNREACHED, f"no sign of life for {gap_s:.1f} s")
            )

    def _record_failure(self, failure: Failure) -> None:
        if not self.store_lost:
            structlog.get_logger().warning(
                "store_lost", kind=failure.kind.value, detail=failure.detail
            )
        self.store_lost = True

    def _record_answer(self) -> None:
        now = self.now()
        last_contact_at = self._find_last_contact()
        outage_s = now - last_contact_at
        self._store_answered_at = now
        longest_s = MIN_OUTAGE_S if self.store_lost else MAX_UNNOTICED_GAP_S
        if self._in_contact_since is None or outage_s > longest_s:
            self._in_contact_since = now
        if not self.store_lost:
            return
        self.store_lost = False
        structlog.get_logger().info("store_regained", outage_s=round(outage_s, 2))
        if outage_s > MIN_OUTAGE_S:
            self.view.start_grace_period(outage_s)

    def _note_era(self) -> None:
        # Entries may be missing in a copy, even if no outage was seen, and if the view
        # has it from another VM.
        era = get_era(self.view.revision)
        if era != self._era:
            self._era = era
            self._in_contact_since = self.now()

    def _has_long_contact(self) -> bool:
        """Return whether entries that lapsed in an outage have had time to return.

        A process that has just started does not know whether there was an outage.
        """
        return self.now() - self._in_contact_since >= RETURN_GRACE_S

    def _find_last_contact(self) -> float:
        # Others may have read the store for this VM until a moment ago.
        answered_at = self._store_answered_at
        times = [self._started_at if answered_at is None else answered_at]
        if not self.reads_store() and self.view.synced_at is not None:
            times.append(self.view.synced_at)
        return max(times)

    async def _sync_from_peer(self) -> None:
        if (
            self.view.has_configuration
            and self.now() - self._find_last_contact() < PEER_FALLBACK_AFTER_S
        ):
            return
        found = await self.fetch_from_peer(self.view.revision)
        if found is None:
            return
        structlog.get_logger().info(
            "published_from_peer",
            revision=format_revision(found.revision),
            known=format_revision(self.view.revision),
            view_age_s=round(found.age_s, 2),
        )
        self.view.replace(found)
        self._has_snapshot = True
