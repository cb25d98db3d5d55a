"""What callers get of a replica's error response to a request to one replica."""

from __future__ import annotations

import asyncio

import pytest
import structlog

from anvilhoist.errors import ERROR_RESPONSES, Executed
from anvilhoist.forward.result import Refusal
from anvilhoist.http.messages import Request
from anvilhoist.http.replies import Reply
from anvilhoist.world.model import Route
from virtual_fleet import VirtualFleet
from virtual_time import run_in_virtual_time


class TestErrorResponse:
    def request(self, monkeypatch, status: int, repeatable: bool):
        async def main():
            fleet = VirtualFleet(monkeypatch, 1)
            fleet.replicas.status = status
            route = Route(
                "book", "h", "/", repeatable, 2.0, 0.25, 2, services=(("shard-0", 1.0),)
            )
            return await fleet.request(fleet.fronts["10.0.0.1"], route)

        return run_in_virtual_time(main())

    @pytest.mark.parametrize("status", [408, 429, 503])
    def test_booking_that_may_have_run_is_not_said_not_to_have(
        self, monkeypatch, status
    ):
        # Guards against a promise by which callers book a second time.
        found = self.request(monkeypatch, status, repeatable=False)
        assert isinstance(found, Refusal)
        assert ERROR_RESPONSES[found.kind].executed is Executed.UNKNOWN
        assert ERROR_RESPONSES[found.kind].status == 502
        assert found.retry_after_s is None

    @pytest.mark.parametrize("status", [404, 409, 500, 502, 504])
    def test_other_errors_of_bookings_are_forwarded(self, monkeypatch, status):
        found = self.request(monkeypatch, status, repeatable=False)
        assert isinstance(found, Reply)
        assert found.status == status

    def test_errors_of_idempotent_requests_are_forwarded(self, monkeypatch):
        assert self.request(monkeypatch, 503, repeatable=True).status == 503


class TestRefusalWithoutRoute:
    def test_log_line_tells_what_was_asked_and_of_which_state(self, monkeypatch):
        async def main():
            front = VirtualFleet(monkeypatch, 1).fronts["10.0.0.1"]
            await asyncio.sleep(1.5)
            headers = [(b"host", b"other.example:80"), (b"x-attempt-id", b"a1")]
            return await front.forwarder.handle(Request(b"GET", b"/x/1?q=2", headers))

        with structlog.testing.capture_logs() as lines:
            assert run_in_virtual_time(main()).status == 404
        line = next(line for line in lines if line["event"] == "refused")
        assert line["target"] == "other.example/x/1"
        assert line["revision"] == 1
        assert 1.5 <= line["in_force_s"] < 2.0
