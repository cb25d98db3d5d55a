"""Choose the replica for a request.

The choice evens out load: it avoids replicas that pause, become slow, fail, are in
another data centre, or have queues that other VMs fill.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from random import Random

from .health import PROBE_INTERVAL_S, Health
from .replica import Replica

CROSS_DATA_CENTRE_COST = 0.6  # added cost, in typical durations of a request
BUSY_SLOTS_COST = 0.3  # relative cost added when all slots are busy
QUEUE_COST = 1.0  # relative cost added when one request per slot is queued
# Cost of a request that fails and must not be sent again, in typical durations. It
# outweighs any wait for a replica that does not fail.
UNREPEATABLE_FAILURE_COST = 20.0
MIN_SUCCESS_RATE = 0.05  # keeps the cost finite where every request fails
# Largest random surcharge, relative to the cost; spreads load over equal replicas.
TIE_BREAK_JITTER = 0.05


def estimate_cost(
    replica: Replica, data_centre: str, now: float, repeatable: bool = True
) -> float:
    """Return the expected cost of a request, in multiples of its typical duration.

    A failure costs a repeatable request another try, and any other request its result.

    Parameters
    ----------
    replica : Replica
        Replica to rate.
    data_centre : str
        Data centre of this VM.
    now : float
        Time in seconds.
    repeatable : bool
        Whether the request may be sent again after a failure.
    """
    health: Health = replica.health
    slots = replica.entry.slots
    load = health.estimate_load(now)
    queued = max(0.0, load + 1.0 - slots)
    cost = max(health.estimate_slowness(now), health.estimate_stall(now))
    cost *= 1.0 + (BUSY_SLOTS_COST * min(load, slots) + QUEUE_COST * queued) / slots
    if replica.entry.data_centre != data_centre:
        cost += CROSS_DATA_CENTRE_COST
    failure_rate = health.estimate_failure_rate(now)
    if not repeatable:
        return cost + UNREPEATABLE_FAILURE_COST * failure_rate
    return cost / max(MIN_SUCCESS_RATE, 1.0 - failure_rate)


def choose_replica(
    replicas: Iterable[Replica],
    data_centre: str,
    now: float,
    random: Random,
    tried: Sequence[str] = (),
    repeatable: bool = True,
) -> Replica | None:
    """Choose the usable replica with the lowest estimated cost.

    One with a rate limit comes first if the limit has not been heard of for a while,
    and after all others if this VM's share of it is nearly spent.

    Parameters
    ----------
    replicas : iterable of Replica
        Replicas of one service.
    data_centre : str
        Data centre of this VM.
    now : float
        Time in seconds.
    random : Random
        Breaks ties.
    tried : sequence of str
        Instances that must not be chosen again.
    repeatable : bool
        Whether the request may be sent again after a failure.

    Returns
    -------
    Replica or None
        None if no untried replica is usable.
    """
    best: Replica | None = None
    best_order = (False, False, 0.0)
    for replica in replicas:
        if replica.entry.instance in tried or not replica.is_usable(now):
            continue
        cost = estimate_cost(replica, data_centre, now, repeatable) * (
            1.0 + TIE_BREAK_JITTER * random.random()
        )
        quota = replica.quota
        order = (not quota.is_refresh_due(now), quota.is_nearly_spent(now), cost)
        if best is None or order < best_order:
            best, best_order = replica, order
    return best


def choose_probe_target(
    replicas: Iterable[Replica],
    now: float,
    tried: Sequence[str] = (),
    interval_s: float = PROBE_INTERVAL_S,
) -> Replica | None:
    """Choose the first unresponsive replica that is due for a probe, or None.

    A probe is an ordinary request; an answer shows that the replica is back.

    Parameters
    ----------
    replicas : iterable of Replica
        Replicas of one service.
    now : float
        Time in seconds.
    tried : sequence of str
        Instances that must not be chosen again.
    interval_s : float
        Shortest time between two probes of a replica, in seconds.
    """
    for replica in replicas:
        if replica.entry.instance in tried or not replica.can_probe(now, interval_s):
            continue
        return replica
    return None
