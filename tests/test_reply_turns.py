"""Turns of the event loop that replies of servers take."""

from __future__ import annotations

import asyncio
import socket

import pytest
import uvloop

from anvilhoist.errors import Failure
from anvilhoist.http.client_budget import ClientBudget, ClientLimits
from anvilhoist.http.connect import open_connection
from anvilhoist.http.exchange import ServerConnection
from anvilhoist.http.parse_queue import SLICE_BYTES, TURN_BYTES
from anvilhoist.http.replies import Outcome, Reply, ServerRequest
from test_server_connection import ScriptedServer, make_response, read_origin

REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
CONNECTIONS = 20  # one for each shard of a query
REPEATED_BYTES = 200 << 10
# A turn's bytes and a slice more, in headers of 4 bytes, whatever a server sends.
MAX_CALLBACKS_PER_TURN = (TURN_BYTES + SLICE_BYTES) // 4
WAIT_TURNS = 5000  # patience until something has happened
TIMEOUT_S = 10.0

OK_HEAD = b"HTTP/1.1 200 OK\r\nid: ours\r\n"
CHUNKED_HEAD = OK_HEAD + b"transfer-encoding: chunked\r\n\r\n"


def repeat(piece: bytes) -> bytes:
    return piece * (REPEATED_BYTES // len(piece))


# Whole replies of many short pieces.
COSTLY_REPLIES = {
    "short headers": OK_HEAD + repeat(b"a:\r\n") + b"content-length: 0\r\n\r\n",
    "chunks of one byte": CHUNKED_HEAD + repeat(b"1\r\nx\r\n") + b"0\r\n\r\n",
    "trailers": CHUNKED_HEAD + b"0\r\n" + repeat(b"a:\r\n") + b"\r\n",
    "interim responses": repeat(b"HTTP/1.1 100 C\r\n\r\n") + make_response(b""),
    "interim responses with a length": (
        b"HTTP/1.1 100 C\r\ncontent-length: 999999\r\n\r\n"
        + repeat(b"HTTP/1.1 100 C\r\n\r\n")
        + make_response(b"")
    ),
    "responses to another request": (
        repeat(make_response(b"", b"other")) + make_response(b"")
    ),
}


class FakeTransport:
    """Transport of a connection whose received bytes come from the test."""

    def __init__(self, connection: ServerConnection):
        self._connection = connection
        self._socket = socket.socket()
        self.is_reading = True
        self.is_closed = False
        connection.connection_made(self)

    def get_extra_info(self, name: str) -> socket.socket:
        return self._socket

    def write(self, data: bytes) -> None:
        return

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return self.is_closed

    def pause_reading(self) -> None:
        self.is_reading = False

    def resume_reading(self) -> None:
        self.is_reading = True

    def abort(self) -> None:
        self.is_closed = True


class Exchanges:
    """Exchanges with servers whose replies come when the test says so."""

    def __init__(self, budget: ClientBudget | None):
        self.budget = budget
        self.connections: list[ServerConnection] = []
        self.transports: list[FakeTransport] = []
        self.outcomes: list[Outcome] = []
        self.callbacks = 0  # of the parsers, in this turn of the loop
        self.most_callbacks = 0  # in any turn
        self.reusable: list[bool] = []

    def start(self) -> ServerConnection:
        connection = CountedConnection(self)

        def note(outcome: Outcome) -> None:
            self.outcomes.append(outcome)
            self.reusable.append(connection.reusable)

        self.transports.append(FakeTransport(connection))
        connection.send(ServerRequest(REQUEST, read_origin, budget=self.budget), note)
        self.connections.append(connection)
        return connection

    async def count_turns(self) -> int:
        """Return how many turns of the loop pass until all exchanges have ended."""
        for turn in range(WAIT_TURNS):
            self.most_callbacks = max(self.most_callbacks, self.callbacks)
            self.callbacks = 0
            if len(self.outcomes) == len(self.connections):
                return turn
            await asyncio.sleep(0)
        raise TimeoutError(f"{len(self.outcomes)} outcomes")


class CountedConnection(ServerConnection):
    """A connection that counts the callbacks of its parser."""

    def __init__(self, exchanges: Exchanges):
        super().__init__(lambda connection: None)
        self._exchanges = exchanges

    def on_message_begin(self) -> None:
        self._exchanges.callbacks += 1
        super().on_message_begin()

    def on_header(self, name: bytes, value: bytes) -> None:
        self._exchanges.callbacks += 1
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        self._exchanges.callbacks += 1
        super().on_headers_complete()

    def on_body(self, body: bytes) -> None:
        self._exchanges.callbacks += 1
        super().on_body(body)

    def on_message_complete(self) -> None:
        self._exchanges.callbacks += 1
        super().on_message_complete()


def make_budget() -> ClientBudget:
    return ClientBudget(ClientLimits(memory_bytes=float("inf")))


class TestCostlyReplies:
    """A reply of many short pieces keeps the loop from nobody for long."""

    @pytest.mark.parametrize("shape", COSTLY_REPLIES)
    def test_a_turn_parses_a_bounded_number_of_pieces(self, shape):
        data = COSTLY_REPLIES[shape]

        async def run() -> None:
            exchanges = Exchanges(make_budget())
            for _ in range(CONNECTIONS):
                exchanges.start().data_received(data)
            await exchanges.count_turns()
            assert exchanges.most_callbacks <= MAX_CALLBACKS_PER_TURN
            assert all(isinstance(each, Reply) for each in exchanges.outcomes)

        asyncio.run(run())

    @pytest.mark.parametrize("shape", COSTLY_REPLIES)
    def test_replies_that_no_client_caused_are_bounded_too(self, shape):
        data = COSTLY_REPLIES[shape]

        async def run() -> None:
            exchanges = Exchanges(None)
            exchanges.start().data_received(data)
            await exchanges.count_turns()
            assert exchanges.most_callbacks <= MAX_CALLBACKS_PER_TURN
            assert isinstance(exchanges.outcomes[0], Reply)

        asyncio.run(run())

    def test_nothing_is_read_while_input_waits(self):
        async def run() -> None:
            exchanges = Exchanges(make_budget())
            exchanges.start().data_received(COSTLY_REPLIES["short headers"])
            assert not exchanges.transports[0].is_reading
            await exchanges.count_turns()
            assert exchanges.transports[0].is_reading

        asyncio.run(run())

    def test_what_waits_is_counted(self):
        async def run() -> None:
            exchanges = Exchanges(make_budget())
            exchanges.start().data_received(COSTLY_REPLIES["short headers"])
            assert exchanges.budget.held_bytes >= REPEATED_BYTES
            exchanges.connections[0].abort()
            assert exchanges.budget.held_bytes == 0

        asyncio.run(run())


class TestOrdinaryReplies:
    def test_they_are_taken_at_once(self):
        async def run() -> None:
            exchanges = Exchanges(make_budget())
            exchanges.start().data_received(make_response(b"x" * 1000))
            assert len(exchanges.outcomes) == 1
            assert exchanges.reusable == [True]

        asyncio.run(run())

    def test_the_rest_of_a_body_of_known_length_is_taken_at_once(self):
        async def run() -> None:
            exchanges = Exchanges(make_budget())
            response = make_response(b"x" * (1 << 20))
            connection = exchanges.start()
            connection.data_received(response[:1000])
            connection.data_received(response[1000:])
            assert len(exchanges.outcomes) == 1

        asyncio.run(run())

    def test_a_long_body_is_taken_at_once(self):
        async def run() -> None:
            exchanges = Exchanges(make_budget())
            exchanges.start().data_received(make_response(b"x" * (200 << 10)))
            assert len(exchanges.outcomes) == 1

        asyncio.run(run())

    def test_they_do_not_wait_behind_costly_ones(self):
        async def run() -> None:
            exchanges = Exchanges(make_budget())
            for _ in range(CONNECTIONS):
                exchanges.start().data_received(COSTLY_REPLIES["short headers"])
            exchanges.start().data_received(make_response(b"small"))
            for _ in range(2):
                await asyncio.sleep(0)
            assert [each.body for each in exchanges.outcomes] == [b"small"]

        asyncio.run(run())


class TestRepliesInSlices:
    """A reply means the same in slices as in one piece."""

    @pytest.mark.parametrize("surplus", [b"surplus", make_response(b"second")])
    @pytest.mark.parametrize("size_bytes", [SLICE_BYTES, SLICE_BYTES - 3])
    def test_surplus_in_a_later_slice_closes_the_connection(self, size_bytes, surplus):
        head_bytes = len(make_response(b"x" * SLICE_BYTES)) - SLICE_BYTES
        response = make_response(b"x" * (size_bytes - head_bytes))
        assert len(response) == size_bytes

        async def run() -> None:
            exchanges = Exchanges(make_budget())
            exchanges.start().data_received(response + surplus)
            await exchanges.count_turns()
            assert isinstance(exchanges.outcomes[0], Reply)
            assert exchanges.reusable == [False]
            assert exchanges.transports[0].is_closed

        asyncio.run(run())

    def test_a_reply_that_waits_counts_if_the_connection_is_lost(self):
        async def run() -> None:
            exchanges = Exchanges(make_budget())
            connection = exchanges.start()
            connection.data_received(COSTLY_REPLIES["chunks of one byte"])
            connection.connection_lost(None)
            assert isinstance(exchanges.outcomes[0], Reply)
            assert exchanges.reusable == [False]

        asyncio.run(run())

    def test_an_abort_ends_it(self):
        async def run() -> None:
            exchanges = Exchanges(make_budget())
            connection = exchanges.start()
            connection.data_received(COSTLY_REPLIES["short headers"])
            connection.abort()
            for _ in range(10):
                await asyncio.sleep(0)
            assert not exchanges.outcomes
            assert not exchanges.budget.reply_parsing.is_busy

        asyncio.run(run())

    @pytest.mark.parametrize("loop_factory", [asyncio.new_event_loop, uvloop.Loop])
    @pytest.mark.parametrize("cut", [0, 3])
    def test_the_close_comes_after_what_waits(self, loop_factory, cut):
        data = OK_HEAD + repeat(b"a:\r\n") + b"\r\nwhole"
        sent = data if not cut else COSTLY_REPLIES["chunks of one byte"][:-cut]

        async def run() -> Outcome:
            scripted = ScriptedServer(sent, at_end="close")
            server = await asyncio.start_server(scripted.serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            connection = await open_connection(f"127.0.0.1:{port}", TIMEOUT_S)
            future = asyncio.get_running_loop().create_future()
            request = ServerRequest(REQUEST, read_origin, budget=make_budget())
            connection.send(request, future.set_result)
            outcome = await asyncio.wait_for(future, TIMEOUT_S)
            server.close()
            return outcome

        with asyncio.Runner(loop_factory=loop_factory) as runner:
            outcome = runner.run(run())
        if cut:
            assert isinstance(outcome, Failure)
        else:
            assert outcome.body == b"whole"
