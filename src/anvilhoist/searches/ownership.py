"""Which replicas this process may send work to, and from when on.

A replica that the list of VMs brings here is waited for: until the process that
held it hands it over, or until no earlier owner can act any more. A process that
loses a replica goes on for a short while until the new owner asks for it.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from .documents import VMS
from .membership import LINGER_S, TAKEOVER_WAIT_S, Membership
from .messages import Sync, SyncReply
from .placement import Placement
from .view import View

Tell = Callable[[str, str, str], None]


@dataclass(slots=True)
class Claim:
    """A replica that this process owns by the list of VMs.

    Attributes
    ----------
    held : bool
        Whether the wait is over.
    since : float
        Clock reading at which it was claimed, in seconds.
    """

    held: bool
    since: float


@dataclass(slots=True)
class Loss:
    """A replica that this process held and that now has another owner.

    Attributes
    ----------
    until : float
        Clock reading until which this process goes on with it.
    taker : int
        Incarnation of the process that asked for it, 0 while none did.
    """

    until: float
    taker: int = 0


@dataclass(slots=True)
class Ownership:
    """Claims and losses of one dispatch process.

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
    tell: Tell
    _claims: dict[str, Claim] = field(default_factory=dict)
    _losses: dict[str, Loss] = field(default_factory=dict)
    _placement: Placement | None = None
    _vms_revision: int = 0

    @property
    def placement(self) -> Placement | None:
        """Owners under the documents in force."""
        return self._placement

    @property
    def held(self) -> frozenset[str]:
        """Replicas that the list gives to this process and whose wait is over."""
        return frozenset(name for name, claim in self._claims.items() if claim.held)

    @property
    def waiting(self) -> frozenset[str]:
        """Replicas that are still waited for."""
        return frozenset(name for name, claim in self._claims.items() if not claim.held)

    @property
    def lingering(self) -> frozenset[str]:
        """Replicas of other owners that this process still serves."""
        return frozenset(name for name in self._losses if self._lingers(name))

    def has_young_wait(self, seconds: float) -> bool:
        """Whether a wait began within so many seconds."""
        limit = self.now() - seconds
        return any(
            not claim.held and claim.since >= limit for claim in self._claims.values()
        )

    def owns(self, replica: str) -> bool:
        """Whether work on a replica has its place here, now or soon."""
        return replica in self._claims or self._lingers(replica)

    def keeps(self, replica: str) -> bool:
        """Whether knowledge of a replica may still be needed here."""
        loss = self._losses.get(replica)
        is_asked_for = loss is not None and self.now() < loss.until
        return replica in self._claims or is_asked_for

    def may_send(self, replica: str) -> bool:
        """Whether work may be sent to a replica at this very moment."""
        claim = self._claims.get(replica)
        is_held = claim is not None and claim.held
        return (is_held or self._lingers(replica)) and self.membership.is_current()

    def refresh(self) -> None:
        """Work claims and losses out anew after a document changed."""
        vms, directory = self.view.vms, self.view.directory
        if vms is None or directory is None:
            return
        if self._placement is not None and self._placement.matches(vms, directory):
            return
        revision = self.view.revision(VMS)
        continues = revision - self._vms_revision <= 1 and self._placement is not None
        self._placement = Placement(vms, directory)
        self._vms_revision = revision
        owned = self._placement.owned_by(self.vm)
        self._keep_losses(continues)
        self._lose(set(self._claims) - owned, continues)
        self._claim(owned, continues)

    def settle(self, _now: float = 0.0) -> None:
        """End the waits after which no earlier owner can act any more."""
        if not self.waiting or not self.membership.is_current():
            return
        acknowledged = self.membership.acknowledged_at(self._vms_revision)
        if acknowledged is None or self.now() < acknowledged + TAKEOVER_WAIT_S:
            return
        for replica in self.waiting:
            self._hold(replica, "no earlier owner can act any more")

    def hand_over(self, sync: Sync, at_work: Callable[[str], int]) -> tuple[str, ...]:
        """Stop serving what the asker owns, and name what is free of work.

        Parameters
        ----------
        sync : Sync
            Question of a peer. It takes over only under the same list of VMs.
        at_work : callable
            Number of sub-requests at work on a replica.

        Returns
        -------
        tuple of str
            Replicas that the asker may take at once.
        """
        if sync.role != "dispatch" or self._placement is None:
            return ()
        if sync.revisions[1] != self._vms_revision:
            return ()
        given = []
        for replica, loss in self._losses.items():
            if self._placement.owner(replica) != sync.vm:
                continue
            if not loss.taker and self.now() < loss.until:
                self.tell(replica, "hand over", f"{sync.vm} asked for it")
                loss.taker = sync.incarnation
            if loss.taker == sync.incarnation and at_work(replica) == 0:
                given.append(replica)
        return tuple(given)

    def take_over(self, reply: SyncReply) -> tuple[str, ...]:
        """Take what a peer hands over under the same list of VMs.

        Returns
        -------
        tuple of str
            Replicas that were taken.
        """
        if reply.revisions[1] != self._vms_revision:
            return ()
        taken = tuple(
            item.replica for item in reply.handed if item.replica in self.waiting
        )
        for replica in taken:
            self._hold(replica, f"handed over by {reply.vm}")
        return taken

    def _lingers(self, replica: str) -> bool:
        loss = self._losses.get(replica)
        return loss is not None and not loss.taker and self.now() < loss.until

    def _hold(self, replica: str, reason: str) -> None:
        self._claims[replica].held = True
        self.tell(replica, "owned", reason)

    def _keep_losses(self, continues: bool) -> None:
        """Forget the losses that an owner between may have taken."""
        kept = self.lingering if continues else frozenset()
        self._losses = {name: self._losses[name] for name in kept}

    def _lose(self, replicas: set[str], continues: bool) -> None:
        until = self.now() + LINGER_S
        for replica in replicas:
            claim = self._claims.pop(replica)
            if claim.held and continues and self.membership.is_current():
                self._losses[replica] = Loss(until)
            self.tell(replica, "lost", "the list of VMs names another owner")

    def _claim(self, replicas: frozenset[str], continues: bool) -> None:
        now = self.now()
        for replica in replicas:
            loss = self._losses.pop(replica, None)
            if continues and replica in self._claims:
                continue
            self._claims[replica] = Claim(held=loss is not None, since=now)
            reason = f"list of VMs at revision {self._vms_revision}"
            self.tell(replica, "claimed", reason)
