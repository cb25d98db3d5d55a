"""Tell other VMs under which requests replicas ended, and learn it from them.

A caller whose request failed sends it again, often to another VM.
"""

from __future__ import annotations

import math

from ..upstreams.suspects import SuspectList
from .messages import AGE_UNIT_S, MAX_REPORTED_ENDS, SuspectReport

# With the VMs heard and the limits they must fit one packet.
MAX_SUSPECTS_PER_HEARTBEAT = 6


def collect_suspect_reports(
    suspects: SuspectList, now: float
) -> tuple[SuspectReport, ...]:
    """Return the suspects to be sent in one heartbeat."""
    return tuple(
        SuspectReport(
            key,
            min(record.ends, MAX_REPORTED_ENDS),
            min(record.rounds, MAX_REPORTED_ENDS),
            math.ceil(max(0.0, now - record.last_at) / AGE_UNIT_S),
        )
        for key, record in suspects.list_shared(MAX_SUSPECTS_PER_HEARTBEAT)
    )


def apply_suspect_reports(
    suspects: SuspectList, reports: tuple[SuspectReport, ...], now: float
) -> None:
    """Record the suspects that another VM reports."""
    for report in reports:
        last_at = now - report.age * AGE_UNIT_S
        suspects.merge(report.key, report.ends, report.rounds, last_at)
