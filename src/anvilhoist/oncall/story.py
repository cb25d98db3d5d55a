"""Tell the story of one request from the logs, and name what decided it."""

from __future__ import annotations

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..errors import UsageError

# Lines that change what a process believes, by the key that says about what.
BELIEFS = {
    "replica_believed": "replica",
    "replica_listed": "replica",
    "replica_gone": "replica",
    "configuration_in_force": "version",
    "data_centre_out": "name",
    "store_lost": "kind",
    "store_regained": "outage_s",
    "published_from_peer": "revision",
    "peer_lost": "peer",
    "stop_begins": "requests",
    "start": "version",
}
SHOWN = 6  # beliefs shown beside a request, the newest of each subject


@dataclass(slots=True)
class RequestHistory:
    """Lines that tell what became of a request.

    Attributes
    ----------
    log_lines : list of dict
        Decisions that touched it, in the order in which they were taken.
    state_changes : list of dict
        Newest beliefs of the same process about what the request touched.
    """

    log_lines: list[dict[str, Any]] = field(default_factory=list)
    state_changes: list[dict[str, Any]] = field(default_factory=list)


def read_log_lines(paths: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Read log lines; text before the first brace, and other lines, are passed over.

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
                found = json.loads(line[start:])
            except ValueError:
                continue
            if isinstance(found, dict) and "event" in found:
                yield found


def collect_request_history(
    lines: Iterable[dict[str, Any]], request: str
) -> RequestHistory:
    """Find the decisions and beliefs behind one request.

    Parameters
    ----------
    lines : iterable of dict
        Lines of all processes, each process's in order.
    request : str
        Id of the request.
    """
    history = RequestHistory()
    known: dict[str, dict[tuple[str, Any], dict[str, Any]]] = {}
    for line in lines:
        vm = line.get("vm", "")
        if line["event"] in BELIEFS:
            subject = line.get(BELIEFS[line["event"]])
            kept = known.setdefault(vm, {})
            kept.pop((line["event"], subject), None)
            kept[(line["event"], subject)] = line
        elif line.get("request") == request:
            history.log_lines.append(line)
            touched = _list_touched(line)
            history.state_changes += [
                belief
                for belief in list(known.get(vm, {}).values())
                if belief not in history.state_changes and _concerns(belief, touched)
            ][-SHOWN:]
    return history


def describe_cause(history: RequestHistory) -> str:
    """Name in one sentence what decided the request."""
    if not history.log_lines:
        return "no line bears this id: it reached no process, or lines were dropped"
    line = next((each for each in history.log_lines if each.get("missing")), None)
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
        f"{line['outcome']} after {line['ms']} ms; tried {_list_touched(line)}, "
        f"{line.get('hedges', 0)} hedges, {line.get('retries', 0)} retries"
    )


def format_request_history(history: RequestHistory) -> list[str]:
    """Lines to print: beliefs, decisions, and the cause."""
    out = ["beliefs, the newest of each subject:"]
    out += [f"  {_format(line)}" for line in history.state_changes]
    out += ["decisions:"]
    out += [f"  {_format(line)}" for line in history.log_lines]
    return [*out, f"cause: {describe_cause(history)}"]


def _explain_missing(line: dict[str, Any], history: RequestHistory) -> str:
    beliefs = {
        belief.get("replica"): belief
        for belief in history.state_changes
        if belief["event"] in ("replica_believed", "replica_gone")
    }
    parts = []
    for service in line["missing"][:SHOWN]:
        tried = line.get("tried", {}).get(service) or []
        said = [
            f"{name} {beliefs[name].get('belief', 'gone')}"
            for name in tried
            if name in beliefs
        ]
        parts.append(f"{service} ({', '.join(said or tried) or 'no replica in use'})")
    return "; ".join(parts)


def _list_touched(line: dict[str, Any]) -> list[str]:
    tried = line.get("tried") or []
    if isinstance(tried, dict):
        services = line.get("missing") or list(tried)
        return [name for service in services for name in tried.get(service, ())]
    return list(tried)


def _concerns(belief: dict[str, Any], touched: list[str]) -> bool:
    return "replica" not in belief or belief["replica"] in touched


def _format(line: dict[str, Any]) -> str:
    hidden = ("event", "vm", "level", "timestamp", "tried")
    fields = " ".join(f"{key}={line[key]}" for key in line if key not in hidden)
    return f"{line.get('timestamp', '')} {line.get('vm', '')} {line['event']} {fields}"
