"""Replicas that say in answers that they leave, or want no requests for a while."""

from __future__ import annotations

import asyncio
import json
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from anvilhoist.errors import ErrorKind
from anvilhoist.http.replies import Reply
from anvilhoist.platform.edge import MAX_QUIET_S, is_leaving, parse_quiet_time
from anvilhoist.platform.publish import encode_replica
from virtual_fleet import GATHER_ROUTE, SINGLE_ROUTE, VirtualFleet
from virtual_time import run_in_virtual_time

pytestmark = pytest.mark.usefixtures("quiet_logs")

RATE = 60
REPLICA = "shard-0-0"
DRAIN_S = 3.0  # time after which a replica that said that it leaves gets nothing
CONTACT_S = 4.0  # time after which no VM exceeds a limit that a replica named
LIMIT_WINDOW_S = 4.0
QUIET_SLACK_S = 0.5  # time after which a replica that asked for quiet has it
MOST_IN_QUIET = 2  # requests of one VM
ODD_ENTRY_S = 1.2  # until the replica writes its own entry again


def play(monkeypatch, act, route=GATHER_ROUTE, vms=4, copies=2, seconds=20.0):
    async def main():
        fleet = VirtualFleet(monkeypatch, vms, copies)
        task = asyncio.get_running_loop().create_task(act(fleet))
        await fleet.play(seconds, RATE, route)
        await task
        return fleet

    return run_in_virtual_time(main())


async def write_odd_entry(fleet: VirtualFleet, kind: str) -> None:
    """Write an odd entry of a ready replica for a while, and then its own again."""
    entry = next(iter(fleet.fronts.values())).view.entries[REPLICA]
    odd = json.loads(encode_replica(replace(entry, draining=False)))
    if kind == "incomplete":
        for field in ("version", "warmup-left-ms", "sequence", "born"):
            del odd[field]
    else:
        odd["backend"] = "nowhere"
    fleet.write_document(REPLICA, odd)
    await asyncio.sleep(ODD_ENTRY_S)
    fleet.put_entry(replace(entry, sequence=entry.sequence + 1))


def count_arrivals(fleet: VirtualFleet, start: float, end: float) -> int:
    return sum(start <= at < end for at in fleet.replicas.arrivals[REPLICA])


class TestLeaving:
    @pytest.mark.parametrize("route", [GATHER_ROUTE, SINGLE_ROUTE])
    @pytest.mark.parametrize("faults", [{}, {"reset_share": 0.1}])
    def test_replica_that_says_so_gets_nothing_later(self, monkeypatch, route, faults):
        # Guards against first sends, retries, hedges and probes to it.
        async def act(fleet):
            await asyncio.sleep(5.0)
            fleet.replicas.more_headers[REPLICA] = [(b"server-leaving", b"1")]
            for name, value in faults.items():
                setattr(fleet.replicas, name, value)

        fleet = play(monkeypatch, act, route)
        assert count_arrivals(fleet, 0.0, 5.0) > 10
        assert count_arrivals(fleet, 5.0 + DRAIN_S, 30.0) == 0
        assert fleet.results["whole"] >= 0.95 * sum(fleet.results.values())

    def test_replica_that_starts_again_is_used(self, monkeypatch):
        async def act(fleet):
            await asyncio.sleep(5.0)
            fleet.replicas.more_headers[REPLICA] = [(b"server-leaving", b"1")]
            await asyncio.sleep(5.0)
            fleet.replicas.more_headers.clear()
            fleet.publish_restart(REPLICA, born_ms=2)

        fleet = play(monkeypatch, act)
        assert count_arrivals(fleet, 8.0, 10.0) == 0
        assert count_arrivals(fleet, 10.0, 20.0) > 10

    def test_replica_whose_entry_lapses_and_returns_still_leaves(self, monkeypatch):
        async def act(fleet):
            await asyncio.sleep(5.0)
            fleet.replicas.more_headers[REPLICA] = [(b"server-leaving", b"1")]
            await asyncio.sleep(4.0)
            entry = fleet.remove_entry(REPLICA)
            await asyncio.sleep(1.0)
            fleet.put_entry(entry)

        fleet = play(monkeypatch, act)
        assert count_arrivals(fleet, 5.0 + DRAIN_S, 30.0) == 0

    def test_shard_whose_replicas_all_leave_is_left_out(self, monkeypatch):
        async def act(fleet):
            await asyncio.sleep(5.0)
            for copy in range(2):
                instance = f"shard-0-{copy}"
                fleet.replicas.more_headers[instance] = [(b"server-leaving", b"1")]

        fleet = play(monkeypatch, act)
        assert count_arrivals(fleet, 5.0 + DRAIN_S, 30.0) == 0
        assert fleet.results["partial"] > 0
        assert set(fleet.results) <= {"whole", "partial"}

    @pytest.mark.parametrize(
        ("value", "leaving"),
        [(b"1", True), (b"0", False), (b"", False), (b"11", False), (b"yes", False)],
    )
    def test_only_the_named_value_counts(self, value, leaving):
        assert is_leaving([(b"server-leaving", value)]) is leaving
        assert not is_leaving([])


@pytest.mark.parametrize("kind", ["incomplete", "unknown_service"])
@pytest.mark.parametrize("route", [GATHER_ROUTE, SINGLE_ROUTE])
class TestOddEntry:
    """An entry of another writer under a replica's id, and then the replica's own."""

    def test_draining_replica_gets_nothing_later(self, monkeypatch, kind, route):
        # Guards against an entry that calls a draining replica ready.
        async def act(fleet):
            await asyncio.sleep(5.0)
            entry = next(iter(fleet.fronts.values())).view.entries[REPLICA]
            fleet.put_entry(replace(entry, draining=True))
            await asyncio.sleep(4.0)
            await write_odd_entry(fleet, kind)

        fleet = play(monkeypatch, act, route)
        assert count_arrivals(fleet, 0.0, 5.0) > 10
        assert count_arrivals(fleet, 5.0 + DRAIN_S, 30.0) == 0

    def test_replica_that_leaves_gets_nothing_later(self, monkeypatch, kind, route):
        # Guards against an odd entry after which its own is taken for a new start.
        async def act(fleet):
            await asyncio.sleep(5.0)
            fleet.replicas.more_headers[REPLICA] = [(b"server-leaving", b"1")]
            await asyncio.sleep(4.0)
            await write_odd_entry(fleet, kind)

        fleet = play(monkeypatch, act, route)
        assert count_arrivals(fleet, 0.0, 5.0) > 10
        assert count_arrivals(fleet, 5.0 + DRAIN_S, 30.0) == 0

    def test_replica_that_asked_for_quiet_has_it(self, monkeypatch, kind, route):
        quiet_s = 10.0

        async def act(fleet):
            await asyncio.sleep(5.0)
            fleet.replicas.quiet[REPLICA] = b"%d" % quiet_s
            for _ in range(3):
                await asyncio.sleep(1.0)
                await write_odd_entry(fleet, kind)

        fleet = play(monkeypatch, act, route, vms=1, copies=1)
        asked_at = min(fleet.replicas.asked_quiet[REPLICA])
        arrivals = count_arrivals(fleet, asked_at + QUIET_SLACK_S, asked_at + quiet_s)
        assert arrivals <= MOST_IN_QUIET

    def test_replica_that_names_a_limit_gets_no_more(self, monkeypatch, kind, route):
        async def act(fleet):
            await asyncio.sleep(2.0)
            fleet.replicas.limits[REPLICA] = b"0.5"
            await asyncio.sleep(CONTACT_S)
            for _ in range(4):
                await write_odd_entry(fleet, kind)
                await asyncio.sleep(1.0)

        fleet = play(monkeypatch, act, route)
        since = fleet.replicas.named_at[REPLICA] + CONTACT_S
        most = fleet.replicas.count_most(REPLICA, LIMIT_WINDOW_S, since)
        assert 0 < most <= 1.5 * 0.5 * LIMIT_WINDOW_S + 5

    def test_replica_is_used_again_once_its_entry_is_back(
        self, monkeypatch, kind, route
    ):
        async def act(fleet):
            await asyncio.sleep(5.0)
            await write_odd_entry(fleet, kind)

        fleet = play(monkeypatch, act, route)
        odd_until = 5.0 + ODD_ENTRY_S
        assert count_arrivals(fleet, 5.0, odd_until) == 0
        assert count_arrivals(fleet, odd_until, 20.0) > 10
        assert fleet.results["whole"] >= 0.95 * sum(fleet.results.values())


class TestAnswerToEarlierRequest:
    """The entry is missing for a moment while a request is open at the replica."""

    @pytest.mark.parametrize("asks_quiet", [False, True])
    def test_what_it_asks_for_holds_for_the_entry_that_is_back(
        self, monkeypatch, asks_quiet
    ):
        async def main():
            fleet = VirtualFleet(monkeypatch, 1, copies=1)
            fleet.replicas.answer_s = 1.0
            front = fleet.fronts["10.0.0.1"]
            request = asyncio.create_task(fleet.request(front, SINGLE_ROUTE))
            await asyncio.sleep(0.5)
            if asks_quiet:
                fleet.replicas.quiet[REPLICA] = b"30"
            else:
                fleet.replicas.more_headers[REPLICA] = [(b"server-leaving", b"1")]
            fleet.put_entry(fleet.remove_entry(REPLICA))
            assert front.replicas.by_instance[REPLICA].accepts_requests
            await request
            return front.replicas.by_instance[REPLICA].accepts_requests

        assert run_in_virtual_time(main()) is False


class TestQuiet:
    @pytest.mark.parametrize("route", [GATHER_ROUTE, SINGLE_ROUTE])
    @pytest.mark.parametrize("limit", [None, b"30"])
    def test_replica_that_asked_for_quiet_has_it(self, monkeypatch, route, limit):
        # Guards against first sends, retries, hedges and probes to it.
        quiet_s = 4.0

        async def act(fleet):
            if limit is not None:
                fleet.replicas.limits[REPLICA] = limit
            await asyncio.sleep(5.0)
            fleet.replicas.quiet[REPLICA] = b"4"
            await asyncio.sleep(8.0)
            fleet.replicas.quiet.clear()

        fleet = play(monkeypatch, act, route, vms=1)
        assert fleet.replicas.asked_quiet[REPLICA]
        for at in fleet.replicas.asked_quiet[REPLICA]:
            arrivals = count_arrivals(fleet, at + QUIET_SLACK_S, at + quiet_s)
            assert arrivals <= MOST_IN_QUIET
        assert count_arrivals(fleet, 18.0, 20.0) > 0
        assert fleet.results["whole"] >= 0.95 * sum(fleet.results.values())

    def test_request_is_refused_at_once_if_all_want_quiet(self, monkeypatch):
        async def act(fleet):
            await asyncio.sleep(5.0)
            for copy in range(2):
                fleet.replicas.quiet[f"shard-0-{copy}"] = b"30"

        fleet = play(monkeypatch, act, SINGLE_ROUTE)
        assert fleet.results[ErrorKind.NO_REPLICA.value] > 100
        # Each VM has to be asked by each replica once.
        assert sum(waited_s > 0.01 for waited_s in fleet.refusal_s) <= 2 * 4

    @pytest.mark.parametrize(
        ("status", "value", "seconds"),
        [
            (503, b"2", 2.0),
            (503, b"0.25", 0.25),
            (503, b"0", 0.0),
            (503, b"-3", 0.0),
            (503, b"", 0.0),
            (503, b"soon", 0.0),
            (503, b"nan", 0.0),
            (503, b"1e9", 0.0),
            (503, b"9" * 400, MAX_QUIET_S),
            (503, b"Fri, 04 Dec 2026 10:00:00 GMT", 0.0),
            (429, b"2", 0.0),
            (200, b"2", 0.0),
        ],
    )
    def test_value(self, status, value, seconds):
        reply = Reply(status, [(b"retry-after", value)], b"")
        assert parse_quiet_time(reply) == seconds

    @given(st.binary(max_size=20))
    def test_any_value_is_a_time_in_bounds(self, value):
        found = parse_quiet_time(Reply(503, [(b"retry-after", value)], b""))
        assert 0.0 <= found <= MAX_QUIET_S
