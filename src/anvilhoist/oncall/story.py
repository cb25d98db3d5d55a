"""History of one request from the logs, and what decided its outcome."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..errors import UsageError

# Events that log a state change of a process, each with the key that names its subject.
SUBJECT_KEY_BY_EVENT = {
    "replica_believed": "replica",
    "replica_listed": "replica",
    "replica_gone": "replica",
    "replica_missing": "replica",
    "replica_limit": "replica",
    "configuration_in_force": "version",
    "data_centre_out": "name",
    "store_lost": "kind",
    "store_regained": "outage_s",
    "published_from_peer": "revision",
    "peer_lost": "peer",
    "stop_begins": "requests",
    "start": "version",
}
# Bound on the state changes shown for each log line of the request, and on the missing
# services named in the cause.
MAX_SHOWN = 6


@dataclass(slots=True)
class RequestHistory:
    """Log lines that explain the outcome of a request.

    Attributes
    ----------
    log_lines : list of dict
        Lines about the request itself, in the order in which they were read.
    state_changes : list of dict
        Latest state changes on the same VM before each of these lines, at most
        `MAX_SHOWN` each. Of the replicas, only those tried are included; if the line
        names missing shards, only those tried for these shards.
    """

    log_lines: list[dict[str, Any]] = field(default_factory=list)
    state_changes: list[dict[str, Any]] = field(default_factory=list)


def read_log_lines(paths: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Read the structured lines of log files, one after another.

    Text before the first brace of a line is skipped, and so are lines that hold no JSON
    object with an event.

    Raises
    ------
    UsageError
        If a file can't be read.
    """
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            raise UsageError(f"{path}: {error.strerror}") from None
        for line in text.splitlines():
            start = line.find("{")
            if start < 0:
                continue
            try:
                fields = json.loads(line[start:])
            except ValueError:
                continue
            if isinstance(fields, dict) and "event" in fields:
                yield fields


def collect_request_history(
    lines: Iterable[dict[str, Any]], request: str
) -> RequestHistory:
    """Collect the log lines of one request and the state changes that preceded them.

    Parameters
    ----------
    lines : iterable of dict
        Log lines of all processes; those of each process are in order of time.
    request : str
        Id of the request, as in the key `request` of log lines.
    """
    history = RequestHistory()
    latest_by_vm: dict[str, dict[tuple[str, Any], dict[str, Any]]] = {}
    for line in lines:
        vm = line.get("vm", "")
        if line["event"] in SUBJECT_KEY_BY_EVENT:
            subject = line.get(SUBJECT_KEY_BY_EVENT[line["event"]])
            latest = latest_by_vm.setdefault(vm, {})
            # Removing the older line first keeps the lines in order of time.
            latest.pop((line["event"], subject), None)
            latest[(line["event"], subject)] = line
        elif line.get("request") == request:
            history.log_lines.append(line)
            tried = _list_tried_replicas(line)
            limited = _list_limited_services(line)
            history.state_changes += [
                change
                for change in list(latest_by_vm.get(vm, {}).values())
                if change not in history.state_changes
                and _is_relevant(change, tried, limited)
            ][-MAX_SHOWN:]
    return history


def describe_cause(history: RequestHistory) -> str:
    """Return one sentence on what decided the outcome of the request."""
    if not history.log_lines:
        return (
            "no line bears this id: the request reached no process, "
            "or lines were dropped"
        )
    line = next((line for line in history.log_lines if line.get("missing")), None)
    line = line or history.log_lines[-1]
    if line["event"] == "refused":
        age = line.get("view_age_s")
        return (
            f"refused as {line['kind']} (ran: {line['ran']}) with {line['found']} "
            f"found, from configuration {line['version']} and a view {age} s old"
        )
    missing = line.get("missing") or []
    if missing:
        return (
            f"{line['outcome']} after {line['ms']} ms without {len(missing)} shards: "
            f"{_explain_missing(line, history)}"
        )
    return (
        f"{line['outcome']} after {line['ms']} ms; tried {_list_tried_replicas(line)}, "
        f"{line.get('hedges', 0)} hedges, {line.get('retries', 0)} retries"
    )


def format_request_history(history: RequestHistory) -> list[str]:
    """Return the lines to print: state changes, lines of the request, and the cause."""
    output = ["state changes, the latest of each subject:"]
    output += [f"  {_format_line(line)}" for line in history.state_changes]
    output += ["log lines of the request:"]
    output += [f"  {_format_line(line)}" for line in history.log_lines]
    return [*output, f"cause: {describe_cause(history)}"]


def _explain_missing(line: dict[str, Any], history: RequestHistory) -> str:
    change_by_replica = {
        change.get("replica"): change
        for change in history.state_changes
        if change["event"] in ("replica_believed", "replica_gone")
    }
    explanations = []
    for service in line["missing"][:MAX_SHOWN]:
        tried = line.get("tried", {}).get(service) or []
        beliefs = [
            f"{replica} {change_by_replica[replica].get('belief', 'gone')}"
            for replica in tried
            if replica in change_by_replica
        ]
        explanations.append(
            f"{service} ({', '.join(beliefs or tried) or 'no replica in use'})"
        )
    return "; ".join(explanations)


def _list_tried_replicas(line: dict[str, Any]) -> list[str]:
    """Return the replicas tried, or only those of missing shards if there are any."""
    tried = line.get("tried") or []
    if isinstance(tried, dict):
        services = line.get("missing") or list(tried)
        return [replica for service in services for replica in tried.get(service, ())]
    return list(tried)


def _list_limited_services(line: dict[str, Any]) -> list[str]:
    """Return the services whose replicas were passed over for their rate limits."""
    limited = line.get("limited") or []
    return limited if isinstance(limited, list) else [line.get("service")]


def _is_relevant(change: dict[str, Any], tried: list[str], limited: list[str]) -> bool:
    if change["event"] == "replica_limit" and change.get("service") in limited:
        return True
    return "replica" not in change or change["replica"] in tried


def _format_line(line: dict[str, Any]) -> str:
    omitted_keys = ("event", "vm", "level", "timestamp", "tried")
    fields = " ".join(f"{key}={line[key]}" for key in line if key not in omitted_keys)
    return f"{line.get('timestamp', '')} {line.get('vm', '')} {line['event']} {fields}"
