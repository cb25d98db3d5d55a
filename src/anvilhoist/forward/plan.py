"""Plan of a request, computed once for all replicas that it is sent to."""

from __future__ import annotations

from dataclasses import dataclass

from ..http.messages import Headers
from ..platform.edge import prepare_headers
from ..upstreams.latency import LatencyEstimate
from ..world.model import Route
from .call import Call
from .context import Context
from .timing import Schedule, plan_schedule


@dataclass(frozen=True, slots=True)
class CallPlan:
    """Headers, latency estimate and schedule of a request.

    Attributes
    ----------
    headers : list of tuple of bytes
        Headers that are the same for every replica.
    latency : LatencyEstimate
        Latency estimate of the route.
    schedule : Schedule
        When the request is hedged, may be answered partially, and ends.
    round_trip_s : float
        Round-trip time to the caller, in seconds; 0 if unknown.
    """

    headers: Headers
    latency: LatencyEstimate
    schedule: Schedule
    round_trip_s: float


def plan_call(context: Context, call: Call, route: Route) -> CallPlan:
    """Plan a call on its route."""
    latency = context.latencies.get(route.name, route.target_s)
    round_trip_s = call.request.read_round_trip()
    deadline = min(call.deadline, context.serves_until)
    schedule = plan_schedule(
        route, call.request.arrived_at, deadline, latency.p90_s, round_trip_s
    )
    return CallPlan(prepare_headers(call), latency, schedule, round_trip_s)
