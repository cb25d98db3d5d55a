"""The published state as this process knows it; every decision is based on it."""

from __future__ import annotations

import math
import traceback
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from .changes import ChangeLog
from .doubts import RETURN_GRACE_S, CopyDoubts, MissingEntry
from .era import format_revision, get_era
from .model import (
    Change,
    Configuration,
    ConfigurationChanged,
    DataCentreChanged,
    ReplicaChanged,
    ReplicaEntry,
    ReplicaRemoved,
    Snapshot,
)

# A process that has been replaced may write its entry for this long after the new one.
# Later entries count although they name an earlier start: clocks may be set back.
LATE_ENTRY_S = 1.0
# A view that is older may have missed what settles a doubt; watches end within this.
MAX_SETTLING_AGE_S = 3.0


@dataclass(slots=True)
class View:
    """Configuration in force, replicas in use, data centres out of service.

    Parameters
    ----------
    now : callable
        Clock, in seconds.
    on_replica_changed : callable
        Called with an instance and its entry, or with None when the instance must no
        longer be used.
    on_configuration_changed : callable
        Called after a configuration has come into force.

    Attributes
    ----------
    confirmed_revision : int
        Revision up to which removed entries are known not to have lapsed in an outage,
        as a VM has read them that was in contact with the store for long enough.
    """

    now: Callable[[], float]
    on_replica_changed: Callable[[str, ReplicaEntry | None], None]
    on_configuration_changed: Callable[[], None] = lambda: None
    configuration: Configuration | None = None
    revision: int = 0
    entries: dict[str, ReplicaEntry] = field(default_factory=dict)
    data_centres_out: set[str] = field(default_factory=set)
    synced_at: float | None = None
    confirmed_revision: int = 0
    change_log: ChangeLog = field(default_factory=ChangeLog)
    _missing: dict[str, MissingEntry] = field(default_factory=dict)
    _listed_at: dict[str, float] = field(default_factory=dict)
    _copy_doubts: CopyDoubts = field(default_factory=CopyDoubts)
    _grace_until: float = 0.0
    _configured_at: float = 0.0

    @property
    def has_configuration(self) -> bool:
        """Whether a configuration is in force."""
        return self.configuration is not None

    @property
    def configuration_age_s(self) -> float | None:
        """Time since the configuration came into force, in seconds, or None."""
        return self.now() - self._configured_at if self.has_configuration else None

    @property
    def age_s(self) -> float:
        """Time since the view was known to match the store, in seconds.

        Infinite until the view is first synced.
        """
        return math.inf if self.synced_at is None else self.now() - self.synced_at

    @property
    def grace_left_s(self) -> float:
        """Remaining time for which replicas without an entry are kept, in seconds."""
        return max(0.0, self._grace_until - self.now())

    def apply(self, revision: int, changes: list[Change], age_s: float = 0.0) -> None:
        """Apply changes in the order in which they were made.

        Changes up to a revision that the view has already reached are not applied:
        they may come late, from another source. They still count as a sync, unless the
        source has not followed the store since it came back from a copy.

        Parameters
        ----------
        revision : int
            Revision that the changes lead to.
        changes : list
            All changes up to it, since a revision that the view has reached.
        age_s : float
            Time since the source's view was known to match the store, in seconds.
        """
        if get_era(revision) < get_era(self.revision):
            return
        if revision > self.revision:
            self._apply_all(revision, changes)
        self._record_sync(age_s)
        self.change_log.add(revision, changes)

    def replace(self, snapshot: Snapshot, leaves_era: bool = False) -> None:
        """Apply a snapshot, and remove replicas that are not in it.

        Data centres that it does not list as out of service are brought back. A
        snapshot that is older than the view is ignored.

        Parameters
        ----------
        snapshot : Snapshot
            Everything that is published.
        leaves_era : bool
            Whether the view's own era was wrong, so that a lower one counts.
        """
        self.extend_grace_period(snapshot.grace_left_s)
        if snapshot.revision < self.revision and not leaves_era:
            structlog.get_logger().info(
                "published_is_old",
                revision=format_revision(snapshot.revision),
                known=format_revision(self.revision),
            )
            return
        is_other_era = get_era(snapshot.revision) != get_era(self.revision)
        is_copy = self.revision > 0 and is_other_era
        if is_copy:
            self._begin_era(snapshot)
        for instance in self.entries.keys() - snapshot.instances:
            self._handle_removal(instance, snapshot.revision)
        changes = self._copy_doubts.select_changes(
            snapshot, self.entries, self.data_centres_out, self.now()
        )
        self._apply_all(snapshot.revision, changes)
        self._record_sync(snapshot.age_s)
        self.confirm_removals(snapshot.confirmed_revision)
        self.change_log.reset(snapshot.revision)

    def start_grace_period(self, outage_s: float) -> None:
        """Keep replicas whose entry lapsed in an outage, for `RETURN_GRACE_S`.

        Entries that were missing before the outage could not return in it either, so
        they are kept for as much longer as it lasted.
        """
        self.extend_grace_period(RETURN_GRACE_S)
        self._missing = {
            instance: MissingEntry(missing.revision, missing.until + outage_s)
            for instance, missing in self._missing.items()
        }
        structlog.get_logger().info("entries_in_doubt", outage_s=round(outage_s, 2))

    def extend_grace_period(self, seconds: float) -> None:
        """Keep replicas whose entry is removed from now on for at least `seconds`.

        Entries that are missing already are kept no longer than before.
        """
        self._grace_until = max(self._grace_until, self.now() + seconds)

    def confirm_removals(self, revision: int) -> None:
        """Remove replicas that were kept in doubt, as their removal is confirmed.

        Parameters
        ----------
        revision : int
            Revision up to which removals are confirmed.
        """
        self.confirmed_revision = max(
            self.confirmed_revision, min(revision, self.revision)
        )
        for instance, missing in list(self._missing.items()):
            if missing.revision <= self.confirmed_revision:
                self._remove_replica(instance, "removal confirmed")

    def drop_missing(self, now: float) -> None:
        """Remove replicas whose entry did not return in the grace period."""
        for instance, missing in list(self._missing.items()):
            if missing.until <= now:
                self._remove_replica(instance, "entry did not return in time")
        if self.age_s <= MAX_SETTLING_AGE_S:
            for change in self._copy_doubts.take_settled(now):
                self._try_apply(change, self.revision)
            self._copy_doubts.expire(now)

    def take_snapshot(self) -> Snapshot:
        """Return what this view holds, without what the store does not say.

        Replicas whose entry is missing are left out, and so is what is kept although a
        copy of the store says otherwise.
        """
        entries = [e for e in self.entries.values() if e.instance not in self._missing]
        changes = self._copy_doubts.restore_said(entries, self.data_centres_out)
        if self.configuration is not None:
            changes.append(ConfigurationChanged(self.configuration))
        return Snapshot(
            self.revision, changes, confirmed_revision=self.confirmed_revision
        )

    def _begin_era(self, snapshot: Snapshot) -> None:
        """Prepare for a copy of the store, in which the latest writes are missing."""
        self.extend_grace_period(RETURN_GRACE_S)
        self._copy_doubts.begin(self.now())
        self.confirmed_revision = 0
        self._missing = {
            instance: MissingEntry(missing.revision, self._grace_until)
            for instance, missing in self._missing.items()
        }
        structlog.get_logger().warning(
            "store_copy",
            revision=format_revision(snapshot.revision),
            known=format_revision(self.revision),
            entries=len(self.entries),
            items=len(snapshot.changes),
            doubt_s=RETURN_GRACE_S,
        )

    def _apply_all(self, revision: int, changes: list[Change]) -> None:
        before = self.configuration
        for change in changes:
            self._try_apply(change, revision)
        self.revision = revision
        if self.configuration is not before:
            self.on_configuration_changed()

    def _record_sync(self, age_s: float) -> None:
        synced_at = self.now() - age_s
        self.synced_at = max(synced_at, self.synced_at or synced_at)

    def _try_apply(self, change: Change, revision: int) -> None:
        """Apply a change, or log why it can't be applied; the others must follow."""
        try:
            self._apply_change(change, revision)
        except Exception:
            structlog.get_logger().error(
                "change_failed",
                change=repr(change)[:200],
                revision=format_revision(revision),
                trace=traceback.format_exc(),
            )

    def _apply_change(self, change: Change, revision: int) -> None:
        match change:
            case ConfigurationChanged(configuration):
                self._set_configuration(configuration)
            case ReplicaChanged(entry):
                self._copy_doubts.settle_entry(entry.instance)
                self._put_entry(entry)
            case ReplicaRemoved(instance):
                self._copy_doubts.settle_entry(instance)
                self._handle_removal(instance, revision)
            case DataCentreChanged(data_centre, out):
                self._copy_doubts.settle_data_centre(data_centre)
                self._set_data_centre_out(data_centre, out)

    def _set_configuration(self, configuration: Configuration) -> None:
        current = self.configuration
        if current is not None and configuration.version <= current.version:
            if configuration.version < current.version:
                structlog.get_logger().info(
                    "configuration_is_old",
                    version=configuration.version,
                    in_force=current.version,
                )
            return
        self.configuration = configuration
        self._configured_at = self.now()
        structlog.get_logger().info(
            "configuration_in_force",
            version=configuration.version,
            before=current.version if current else None,
            routes=len(configuration.routes),
        )

    def _put_entry(self, entry: ReplicaEntry) -> None:
        known = self.entries.get(entry.instance)
        now = self.now()
        if known is not None and entry.born_ms < known.born_ms:
            age_s = now - self._listed_at[entry.instance]
            if age_s < LATE_ENTRY_S:
                return
            structlog.get_logger().info(
                "replica_born_earlier", replica=entry.instance, age_s=round(age_s, 2)
            )
        self._listed_at[entry.instance] = now
        self._missing.pop(entry.instance, None)
        self.entries[entry.instance] = entry
        if known != entry:
            self.on_replica_changed(entry.instance, entry)
        if known is None or known.draining != entry.draining:
            structlog.get_logger().info(
                "replica_listed",
                replica=entry.instance,
                service=entry.service,
                draining=entry.draining,
                cold_s=entry.cold_s,
            )

    def _handle_removal(self, instance: str, revision: int) -> None:
        if instance not in self.entries or instance in self._missing:
            return
        now = self.now()
        if now >= self._grace_until:
            self._remove_replica(instance, "entry removed")
            return
        self._missing[instance] = MissingEntry(revision, self._grace_until)
        structlog.get_logger().info(
            "replica_missing",
            replica=instance,
            revision=format_revision(revision),
            kept_s=round(self._grace_until - now, 2),
        )

    def _remove_replica(self, instance: str, why: str) -> None:
        self._missing.pop(instance, None)
        self._listed_at.pop(instance, None)
        entry = self.entries.pop(instance, None)
        if entry is None:
            return
        self._copy_doubts.note_removal(entry, self.now())
        structlog.get_logger().info("replica_gone", replica=instance, why=why)
        self.on_replica_changed(instance, None)

    def _set_data_centre_out(self, data_centre: str, out: bool) -> None:
        if out == (data_centre in self.data_centres_out):
            return
        self.data_centres_out.symmetric_difference_update({data_centre})
        structlog.get_logger().info("data_centre_out", name=data_centre, out=out)
