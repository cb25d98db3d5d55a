"""Decide when a second try goes out and when an answer goes out incomplete.

Answers the load of queries whose slowest shard sets their latency.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..world.model import Route

HEDGE_FACTOR = 1.5  # times the 90th percentile of the route's requests
HEDGE_SHARE = 0.45  # of the latency objective, at the latest
SECOND_HEDGE_FACTOR = 2.0  # times the first delay, until it is tried once more
LEAST_CUT_SHARE = 0.5  # of the latency objective, before which nothing is cut
CUT_SHARE = 0.88  # of the latency objective; the rest is for the way back
NETWORK_S = 0.002  # s on the way from and to the caller
RESERVE_S = 0.004  # s of work for a request and its answer, and for late timers
ROUND_TRIPS = 2.0  # to the caller: a new connection, the request, the answer
LEAST_ROUND_TRIP_S = 0.002  # s, where the kernel does not tell
RESERVE_PER_SHARD_S = 0.00015  # s of work for each part between its send and the answer
HEDGE_CUT_SHARE = 0.5  # of the time until the cut, at the latest
END_MARGIN_S = 0.01  # s before the caller's deadline


@dataclass(frozen=True, slots=True)
class Schedule:
    """Times of one request, on the clock of the process.

    Attributes
    ----------
    hedge_at : float
        When what is still open is sent to another replica.
    partial_answer_at : float
        From when an answer goes out as soon as enough shards are in.
    end_at : float
        When the request gets its final answer.
    """

    hedge_at: float
    partial_answer_at: float
    end_at: float


def choose_cut(target_s: float, shards: int, round_trip_s: float = 0.0) -> float:
    """Choose after how long an incomplete answer goes out, in seconds.

    Answers short latency objectives over many shards, where sending and merging take
    a good part of the time.

    Parameters
    ----------
    target_s : float
        Latency objective, in seconds.
    shards : int
        Shards of the query.
    round_trip_s : float
        Time to the caller and back, in seconds; 0 where it is not known.
    """
    way_s = ROUND_TRIPS * max(LEAST_ROUND_TRIP_S, round_trip_s)
    reserve_s = way_s + RESERVE_S + RESERVE_PER_SHARD_S * shards
    latest_s = CUT_SHARE * target_s - NETWORK_S
    return max(LEAST_CUT_SHARE * target_s, min(latest_s, target_s - reserve_s))


def plan_schedule(
    route: Route,
    arrived_at: float,
    deadline: float,
    p90_s: float,
    round_trip_s: float = 0.0,
) -> Schedule:
    """Plan the times of a request.

    Parameters
    ----------
    route : Route
        Its route.
    arrived_at, deadline : float
        When it came, and until when the caller waits, in seconds.
    p90_s : float
        90th percentile of the durations of such requests, in seconds.
    round_trip_s : float
        Time to the caller and back, in seconds; 0 where it is not known.
    """
    shards = len(route.gather.shards) if route.gather else 1
    cut_s = choose_cut(route.target_s, shards, round_trip_s)
    hedge_s = min(
        HEDGE_FACTOR * p90_s, HEDGE_SHARE * route.target_s, HEDGE_CUT_SHARE * cut_s
    )
    end_at = min(arrived_at + route.timeout_s, deadline - END_MARGIN_S)
    return Schedule(arrived_at + hedge_s, min(arrived_at + cut_s, end_at), end_at)
