"""Turns of the event loop that clients take, and what they leave behind."""

from __future__ import annotations

import asyncio
import gc
import weakref
from collections.abc import Callable

import pytest
import uvloop

from anvilhoist.http import parse_queue
from anvilhoist.http.client_budget import ClientBudget, ClientLimits
from anvilhoist.http.messages import Request, Response
from anvilhoist.http.parse_queue import SLICE_BYTES, TURN_BYTES, ParseQueue
from anvilhoist.http.request_reader import RequestReader
from anvilhoist.http.server import HttpServer

BODY_BYTES = 262_144  # `max-body-bytes` as callers know it
# What clients may have done in one turn of the event loop, whatever they send.
MAX_CALLBACKS_PER_TURN = 5000
MAX_TURNS = 10_000  # patience until all input has been parsed
WAIT_S = 30.0  # patience until something has happened
LOOP_FACTORIES = (None, uvloop.new_event_loop)


class FakeParser:
    """Input of a size; notes the turns in which it was parsed."""

    def __init__(self, size_bytes: int, log: list, name: str):
        self.left = size_bytes
        self.log = log
        self.name = name

    @property
    def can_parse(self) -> bool:
        return self.left > 0

    def parse_slice(self, size_bytes: int) -> int:
        parsed = min(self.left, size_bytes)
        self.left -= parsed
        self.log.append((self.name, parsed))
        return parsed


class TestParseQueue:
    def run(self, submit) -> list[list[tuple[str, int]]]:
        """Return what was parsed in each turn of the event loop."""
        log: list[tuple[str, int]] = []
        turns = []

        async def run() -> None:
            queue = ParseQueue()
            submit(queue, log)
            while log or queue.is_busy:
                assert len(turns) < MAX_TURNS
                turns.append(list(log))
                log.clear()
                await asyncio.sleep(0)

        asyncio.run(run())
        return turns

    def test_a_turn_parses_a_bounded_number_of_bytes(self):
        def submit(queue, log):
            for number in range(10):
                queue.submit(FakeParser(50_000, log, str(number)), is_new=False)

        turns = self.run(submit)
        sizes = [sum(size for _, size in turn) for turn in turns]
        assert max(sizes) < TURN_BYTES + SLICE_BYTES
        assert sum(sizes) == 500_000

    def test_all_have_their_turn(self):
        def submit(queue, log):
            for number in range(10):
                queue.submit(FakeParser(50_000, log, str(number)), is_new=False)

        parsed = [name for turn in self.run(submit) for name, _ in turn]
        assert set(parsed[:20]) == set(map(str, range(10)))

    def test_new_requests_go_first(self):
        def submit(queue, log):
            for number in range(100):
                queue.submit(FakeParser(50_000, log, str(number)), is_new=False)
            queue.submit(FakeParser(500, log, "new"), is_new=True)

        turns = self.run(submit)
        assert ("new", 500) in turns[1]

    def test_an_unexpected_error_does_not_stop_the_others(self):
        class FailingParser(FakeParser):
            def parse_slice(self, size_bytes: int) -> int:
                super().parse_slice(size_bytes)
                raise ZeroDivisionError

        def submit(queue, log):
            queue.submit(FakeParser(TURN_BYTES, log, "first"), is_new=False)
            queue.submit(FailingParser(SLICE_BYTES, log, "failing"), is_new=False)
            queue.submit(FakeParser(SLICE_BYTES, log, "last"), is_new=False)

        parsed = [name for turn in self.run(submit) for name, _ in turn]
        assert "failing" in parsed
        assert "last" in parsed

    def test_requests_that_go_on_are_not_starved_by_new_ones(self):
        def submit(queue, log):
            for _ in range(2):
                queue.submit(FakeParser(TURN_BYTES, log, "old"), is_new=False)
            for _ in range(1000):
                queue.submit(FakeParser(SLICE_BYTES, log, "new"), is_new=True)

        turns = self.run(submit)
        parsed = [name for turn in turns[:8] for name, _ in turn]
        assert parsed.count("old") >= len(parsed) // 6


class Server:
    """An HTTP server, and clients that send what they are told."""

    def __init__(self, limits: ClientLimits | None = None, handling_s: float = 0.0):
        self.budget = ClientBudget(limits or ClientLimits())
        self.server = HttpServer("test", self.handle, budget=self.budget)
        self.handling_s = handling_s
        self.bodies: list[int] = []
        self.address = ("", 0)
        self._clients: list[tuple] = []

    async def handle(self, request: Request) -> Response:
        self.bodies.append(len(request.body))
        await asyncio.sleep(self.handling_s)
        return Response(200, [], request.target)

    def run(self, scenario, loop_factory=None) -> None:
        async def run():
            await self.server.listen("127.0.0.1:0")
            self.address = self.server._listener.sockets[0].getsockname()
            try:
                await scenario()
            finally:
                for _, writer in self._clients:
                    writer.transport.abort()
                self.server.stop_listening()
                await asyncio.sleep(0)

        with asyncio.Runner(loop_factory=loop_factory) as runner:
            runner.run(run())

    async def connect(self, data: bytes):
        reader, writer = await asyncio.open_connection(*self.address[:2])
        writer.write(data)
        # A client that nothing refers to would close its connection.
        self._clients.append((reader, writer))
        return reader, writer


async def wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(WAIT_S):
        while not condition():
            await asyncio.sleep(0.01)


def encode_chunked(target: bytes, chunks: bytes) -> bytes:
    head = b"POST %s HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
    return head % target + chunks


ONE_BYTE_CHUNKS = encode_chunked(b"/1", b"1\r\nx\r\n" * (BODY_BYTES - 1))


@pytest.mark.parametrize("loop_factory", LOOP_FACTORIES)
class TestTurns:
    def count_callbacks(self, monkeypatch) -> list[int]:
        """Return the number of parser callbacks of each turn, as it grows."""
        counts = [0]
        for name in ("on_body", "on_header", "on_message_complete"):
            original = getattr(RequestReader, name)

            def count(connection, *values, original=original):
                counts[-1] += 1
                return original(connection, *values)

            monkeypatch.setattr(RequestReader, name, count)
        return counts

    def run_crowd(self, monkeypatch, loop_factory, data: bytes) -> None:
        counts = self.count_callbacks(monkeypatch)
        server = Server()

        async def count_turns() -> None:
            while True:
                counts.append(0)
                await asyncio.sleep(0)

        async def scenario() -> None:
            turns = asyncio.create_task(count_turns())
            crowd = [await server.connect(data) for _ in range(10)]
            reader, writer = await server.connect(b"GET /2 HTTP/1.1\r\n\r\n")
            await reader.readuntil(b"\r\n\r\n/2")
            assert max(counts) <= MAX_CALLBACKS_PER_TURN
            for _, crowd_writer in [*crowd, (reader, writer)]:
                crowd_writer.transport.abort()
            turns.cancel()

        server.run(scenario, loop_factory)

    def test_chunks_of_one_byte(self, monkeypatch, loop_factory):
        self.run_crowd(monkeypatch, loop_factory, ONE_BYTE_CHUNKS)

    def test_requests_in_a_row(self, monkeypatch, loop_factory):
        data = b"GET / HTTP/1.1\r\n\r\n" * 50_000
        self.run_crowd(monkeypatch, loop_factory, data)


@pytest.mark.parametrize("loop_factory", LOOP_FACTORIES)
class TestInsideTheLimits:
    """A single request inside the limits is served, however it is sent."""

    def check_served(self, loop_factory, data: bytes, body_bytes: int) -> None:
        server = Server()

        async def scenario() -> None:
            reader, writer = await server.connect(data)
            assert (await reader.readuntil(b"\r\n\r\n/1")).startswith(b"HTTP/1.1 200")
            writer.close()

        server.run(scenario, loop_factory)
        assert server.bodies == [body_bytes]

    def test_body_in_chunks_of_one_byte(self, loop_factory):
        chunks = b"1\r\nx\r\n" * BODY_BYTES + b"0\r\n\r\n"
        self.check_served(loop_factory, encode_chunked(b"/1", chunks), BODY_BYTES)

    def test_body_in_one_chunk(self, loop_factory):
        chunks = b"%x\r\n%s\r\n0\r\n\r\n" % (BODY_BYTES, b"x" * BODY_BYTES)
        self.check_served(loop_factory, encode_chunked(b"/1", chunks), BODY_BYTES)

    def test_body_with_length(self, loop_factory):
        head = b"POST /1 HTTP/1.1\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES
        self.check_served(loop_factory, head + b"x" * BODY_BYTES, BODY_BYTES)

    def test_trailers(self, loop_factory):
        chunks = b"1\r\nx\r\n0\r\n" + b"a: b\r\n" * 2000 + b"\r\n"
        self.check_served(loop_factory, encode_chunked(b"/1", chunks), 1)

    def test_many_short_headers(self, loop_factory):
        data = b"GET /1 HTTP/1.1\r\n" + b"a: b\r\n" * 2500 + b"\r\n"
        self.check_served(loop_factory, data, 0)


class TestRefusals:
    @pytest.mark.parametrize(
        "chunks",
        [
            b"1\r\nx\r\n0\r\n" + b"a: b\r\n" * 6000,
            b"1\r\nx\r\n0\r\n" + b"a" * 40_000,
            b"1\r\nx\r\n0\r\na: " + b"b" * 40_000,
            b"1;" + b"a" * 40_000,
        ],
        ids=["trailers", "trailer name", "trailer value", "chunk extension"],
    )
    def test_endless_framing_is_refused(self, chunks):
        server = Server()

        async def scenario() -> None:
            reader, writer = await server.connect(encode_chunked(b"/1", chunks))
            assert (await reader.read()).startswith(b"HTTP/1.1 431")
            writer.close()

        server.run(scenario)
        assert not server.bodies


class TestDrain:
    def test_requests_that_wait_to_be_parsed_are_answered(self, monkeypatch):
        # Other clients leave one slice of each turn.
        monkeypatch.setattr(parse_queue, "TURN_BYTES", 1)
        server = Server()
        server.budget.parsing._bytes_left = 1
        count = 3 * SLICE_BYTES // len(b"GET /1 HTTP/1.1\r\n\r\n")

        async def drain_and_answer(request: Request) -> Response:
            server.server.drain()
            return Response(200)

        async def scenario() -> None:
            server.server.handle = drain_and_answer
            reader, _ = await server.connect(b"GET /1 HTTP/1.1\r\n\r\n" * count)
            received = await reader.read()
            assert received.count(b"HTTP/1.1 200") == count
            assert received.count(b"Connection: close") == 1

        server.run(scenario)


@pytest.fixture
def no_cyclic_collector():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.parametrize("loop_factory", LOOP_FACTORIES)
class TestGivenBack:
    """What is held for a connection is freed when it ends, without the collector."""

    def run(self, loop_factory, data: bytes, handling_s: float = 0.0) -> None:
        server = Server(handling_s=handling_s)

        async def scenario() -> None:
            _, writer = await server.connect(data)
            # Either the request is answered, or it stays open.
            await wait_until(lambda: server.bodies or server.server.busy_connections)
            await asyncio.sleep(0.1)
            (connection,) = server.server.connections
            reference = weakref.ref(connection)
            del connection
            writer.transport.abort()
            await wait_until(lambda: reference() is None)
            assert (server.budget.held_bytes, server.budget.connections) == (0, 0)

        server.run(scenario, loop_factory)

    def test_after_a_response(self, no_cyclic_collector, loop_factory):
        self.run(loop_factory, b"GET /1 HTTP/1.1\r\n\r\n")

    def test_while_a_request_is_handled(self, no_cyclic_collector, loop_factory):
        self.run(loop_factory, b"GET /1 HTTP/1.1\r\n\r\n", handling_s=5.0)

    def test_while_a_body_is_read(self, no_cyclic_collector, loop_factory):
        self.run(loop_factory, encode_chunked(b"/1", b"1\r\nx\r\n" * 5000))

    def test_while_a_head_is_read(self, no_cyclic_collector, loop_factory):
        self.run(loop_factory, b"GET /1 HTTP/1.1\r\nhost")
