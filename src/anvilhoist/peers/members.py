"""Membership of the fleet, as this VM learns it from heartbeats."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from ipaddress import IPv4Address
from random import Random

import structlog
import xxhash

from .messages import AGE_UNIT_S, Heartbeat, VmState

# Silence after which a VM counts as lost and no caller is sent to it. It grows with
# each doubling of the fleet beyond the full mesh, where liveness spreads by gossip.
LOST_AFTER_S = 1.7
LOST_AFTER_PER_DOUBLING_S = 0.4
# Number of other VMs up to which each heartbeat goes to all of them.
MAX_FULL_MESH_PEERS = 8
MAX_HEARD_PER_HEARTBEAT = 96  # VMs named in one heartbeat; it must fit one datagram
# Silence up to which a VM may be alive and is still sent regular heartbeats. A VM that
# only others hear is probed for the same time after it was last named.
RECENT_S = 12.0
FORGET_AFTER_S = 600.0  # silence after which a VM is removed from the members
# A heartbeat that comes after a longer silence can't be a late datagram.
MAX_DATAGRAM_DELAY_S = 1.0


@dataclass(slots=True)
class Member:
    """Another VM.

    Attributes
    ----------
    heartbeat : Heartbeat
        Newest heartbeat that came from the VM itself.
    heard_at : float
        Time at which it was last known to be alive, from its own heartbeats or from
        those of others, in seconds.
    heartbeat_at : float
        Time at which the newest heartbeat of its own arrived, in seconds.
    lost : bool
        Whether `expire_silent` has marked it as lost, and logged that.
    """

    heartbeat: Heartbeat
    heard_at: float
    heartbeat_at: float
    lost: bool = False


@dataclass(slots=True)
class Members:
    """All other VMs that were heard.

    Parameters
    ----------
    host : str
        IP address of this VM.
    seeds : tuple of str
        IP addresses at which other VMs may be found.
    now : callable
        Clock, in seconds.
    data_centre : str
        Data centre of this VM.
    """

    host: str
    seeds: tuple[str, ...]
    now: Callable[[], float]
    data_centre: str = ""
    _members: dict[str, Member] = field(default_factory=dict)
    _unconfirmed_until: dict[str, float] = field(default_factory=dict)
    _peak_fleet_size: int = 1

    def __post_init__(self):
        self._peak_fleet_size = len({self.host, *self.seeds})

    @property
    def peak_fleet_size(self) -> int:
        """Number of VMs that may use shared limits, the silent ones included.

        It never falls while the process runs: a VM that was lost may be alive behind
        a network partition.
        """
        return self._peak_fleet_size

    @property
    def lost_after_s(self) -> float:
        """Silence after which a VM counts as lost, in seconds; grows with the fleet."""
        doublings = math.log2(max(1.0, self._peak_fleet_size / MAX_FULL_MESH_PEERS))
        return LOST_AFTER_S + LOST_AFTER_PER_DOUBLING_S * doublings

    def record(self, heartbeat: Heartbeat) -> None:
        """Record a heartbeat, unless it is older than the newest one of its sender."""
        if heartbeat.host == self.host:
            return
        now = self.now()
        known = self._members.get(heartbeat.host)
        if known is not None and not _is_newer(heartbeat, known, now):
            return
        if known is None or known.lost or known.heartbeat.state is not heartbeat.state:
            structlog.get_logger().info(
                "peer_heard",
                peer=heartbeat.vm,
                state=heartbeat.state.value,
                silent_s=round(now - known.heard_at, 2) if known else None,
            )
        self._members[heartbeat.host] = Member(heartbeat, now, now)
        self._unconfirmed_until.pop(heartbeat.host, None)
        self._record_gossiped_ages(heartbeat.heard, now)
        self._peak_fleet_size = max(self._peak_fleet_size, len(self.list_possible()))

    def expire_silent(self, now: float) -> None:
        """Mark and log VMs that are newly lost, and forget those silent for long."""
        self._unconfirmed_until = {
            host: until
            for host, until in self._unconfirmed_until.items()
            if until > now
        }
        lost_after_s = self.lost_after_s
        for host, member in list(self._members.items()):
            silent_s = now - member.heard_at
            if silent_s > FORGET_AFTER_S:
                del self._members[host]
                continue
            if member.lost or silent_s <= lost_after_s:
                continue
            member.lost = True
            structlog.get_logger().info(
                "peer_lost",
                peer=member.heartbeat.vm,
                silent_s=round(silent_s, 2),
                state=member.heartbeat.state.value,
            )

    def is_alive(self, host: str) -> bool:
        """Return whether a VM has sent a heartbeat itself and is not lost."""
        member = self._members.get(host)
        return member is not None and self.now() - member.heard_at <= self.lost_after_s

    def list_ready(self) -> list[Heartbeat]:
        """Return the newest heartbeats of the live VMs that serve callers."""
        return [
            member.heartbeat
            for member in self._list_alive()
            if member.heartbeat.state is VmState.READY
        ]

    def list_alive_hosts(self) -> tuple[str, ...]:
        """Return the IP addresses of the live VMs."""
        return tuple(member.heartbeat.host for member in self._list_alive())

    def sample_liveness_ages(self, random: Random) -> dict[int, int]:
        """Return how long ago live VMs were heard, to be sent in one heartbeat.

        If more than `MAX_HEARD_PER_HEARTBEAT` are alive, some are chosen at random. VMs
        of this VM's data centre get at least half of the places, or all that they need.

        Returns
        -------
        dict of int
            Ages in units of `AGE_UNIT_S`, rounded up, by IP address as an integer.
        """
        now = self.now()
        alive = self._list_alive()
        if len(alive) > MAX_HEARD_PER_HEARTBEAT:
            random.shuffle(alive)
            near = [m for m in alive if self._is_in_data_centre(m.heartbeat)]
            far = [m for m in alive if not self._is_in_data_centre(m.heartbeat)]
            count = max(
                MAX_HEARD_PER_HEARTBEAT // 2, MAX_HEARD_PER_HEARTBEAT - len(far)
            )
            alive = (near[:count] + far)[:MAX_HEARD_PER_HEARTBEAT]
        return {
            int(IPv4Address(member.heartbeat.host)): math.ceil(
                (now - member.heard_at) / AGE_UNIT_S
            )
            for member in alive
        }

    def list_recent(self) -> list[Heartbeat]:
        """Return the newest heartbeats of VMs heard within `RECENT_S`, lost or not."""
        oldest = self.now() - RECENT_S
        return [m.heartbeat for m in self._members.values() if m.heard_at > oldest]

    def list_unconfirmed(self) -> set[str]:
        """Return the IP addresses of VMs to probe.

        These are seeds that are not alive, and VMs that others hear but that have not
        sent a heartbeat to this one, or not since they were lost.
        """
        seeds = {host for host in self.seeds if not self.is_alive(host)}
        return (self.list_mentioned() | seeds) - {self.host}

    def list_possible(self) -> set[str]:
        """Return the IP addresses of all VMs that may be alive, this one included.

        A VM that has just started counts those that only others hear, so that it takes
        no larger share of a common limit than it should.
        """
        recent = {heartbeat.host for heartbeat in self.list_recent()}
        return {self.host} | recent | self.list_mentioned()

    def list_mentioned(self) -> set[str]:
        """Return the IP addresses of VMs that only others hear."""
        now = self.now()
        return {host for host, until in self._unconfirmed_until.items() if until > now}

    def list_lost(self) -> list[str]:
        """Return the IP addresses of the lost VMs; some may be alive."""
        return [m.heartbeat.host for m in self._members.values() if m.lost]

    def list_in_data_centre(self) -> list[Heartbeat]:
        """Return the newest heartbeats of the live VMs in this VM's data centre."""
        alive = (member.heartbeat for member in self._list_alive())
        return [heartbeat for heartbeat in alive if self._is_in_data_centre(heartbeat)]

    def ranks_first_for(self, key: str) -> bool:
        """Return whether this VM ranks first of all live VMs for a key.

        The VMs are ranked by their rendezvous hashes, as in `rank_hosts`.
        """
        hosts = [*self.list_alive_hosts(), self.host]
        return rank_hosts(hosts, key)[0] == self.host

    def _record_gossiped_ages(self, ages: dict[int, int], now: float) -> None:
        for number, age in ages.items():
            host = str(IPv4Address(number))
            heard_at = now - AGE_UNIT_S * age
            member = self._members.get(host)
            if member is not None and not member.lost:
                member.heard_at = max(member.heard_at, heard_at)
            elif host != self.host and now - heard_at <= self.lost_after_s:
                self._unconfirmed_until[host] = now + RECENT_S

    def _is_in_data_centre(self, heartbeat: Heartbeat) -> bool:
        return heartbeat.data_centre == self.data_centre

    def _list_alive(self) -> list[Member]:
        oldest = self.now() - self.lost_after_s
        return [m for m in self._members.values() if m.heard_at > oldest]


def rank_hosts(hosts: list[str], key: str) -> list[str]:
    """Order hosts by their rendezvous hashes for a key, the highest first."""
    return sorted(hosts, key=lambda host: _hash_rendezvous(host, key), reverse=True)


def _hash_rendezvous(host: str, key: str) -> int:
    return xxhash.xxh64_intdigest(f"{host}/{key}".encode())


def _is_newer(heartbeat: Heartbeat, known: Member, now: float) -> bool:
    found, last = heartbeat, known.heartbeat
    if found.incarnation == last.incarnation:
        return found.beat > last.beat
    # Incarnations come from a wall clock, which may have jumped between two starts.
    silent = now - known.heartbeat_at > MAX_DATAGRAM_DELAY_S
    return found.incarnation > last.incarnation or silent
