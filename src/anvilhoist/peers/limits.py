"""Tell other VMs which replicas name a rate limit, and learn it from them.

A VM that may not send to a replica would not learn that its limit has changed.
"""

from __future__ import annotations

import math
from random import Random

from ..upstreams.registry import ReplicaRegistry
from .messages import AGE_UNIT_S, LimitReport

# Chosen at random if there are more. With the VMs heard they must fit one packet.
MAX_LIMITS_PER_HEARTBEAT = 12


def collect_limit_reports(
    replicas: ReplicaRegistry, now: float, random: Random
) -> tuple[LimitReport, ...]:
    """Return the limits to be sent in one heartbeat."""
    reported = [r for r in replicas.by_instance.values() if r.quota.should_report(now)]
    if len(reported) > MAX_LIMITS_PER_HEARTBEAT:
        reported = random.sample(reported, MAX_LIMITS_PER_HEARTBEAT)
    return tuple(
        LimitReport(
            replica.entry.instance,
            replica.entry.born_ms,
            replica.quota.limit if replica.quota.is_limited else None,
            math.ceil((now - replica.quota.observed_at) / AGE_UNIT_S),
        )
        for replica in reported
    )


def apply_limit_reports(
    replicas: ReplicaRegistry, reports: tuple[LimitReport, ...], now: float
) -> None:
    """Record the limits that another VM reports; those of unknown replicas are dropped.

    A replica that has started anew since is another one, too.
    """
    for report in reports:
        replica = replicas.by_instance.get(report.instance)
        if replica is None or replica.entry.born_ms != report.born_ms:
            continue
        limit = math.inf if report.limit is None else report.limit
        observed_at = now - report.age * AGE_UNIT_S
        replica.quota.record_report(limit, observed_at, now)
        replicas.note_limit_change(replica, "peer")
