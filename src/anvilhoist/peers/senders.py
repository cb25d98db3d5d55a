"""Order in which the VMs may send to a replica whose rate is limited.

Every VM computes the order itself, by rendezvous hashes over the VMs that may be alive.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from ..upstreams.quota import SenderRank
from .members import RECENT_S, Members, rank_hosts
from .messages import VmState

REFRESH_INTERVAL_S = 0.25  # between two looks at the members


@dataclass(slots=True)
class SenderOrder:
    """Ranks of this VM by replica, kept until the fleet changes.

    Parameters
    ----------
    members : Members
        The other VMs.
    """

    members: Members
    _started_at: float = field(init=False)
    _refreshed_at: float = -math.inf
    _hosts: frozenset[str] = frozenset()
    _ranks: dict[str, SenderRank] = field(default_factory=dict)

    def __post_init__(self):
        self._started_at = self.members.now()

    def rank(self, instance: str) -> SenderRank:
        """Return this VM's rank for an instance."""
        now = self.members.now()
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refreshed_at = now
            hosts = self._list_hosts(now)
            if hosts != self._hosts:
                self._hosts = hosts
                self._ranks.clear()
        if instance not in self._ranks:
            order = rank_hosts(list(self._hosts), instance)
            rank = order.index(self.members.host)
            self._ranks[instance] = SenderRank(rank, len(order))
        return self._ranks[instance]

    def _list_hosts(self, now: float) -> frozenset[str]:
        """Return the IP addresses of all VMs that may send, this one included.

        A VM that fell silent may be alive behind a network partition, and keeps its
        share for a while, unless it had said that it leaves.
        """
        members = self.members
        left = {
            heartbeat.host
            for heartbeat in members.list_recent()
            if heartbeat.state is VmState.LEAVING
            and not members.is_alive(heartbeat.host)
        }
        hosts = members.list_possible() - left
        if now - self._started_at < RECENT_S:
            hosts.update(members.seeds)
        return frozenset(hosts)
