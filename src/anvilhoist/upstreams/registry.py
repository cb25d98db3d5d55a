"""Registry of all replicas in use, by instance and by service."""

from __future__ import annotations

from collections import Counter, OrderedDict, defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

import structlog

from ..world.model import ReplicaEntry, Service
from .health import Health
from .quota import ReplicaQuota, SenderRank
from .replica import Replica
from .warmup import WarmupLimiter

SLOW_RATIO = 3.0  # multiple of the typical duration above which a replica is slow
UNRESPONSIVE_CLASS = "dark"  # health class of unresponsive replicas
FAILING_RATE = 0.3  # share of failed requests above which a replica is failing
MAX_FORMER_REPLICAS = 500  # removed replicas whose wishes are kept

# Instance, time of its start in ms, service and address of one replica.
_Identity = tuple[str, int, str, str]


def classify_health(health: Health, now: float) -> str:
    """Return the health class of a replica, as logs and metrics name it."""
    if health.is_unresponsive(now):
        return UNRESPONSIVE_CLASS
    if health.estimate_failure_rate(now) > FAILING_RATE:
        return "failing"
    if max(health.estimate_slowness(now), health.estimate_stall(now)) > SLOW_RATIO:
        return "slow"
    return "sound"


@dataclass(slots=True)
class ReplicaRegistry:
    """Replicas by instance and by service, updated from the view.

    Parameters
    ----------
    now : callable
        Clock, in seconds.
    find_service : callable
        Returns the service of a name, or None if there is none.
    count_vms : callable
        Number of VMs that share each replica's connections.
    is_sender : callable
        Whether this VM is the one that sends to an instance while it is cold.
    rank_sender : callable
        Place of this VM among those that may send to an instance with a rate limit.

    Attributes
    ----------
    by_instance : dict of Replica
        All replicas in use.
    unresponsive_services, limited_services : set of str
        Services with unresponsive replicas, and with replicas that name a rate limit.
    """

    now: Callable[[], float]
    find_service: Callable[[str], Service | None]
    count_vms: Callable[[], int]
    is_sender: Callable[[str], bool]
    rank_sender: Callable[[str], SenderRank] = lambda instance: SenderRank(0, 1)
    by_instance: dict[str, Replica] = field(default_factory=dict)
    unresponsive_services: set[str] = field(default_factory=set)
    limited_services: set[str] = field(default_factory=set)
    _former: OrderedDict[_Identity, Replica] = field(default_factory=OrderedDict)
    _health_classes: dict[str, str] = field(default_factory=dict)
    _by_service: dict[str, list[Replica]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def update(self, instance: str, entry: ReplicaEntry | None) -> None:
        """Apply the new entry of a replica; an entry of None removes the replica.

        A replica that has restarted, or has another service or address, is replaced:
        its connections and its health estimates no longer apply. What it asked for in
        answers holds again once an entry with the same start, service and address is
        back, whatever other entries its id had meanwhile.
        """
        replica = self.by_instance.get(instance)
        if replica is not None and (
            entry is None or _identify(replica.entry) != _identify(entry)
        ):
            self._remove_replica(replica)
            replica = None
        if entry is None:
            return
        if replica is None:
            replica = self._add_replica(entry)
        replica.entry = entry
        replica.warmup_limiter.set_warmup_left(entry.cold_s, self.now())
        if entry.draining:
            replica.close_idle_connections()

    def list_for_service(
        self, service: str, data_centres_out: set[str]
    ) -> list[Replica]:
        """Return the replicas of a service that accept requests.

        Replicas in the data centres that are out of service are left out.
        """
        return [
            replica
            for replica in self._by_service.get(service, ())
            if replica.accepts_requests
            and replica.entry.data_centre not in data_centres_out
        ]

    def maintain(self, now: float) -> None:
        """Close connections that were idle too long; log changed health classes."""
        self.unresponsive_services.clear()
        self.limited_services = {r.entry.service for r in self.list_limited()}
        for instance, replica in self.by_instance.items():
            replica.close_stale_connections(now)
            health_class = classify_health(replica.health, now)
            if health_class == UNRESPONSIVE_CLASS:
                self.unresponsive_services.add(replica.entry.service)
            if health_class != self._health_classes.get(instance, "sound"):
                self._health_classes[instance] = health_class
                _log_health_change(replica, health_class, now)

    def count_by_health(self) -> dict[str, int]:
        """Return the number of replicas by health class, as of the last `maintain`."""
        health_classes = (
            self._health_classes.get(name, "sound") for name in self.by_instance
        )
        return dict(Counter(health_classes))

    def note_limit_change(self, replica: Replica, source: str) -> None:
        """Log a rate limit if it was learned, changed or withdrawn.

        Parameters
        ----------
        replica : Replica
            Replica that names the limit.
        source : str
            Where the limit was learned.
        """
        quota = replica.quota
        if quota.is_limited:
            self.limited_services.add(replica.entry.service)
        if not quota.take_logged_change():
            return
        rank = quota.get_rank()
        structlog.get_logger().info(
            "replica_limit",
            replica=replica.entry.instance,
            service=replica.entry.service,
            limit=quota.limit if quota.is_limited else None,
            source=source,
            age_s=round(self.now() - quota.observed_at, 2),
            sent=quota.sent,
            rank=rank.rank,
            vms=rank.vm_count,
            share=round(quota.share.rate, 3) if quota.is_limited else None,
        )

    def list_limited(self) -> list[Replica]:
        """Return the replicas that name a rate limit."""
        return [r for r in self.by_instance.values() if r.quota.is_limited]

    def _add_replica(self, entry: ReplicaEntry) -> Replica:
        def get_connection_limit() -> int:
            service = self.find_service(entry.service)
            limit = service.max_connections if service else entry.slots
            return max(1, limit // max(1, self.count_vms()))

        def get_warmup_rate() -> float:
            service = self.find_service(entry.service)
            return service.cold_rate if service else 0.0

        limiter = WarmupLimiter(get_warmup_rate, lambda: self.is_sender(entry.instance))
        quota = ReplicaQuota(lambda: self.rank_sender(entry.instance))
        replica = Replica(entry, self.now, get_connection_limit, limiter, quota)
        former = self._former.pop(_identify(entry), None)
        if former is not None:
            replica.take_wishes(former)
        self.by_instance[entry.instance] = replica
        self._by_service[entry.service].append(replica)
        return replica

    def _remove_replica(self, replica: Replica) -> None:
        instance = replica.entry.instance
        self._former[_identify(replica.entry)] = replica
        if len(self._former) > MAX_FORMER_REPLICAS:
            self._former.popitem(last=False)
        del self.by_instance[instance]
        self._health_classes.pop(instance, None)
        self._by_service[replica.entry.service].remove(replica)
        replica.retire()


def _identify(entry: ReplicaEntry) -> _Identity:
    return entry.instance, entry.born_ms, entry.service, entry.address


def _log_health_change(replica: Replica, health_class: str, now: float) -> None:
    health = replica.health
    structlog.get_logger().info(
        "replica_believed",
        replica=replica.entry.instance,
        service=replica.entry.service,
        belief=health_class,
        slowness=round(health.estimate_slowness(now), 1),
        slow_age_s=round(now - health.slowness_at, 2),
        failed=round(health.estimate_failure_rate(now), 2),
        open=len(health.pending),
        answered_age_s=round(now - health.answered_at, 2),
    )
