"""Requests that reach a VM during its graceful shutdown, played in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from anvilhoist.errors import ERROR_RESPONSES, Executed
from anvilhoist.forward.result import Refusal
from virtual_fleet import GATHER_ROUTE, SINGLE_ROUTE, VirtualFleet
from virtual_time import run_in_virtual_time

BOOKING_ROUTE = replace(SINGLE_ROUTE, repeatable=False, target_s=0.9, timeout_s=8.0)
WORK_S = 1.3  # of a slow booking, within what the route allows


def play_late_request(monkeypatch, route, after_s: float):
    """Return the result of a request that comes late in a stop, and what it reached."""

    async def run():
        fleet = VirtualFleet(monkeypatch, 2)
        fleet.replicas.answer_s = WORK_S
        front = fleet.fronts["10.0.0.1"]
        await asyncio.sleep(1.0)
        stop = asyncio.create_task(front.stop())
        monkeypatch.setattr(front.caller_server, "connections", {BusyConnection()})
        await asyncio.sleep(after_s)
        result = await fleet.request(front, route)
        stop.cancel()
        arrivals = sum(len(times) for times in fleet.replicas.arrivals.values())
        return result, arrivals

    return run_in_virtual_time(run())


class BusyConnection:
    """Connection of a caller that keeps the process from exiting early."""

    is_busy = True
    requests_in_flight = 1

    def close_if_idle(self) -> None:
        pass

    def abandon_requests(self) -> None:
        pass


class TestLateRequests:
    """Load: callers that keep using a VM until its process is gone."""

    @pytest.mark.parametrize("route", [BOOKING_ROUTE, SINGLE_ROUTE, GATHER_ROUTE])
    def test_request_that_can_not_end_before_the_exit_is_not_passed_on(
        self, monkeypatch, route
    ):
        result, arrivals = play_late_request(monkeypatch, route, 5.3)
        assert isinstance(result, Refusal)
        assert ERROR_RESPONSES[result.kind].executed is Executed.NO
        assert result.retry_after_s == 0.0
        assert arrivals == 0

    def test_request_that_can_end_before_the_exit_is_served(self, monkeypatch):
        result, arrivals = play_late_request(monkeypatch, BOOKING_ROUTE, 2.0)
        assert not isinstance(result, Refusal)
        assert arrivals == 1

    def test_replica_is_given_no_more_time_than_the_process_has(self, monkeypatch):
        route = replace(BOOKING_ROUTE, target_s=0.1)
        result, _ = play_late_request(monkeypatch, route, 4.7)
        assert ERROR_RESPONSES[result.kind].executed is Executed.UNKNOWN
