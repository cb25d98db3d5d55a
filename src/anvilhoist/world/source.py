"""Interface of a source of published state, and the types of its answers."""

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
        Revision that the changes lead to.
    changes : list
        Changes in the order in which they were made.
    """

    revision: int
    changes: list[Change]


@dataclass(frozen=True, slots=True)
class HistoryGone:
    """The source no longer has the changes since the revision asked for."""


class ChangeSource(Protocol):
    """A source that can be read in full and watched for changes."""

    async def read_all(self) -> Snapshot | Failure:
        """Read everything that is published."""

    async def watch(
        self, after: int, wait_s: float
    ) -> ChangeBatch | HistoryGone | Failure:
        """Wait up to `wait_s` seconds for changes after a revision.

        Returns
        -------
        ChangeBatch, HistoryGone or Failure
            A batch without changes if there were none in that time. The kind of failure
            is `STORE_ANSWER_TOO_LARGE` if only a full read helps.
        """

    def close(self) -> None:
        """Close the connection."""
