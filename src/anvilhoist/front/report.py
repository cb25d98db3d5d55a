"""Report the state of the front process: gauges, metrics, status, log summary."""

from __future__ import annotations

import os
from functools import partial
from typing import TYPE_CHECKING

import msgspec
import structlog

from ..clock import read_boottime
from ..code_digest import compute_code_digest
from ..http.client_budget import ClientBudget
from ..http.messages import Request, Response
from ..world.era import format_revision, get_era, get_store_revision

if TYPE_CHECKING:
    from .process import Front

STATUS_PATH = "/status"
HEALTH_CLASSES = ("sound", "slow", "failing", "dark")
METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4"


class VmStatus(msgspec.Struct, frozen=True):
    """Status of one front process, as operators read it.

    Attributes
    ----------
    vm, state, data_centre : str
        Name of the VM, its `VmState`, and its data centre.
    version : int or None
        Version of the configuration in force; None before the first.
    view_age_s : float or None
        Time since the view was last known to match the store, in seconds; None before
        the first configuration.
    reads_store : bool
        Whether the VM reads the store itself rather than through other VMs.
    out : tuple of str
        Data centres that operators have taken out of service.
    beliefs : dict of int
        Number of replicas in each health class; classes without replicas are left out.
    peers : dict of str
        IP addresses, by name, of the other VMs heard within `RECENT_S`, lost or not.
    code, machine : str
        Digest of the sources that run, and the processor's architecture; empty for a VM
        of a version that does not tell.
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
    code: str = ""
    machine: str = ""


def register_gauges(front: Front) -> None:
    """Register the gauges of the process's state; -1 stands for no configuration."""
    metrics, view = front.context.metrics, front.view

    def read_view_age() -> float:
        return view.age_s if view.has_configuration else -1.0

    def read_configuration_version() -> float:
        return float(view.configuration.version) if view.configuration else -1.0

    def count_replicas(health_class: str) -> float:
        return float(front.replicas.count_by_health().get(health_class, 0))

    metrics.register_gauge("view_age_s", read_view_age)
    metrics.register_gauge("configuration_version", read_configuration_version)
    metrics.register_gauge(
        "view_revision", lambda: float(get_store_revision(view.revision))
    )
    metrics.register_gauge("store_era", lambda: float(get_era(view.revision)))
    metrics.register_gauge("reads_store", lambda: float(front.peer_reader.reads_store))
    store = front.store_client
    metrics.register_gauge("store_calls", lambda: float(store.call_count))
    metrics.register_gauge("store_probes", lambda: float(store.probe_count))
    metrics.register_gauge(
        "peers_heard", lambda: float(len(front.members.list_alive_hosts()))
    )
    metrics.register_gauge(
        "callers_open", lambda: float(len(front.caller_server.connections))
    )
    metrics.register_gauge(
        "requests_open", lambda: float(front.caller_server.requests_in_flight)
    )
    budget = front.client_budget
    metrics.register_gauge("clients_held_bytes", lambda: float(budget.held_bytes))
    metrics.register_gauge(
        "clients_held_bytes_max", lambda: float(budget.limits.memory_bytes)
    )
    metrics.register_gauge("clients_connected", lambda: float(budget.connections))
    metrics.register_gauge(
        "clients_connected_max", lambda: float(budget.limits.connections)
    )
    for reason in budget.shed_count:
        metrics.register_gauge(
            f"clients_shed_{reason}", partial(_read_shed_count, budget, reason)
        )
    front.timers.subscribe_loop_lag(partial(metrics.record_duration, "loop_delay", ""))
    for name in HEALTH_CLASSES:
        metrics.register_gauge(f"replicas_{name}", partial(count_replicas, name))


def _read_shed_count(budget: ClientBudget, reason: str) -> float:
    return float(budget.shed_count[reason])


def log_summary(front: Front, now: float) -> None:
    """Log a line that summarises the process's state."""
    status = describe_status(front)
    structlog.get_logger().info(
        "state",
        state=status.state,
        version=status.version,
        view_age_s=status.view_age_s,
        revision=format_revision(front.view.revision),
        replicas=len(front.replicas.by_instance),
        beliefs=status.beliefs,
        peers=len(front.members.list_alive_hosts()),
        reads_store=status.reads_store,
        store_calls=front.store_client.call_count,
        limited=len(front.replicas.list_limited()),
        callers=len(front.caller_server.connections),
        clients_held_bytes=front.client_budget.held_bytes,
        code=status.code,
        machine=status.machine,
    )


async def answer_operators(front: Front, request: Request) -> Response:
    """Answer `STATUS_PATH` with the status, other paths with all metrics as text."""
    if request.path == STATUS_PATH:
        body = msgspec.json.encode(describe_status(front))
        return Response(200, [(b"content-type", b"application/json")], body)
    extra_arrivals = front.context.budget.count_spent(read_boottime())
    text = front.context.metrics.render() + "".join(
        f'anvilhoist_extra_arrivals{{service="{service}"}} {count}\n'
        for service, count in sorted(extra_arrivals.items())
    )
    text += _render_limits(front)
    return Response(200, [(b"content-type", METRICS_CONTENT_TYPE)], text.encode())


def describe_status(front: Front) -> VmStatus:
    """Collect the status of the process."""
    view = front.view
    return VmStatus(
        vm=front.settings.vm,
        state=front.state.value,
        data_centre=front.settings.data_centre,
        version=view.configuration.version if view.configuration else None,
        view_age_s=round(view.age_s, 2) if view.has_configuration else None,
        reads_store=front.peer_reader.reads_store,
        out=tuple(sorted(view.data_centres_out)),
        beliefs=front.replicas.count_by_health(),
        peers={peer.vm: peer.host for peer in front.members.list_recent()},
        code=compute_code_digest(),
        machine=os.uname().machine,
    )


def _render_limits(front: Front) -> str:
    lines = []
    for replica in front.replicas.list_limited():
        quota = replica.quota
        labels = (
            f'vm="{front.settings.vm}",service="{replica.entry.service}",'
            f'replica="{replica.entry.instance}"'
        )
        lines.append(f"anvilhoist_replica_limit{{{labels}}} {quota.limit:g}\n")
        lines.append(f"anvilhoist_replica_share{{{labels}}} {quota.share.rate:g}\n")
        lines.append(f"anvilhoist_replica_limit_sent{{{labels}}} {quota.sent}\n")
    return "".join(lines)
