"""Answers without end to the calls that don't go to replicas."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from anvilhoist.clock import read_boottime
from anvilhoist.errors import ErrorKind, Failure
from anvilhoist.http.client_budget import ClientBudget, ClientLimits
from anvilhoist.http.exchange import MAX_FRAMING_BYTES, MAX_RESPONSE_BODY_BYTES
from anvilhoist.peers.exchange import PeerClient
from anvilhoist.peers.members import Members
from anvilhoist.peers.messages import Heartbeat, VmState
from anvilhoist.platform.store import StoreClient
from anvilhoist.searches.exchange import ask_issuer
from test_server_connection import OK_HEAD, SOCKET_BUFFER_BYTES, EndlessServer

SHAPES = {
    "headers": (OK_HEAD, b"a:\r\n" * 1000),
    "header value": (OK_HEAD + b"a: ", b"x" * 4096),
    "body": (OK_HEAD + b"\r\n", b"x" * 4096),
    "no HTTP": (b"", b"\0\xff" * 2048),
}
MAX_SENT_BYTES = MAX_FRAMING_BYTES + MAX_RESPONSE_BODY_BYTES + SOCKET_BUFFER_BYTES
ISSUER = "issuer"


def make_members(address: str) -> Members:
    """Return members that have just heard a VM that answers at an address."""
    members = Members("127.0.0.9", (), read_boottime, "vaxjo")
    host = address.partition(":")[0]
    heartbeat = Heartbeat(
        ISSUER, 1, 1, host, address, address, "vaxjo", "smaland", VmState.READY, 1, {}
    )
    members.record(heartbeat)
    return members


def run_call(scripted: EndlessServer, call: Callable[[str], Awaitable]) -> object:
    """Return what a call to a server's address returns."""

    async def run() -> object:
        server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
        try:
            return await call(f"127.0.0.1:{server.sockets[0].getsockname()[1]}")
        finally:
            server.close()

    return asyncio.run(run())


def ask_for_outcome(budget: ClientBudget) -> Callable[[str], Awaitable]:
    return lambda address: ask_issuer(make_members(address), ISSUER, "ticket", budget)


@pytest.mark.parametrize("shape", SHAPES)
@pytest.mark.usefixtures("quiet_logs")
class TestEndlessAnswers:
    """The call ends as a failure, at a bound of what is received."""

    def run(self, shape: str, call: Callable[[str], Awaitable]) -> object:
        scripted = EndlessServer(*SHAPES[shape])
        found = run_call(scripted, call)
        assert scripted.sent_bytes <= MAX_SENT_BYTES
        return found

    def test_of_the_store(self, shape):
        found = self.run(shape, lambda address: StoreClient(address).read_all())
        assert isinstance(found, Failure)

    def test_of_the_store_to_a_watch(self, shape):
        found = self.run(shape, lambda address: StoreClient(address).watch(1, 1.0))
        assert isinstance(found, Failure)

    def test_of_another_vm(self, shape):
        found = self.run(shape, lambda address: PeerClient(address).read_all())
        assert isinstance(found, Failure)

    def test_of_the_issuer_of_a_ticket(self, shape):
        budget = ClientBudget()
        found = self.run(shape, ask_for_outcome(budget))
        assert found.error.kind is ErrorKind.OUTCOME_UNKNOWN
        assert budget.held_bytes == 0


@pytest.mark.usefixtures("quiet_logs")
class TestAccountOfTheIssuersAnswer:
    """A client causes the call, so what comes back counts in the clients' memory."""

    def test_it_is_given_up_when_memory_is_short(self):
        budget = ClientBudget(ClientLimits(memory_bytes=1 << 20))
        scripted = EndlessServer(*SHAPES["body"])
        found = run_call(scripted, ask_for_outcome(budget))
        assert found.error.kind is ErrorKind.OUTCOME_UNKNOWN
        assert "given up" in found.error.detail
        assert budget.shed_count["memory"] == 1
