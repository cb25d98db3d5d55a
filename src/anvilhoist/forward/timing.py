"""Schedule when a request is hedged, when its answer may be partial, and its end.

Without hedges and partial answers the slowest shard would determine the latency of a
query over many shards.
"""

from __future__ import annotations

from dataclasses import dataclass

from ..world.model import Route

# Hedge delay, in multiples of the 90th percentile of the route's durations.
HEDGE_P90_FACTOR = 1.5
# Upper limit of the hedge delay, as a share of the latency objective.
MAX_HEDGE_DELAY_SHARE = 0.45
# Delay of the second round of hedges, in multiples of that of the first.
SECOND_HEDGE_FACTOR = 2.0
# Limits of the partial answer's delay, as shares of the latency objective. The time
# that the upper limit leaves is for the way back to the caller.
MIN_PARTIAL_ANSWER_SHARE = 0.5
MAX_PARTIAL_ANSWER_SHARE = 0.88
# Subtracted from the longest delay of a partial answer, for the way from and to the
# caller.
NETWORK_ALLOWANCE_S = 0.002
PROCESSING_RESERVE_S = 0.004  # work on a request and its answer, and late timers
CALLER_ROUND_TRIPS = 2.0  # one for a new connection, one for request and answer
MIN_ROUND_TRIP_S = 0.002  # assumed if the kernel reports none or a shorter one
PROCESSING_RESERVE_PER_SHARD_S = 0.00015  # work per part, from sending to the answer
# Upper limit of the hedge delay, as a share of the partial answer's delay. It leaves
# time for the hedge to be answered.
MAX_HEDGE_PARTIAL_ANSWER_SHARE = 0.5
# Time that a request is expected to need at most, in multiples of the 90th percentile.
COMPLETION_P90_FACTOR = 5.0
DEADLINE_MARGIN_S = 0.01  # between the end of a request and the caller's deadline


@dataclass(frozen=True, slots=True)
class Schedule:
    """Schedule of one request, on the clock of the process, in seconds.

    Attributes
    ----------
    hedge_at : float
        When requests still unanswered are sent to another replica as well.
    partial_answer_at : float
        From when an answer is sent as soon as enough shards have answered.
    end_at : float
        When the request ends, with or without a result.
    """

    hedge_at: float
    partial_answer_at: float
    end_at: float


def compute_partial_answer_delay(
    target_s: float, shards: int, round_trip_s: float = 0.0
) -> float:
    """Return the delay after which a partial answer may be sent, in seconds.

    It reserves time for sending and merging, which take a good part of a short latency
    objective over many shards.

    Parameters
    ----------
    target_s : float
        Latency objective, in seconds.
    shards : int
        Number of shards of the query.
    round_trip_s : float
        Round-trip time to the caller, in seconds; 0 if unknown.
    """
    network_s = CALLER_ROUND_TRIPS * max(MIN_ROUND_TRIP_S, round_trip_s)
    reserve_s = (
        network_s + PROCESSING_RESERVE_S + PROCESSING_RESERVE_PER_SHARD_S * shards
    )
    latest_s = MAX_PARTIAL_ANSWER_SHARE * target_s - NETWORK_ALLOWANCE_S
    return max(MIN_PARTIAL_ANSWER_SHARE * target_s, min(latest_s, target_s - reserve_s))


def estimate_completion(route: Route, p90_s: float) -> float:
    """Return the time that a request is expected to need at most, in seconds.

    Load: callers that still send to a VM near the end of its shutdown. A request that
    needs longer than the VM has left is better served by another one.

    Parameters
    ----------
    route : Route
        Its route.
    p90_s : float
        90th percentile of the durations of the route's requests at single replicas, in
        seconds.
    """
    return min(route.timeout_s, max(route.target_s, COMPLETION_P90_FACTOR * p90_s))


def plan_schedule(
    route: Route,
    arrived_at: float,
    deadline: float,
    p90_s: float,
    round_trip_s: float = 0.0,
) -> Schedule:
    """Return the schedule of a request.

    Parameters
    ----------
    route : Route
        Its route.
    arrived_at, deadline : float
        When the request arrived, and until when the caller waits, in seconds.
    p90_s : float
        90th percentile of the durations of the route's requests at single replicas, in
        seconds.
    round_trip_s : float
        Round-trip time to the caller, in seconds; 0 if unknown.
    """
    shards = len(route.gather.shards) if route.gather else 1
    partial_answer_s = compute_partial_answer_delay(
        route.target_s, shards, round_trip_s
    )
    hedge_s = min(
        HEDGE_P90_FACTOR * p90_s,
        MAX_HEDGE_DELAY_SHARE * route.target_s,
        MAX_HEDGE_PARTIAL_ANSWER_SHARE * partial_answer_s,
    )
    end_at = min(arrived_at + route.timeout_s, deadline - DEADLINE_MARGIN_S)
    return Schedule(
        arrived_at + hedge_s, min(arrived_at + partial_answer_s, end_at), end_at
    )
