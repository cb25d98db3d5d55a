"""Merging parts of one snapshot into an answer that is honest about coverage."""

from __future__ import annotations

from dataclasses import dataclass, field

from .documents import Snapshot
from .messages import Hit


@dataclass(frozen=True, slots=True)
class Missing:
    """A shard that is not covered, and why."""

    shard: str
    reason: str


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """Answer to a search.

    Attributes
    ----------
    index, version
        The one snapshot that every part comes from.
    shards : int
        Shards of that snapshot.
    covered : int
        Shards whose part was merged.
    """

    request_id: str
    index: str
    version: int
    shards: int
    covered: int
    missing: tuple[Missing, ...]
    hits: tuple[Hit, ...]

    @property
    def coverage(self) -> float:
        """Share of the shards that is covered."""
        return self.covered / self.shards


@dataclass(slots=True)
class Merger:
    """Parts of one query at one snapshot.

    Parameters
    ----------
    index : str
        Name of the index.
    snapshot : Snapshot
        Version and shard map, pinned together.
    """

    index: str
    snapshot: Snapshot
    _parts: dict[str, tuple[Hit, ...]] = field(default_factory=dict)
    _reasons: dict[str, str] = field(default_factory=dict)

    def add_part(self, shard: str, version: int, hits: tuple[Hit, ...]) -> bool:
        """Take a part in.

        Returns
        -------
        bool
            False where the part is of another snapshot, of a shard that this
            snapshot doesn't have, or there already.
        """
        if version != self.snapshot.version or shard not in self.snapshot.shards:
            return False
        if shard in self._parts:
            return False
        self._parts[shard] = hits
        return True

    def note_reason(self, shard: str, reason: str) -> None:
        """Remember why a shard has no part yet."""
        self._reasons[shard] = reason

    def has_part(self, shard: str) -> bool:
        """Whether a shard is covered."""
        return shard in self._parts

    @property
    def is_complete(self) -> bool:
        """Whether all shards are covered."""
        return len(self._parts) == len(self.snapshot.shards)

    @property
    def covered_share(self) -> float:
        """Share of the shards that is covered so far."""
        return len(self._parts) / len(self.snapshot.shards)

    def finish(self, request_id: str) -> SearchAnswer:
        """Build the answer from what was merged."""
        missing = tuple(
            Missing(shard, self._reasons.get(shard, "no answer in time"))
            for shard in sorted(self.snapshot.shards)
            if shard not in self._parts
        )
        hits = [hit for part in self._parts.values() for hit in part]
        hits.sort(key=lambda hit: (-hit.score, hit.key))
        return SearchAnswer(
            request_id=request_id,
            index=self.index,
            version=self.snapshot.version,
            shards=len(self.snapshot.shards),
            covered=len(self._parts),
            missing=missing,
            hits=tuple(hits),
        )
