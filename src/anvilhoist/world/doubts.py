"""What the store says, or doesn't say, that may be out of date for a while."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .model import (
    Change,
    DataCentreChanged,
    ReplicaChanged,
    ReplicaEntry,
    Snapshot,
)

# Entries of live replicas are written again within this time after the store's return.
RETURN_GRACE_S = 2.3
# By then each replica has written its entry again, or it has lapsed after three of its
# heartbeats.
COPY_DOUBT_S = 5.0
# A copy is some seconds old; it brings back no entry that was removed earlier.
REMOVED_KEPT_S = 60.0
MAX_REMOVED = 2000


@dataclass(frozen=True, slots=True)
class MissingEntry:
    """Entry that was removed while the removal is in doubt.

    Attributes
    ----------
    revision : int
        Revision at which the removal was read.
    until : float
        Time up to which the replica is kept in use, in seconds.
    """

    revision: int
    until: float


@dataclass(frozen=True, slots=True)
class _Removed:
    entry: ReplicaEntry
    at: float


@dataclass(slots=True)
class CopyDoubts:
    """What a copy of the store says that may be out of date, until it is settled.

    It is settled by whoever writes it again, or removes it, or by time.
    """

    _until: float = -math.inf
    _out_until: float = -math.inf
    _entries: dict[str, ReplicaEntry] = field(default_factory=dict)
    _data_centres: dict[str, bool] = field(default_factory=dict)
    _removed: dict[str, _Removed] = field(default_factory=dict)

    def begin(self, now: float) -> None:
        """Note that the store has come back from a copy."""
        self._until = now + COPY_DOUBT_S
        self._out_until = now + RETURN_GRACE_S

    def note_removal(self, entry: ReplicaEntry, now: float) -> None:
        """Note that a replica is used no longer."""
        self._removed.pop(entry.instance, None)
        self._removed[entry.instance] = _Removed(entry, now)
        while len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def settle_entry(self, instance: str) -> None:
        """Note that the store is right about an entry, or that it has none."""
        self._entries.pop(instance, None)

    def settle_data_centre(self, data_centre: str) -> None:
        """Note that the store is right about a data centre."""
        self._data_centres.pop(data_centre, None)

    def select_changes(
        self,
        snapshot: Snapshot,
        known: dict[str, ReplicaEntry],
        known_out: set[str],
        now: float,
    ) -> list[Change]:
        """Return the changes that a snapshot brings now; the others are kept in doubt.

        Parameters
        ----------
        snapshot : Snapshot
            What the store says.
        known : dict of ReplicaEntry
            Entries in use, by instance.
        known_out : set of str
            Data centres that are out of service.
        now : float
            Current time, in seconds.
        """
        self._entries.clear()
        self._data_centres.clear()
        returned = known_out - snapshot.data_centres_out
        changes = snapshot.changes + [
            DataCentreChanged(name, False) for name in sorted(returned)
        ]
        if now >= self._until:
            return changes
        return [
            change for change in changes if not self._keep(change, known, known_out)
        ]

    def take_settled(self, now: float) -> list[Change]:
        """Return the changes that nobody has corrected in time."""
        changes: list[Change] = []
        for data_centre, out in list(self._data_centres.items()):
            if now >= (self._out_until if out else self._until):
                del self._data_centres[data_centre]
                changes.append(DataCentreChanged(data_centre, out))
        if now >= self._until:
            changes += [ReplicaChanged(entry) for entry in self._entries.values()]
            self._entries.clear()
        return changes

    def restore_said(self, entries: list[ReplicaEntry], out: set[str]) -> list[Change]:
        """Return what the store says, with what is in doubt.

        Parameters
        ----------
        entries : list of ReplicaEntry
            Entries in use.
        out : set of str
            Data centres that are out of service.
        """
        instances = {entry.instance for entry in entries}
        said = [e for e in self._entries.values() if e.instance not in instances]
        said_out = {name for name, is_out in self._data_centres.items() if is_out}
        said_in = self._data_centres.keys() - said_out
        changes: list[Change] = [ReplicaChanged(entry) for entry in entries + said]
        changes += [
            DataCentreChanged(name, True) for name in sorted((out | said_out) - said_in)
        ]
        return changes

    def expire(self, now: float) -> None:
        """Forget entries that were removed too long ago for any copy."""
        for instance, removed in list(self._removed.items()):
            if now - removed.at < REMOVED_KEPT_S:
                return
            del self._removed[instance]

    def _keep(
        self, change: Change, known: dict[str, ReplicaEntry], known_out: set[str]
    ) -> bool:
        """Keep a change in doubt, if it may be; return whether it is."""
        match change:
            case ReplicaChanged(entry) if self._is_doubtful(entry, known):
                self._entries[entry.instance] = entry
            case DataCentreChanged(name, out) if out != (name in known_out):
                self._data_centres[name] = out
            case _:
                return False
        return True

    def _is_doubtful(self, entry: ReplicaEntry, known: dict[str, ReplicaEntry]) -> bool:
        current = known.get(entry.instance)
        if current is not None:
            return is_older(entry, current)
        removed = self._removed.get(entry.instance)
        return removed is not None and entry.born_ms <= removed.entry.born_ms


def is_older(entry: ReplicaEntry, other: ReplicaEntry) -> bool:
    """Return whether an entry was written before another one of its instance."""
    if entry.born_ms != other.born_ms:
        return entry.born_ms < other.born_ms
    if entry.sequence != other.sequence:
        return entry.sequence < other.sequence
    return other.draining and not entry.draining
