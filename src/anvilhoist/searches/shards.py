"""Records of a query: its shards and their sub-requests without an answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..errors import Kind
from .link import Link


@dataclass(slots=True)
class Try:
    """One sub-request without an answer."""

    number: int
    shard: str
    replica: str
    sent_at: float
    link: Link
    exchange: int


@dataclass(slots=True)
class Shard:
    """One shard of the query."""

    name: str
    replicas: tuple[str, ...]
    tried: set[str] = field(default_factory=set)
    tries: list[Try] = field(default_factory=list)
    gone: set[str] = field(default_factory=set)
    failures: set[Kind] = field(default_factory=set)
    detours: int = 0
    hedged: bool = False
    hedge_not_before: float = 0.0
    failed: bool = False
    retry_at: float | None = None

    def hedge_time(self, after: float) -> float:
        """Clock reading at which a hedge is due, in seconds."""
        return max(self.tries[0].sent_at + after, self.hedge_not_before)


@dataclass(frozen=True, slots=True)
class LostLink:
    """The link of an exchange broke."""

    exchange: int
    link: Link
