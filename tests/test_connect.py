"""Attempts to connect that overlap."""

from __future__ import annotations

import asyncio
import contextlib
from unittest.mock import Mock

import pytest

from anvilhoist.http import connect
from virtual_time import run_in_virtual_time

INTERVAL_S = 0.25
TIMEOUT_S = 1.0


@pytest.fixture
def play(monkeypatch):
    """Run with attempts that take these times, in seconds, or raise these errors."""

    def run(*attempts: float | OSError):
        connections = [Mock(name=f"connection {n}") for n in range(len(attempts))]
        left = list(zip(attempts, connections, strict=True))

        async def open_connection(address, timeout_s):
            attempt, connection = left.pop(0)
            if isinstance(attempt, OSError):
                raise attempt
            # An attempt may succeed at the moment at which it is given up.
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.sleep(attempt)
            return connection

        monkeypatch.setattr(connect, "open_connection", open_connection)

        async def main():
            loop = asyncio.get_running_loop()
            try:
                found = await connect.open_first_connection(
                    "a:1", TIMEOUT_S, INTERVAL_S
                )
            except OSError as error:
                found = error
            at = loop.time()
            await asyncio.sleep(5.0)
            return found, at

        found, at = run_in_virtual_time(main())
        return found, at, connections

    return run


class TestOpenFirstConnection:
    def test_one_attempt_is_enough(self, play):
        found, at, connections = play(0.2)
        assert found is connections[0]
        assert at == pytest.approx(0.2)

    def test_lost_first_packet_costs_one_interval(self, play):
        # Guards against a VM that waits for the kernel to send it again.
        found, at, connections = play(9.0, 0.1)
        assert found is connections[1]
        assert at == pytest.approx(INTERVAL_S + 0.1)

    def test_late_attempt_counts(self, play):
        found, _, connections = play(0.4, 9.0)
        assert found is connections[0]

    def test_refusal_ends_all_attempts(self, play):
        refusal = ConnectionRefusedError("refused")
        found, at, _ = play(9.0, refusal)
        assert found is refusal
        assert at == pytest.approx(INTERVAL_S)

    def test_time_limit(self, play):
        found, at, _ = play(9.0, 9.0, 9.0, 9.0, 9.0)
        assert isinstance(found, TimeoutError)
        assert at == pytest.approx(TIMEOUT_S)

    def test_connections_that_lost_are_closed(self, play):
        # Guards against a connection that nobody uses or closes.
        found, _, connections = play(0.6, 9.0, 9.0)
        assert found is connections[0]
        assert [c.abort.call_count for c in connections] == [0, 1, 1]
