"""What the VMs of a cell confirm to each other, and who may act because of it.

Two rules keep two owners of one replica apart without shared state. Holding
needs half of the cell, and taking over needs more than half. The two sets share
a VM, so a new owner knows when the old one's last confirmation ends.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

from .documents import DEADLINE_MAX_MS, KEYS, VMS, Vms
from .messages import SyncReply
from .view import View

SYNC_PERIOD_S = 0.5
VIEW_TTL_S = 1.5
LINGER_S = 1.0
CLOCK_MARGIN_S = 0.2
TAKEOVER_WAIT_S = VIEW_TTL_S + LINGER_S + DEADLINE_MAX_MS / 1000 + CLOCK_MARGIN_S


@dataclass(frozen=True, slots=True)
class Confirmation:
    """What a peer last said of itself.

    Attributes
    ----------
    asked_at : float
        When it was asked; its statement is at least as young as this.
    heard_at : float
        When the answer was read.
    """

    reply: SyncReply
    asked_at: float
    heard_at: float


@dataclass(frozen=True, slots=True)
class Acknowledgement:
    """Newest list of VMs that a peer is known to hold, and since when."""

    vms_revision: int
    heard_at: float


@dataclass(slots=True)
class Membership:
    """Confirmations from the peers of one process.

    Parameters
    ----------
    vm : str
        Slot of this process.
    view : View
        Documents in force.
    now : callable
        Clock, in seconds.
    """

    vm: str
    view: View
    now: Callable[[], float]
    _confirmations: dict[str, Confirmation] = field(default_factory=dict)
    _incarnations: dict[tuple[str, str], int] = field(default_factory=dict)
    _draining: dict[str, float] = field(default_factory=dict)
    _acknowledged: dict[str, Acknowledgement] = field(default_factory=dict)
    _heard: set[str] = field(default_factory=set)
    superseded: bool = False
    _changes: int = 0
    _judged: tuple[int, int] = (-1, -1)
    _current_until: float = -inf

    def cell(self) -> tuple[str, ...]:
        """Slots of this VM's cell, itself included, whatever their state."""
        vms = self.view.vms
        if vms is None or self.vm not in vms.vms:
            return ()
        return list_cell(vms, vms.vms[self.vm].cell)

    def record(self, reply: SyncReply, asked_at: float) -> None:
        """Take a peer's answer in.

        Parameters
        ----------
        reply : SyncReply
            Answer, whose documents were already offered to the view.
        asked_at : float
            When the question went out, in seconds.
        """
        if reply.superseded:
            self.superseded = True
        confirmation = Confirmation(reply, asked_at, heard_at=self.now())
        self._confirmations[reply.vm] = confirmation
        self._acknowledge(reply, confirmation.heard_at)
        self._heard.add(reply.vm)
        self._changes += 1
        self._note_platform(reply, asked_at)
        for vm in reply.draining_entries:
            self.note_draining(vm)

    def note_incarnation(self, vm: str, role: str, incarnation: int) -> bool:
        """Remember the newest incarnation at a slot.

        Returns
        -------
        bool
            Whether a newer one is known already.
        """
        key = (vm, role)
        newest = self._incarnations.get(key, 0)
        self._incarnations[key] = max(newest, incarnation)
        return incarnation < newest

    def note_draining(self, vm: str) -> None:
        """Remember for a while that a VM's entry process is shutting down."""
        self._draining[vm] = self.now()

    def draining_directly(self, keep_s: float) -> tuple[str, ...]:
        """VMs whose entry process said within `keep_s` that it shuts down."""
        limit = self.now() - keep_s
        return tuple(vm for vm, at in self._draining.items() if at >= limit)

    def confirmation(self, vm: str) -> Confirmation | None:
        """Last answer of a peer."""
        return self._confirmations.get(vm)

    def void(self) -> None:
        """Forget every confirmation, as after a pause of the process."""
        self._confirmations.clear()
        self._changes += 1
        self.view.forget_confirmations()

    def is_current(self) -> bool:
        """Whether this VM may act on its view.

        More than half of the cell confirmed it within `VIEW_TTL_S`, or half of
        the cell and the platform did.
        """
        changes = (self._changes, self.view.changes)
        if changes != self._judged:
            self._judged = changes
            self._current_until = self._find_current_until()
        return self.now() <= self._current_until

    def _find_current_until(self) -> float:
        """Clock reading until which the view is confirmed by enough."""
        cell = self.cell()
        if self.superseded or not self.view.complete or not self.has_joined():
            return -inf
        asked = sorted(
            (at for vm in cell if (at := self._confirmed_at(vm)) is not None),
            reverse=True,
        )
        majority, half = len(cell) // 2 + 1, (len(cell) + 1) // 2
        by_majority = asked[majority - 1] if len(asked) >= majority else -inf
        by_half = asked[half - 1] if len(asked) >= half else -inf
        platform = self.view.platform_confirmed_at
        by_half = min(by_half, -inf if platform is None else platform)
        return max(by_majority, by_half) + VIEW_TTL_S

    def acknowledged_at(self, vms_revision: int) -> float | None:
        """When more than half of the cell was known to hold a list of VMs.

        Parameters
        ----------
        vms_revision : int
            Revision of the list.

        Returns
        -------
        float or None
            Clock reading, or None while too few acknowledged it.
        """
        cell, held = self.cell(), self.view.held(VMS)
        if not cell or held is None:
            return None
        needed = len(cell) // 2
        heard = sorted(
            known.heard_at
            for vm in cell
            if vm != self.vm
            and (known := self._acknowledged.get(vm)) is not None
            and known.vms_revision >= vms_revision
        )
        if len(heard) < needed:
            return None
        return max([held.accepted_at, *heard[:needed]])

    def has_joined(self) -> bool:
        """Whether enough of the cell was heard since the start.

        A process that started empty confirms nothing before: what its
        predecessor at the slot had acknowledged, it has to learn again.
        """
        cell = self.cell()
        others = sum(1 for vm in cell if vm != self.vm and vm in self._heard)
        return bool(cell) and 2 * others >= len(cell) - (len(cell) == 1)

    def _acknowledge(self, reply: SyncReply, heard_at: float) -> None:
        revision = reply.revisions[1]
        known = self._acknowledged.get(reply.vm)
        if known is None or revision > known.vms_revision:
            self._acknowledged[reply.vm] = Acknowledgement(revision, heard_at)

    def _confirmed_at(self, vm: str) -> float | None:
        """When a VM was last asked and confirmed that it knows nothing newer."""
        if vm == self.vm:
            return inf
        confirmation = self._confirmations.get(vm)
        if confirmation is None or not confirmation.reply.joined:
            return None
        covers = self.view.covers(confirmation.reply.revisions)
        return confirmation.asked_at if covers else None

    def _note_platform(self, reply: SyncReply, asked_at: float) -> None:
        if reply.platform_age_s < 0 or reply.revisions != self.view.revisions:
            return
        for key in KEYS:
            self.view.confirm_platform(key, asked_at - reply.platform_age_s)


def list_cell(vms: Vms, cell: str) -> tuple[str, ...]:
    """Slots of a cell in name order."""
    return tuple(sorted(name for name, vm in vms.vms.items() if vm.cell == cell))
