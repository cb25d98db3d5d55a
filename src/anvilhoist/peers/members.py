"""Which VMs are there, as far as this VM hears them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import structlog
import xxhash

from .messages import Heartbeat, State

ALIVE_S = 1.7  # s without a heartbeat, after which no caller is sent to a VM
MENTIONED = 16  # VMs named in one heartbeat; others follow in the next ones
KNOWN_S = 12.0  # s without a heartbeat, after which a VM is no longer called


@dataclass(slots=True)
class Member:
    """Another VM.

    Attributes
    ----------
    heartbeat : Heartbeat
        Its newest heartbeat.
    heard_at : float
        When that arrived, in seconds.
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
    """

    host: str
    seeds: tuple[str, ...]
    now: Callable[[], float]
    _members: dict[str, Member] = field(default_factory=dict)
    _mentioned: dict[str, float] = field(default_factory=dict)
    _most: int = 1

    def __post_init__(self):
        self._most = len({self.host, *self.seeds})

    @property
    def fleet_size(self) -> int:
        """VMs that may spend from what is shared, the silent ones included.

        It never falls while the process lives: a VM that was lost may be alive
        behind a partition.
        """
        return self._most

    def take(self, heartbeat: Heartbeat) -> None:
        """Take over a heartbeat; one that is older than the known one is dropped."""
        if heartbeat.host == self.host:
            return
        known = self._members.get(heartbeat.host)
        if known is not None and _age(heartbeat) <= _age(known.heartbeat):
            return
        now = self.now()
        if known is None or known.lost or known.heartbeat.state is not heartbeat.state:
            structlog.get_logger().info(
                "peer_heard",
                peer=heartbeat.vm,
                state=heartbeat.state.value,
                silent_s=round(now - known.heard_at, 2) if known else None,
            )
        self._members[heartbeat.host] = Member(heartbeat, now)
        for host in heartbeat.heard:
            if host != self.host:
                self._mentioned[host] = now
        self._most = max(self._most, 1 + len(self.list_known()))

    def check(self, now: float) -> None:
        """Log the VMs that fell silent, once each."""
        for member in self._members.values():
            if member.lost or now - member.heard_at <= ALIVE_S:
                continue
            member.lost = True
            structlog.get_logger().info(
                "peer_lost",
                peer=member.heartbeat.vm,
                silent_s=round(now - member.heard_at, 2),
                state=member.heartbeat.state.value,
            )

    def list_ready(self) -> list[Heartbeat]:
        """VMs that serve callers, by their newest heartbeats."""
        return [
            member.heartbeat
            for member in self._list_alive()
            if member.heartbeat.state is State.READY
        ]

    def list_heard(self) -> tuple[str, ...]:
        """IP numbers of the VMs that are heard now."""
        return tuple(member.heartbeat.host for member in self._list_alive())

    def list_some_heard(self, random: Random) -> tuple[str, ...]:
        """Some of the VMs that are heard, so that a heartbeat stays small."""
        heard = self.list_heard()
        return tuple(random.sample(heard, min(MENTIONED, len(heard))))

    def list_known(self) -> list[Heartbeat]:
        """VMs heard within the time for which a silent one may be alive."""
        oldest = self.now() - KNOWN_S
        return [m.heartbeat for m in self._members.values() if m.heard_at > oldest]

    def list_targets(self) -> set[str]:
        """IP numbers to which heartbeats go."""
        oldest = self.now() - KNOWN_S
        mentioned = {host for host, at in self._mentioned.items() if at > oldest}
        known = {heartbeat.host for heartbeat in self.list_known()}
        return (mentioned | known | set(self.seeds)) - {self.host}

    def is_first_for(self, key: str) -> bool:
        """Whether this VM has the highest rendezvous hash of those alive for a key."""
        hosts = [*self.list_heard(), self.host]
        return max(hosts, key=lambda host: _weigh(host, key)) == self.host

    def _list_alive(self) -> list[Member]:
        oldest = self.now() - ALIVE_S
        return [m for m in self._members.values() if m.heard_at > oldest]


def _weigh(host: str, key: str) -> int:
    return xxhash.xxh64_intdigest(f"{host}/{key}".encode())


def _age(heartbeat: Heartbeat) -> tuple[int, int]:
    return (heartbeat.incarnation, heartbeat.beat)
