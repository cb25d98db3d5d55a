"""Decide when a second try goes out and when an answer goes out incomplete.

Answers the load of queries whose slowest shard sets their latency.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..world.model import Route

HEDGE_FACTOR = 1.5  # times the 90th percentile of the route's requests
HEDGE_SHARE = 0.45  # of the latency objective, at the latest
SECOND_HEDGE_FACTOR = 2.0  # times the first delay, until it is tried once more
CUT_SHARE = 0.88  # of the latency objective; the rest is for the way back
NETWORK_S = 0.002  # s on the way from and to the caller
END_MARGIN_S = 0.01  # s before the caller's deadline


@dataclass(frozen=True, slots=True)
class Schedule:
    """Times of one request, on the clock of the process.

    Attributes
    ----------
    hedge_at : float
        When what is still open is sent to another replica.
    cut_at : float
        From when an answer goes out as soon as enough shards are in.
    end_at : float
        When the request gets its final answer.
    """

    hedge_at: float
    cut_at: float
    end_at: float


def plan_schedule(
    route: Route, arrived: float, deadline: float, late_s: float
) -> Schedule:
    """Plan the times of a request.

    Parameters
    ----------
    route : Route
        Its route.
    arrived, deadline : float
        When it came, and until when the caller waits, in seconds.
    late_s : float
        90th percentile of the durations of such requests, in seconds.
    """
    hedge_s = min(HEDGE_FACTOR * late_s, HEDGE_SHARE * route.target_s)
    end_at = min(arrived + route.timeout_s, deadline - END_MARGIN_S)
    cut_at = arrived + CUT_SHARE * route.target_s - NETWORK_S
    return Schedule(arrived + hedge_s, min(cut_at, end_at), end_at)
