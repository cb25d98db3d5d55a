"""Sources of what is published: the store, or a peer that has read it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from ..errors import Failure
from .model import Change, Snapshot


@dataclass(frozen=True, slots=True)
class ChangeBatch:
    """Changes since a revision.

    Attributes
    ----------
    revision : int
        Revision up to which all is known now.
    changes : list
        In the order in which they were made.
    """

    revision: int
    changes: list[Change]


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The source no longer has the changes since that revision."""


class Source(Protocol):
    """Something that can be read and watched."""

    async def read_all(self) -> Snapshot | Failure:
        """Read all that is published."""

    async def watch(
        self, after: int, wait_s: float
    ) -> ChangeBatch | HistoryGone | Failure:
        """Wait for changes after a revision."""

    def close(self) -> None:
        """Give up the connection."""
