"""What is worked out once for a request, whichever replicas it goes to."""

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
class Plan:
    """A request's headers and times.

    Attributes
    ----------
    headers : list of tuple of bytes
        Headers that every replica gets alike.
    durations : LatencyEstimate
        Usual durations of such requests.
    schedule : Schedule
        When it is hedged, answered and given up.
    round_trip_s : float
        Time to the caller and back, in seconds; 0 where it is not known.
    """

    headers: Headers
    durations: LatencyEstimate
    schedule: Schedule
    round_trip_s: float


def plan_call(context: Context, call: Call, route: Route) -> Plan:
    """Plan a caller's request on its route."""
    durations = context.latencies.get(route.name, route.target_s)
    round_trip_s = call.request.read_round_trip()
    schedule = plan_schedule(
        route, call.request.arrived_at, call.deadline, durations.p90_s, round_trip_s
    )
    return Plan(prepare_headers(call), durations, schedule, round_trip_s)
