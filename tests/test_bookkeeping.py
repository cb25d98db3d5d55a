"""What is noted of a replica's answer never keeps the answer from its caller."""

from __future__ import annotations

import asyncio

import pytest

from anvilhoist.http.replies import Reply
from anvilhoist.platform.edge import parse_server_load
from virtual_fleet import SINGLE_ROUTE, VirtualFleet
from virtual_time import run_in_virtual_time

pytestmark = pytest.mark.usefixtures("quiet_logs")

REPLICAS = ("shard-0-0", "shard-0-1")
HEADERS = (b"x-server-load", b"server-limit", b"server-leaving", b"retry-after")
ODD_VALUES = (
    b"",
    b"," * 3,
    b"-1,-1,1",
    b"9" * 400 + b",1,1",
    b"9" * 5000 + b",1,1",
    b"1e999",
    b"inf,nan,1",
    b"\xb2,\xb3,1",
)


def request(monkeypatch, headers):
    async def main():
        fleet = VirtualFleet(monkeypatch, 1, copies=2)
        for replica in REPLICAS:
            fleet.replicas.more_headers[replica] = headers
        front = fleet.fronts["10.0.0.1"]
        async with asyncio.timeout(5.0):
            return await fleet.request(front, SINGLE_ROUTE)

    return run_in_virtual_time(main())


class TestAnswer:
    @pytest.mark.parametrize("value", ODD_VALUES)
    @pytest.mark.parametrize("name", HEADERS)
    def test_reaches_its_caller_whatever_a_header_says(self, monkeypatch, name, value):
        assert isinstance(request(monkeypatch, [(name, value)]), Reply)

    def test_reaches_its_caller_if_it_can_not_be_noted(self, monkeypatch):
        def fail(headers):
            raise ValueError("unexpected")

        monkeypatch.setattr("anvilhoist.forward.context.parse_server_load", fail)
        assert isinstance(request(monkeypatch, []), Reply)


class TestServerLoad:
    @pytest.mark.parametrize("value", ODD_VALUES)
    def test_odd_value_tells_nothing(self, value):
        assert parse_server_load([(b"x-server-load", value)]) is None

    @pytest.mark.parametrize("value", [b"3,1,8", b"3, 1, 8", b"3,1"])
    def test_requests_that_run_and_wait(self, value):
        assert parse_server_load([(b"x-server-load", value)]) == 4
