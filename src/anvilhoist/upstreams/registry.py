"""All replicas in use, by service."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from ..world.model import ReplicaEntry, Service
from .health import Health
from .replica import Replica
from .warmup import WarmupLimiter

SLOW = 3.0  # times the usual duration, from which a replica is called slow
FAILING = 0.3  # share of failures, from which a replica is called failing


def describe_belief(health: Health, now: float) -> str:
    """Name what is believed of a replica, for logs and metrics."""
    if health.is_unresponsive(now):
        return "dark"
    if health.estimate_failure_rate(now) > FAILING:
        return "failing"
    if max(health.estimate_slowness(now), health.estimate_stall(now)) > SLOW:
        return "slow"
    return "sound"


@dataclass(slots=True)
class ReplicaRegistry:
    """Replicas by instance and by service, kept in step with the view.

    Parameters
    ----------
    now : callable
        Clock, in seconds.
    find_service : callable
        Service by its name, or None.
    count_vms : callable
        VMs that share each replica's connections.
    is_sender : callable
        Whether this VM is the one that sends to a cold instance.
    """

    now: Callable[[], float]
    find_service: Callable[[str], Service | None]
    count_vms: Callable[[], int]
    is_sender: Callable[[str], bool]
    by_instance: dict[str, Replica] = field(default_factory=dict)
    _beliefs: dict[str, str] = field(default_factory=dict)
    _by_service: dict[str, list[Replica]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def update(self, instance: str, entry: ReplicaEntry | None) -> None:
        """Take over an entry, or its end."""
        known = self.by_instance.get(instance)
        if known is not None and (entry is None or _is_new_start(known.entry, entry)):
            self._drop(known)
            known = None
        if entry is None:
            return
        if known is None:
            known = self._add(entry)
        known.entry = entry
        known.warmup_limiter.set_warmup_left(entry.cold_s, self.now())
        if entry.draining:
            known.close_idle()

    def list_for_service(
        self, service: str, data_centres_out: set[str]
    ) -> list[Replica]:
        """Replicas of a service outside the data centres that are out."""
        return [
            replica
            for replica in self._by_service.get(service, ())
            if replica.listed and replica.entry.data_centre not in data_centres_out
        ]

    def check(self, now: float) -> None:
        """Close connections that have been idle for too long; log new beliefs."""
        for instance, replica in self.by_instance.items():
            replica.check(now)
            belief = describe_belief(replica.health, now)
            if belief != self._beliefs.get(instance, "sound"):
                self._beliefs[instance] = belief
                _log_belief(replica, belief, now)

    def count_by_health(self) -> dict[str, int]:
        """Number of replicas of each belief."""
        found = (self._beliefs.get(name, "sound") for name in self.by_instance)
        return dict(Counter(found))

    def _add(self, entry: ReplicaEntry) -> Replica:
        def read_share() -> int:
            service = self.find_service(entry.service)
            limit = service.max_connections if service else entry.slots
            return max(1, limit // max(1, self.count_vms()))

        def read_rate() -> float:
            service = self.find_service(entry.service)
            return service.cold_rate if service else 0.0

        limiter = WarmupLimiter(read_rate, lambda: self.is_sender(entry.instance))
        replica = Replica(entry, self.now, read_share, limiter)
        self.by_instance[entry.instance] = replica
        self._by_service[entry.service].append(replica)
        return replica

    def _drop(self, replica: Replica) -> None:
        del self.by_instance[replica.entry.instance]
        self._beliefs.pop(replica.entry.instance, None)
        self._by_service[replica.entry.service].remove(replica)
        replica.retire()


def _is_new_start(known: ReplicaEntry, entry: ReplicaEntry) -> bool:
    return (known.born_ms, known.service, known.address) != (
        entry.born_ms,
        entry.service,
        entry.address,
    )


def _log_belief(replica: Replica, belief: str, now: float) -> None:
    health = replica.health
    structlog.get_logger().info(
        "replica_believed",
        replica=replica.entry.instance,
        service=replica.entry.service,
        belief=belief,
        slowness=round(health.estimate_slowness(now), 1),
        slow_age_s=round(now - health.slow_at, 2),
        failed=round(health.estimate_failure_rate(now), 2),
        open=len(health.open),
        answered_age_s=round(now - health.answered_at, 2),
    )
