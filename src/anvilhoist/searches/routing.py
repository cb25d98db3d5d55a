"""What all queries of one entry process share: links, owners, learnt latencies."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from ..metrics import Metrics, Window
from .balance import Balancer
from .budget import Budget
from .decisions import DecisionLog
from .documents import Profile
from .link import Link
from .placement import Placement
from .sync import Links
from .view import View

BUDGET_BURST = 20.0


@dataclass(slots=True)
class ProfileState:
    """What all queries of one profile share at an entry process."""

    window: Window
    hedges: Budget
    retries: Budget
    in_progress: int = 0


@dataclass(slots=True)
class Routing:
    """Everything that queries of one entry process share.

    Parameters
    ----------
    view : View
        Documents in force.
    links : Links
        Links to dispatch processes.
    """

    view: View
    links: Links
    balancer: Balancer
    log: DecisionLog
    metrics: Metrics
    now: Callable[[], float]
    hurry: Callable[[], None]
    _detours: set[str] = field(default_factory=set)
    _profiles: dict[str, ProfileState] = field(default_factory=dict)
    _placement: Placement | None = None
    _previous: Placement | None = None

    def profile_state(self, name: str, profile: Profile) -> ProfileState:
        """Shared state of a profile."""
        state = self._profiles.get(name)
        if state is None:
            state = self._profiles[name] = ProfileState(
                Window(profile.hedge_quantile),
                Budget(profile.hedge_budget, BUDGET_BURST),
                Budget(profile.retry_budget, BUDGET_BURST),
            )
        state.window.quantile = profile.hedge_quantile
        state.hedges.share = profile.hedge_budget
        state.retries.share = profile.retry_budget
        return state

    def rotate_windows(self, _now: float) -> None:
        """Begin a new period of the learnt quantiles."""
        for state in self._profiles.values():
            state.window.rotate()

    def placement(self) -> Placement | None:
        """Owners under the documents in force."""
        vms, directory = self.view.vms, self.view.directory
        if vms is None or directory is None:
            return None
        if self._placement is None or not self._placement.matches(vms, directory):
            self._detours.clear()
            self._previous = self._placement
            self._placement = Placement(vms, directory)
        return self._placement

    def find_link(self, replica: str) -> Link | None:
        """Link to the owner of a replica, if it is up.

        While the owner changes, the previous one may still serve the replica.
        """
        placement, vms = self.placement(), self.view.vms
        if placement is None:
            return None
        owner = placement.owner(replica)
        if replica in self._detours and self._previous is not None:
            owner = self._previous.owner(replica)
        if owner is None or owner not in vms.vms:
            return None
        link = self.links.get(vms.vms[owner].dispatch)
        return link if link.is_up else None

    def take_detour(self, replica: str, link: Link) -> bool:
        """Turn from the process that doesn't serve a replica to the other one.

        While the owner changes these are the owner and the one before it.

        Parameters
        ----------
        link : Link
            Link to the process that was asked.

        Returns
        -------
        bool
            Whether there is another process to turn to.
        """
        self.hurry()
        if self.find_link(replica) is not link:
            return True
        if replica in self._detours:
            self._detours.discard(replica)
            return True
        previous, present = self._previous, self._placement
        if previous is None or previous.owner(replica) == present.owner(replica):
            return False
        self._detours.add(replica)
        return True

    def may_use(self, replica: str) -> bool:
        """Whether the view in force allows work on a replica."""
        directory, config = self.view.directory, self.view.config
        listed = None if directory is None else directory.find_replica(replica)
        if listed is None or config is None or listed.state == "leaving":
            return False
        return not config.is_out(listed.data_centre)
