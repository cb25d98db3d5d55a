"""What operators read from a running process: health, metrics, state, decisions.

Nothing here changes anything.
"""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from typing import Protocol
from urllib.parse import parse_qs, urlsplit

from ..metrics import Metrics
from .decisions import DecisionLog
from .documents import KEYS
from .link import HttpAnswer
from .sync import Links
from .view import View


class Observed(Protocol):
    """A process that operators look at."""

    view: View
    log: DecisionLog
    metrics: Metrics
    links: Links

    def is_ready(self) -> bool:
        """Whether the process can serve."""

    def list_replicas(self) -> tuple[ReplicaState, ...]:
        """State of the replicas that the process works on."""


@dataclass(frozen=True, slots=True)
class DocumentState:
    """One document in force.

    Attributes
    ----------
    age_s : float
        Time since it was accepted, in seconds.
    refused_revision : int
        Newer revision that was refused, 0 if none.
    """

    key: str
    revision: int
    age_s: float
    refused_revision: int
    problems: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReplicaState:
    """One replica at its owner."""

    name: str
    held: bool
    warm: bool
    at_work: int
    waiting: int
    limit: int
    peak: int


@dataclass(frozen=True, slots=True)
class ProcessState:
    """One process, as operators see it."""

    vm: str
    role: str
    ready: bool
    documents: tuple[DocumentState, ...]
    platform_age_s: float
    sent_bytes: int
    received_bytes: int
    replicas: tuple[ReplicaState, ...]


@dataclass(frozen=True, slots=True)
class FleetMember:
    """One VM and the addresses of its processes."""

    vm: str
    entry: str
    dispatch: str


def list_members(view: View) -> tuple[FleetMember, ...]:
    """VMs of the list in force."""
    vms = view.vms
    if vms is None:
        return ()
    return tuple(
        FleetMember(name, vm.entry, vm.dispatch) for name, vm in sorted(vms.vms.items())
    )


def describe_process(process: Observed) -> ProcessState:
    """State of a process."""
    view = process.view
    return ProcessState(
        vm=process.log.vm,
        role=process.log.role,
        ready=process.is_ready(),
        documents=tuple(_describe_document(view, key) for key in KEYS),
        platform_age_s=view.platform_age(),
        sent_bytes=process.links.traffic.sent_bytes,
        received_bytes=process.links.traffic.received_bytes,
        replicas=process.list_replicas(),
    )


PATHS = (
    "/healthz",
    "/readyz",
    "/metrics",
    "/ops/state",
    "/ops/fleet",
    "/ops/decisions",
)


def answer_operator(target: str, process: Observed) -> HttpAnswer | None:
    """Answer an operator's request.

    Parameters
    ----------
    target : str
        Path and query of the request.
    process : Observed
        The process that was asked.

    Returns
    -------
    HttpAnswer or None
        None where the path is not one of the operators'.
    """
    parts = urlsplit(target)
    match parts.path:
        case "/healthz":
            return HttpAnswer(200, "ok\n")
        case "/readyz":
            ready = process.is_ready()
            return HttpAnswer(200 if ready else 503, f"ready: {ready}\n".lower())
        case "/metrics":
            return HttpAnswer(200, process.metrics.render())
        case "/ops/state":
            return HttpAnswer(200, json.dumps(asdict(describe_process(process))))
        case "/ops/fleet":
            members = [asdict(member) for member in list_members(process.view)]
            return HttpAnswer(200, json.dumps(members))
        case "/ops/decisions":
            return HttpAnswer(200, json.dumps(_find_decisions(parts.query, process)))
    return None


def _describe_document(view: View, key: str) -> DocumentState:
    refused = [item for item in view.rejections if item.key == key]
    return DocumentState(
        key=key,
        revision=view.revision(key),
        age_s=round(view.age(key), 3),
        refused_revision=refused[0].revision if refused else 0,
        problems=refused[0].problems if refused else (),
    )


def _find_decisions(query: str, process: Observed) -> list:
    wanted = parse_qs(query).get("request_id", [""])[0]
    return [asdict(decision) for decision in process.log.find(wanted)]
