"""A process's view of the published documents: newest accepted revision of each.

A revision is accepted once: whole, valid, and higher than any seen. Nothing
brings an older one back, whoever offers it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..errors import SettingsError
from .documents import (
    CONFIG,
    DIRECTORY,
    KEYS,
    VMS,
    Config,
    Directory,
    Document,
    Vms,
    parse_document,
)
from .messages import Published

Listener = Callable[[str], None]


@dataclass(frozen=True, slots=True)
class Rejection:
    """A revision that was refused and why.

    Attributes
    ----------
    at_s : float
        Clock reading of the refusal, in seconds.
    """

    key: str
    revision: int
    problems: tuple[str, ...]
    at_s: float


@dataclass(frozen=True, slots=True)
class Held:
    """An accepted document."""

    published: Published
    document: Document
    accepted_at: float


@dataclass(slots=True)
class View:
    """Newest accepted revision of each document.

    Parameters
    ----------
    now : callable
        Clock, in seconds.

    Attributes
    ----------
    conflicts : int
        Texts offered under the revision of another text.
    changes : int
        Grows with every change of documents or confirmations.
    """

    now: Callable[[], float]
    _held: dict[str, Held] = field(default_factory=dict)
    _rejections: dict[str, Rejection] = field(default_factory=dict)
    _listeners: list[Listener] = field(default_factory=list)
    _previous_vms: tuple[int, Vms] | None = None
    _confirmed: dict[str, float] = field(default_factory=dict)
    conflicts: int = 0
    changes: int = 0

    def listen(self, call: Listener) -> None:
        """Call `call` with the key after each acceptance or refusal."""
        self._listeners.append(call)

    def revision(self, key: str) -> int:
        """Revision held of a document, 0 if none."""
        held = self._held.get(key)
        return 0 if held is None else held.published.revision

    @property
    def revisions(self) -> tuple[int, ...]:
        """Revision held of each document, in the order of ``KEYS``."""
        return tuple(self.revision(key) for key in KEYS)

    @property
    def complete(self) -> bool:
        """Whether all documents are there."""
        return len(self._held) == len(KEYS)

    @property
    def config(self) -> Config | None:
        """Operators' document in force."""
        return self._document(CONFIG)

    @property
    def vms(self) -> Vms | None:
        """List of VMs in force."""
        return self._document(VMS)

    @property
    def directory(self) -> Directory | None:
        """Upstreams, snapshots and pools in force."""
        return self._document(DIRECTORY)

    @property
    def previous_vms(self) -> tuple[int, Vms] | None:
        """List of VMs that the present one replaced, with its revision."""
        return self._previous_vms

    @property
    def rejections(self) -> tuple[Rejection, ...]:
        """Newest refused revision of each document, while it is the newest."""
        return tuple(
            rejection
            for key, rejection in self._rejections.items()
            if rejection.revision > self.revision(key)
        )

    def held(self, key: str) -> Held | None:
        """Accepted document with its text and time."""
        return self._held.get(key)

    def offer(self, published: Published) -> bool:
        """Take a document in if it is newer than any seen and valid.

        Returns
        -------
        bool
            Whether it was accepted.
        """
        key = published.key
        if key not in KEYS:
            return False
        if published.revision <= self.newest_seen(key):
            self._check_conflict(published)
            return False
        try:
            document = parse_document(key, published.text)
        except SettingsError as error:
            self._reject(published, error.problems)
            return False
        self._accept(published, document)
        return True

    @property
    def platform_confirmed_at(self) -> float | None:
        """Clock reading until which the platform held nothing newer."""
        if len(self._confirmed) < len(KEYS):
            return None
        return min(self._confirmed.values())

    def platform_age(self) -> float:
        """Seconds since the platform confirmed the view, negative if never."""
        at = self.platform_confirmed_at
        return -1.0 if at is None else self.now() - at

    def age(self, key: str) -> float:
        """Seconds since a document was accepted, negative if there is none."""
        held = self._held.get(key)
        return -1.0 if held is None else self.now() - held.accepted_at

    def confirm_platform(self, key: str, at: float) -> None:
        """Record that the platform held nothing newer of a document at `at`."""
        self._confirmed[key] = max(at, self._confirmed.get(key, at))
        self.changes += 1

    def forget_confirmations(self) -> None:
        """Trust the platform's earlier word no more, as after a pause."""
        self._confirmed.clear()
        self.changes += 1

    def newer_than(self, revisions: tuple[int, ...]) -> tuple[Published, ...]:
        """Documents held that are newer than the given revisions."""
        return tuple(
            self._held[key].published
            for key, revision in zip(KEYS, revisions, strict=True)
            if self.revision(key) > revision
        )

    def covers(self, revisions: tuple[int, ...]) -> bool:
        """Whether no document is older than the given revision of it."""
        pairs = zip(self.revisions, revisions, strict=True)
        return all(own >= other for own, other in pairs)

    def _document(self, key: str) -> Document | None:
        held = self._held.get(key)
        return None if held is None else held.document

    def newest_seen(self, key: str) -> int:
        """Highest revision offered of a document, accepted or refused."""
        rejection = self._rejections.get(key)
        refused = 0 if rejection is None else rejection.revision
        return max(self.revision(key), refused)

    def _check_conflict(self, published: Published) -> None:
        held = self._held.get(published.key)
        if held is None or held.published.revision != published.revision:
            return
        if held.published.text != published.text:
            self.conflicts += 1

    def _reject(self, published: Published, problems: tuple[str, ...]) -> None:
        rejection = Rejection(
            published.key, published.revision, problems, at_s=self.now()
        )
        self._rejections[published.key] = rejection
        self._notify(published.key)

    def _accept(self, published: Published, document: Document) -> None:
        key = published.key
        if key == VMS and self.vms is not None:
            self._previous_vms = (self.revision(VMS), self.vms)
        self._held[key] = Held(published, document, self.now())
        self.changes += 1
        self._notify(key)

    def _notify(self, key: str) -> None:
        for call in self._listeners:
            call(key)
