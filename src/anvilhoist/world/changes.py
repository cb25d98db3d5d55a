"""The latest changes of a view, kept for VMs that read through this one."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field, replace

from .model import Change, ConfigurationChanged

# Number of changes kept; a repartition of all shards of a large deployment fits in.
MAX_KEPT_CHANGES = 4000


@dataclass(frozen=True, slots=True)
class _RevisionStep:
    from_revision: int
    to_revision: int
    changes: tuple[Change, ...]
    has_configuration: bool


@dataclass(slots=True)
class ChangeLog:
    """Steps from one revision of the view to the next.

    Attributes
    ----------
    revision : int
        Revision that the newest step leads to.
    """

    revision: int = 0
    _steps: deque[_RevisionStep] = field(default_factory=deque)
    _change_count: int = 0
    _waiters: set[asyncio.Future] = field(default_factory=set)

    def add(self, revision: int, changes: list[Change]) -> None:
        """Record the changes that brought the view to a revision.

        Waiting tasks are woken even if the revision is not newer.
        """
        if revision > self.revision:
            self._drop_empty_step()
            configures = any(isinstance(c, ConfigurationChanged) for c in changes)
            self._steps.append(
                _RevisionStep(self.revision, revision, tuple(changes), configures)
            )
            self._change_count += len(changes)
            self.revision = revision
            if configures:
                self._keep_newest_configuration()
        while self._change_count > MAX_KEPT_CHANGES:
            self._change_count -= len(self._steps.popleft().changes)
        self._wake_waiters()

    def reset(self, revision: int) -> None:
        """Drop the history, as the view was replaced by a full read at a revision."""
        self._steps.clear()
        self._change_count = 0
        self.revision = revision
        self._wake_waiters()

    def list_since(self, revision: int) -> list[Change] | None:
        """Return the changes after a revision, or None if they are no longer kept."""
        if revision >= self.revision:
            return []
        if not self._steps or revision < self._steps[0].from_revision:
            return None
        return [
            change
            for step in self._steps
            if step.to_revision > revision
            for change in step.changes
        ]

    async def wait_for_sync(self, timeout_s: float) -> None:
        """Wait until the view is next synced, for at most `timeout_s` seconds.

        A sync that brings no changes ends the wait as well.
        """
        synced = asyncio.get_running_loop().create_future()
        self._waiters.add(synced)
        try:
            async with asyncio.timeout(timeout_s):
                await synced
        except TimeoutError:
            return
        finally:
            self._waiters.discard(synced)

    def _keep_newest_configuration(self) -> None:
        # A configuration may take megabytes, and a reader needs only the newest.
        configurations = [
            change
            for step in self._steps
            if step.has_configuration
            for change in step.changes
            if isinstance(change, ConfigurationChanged)
        ]
        newest = max(reversed(configurations), key=lambda c: c.configuration.version)
        kept: deque[_RevisionStep] = deque()
        from_revision = self._steps[0].from_revision
        for step in self._steps:
            if step.has_configuration:
                step = _drop_configurations(step, newest)
            if not step.changes and step.to_revision != self.revision:
                continue
            if step.from_revision != from_revision:
                step = replace(step, from_revision=from_revision)
            kept.append(step)
            from_revision = step.to_revision
        self._steps = kept
        self._change_count = sum(len(step.changes) for step in kept)

    def _drop_empty_step(self) -> None:
        # The next step begins where the last one with changes ended, so that steps
        # without changes take no room.
        if self._steps and not self._steps[-1].changes:
            self.revision = self._steps.pop().from_revision

    def _wake_waiters(self) -> None:
        for synced in self._waiters:
            if not synced.done():
                synced.set_result(None)


def _drop_configurations(
    step: _RevisionStep, kept: ConfigurationChanged
) -> _RevisionStep:
    """Return a step without its configurations, except for one."""
    changes = tuple(
        change
        for change in step.changes
        if change is kept or not isinstance(change, ConfigurationChanged)
    )
    keeps = any(change is kept for change in changes)
    return replace(step, changes=changes, has_configuration=keeps)
