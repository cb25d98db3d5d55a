"""What the store says, or doesn't say, that may be out of date for a while."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from .model import Change, ReplicaChanged, ReplicaEntry

# A copy is some seconds old; it brings back no entry that was removed earlier.
REMOVED_KEPT_S = 60.0
MAX_REMOVED = 2000
# By then each replica has written its entry again, or it has lapsed after three of its
# heartbeats.
COPY_DOUBT_S = 5.0


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
class _DatedEntry:
    """An entry and a time, in seconds."""

    entry: ReplicaEntry
    at: float


@dataclass(slots=True)
class CopyDoubts:
    """Entries and data centres for which a copy of the store may be out of date.

    Attributes
    ----------
    returned : dict of _DatedEntry
        Entries that a copy brought back, by instance, and when they count.
    until : float
        Time up to which what is read in full may still be what the copy held.
    data_centres : dict of float
        Data centres that a copy lists in service, and until when they stay out of it.
    """

    returned: dict[str, _DatedEntry] = field(default_factory=dict)
    data_centres: dict[str, float] = field(default_factory=dict)
    until: float = -math.inf
    _removed: dict[str, _DatedEntry] = field(default_factory=dict)

    def begin(self, now: float) -> None:
        """Note that the store has come back from a copy."""
        self.until = now + COPY_DOUBT_S

    def note_removal(self, entry: ReplicaEntry, now: float) -> None:
        """Note that an entry was removed, other than by a copy that lacks it."""
        self._removed.pop(entry.instance, None)
        self._removed[entry.instance] = _DatedEntry(entry, now)
        while len(self._removed) > MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def note_write(self, instance: str) -> None:
        """Note that an entry was written or removed: the store is right about it."""
        self._removed.pop(instance, None)
        self.returned.pop(instance, None)

    def select_changes(
        self, changes: list[Change], known: dict[str, ReplicaEntry], now: float
    ) -> list[Change]:
        """Return the changes of a snapshot that count now.

        Parameters
        ----------
        changes : list
            One change for each item of the snapshot.
        known : dict of ReplicaEntry
            Entries in use, by instance.
        now : float
            Current time, in seconds.
        """
        if now >= self.until:
            return changes
        selected: list[Change] = []
        for change in changes:
            if isinstance(change, ReplicaChanged):
                entry = change.entry
                removed = self._removed.get(entry.instance)
                if is_older(entry, known.get(entry.instance)):
                    continue
                if removed is not None and not is_older(removed.entry, entry):
                    self.returned[entry.instance] = _DatedEntry(entry, self.until)
                    continue
            selected.append(change)
        return selected

    def take_returned(self, now: float) -> list[ReplicaEntry]:
        """Return the entries that a copy brought back and that nobody removed since."""
        due = [dated.entry for dated in self.returned.values() if dated.at <= now]
        for entry in due:
            del self.returned[entry.instance]
        return due

    def take_data_centres(self, now: float) -> list[str]:
        """Return the data centres that nobody took out of service again in time."""
        due = [name for name, until in self.data_centres.items() if until <= now]
        for name in due:
            del self.data_centres[name]
        return due

    def expire(self, now: float) -> None:
        """Forget entries that were removed too long ago for any copy."""
        for instance, dated in list(self._removed.items()):
            if now - dated.at < REMOVED_KEPT_S:
                return
            del self._removed[instance]


def is_older(entry: ReplicaEntry, other: ReplicaEntry | None) -> bool:
    """Return whether an entry was surely written before another one of its instance."""
    if other is None:
        return False
    if entry.born_ms != other.born_ms:
        return entry.born_ms < other.born_ms
    return entry.sequence < other.sequence
