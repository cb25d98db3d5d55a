"""Choose the replica for a request.

Answers uneven load: replicas that pause, turn slow, fail or stand in another data
centre, and queues that other VMs fill.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random

from .health import Health
from .replica import Replica

OTHER_DATA_CENTRE = 0.6  # added cost, in usual durations of a request
LOADED = 0.3  # added cost of each request per slot below the slots' number
QUEUED = 1.0  # added cost of each request per slot beyond the slots' number
LEAST_SUCCESS = 0.05  # keeps the cost finite where everything fails
TIE = 0.05  # random share that spreads equal replicas


def estimate_cost(replica: Replica, data_centre: str, now: float) -> float:
    """Expected duration of a request, in multiples of the usual one.

    Parameters
    ----------
    replica : Replica
        Replica to rate.
    data_centre : str
        Data centre of this VM.
    now : float
        Time in seconds.
    """
    health: Health = replica.health
    slots = replica.entry.slots
    load = health.estimate_load(now)
    queued = max(0.0, load + 1.0 - slots)
    cost = max(health.estimate_slowness(now), health.estimate_stall(now))
    cost *= 1.0 + (LOADED * min(load, slots) + QUEUED * queued) / slots
    if replica.entry.data_centre != data_centre:
        cost += OTHER_DATA_CENTRE
    return cost / max(LEAST_SUCCESS, 1.0 - health.estimate_failure_rate(now))


def choose_replica(
    replicas: Iterable[Replica],
    data_centre: str,
    now: float,
    random: Random,
    tried: Sequence[str] = (),
) -> Replica | None:
    """Choose the replica with the least expected duration.

    Parameters
    ----------
    replicas : iterable of Replica
        Replicas in use of one service.
    data_centre : str
        Data centre of this VM.
    now : float
        Time in seconds.
    random : Random
        Breaks ties.
    tried : sequence of str
        Instances that are not to be chosen again.

    Returns
    -------
    Replica or None
        None if no replica can be expected to answer.
    """
    best: Replica | None = None
    best_cost = 0.0
    for replica in replicas:
        if replica.entry.instance in tried or not replica.usable(now):
            continue
        cost = estimate_cost(replica, data_centre, now) * (1.0 + TIE * random.random())
        if best is None or cost < best_cost:
            best, best_cost = replica, cost
    return best


def choose_probe(
    replicas: Iterable[Replica], now: float, tried: Sequence[str] = ()
) -> Replica | None:
    """Choose a dark replica that is due for a request, where no other is left."""
    for replica in replicas:
        if replica.entry.instance in tried or not replica.can_probe(now):
            continue
        return replica
    return None
