"""Which VMs are there, as far as this VM hears of them."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from ipaddress import IPv4Address
from random import Random

import structlog
import xxhash

from .messages import AGE_UNIT_S, Heartbeat, VmState

LOST_AFTER_S = 1.7  # s without a sign of life, after which no caller is sent to a VM
LOST_AFTER_PER_DOUBLING_S = 0.4  # s more for each doubling of the fleet beyond FEW
FEW = 8  # VMs up to which each tells every other one of itself
MENTIONED = 96  # VMs named in one heartbeat, so that it fits into one datagram
RECENT_S = 12.0  # s without a sign of life, after which a VM is no longer called
FORGET_S = 600.0  # s without a sign of life, after which a VM is forgotten
OLD_DATAGRAM_S = 1.0  # s of silence after which a datagram can't be a late one


@dataclass(slots=True)
class Member:
    """Another VM.

    Attributes
    ----------
    heartbeat : Heartbeat
        Its newest heartbeat.
    heard_at : float
        Time of its newest sign of life, from itself or from others, in seconds.
    lost : bool
        Whether its silence has been logged.
    """

    heartbeat: Heartbeat
    heard_at: float
    lost: bool = False


@dataclass(slots=True)
class Members:
    """All other VMs that were heard, by IP number.

    Parameters
    ----------
    host : str
        IP number of this VM.
    seeds : tuple of str
        IP numbers at which other VMs may be found.
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
    _mentioned: dict[str, float] = field(default_factory=dict)
    _most: int = 1

    def __post_init__(self):
        self._most = len({self.host, *self.seeds})

    @property
    def peak_fleet_size(self) -> int:
        """VMs that may spend from what is shared, the silent ones included.

        It never falls while the process lives: a VM that was lost may be alive
        behind a partition.
        """
        return self._most

    @property
    def lost_after_s(self) -> float:
        """Silence after which a VM counts as lost, in seconds."""
        doublings = math.log2(max(1.0, self._most / FEW))
        return LOST_AFTER_S + LOST_AFTER_PER_DOUBLING_S * doublings

    def record(self, heartbeat: Heartbeat) -> None:
        """Take over a heartbeat; one that is older than the known one is dropped."""
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
        self._members[heartbeat.host] = Member(heartbeat, now)
        self._mentioned.pop(heartbeat.host, None)
        self._take_mentioned(heartbeat.heard, now)
        self._most = max(self._most, 1 + len(self.list_recent()))

    def expire_silent(self, now: float) -> None:
        """Log the VMs that fell silent, once each; forget those of long ago."""
        lost_after_s = self.lost_after_s
        for host, member in list(self._members.items()):
            silent_s = now - member.heard_at
            if silent_s > FORGET_S:
                del self._members[host]
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
        """Whether a VM is heard now and has told of itself."""
        member = self._members.get(host)
        return member is not None and self.now() - member.heard_at <= self.lost_after_s

    def list_ready(self) -> list[Heartbeat]:
        """VMs that serve callers, by their newest heartbeats."""
        return [
            member.heartbeat
            for member in self._list_alive()
            if member.heartbeat.state is VmState.READY
        ]

    def list_alive_hosts(self) -> tuple[str, ...]:
        """IP numbers of the VMs that are heard now."""
        return tuple(member.heartbeat.host for member in self._list_alive())

    def sample_liveness_ages(self, random: Random) -> dict[int, int]:
        """Some VMs' last signs of life, for one heartbeat.

        Returns
        -------
        dict of int
            Ages in `AGE_UNIT_S`, rounded up, by IP number as an integer.
        """
        now = self.now()
        alive = self._list_alive()
        if len(alive) > MENTIONED:
            random.shuffle(alive)
            near = [m for m in alive if self._is_near(m.heartbeat)]
            far = [m for m in alive if not self._is_near(m.heartbeat)]
            count = max(MENTIONED // 2, MENTIONED - len(far))
            alive = (near[:count] + far)[:MENTIONED]
        return {
            int(IPv4Address(member.heartbeat.host)): math.ceil(
                (now - member.heard_at) / AGE_UNIT_S
            )
            for member in alive
        }

    def list_recent(self) -> list[Heartbeat]:
        """VMs heard within the time for which a silent one may be alive."""
        oldest = self.now() - RECENT_S
        return [m.heartbeat for m in self._members.values() if m.heard_at > oldest]

    def list_unconfirmed(self) -> set[str]:
        """IP numbers of VMs that have yet to tell of themselves, or to return."""
        now = self.now()
        mentioned = {host for host, until in self._mentioned.items() if until > now}
        seeds = {host for host in self.seeds if not self.is_alive(host)}
        return (mentioned | seeds) - {self.host}

    def list_lost(self) -> list[str]:
        """IP numbers of the VMs that fell silent and may be alive."""
        return [m.heartbeat.host for m in self._members.values() if m.lost]

    def list_near(self) -> list[Heartbeat]:
        """VMs of the own data centre that are heard now."""
        alive = (member.heartbeat for member in self._list_alive())
        return [heartbeat for heartbeat in alive if self._is_near(heartbeat)]

    def ranks_first_for(self, key: str) -> bool:
        """Whether this VM has the highest rendezvous hash of those alive for a key."""
        hosts = [*self.list_alive_hosts(), self.host]
        return rank_hosts(hosts, key)[0] == self.host

    def _take_mentioned(self, mentioned: dict[int, int], now: float) -> None:
        for number, age in mentioned.items():
            host = str(IPv4Address(number))
            heard_at = now - AGE_UNIT_S * age
            member = self._members.get(host)
            if member is not None and not member.lost:
                member.heard_at = max(member.heard_at, heard_at)
            elif host != self.host and now - heard_at <= self.lost_after_s:
                self._mentioned[host] = now + RECENT_S

    def _is_near(self, heartbeat: Heartbeat) -> bool:
        return heartbeat.data_centre == self.data_centre

    def _list_alive(self) -> list[Member]:
        oldest = self.now() - self.lost_after_s
        return [m for m in self._members.values() if m.heard_at > oldest]


def rank_hosts(hosts: list[str], key: str) -> list[str]:
    """Order hosts by their rendezvous hashes for a key, the highest first."""
    return sorted(hosts, key=lambda host: _weigh(host, key), reverse=True)


def _weigh(host: str, key: str) -> int:
    return xxhash.xxh64_intdigest(f"{host}/{key}".encode())


def _is_newer(heartbeat: Heartbeat, known: Member, now: float) -> bool:
    found, last = heartbeat, known.heartbeat
    if found.incarnation == last.incarnation:
        return found.beat > last.beat
    # Incarnations come from a clock that may have jumped between two starts.
    silent = now - known.heard_at > OLD_DATAGRAM_S
    return found.incarnation > last.incarnation or silent
