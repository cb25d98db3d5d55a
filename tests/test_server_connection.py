from __future__ import annotations

import asyncio
import socket
import struct

import pytest

from anvilhoist.errors import ErrorKind, Failure
from anvilhoist.http.connect import open_connection
from anvilhoist.http.exchange import Reply, closed_gracefully
from anvilhoist.http.messages import find_header

OURS = b"ours"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
LIMIT_S = 5.0


def matches(status: int, headers: list) -> bool:
    return find_header(headers, b"id") in (None, OURS)


def answer(body: bytes, name: bytes = OURS, extra: bytes = b"") -> bytes:
    head = b"HTTP/1.1 200 OK\r\nid: %s\r\ncontent-length: %d\r\n%s\r\n"
    return head % (name, len(body), extra) + body


class Script:
    """A server that answers each request of a connection with given bytes."""

    def __init__(self, *answers: bytes, then: str = "stay"):
        self.answers = list(answers)
        self.then = then
        self.connections = 0

    async def serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            for data in self.answers:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(data)
                await writer.drain()
            if self.then == "stay":
                await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        if self.then == "reset":
            raw = writer.get_extra_info("socket")
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        writer.close()


def run_exchanges(script: Script, count: int) -> tuple[list, bool]:
    """Outcomes of requests on one connection, and whether it could take another."""

    async def run():
        server = await asyncio.start_server(script.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        connection = await open_connection(f"127.0.0.1:{port}", LIMIT_S)
        outcomes = []
        for _ in range(count):
            done = asyncio.get_running_loop().create_future()
            request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
            connection.send(request, matches, done.set_result)
            outcomes.append(await asyncio.wait_for(done, LIMIT_S))
            await asyncio.sleep(0.02)
        reusable = connection.reusable
        connection.abort()
        server.close()
        return outcomes, reusable

    return asyncio.run(run())


class TestServerConnection:
    def test_whole_response_keeps_the_connection(self):
        (reply, again), reusable = run_exchanges(
            Script(answer(b"one"), answer(b"two")), 2
        )
        assert (reply.body, again.body) == (b"one", b"two")
        assert reusable

    def test_late_second_response_is_not_the_next_requests(self):
        stray = answer(b"stray", name=b"other")
        (_, reply), reusable = run_exchanges(
            Script(answer(b"one"), stray + answer(b"two")), 2
        )
        assert reply.body == b"two"
        assert not reusable

    def test_bytes_that_nobody_asked_for_end_the_connection(self):
        (reply,), reusable = run_exchanges(Script(answer(b"one") + b"surplus"), 1)
        assert reply.body == b"one"
        assert not reusable

    def test_second_response_without_a_request_ends_the_connection(self):
        (reply,), reusable = run_exchanges(Script(answer(b"one") + answer(b"one")), 1)
        assert reply.body == b"one"
        assert not reusable

    @pytest.mark.parametrize("data", [b"garbage\r\n\r\n", answer(b"x" * 9)[:-3]])
    def test_no_whole_response_is_a_failure(self, data):
        (outcome,), reusable = run_exchanges(Script(data, then="close"), 1)
        assert isinstance(outcome, Failure)
        assert outcome.kind is ErrorKind.UPSTREAM_FAILED
        assert not reusable

    def test_response_without_length_ends_with_its_connection(self):
        data = b"HTTP/1.1 200 OK\r\nid: ours\r\n\r\nwhole"
        (reply,), reusable = run_exchanges(Script(data, then="close"), 1)
        assert isinstance(reply, Reply)
        assert reply.body == b"whole"
        assert not reusable

    def test_response_without_length_that_is_reset_is_a_failure(self):
        data = b"HTTP/1.1 200 OK\r\nid: ours\r\n\r\npart"
        (outcome,), _ = run_exchanges(Script(data, then="reset"), 1)
        assert isinstance(outcome, Failure)

    def test_close_header_ends_the_connection(self):
        data = answer(b"one", extra=b"connection: close\r\n")
        (reply,), reusable = run_exchanges(Script(data), 1)
        assert reply.body == b"one"
        assert not reusable


class TestClosedGracefully:
    """The state of the connection tells a close from a reset, not the event."""

    def connect(self) -> tuple[socket.socket, socket.socket]:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            near = socket.create_connection(listener.getsockname())
            far, _ = listener.accept()
        return near, far

    def test_close(self):
        near, far = self.connect()
        far.close()
        assert near.recv(1) == b""
        assert closed_gracefully(near)
        near.close()

    def test_reset(self):
        near, far = self.connect()
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        far.close()
        with pytest.raises(ConnectionResetError):
            near.recv(1)
        assert not closed_gracefully(near)
        near.close()
