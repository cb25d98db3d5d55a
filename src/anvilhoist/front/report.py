"""What a process tells of itself: gauges, metrics, status, a summary in the log."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

import msgspec
import structlog

from ..clock import read_boottime
from ..http.messages import Request, Response

if TYPE_CHECKING:
    from .process import Front

STATUS_PATH = "/status"
BELIEFS = ("sound", "slow", "failing", "dark")
METRICS_TYPE = b"text/plain; version=0.0.4"


class VmStatus(msgspec.Struct, frozen=True):
    """What operators read of one process.

    Attributes
    ----------
    vm, state, data_centre : str
        Which VM, where it stands, and whether it serves.
    version : int or None
        Configuration in force.
    view_age_s : float or None
        Time since the view was known to be the store's, in seconds.
    reads_store : bool
        Whether it reads the store itself.
    out : tuple of str
        Data centres that operators have taken out.
    beliefs : dict of int
        Number of replicas of each belief.
    peers : dict of str
        IP numbers of the other VMs by name.
    """

    vm: str
    state: str
    data_centre: str
    version: int | None
    view_age_s: float | None
    reads_store: bool
    out: tuple[str, ...]
    beliefs: dict[str, int]
    peers: dict[str, str]


def watch_gauges(front: Front) -> None:
    """Let the process's metrics show its state."""
    metrics, view = front.context.metrics, front.view

    def read_age() -> float:
        return view.age_s if view.has_configuration else -1.0

    def read_version() -> float:
        return float(view.configuration.version) if view.configuration else -1.0

    def count_belief(belief: str) -> float:
        return float(front.replicas.count_by_health().get(belief, 0))

    metrics.register_gauge("view_age_s", read_age)
    metrics.register_gauge("configuration_version", read_version)
    metrics.register_gauge("reads_store", lambda: float(front.peers.reads_store))
    metrics.register_gauge("store_calls", lambda: float(front.store.call_count))
    metrics.register_gauge(
        "peers_heard", lambda: float(len(front.members.list_alive_hosts()))
    )
    metrics.register_gauge(
        "callers_open", lambda: float(len(front.callers.connections))
    )
    metrics.register_gauge(
        "requests_open", lambda: float(front.callers.requests_in_flight)
    )
    front.timers.subscribe_loop_lag(partial(metrics.record_duration, "loop_delay", ""))
    for belief in BELIEFS:
        metrics.register_gauge(f"replicas_{belief}", partial(count_belief, belief))


def log_summary(front: Front, now: float) -> None:
    """Log a line that sums the process's state up."""
    status = describe_status(front)
    structlog.get_logger().info(
        "state",
        state=status.state,
        version=status.version,
        view_age_s=status.view_age_s,
        replicas=len(front.replicas.by_instance),
        beliefs=status.beliefs,
        peers=len(front.members.list_alive_hosts()),
        reads_store=status.reads_store,
        store_calls=front.store.call_count,
        callers=len(front.callers.connections),
    )


async def answer_operators(front: Front, request: Request) -> Response:
    """Answer with the process's status, or with all metrics as text."""
    if request.path == STATUS_PATH:
        body = msgspec.json.encode(describe_status(front))
        return Response(200, [(b"content-type", b"application/json")], body)
    spent = front.context.budget.count_spent(read_boottime())
    text = front.context.metrics.render() + "".join(
        f'anvilhoist_extra_arrivals{{service="{service}"}} {count}\n'
        for service, count in sorted(spent.items())
    )
    return Response(200, [(b"content-type", METRICS_TYPE)], text.encode())


def describe_status(front: Front) -> VmStatus:
    """Describe what is in force here, and who else is there."""
    view = front.view
    return VmStatus(
        vm=front.settings.vm,
        state=front.state.value,
        data_centre=front.settings.data_centre,
        version=view.configuration.version if view.configuration else None,
        view_age_s=round(view.age_s, 2) if view.has_configuration else None,
        reads_store=front.peers.reads_store,
        out=tuple(sorted(view.data_centres_out)),
        beliefs=front.replicas.count_by_health(),
        peers={beat.vm: beat.host for beat in front.members.list_recent()},
    )
