"""Log line and metrics of a query over many shards that has ended."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import structlog

from ..world.model import Route
from .call import Call
from .context import Context
from .plan import CallPlan
from .shard import ShardState


@dataclass(frozen=True, slots=True)
class QueryReport:
    """How a query ended.

    Attributes
    ----------
    outcome, why : str
        Outcome, and what decided it.
    version : int
        Version of the configuration whose shards were queried.
    missing : tuple of str
        Services of the shards without a part.
    answered, hedges, retries : int
        Shards whose part is in, and sends beyond the first ones.
    """

    outcome: str
    why: str
    version: int
    missing: tuple[str, ...]
    answered: int
    hedges: int
    retries: int


def report_query(
    context: Context,
    call: Call,
    route: Route,
    plan: CallPlan,
    shards: Sequence[ShardState],
    report: QueryReport,
) -> None:
    """Count and log how a query ended."""
    now = context.now()
    duration_s = now - call.request.arrived_at
    context.metrics.record_duration("gather", route.name, duration_s)
    context.metrics.increment("missing_shards", route.name, len(report.missing))
    context.metrics.increment("hedges", route.name, report.hedges)
    structlog.get_logger().info(
        "query",
        request=call.attempt_id_text,
        route=route.name,
        version=report.version,
        outcome=report.outcome,
        why=report.why,
        ms=round(duration_s * 1000, 1),
        left_ms=round((call.deadline - now) * 1000),
        shards_in=report.answered,
        missing=report.missing,
        limited=[shard.service for shard in shards if shard.limited],
        tried={shard.service: shard.tried for shard in shards},
        round_trip_ms=round(plan.round_trip_s * 1000, 2),
        hedges=report.hedges,
        retries=report.retries,
        hedge_ms=round((plan.schedule.hedge_at - call.request.arrived_at) * 1000, 1),
    )
