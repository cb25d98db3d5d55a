"""All replicas in use, by service."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from ..world.model import ReplicaEntry, Service
from .cold import ColdGate
from .replica import Replica


@dataclass(slots=True)
class Replicas:
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
    _by_service: dict[str, list[Replica]] = field(
        default_factory=lambda: defaultdict(list)
    )

    def put(self, instance: str, entry: ReplicaEntry | None) -> None:
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
        known.cold_gate.warm_in(entry.cold_s, self.now())
        if entry.draining:
            known.close_idle()

    def list_service(self, service: str, out: set[str]) -> list[Replica]:
        """Replicas of a service outside the data centres that are out."""
        return [
            replica
            for replica in self._by_service.get(service, ())
            if replica.listed and replica.entry.data_centre not in out
        ]

    def check(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        for replica in self.by_instance.values():
            replica.check(now)

    def _add(self, entry: ReplicaEntry) -> Replica:
        def read_share() -> int:
            service = self.find_service(entry.service)
            limit = service.max_connections if service else entry.slots
            return max(1, limit // max(1, self.count_vms()))

        def read_rate() -> float:
            service = self.find_service(entry.service)
            return service.cold_rate if service else 0.0

        gate = ColdGate(read_rate, lambda: self.is_sender(entry.instance))
        replica = Replica(entry, self.now, read_share, gate)
        self.by_instance[entry.instance] = replica
        self._by_service[entry.service].append(replica)
        return replica

    def _drop(self, replica: Replica) -> None:
        del self.by_instance[replica.entry.instance]
        self._by_service[replica.entry.service].remove(replica)
        replica.retire()


def _is_new_start(known: ReplicaEntry, entry: ReplicaEntry) -> bool:
    return (known.born_ms, known.service, known.address) != (
        entry.born_ms,
        entry.service,
        entry.address,
    )
