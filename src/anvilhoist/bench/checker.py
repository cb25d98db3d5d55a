"""Checks the record of a run against the ten points, knowing nothing of the code.

The points are numbered in the order of the users' brief. What the witness at the
upstreams saw is compared with what callers were told and operators did.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .witness import Arrival

EFFECT_S = 3.0


@dataclass(frozen=True, slots=True)
class Call:
    """One request of a caller and what came back.

    Attributes
    ----------
    status : int
        HTTP status, 0 where the connection was cut.
    ticket : str
        Ticket of a booking, empty for a search.
    """

    sent_at: float
    done_at: float
    address: str
    query: str
    ticket: str
    request_id: str
    status: int
    body: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Change:
    """Something that operators did.

    Attributes
    ----------
    what : str
        "out", "in", "leaving", "serving", "stop" (a graceful shutdown), "kill"
        or "publish".
    subject : str
        Data centre, replica, entry address or document key.
    """

    at: float
    what: str
    subject: str
    revision: int = 0


@dataclass(frozen=True, slots=True)
class Sample:
    """Revision in force at a process at some moment.

    Attributes
    ----------
    cut : bool
        Whether the process was stopped, or cut off from platform and peers.
    """

    at: float
    process: str
    key: str
    revision: int
    cut: bool = False


@dataclass(slots=True)
class Record:
    """Everything that was seen in a run."""

    calls: list[Call] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    changes: list[Change] = field(default_factory=list)
    samples: list[Sample] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Violation:
    """A point that did not hold."""

    point: int
    text: str


def check_record(record: Record) -> tuple[Violation, ...]:
    """Check all ten points."""
    return tuple(
        Violation(point, text)
        for point, check in CHECKS.items()
        for text in check(record)
    )


def _answers(record: Record) -> list[Call]:
    return [call for call in record.calls if call.status == 200 and not call.ticket]


def check_snapshot(record: Record) -> list[str]:
    """Every answer comes from one snapshot of the index."""
    found = []
    for call in _answers(record):
        version = call.body["snapshot"]["version"]
        for hit in call.body["hits"]:
            if not hit["text"].endswith(f"@{version}"):
                found.append(f"{call.request_id}: {hit['text']} in @{version}")
    return found


def check_coverage(record: Record) -> list[str]:
    """An answer states truly which shards it covers."""
    found = []
    for call in _answers(record):
        coverage = call.body["coverage"]
        merged = {hit["key"].partition(":")[0] for hit in call.body["hits"]}
        missing = {item["shard"] for item in coverage["missing"]}
        total = coverage["covered"] + len(missing)
        true = len(merged) == coverage["covered"] and total == coverage["shards"]
        if not true or merged & missing:
            found.append(f"{call.request_id}: {coverage}, merged {len(merged)}")
    return found


def check_cold(record: Record) -> list[str]:
    """An upstream in cold start receives no more work than it can bear."""
    return [
        f"{arrival.replica}: {arrival.at_work} at work, bears {arrival.bound}"
        for arrival in record.arrivals
        if arrival.at_work > arrival.bound
    ]


def check_out(record: Record) -> list[str]:
    """A data centre that is out receives no new work after a few seconds."""
    spans = _spans(record, "out", "in")
    return [
        f"{item.replica} in {item.data_centre}, {item.at_s - began:.2f} s after"
        for item in record.arrivals
        for began, ended in spans.get(item.data_centre, ())
        if began + EFFECT_S < item.at_s < ended
    ]


def check_own_answer(record: Record) -> list[str]:
    """Each caller gets the whole answer to its own request."""
    found = []
    for call in record.calls:
        if call.status == 200 and call.body["request_id"] != call.request_id:
            found.append(f"{call.request_id}: answered {call.body['request_id']}")
    for call in _answers(record):
        for hit in call.body["hits"]:
            if hit["key"].partition(":")[2] != call.query:
                found.append(f"{call.request_id}: {hit['key']} for {call.query}")
    return found


def check_refusals(record: Record) -> list[str]:
    """A refusal that says a request was not run is true."""
    ran = {item.subject: item.at_s for item in _bookings_that_ran(record)}
    return [
        f"{call.ticket}: said not run, but it ran"
        for call in record.calls
        if call.ticket
        and call.body.get("ran") == "no"
        and call.body.get("error") != "ticket_misused"
        and ran.get(call.ticket, call.done_at) < call.done_at
    ]


def check_once(record: Record) -> list[str]:
    """A request that may not be repeated runs at most once."""
    counts = Counter(item.subject for item in _bookings_that_ran(record))
    return [f"{ticket}: ran {n} times" for ticket, n in counts.items() if n > 1]


def check_leaving(record: Record) -> list[str]:
    """An upstream that is leaving receives no new work after a few seconds."""
    spans = _spans(record, "leaving", "serving")
    return [
        f"{item.replica}, {item.at_s - began:.2f} s after it was leaving"
        for item in record.arrivals
        for began, ended in spans.get(item.replica, ())
        if began + EFFECT_S < item.at_s < ended
    ]


def check_shutdown(record: Record) -> list[str]:
    """A graceful shutdown cuts no request in flight."""
    stops = {item.subject: item.at for item in record.changes if item.what == "stop"}
    killed = {item.subject for item in record.changes if item.what == "kill"}
    return [
        f"{call.request_id}: cut at {call.address}"
        for call in record.calls
        if call.status == 0
        and call.address in stops
        and call.address not in killed
        and call.sent_at < stops[call.address]
    ]


def check_configuration(record: Record) -> list[str]:
    """An accepted configuration is in force in seconds and never reverts."""
    found = []
    newest: dict[tuple[str, str], int] = {}
    for sample in sorted(record.samples, key=lambda item: item.at):
        key = (sample.process, sample.key)
        if sample.revision < newest.get(key, 0):
            found.append(f"{sample.process}: {sample.key} back to {sample.revision}")
        newest[key] = max(sample.revision, newest.get(key, 0))
    for change in record.changes:
        if change.what == "publish":
            found += _find_late(record, change)
    return found


def _find_late(record: Record, change: Change) -> list[str]:
    return [
        f"{sample.process}: {sample.key}@{sample.revision}, "
        f"{sample.at - change.at:.2f} s after @{change.revision}"
        for sample in record.samples
        if sample.key == change.subject
        and sample.at > change.at + EFFECT_S
        and sample.revision < change.revision
        and not sample.cut
    ]


def _bookings_that_ran(record: Record) -> list[Arrival]:
    return [
        item
        for item in record.arrivals
        if item.kind == "book" and item.at_work <= item.bound
    ]


def _spans(
    record: Record, begin: str, end: str
) -> dict[str, list[tuple[float, float]]]:
    """Times between two kinds of change, by subject."""
    spans: dict[str, list[tuple[float, float]]] = {}
    began: dict[str, float] = {}
    for change in sorted(record.changes, key=lambda item: item.at):
        if change.what == begin:
            began.setdefault(change.subject, change.at)
        elif change.what == end and change.subject in began:
            span = (began.pop(change.subject), change.at)
            spans.setdefault(change.subject, []).append(span)
    for subject, at in began.items():
        spans.setdefault(subject, []).append((at, float("inf")))
    return spans


CHECKS: dict[int, Callable[[Record], list[str]]] = {
    1: check_snapshot,
    2: check_coverage,
    3: check_cold,
    4: check_out,
    5: check_own_answer,
    6: check_refusals,
    7: check_once,
    8: check_leaving,
    9: check_shutdown,
    10: check_configuration,
}
