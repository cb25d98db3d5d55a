from __future__ import annotations

from typing import Any

import pytest

from anvilhoist.bench.checker import Call, Change, Record, Sample, check_record
from anvilhoist.bench.witness import Arrival


def make_call(**changes: Any) -> Call:
    body = {
        "request_id": "r1",
        "snapshot": {"index": "sorting", "version": 1},
        "coverage": {"shards": 2, "covered": 2, "missing": []},
        "hits": [
            {"key": "s0:blue", "text": "blue in s0@1"},
            {"key": "s1:blue", "text": "blue in s1@1"},
        ],
    }
    fields = {
        "sent_at": 10.0,
        "done_at": 10.1,
        "address": "10.0.0.1:80",
        "query": "blue",
        "ticket": "",
        "request_id": "r1",
        "status": 200,
        "body": body,
    }
    return Call(**{**fields, **changes})


def make_arrival(**changes: Any) -> Arrival:
    fields = {
        "at_s": 10.0,
        "replica": "g/r0",
        "data_centre": "vaxjo",
        "kind": "search",
        "attempt": "a",
        "subject": "sorting@1/s0",
        "at_work": 1,
        "bound": 1,
        "cold": True,
    }
    return Arrival(**{**fields, **changes})


def plant(point: int) -> Record:
    """A record in which exactly one point is violated."""
    call = make_call()
    body = call.body
    booked = make_arrival(kind="book", subject="t1", at_s=9.0)
    match point:
        case 1:
            body["hits"][0]["text"] = "blue in s0@2"
        case 2:
            body["coverage"]["shards"] = 3
        case 3:
            return Record([call], [make_arrival(at_work=2)])
        case 4:
            changes = [Change(1.0, "out", "vaxjo"), Change(20.0, "in", "vaxjo")]
            return Record([call], [make_arrival()], changes)
        case 5:
            body["hits"][0]["key"] = "s0:red"
        case 6:
            refused = make_call(ticket="t1", status=503, body={"ran": "no"})
            return Record([refused], [booked])
        case 7:
            return Record([call], [booked, booked])
        case 8:
            changes = [Change(1.0, "leaving", "g/r0")]
            return Record([call], [make_arrival()], changes)
        case 9:
            changes = [Change(10.05, "stop", "10.0.0.1:80")]
            return Record([make_call(status=0, body={})], [], changes)
        case 10:
            samples = [
                Sample(1.0, "vm-1", "config", 2),
                Sample(2.0, "vm-1", "config", 1),
            ]
            return Record([call], [], [], samples)
    return Record([call])


class TestChecker:
    @pytest.mark.parametrize("point", range(1, 11))
    def test_catches_a_planted_violation(self, point: int):
        found = check_record(plant(point))
        assert {violation.point for violation in found} == {point}

    def test_passes_a_good_record(self):
        record = Record([make_call()], [make_arrival()], [Change(9.0, "out", "vaxjo")])
        assert check_record(record) == ()

    def test_catches_a_configuration_that_comes_late(self):
        changes = [Change(1.0, "publish", "config", 2)]
        samples = [Sample(5.0, "vm-1", "config", 1)]
        (found,) = check_record(Record([], [], changes, samples))
        assert found.point == 10
