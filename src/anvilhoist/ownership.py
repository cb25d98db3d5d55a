"""Which replicas this process may send work to, and from when on.

A replica is waited for after each change of the list of VMs that brought it
here: until the previous owner said that it is done, or until no earlier owner
can act any more.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .documents import VMS
from .membership import TAKEOVER_WAIT_S, Membership
from .placement import Placement
from .view import View

Listener = Callable[[str, str, str], None]


@dataclass(frozen=True, slots=True)
class Claim:
    """A replica that this process owns by the list of VMs.

    Attributes
    ----------
    vms_revision : int
        Revision of the list that brought it here.
    previous : str or None
        Slot that owned it under the revision just before, if that is known.
    held : bool
        Whether the wait is over.
    """

    vms_revision: int
    previous: str | None
    held: bool


@dataclass(slots=True)
class Ownership:
    """Claims of one dispatch process.

    Parameters
    ----------
    vm : str
        Slot of this process.
    view : View
        Documents in force.
    membership : Membership
        Confirmations of the cell.
    now : callable
        Clock, in seconds.
    tell : callable
        Called with replica, event and reason for each decision.
    """

    vm: str
    view: View
    membership: Membership
    now: Callable[[], float]
    tell: Listener
    _claims: dict[str, Claim] = field(default_factory=dict)
    _lost: dict[str, float] = field(default_factory=dict)
    _placement: Placement | None = None
    _vms_revision: int = 0
    _quiet_from: float = field(init=False)

    def __post_init__(self):
        self._quiet_from = self.now() + TAKEOVER_WAIT_S

    @property
    def placement(self) -> Placement | None:
        """Owners under the documents in force."""
        return self._placement

    @property
    def held(self) -> frozenset[str]:
        """Replicas whose wait is over."""
        return frozenset(name for name, claim in self._claims.items() if claim.held)

    @property
    def waiting(self) -> frozenset[str]:
        """Replicas that are still waited for."""
        return frozenset(name for name, claim in self._claims.items() if not claim.held)

    def may_send(self, replica: str) -> bool:
        """Whether work may be sent to a replica at this very moment."""
        claim = self._claims.get(replica)
        if claim is None or not claim.held:
            return False
        return self.membership.is_current()

    def owns(self, replica: str) -> bool:
        """Whether the list of VMs gives the replica to this process."""
        return replica in self._claims

    def released(self, at_work: Callable[[str], int]) -> int:
        """Newest revision of the list under which nothing lost is at work.

        Parameters
        ----------
        at_work : callable
            Number of sub-requests at work on a replica.
        """
        now = self.now()
        if now < self._quiet_from:
            return 0
        for replica, safe_at in list(self._lost.items()):
            if at_work(replica) == 0 and now >= safe_at:
                del self._lost[replica]
        revision = self._vms_revision
        return revision if not self._lost else revision - 1

    def refresh(self) -> None:
        """Work the claims out anew after a document changed."""
        vms, directory = self.view.vms, self.view.directory
        if vms is None or directory is None:
            return
        revision = self.view.revision(VMS)
        if self._placement is not None and self._placement.matches(vms, directory):
            return
        same_list = revision == self._vms_revision
        before = self._previous_placement(revision)
        if not same_list and before is None:
            self._quiet_from = self.now() + TAKEOVER_WAIT_S
        self._placement = Placement(vms, directory)
        owned = self._placement.owned_by(self.vm)
        self._drop_lost(owned)
        keep_old = same_list or before is not None
        for replica in owned:
            self._claim(replica, revision, before, keep_old)
        self._vms_revision = revision

    def settle(self, _now: float = 0.0) -> None:
        """End the waits that are over."""
        if not self.membership.is_current():
            return
        safe_at = self._safe_at()
        for replica, claim in self._claims.items():
            if claim.held:
                continue
            reason = self._end_of_wait(claim, safe_at)
            if reason is None:
                continue
            self._claims[replica] = Claim(claim.vms_revision, claim.previous, True)
            self.tell(replica, "owned", reason)

    def _previous_placement(self, revision: int) -> Placement | None:
        previous = self.view.previous_vms
        if previous is None or previous[0] != revision - 1:
            return None
        if self._vms_revision != previous[0] or self.view.directory is None:
            return None
        return Placement(previous[1], self.view.directory)

    def _drop_lost(self, owned: frozenset[str]) -> None:
        now = self.now()
        for replica in set(self._claims) - owned:
            claim = self._claims.pop(replica)
            self._lost[replica] = now if claim.held else now + TAKEOVER_WAIT_S
            self.tell(replica, "released", "the list of VMs names another owner")

    def _claim(
        self, replica: str, revision: int, before: Placement | None, keep_old: bool
    ) -> None:
        if keep_old and replica in self._claims:
            return
        self._lost.pop(replica, None)
        previous = None if before is None else before.owner(replica)
        self._claims[replica] = Claim(revision, previous, False)
        self.tell(replica, "claimed", f"list of VMs at revision {revision}")

    def _safe_at(self) -> float | None:
        acknowledged = self.membership.acknowledged_at(self._vms_revision)
        return None if acknowledged is None else acknowledged + TAKEOVER_WAIT_S

    def _end_of_wait(self, claim: Claim, safe_at: float | None) -> str | None:
        if claim.previous is not None and claim.previous != self.vm:
            confirmation = self.membership.confirmation(claim.previous)
            released = 0 if confirmation is None else confirmation.reply.released
            if released >= claim.vms_revision:
                return f"released by {claim.previous}"
        if safe_at is not None and self.now() >= safe_at:
            return "no earlier owner can act any more"
        return None
