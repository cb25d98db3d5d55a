from __future__ import annotations

import asyncio
import socket
import struct

import pytest
import uvloop

from anvilhoist.errors import ErrorKind, Failure
from anvilhoist.http.connect import open_connection
from anvilhoist.http.exchange import MAX_FRAMING_BYTES, MAX_RESPONSE_BODY_BYTES
from anvilhoist.http.messages import find_header
from anvilhoist.http.replies import Reply, ResponseOrigin, ServerRequest
from anvilhoist.http.tcp_info import closed_gracefully

EXPECTED_ID = b"ours"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a time of 0 s
TIMEOUT_S = 5.0
# Sent bytes may wait in the socket buffers of both ends and in the writer.
SOCKET_BUFFER_BYTES = 8 << 20


def read_origin(headers: list) -> ResponseOrigin:
    response_id = find_header(headers, b"id")
    if response_id is None:
        return ResponseOrigin.UNNAMED
    if response_id == EXPECTED_ID:
        return ResponseOrigin.THIS_REQUEST
    return ResponseOrigin.OTHER_REQUEST


def make_response(
    body: bytes, response_id: bytes = EXPECTED_ID, extra_headers: bytes = b""
) -> bytes:
    head = b"HTTP/1.1 200 OK\r\nid: %s\r\ncontent-length: %d\r\n%s\r\n"
    return head % (response_id, len(body), extra_headers) + body


class ScriptedServer:
    """A server that answers each request of a connection with given bytes.

    After the last one, it waits for the client, closes or resets the connection.
    """

    def __init__(self, *responses: bytes, at_end: str = "stay"):
        self.responses = list(responses)
        self.at_end = at_end
        self.connections = 0

    async def serve(self, reader, writer) -> None:
        self.connections += 1
        try:
            for data in self.responses:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(data)
                await writer.drain()
            if self.at_end == "stay":
                await reader.read()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if self.at_end == "reset":
                client = writer.get_extra_info("socket")
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.close()


async def exchange(scripted_server: ScriptedServer, count: int) -> tuple[list, bool]:
    """Return the outcomes of requests on one connection, and whether it is reusable."""
    server = await asyncio.start_server(scripted_server.serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    connection = await open_connection(f"127.0.0.1:{port}", TIMEOUT_S)
    outcomes = []
    for _ in range(count):
        future = asyncio.get_running_loop().create_future()
        request = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
        connection.send(ServerRequest(request, read_origin), future.set_result)
        outcomes.append(await asyncio.wait_for(future, TIMEOUT_S))
        await asyncio.sleep(0.02)
    reusable = connection.reusable
    connection.abort()
    server.close()
    return outcomes, reusable


def run_exchanges(scripted_server: ScriptedServer, count: int) -> tuple[list, bool]:
    """Run `exchange` on a loop of its own."""
    return asyncio.run(exchange(scripted_server, count))


class TestServerConnection:
    def test_complete_response_leaves_the_connection_reusable(self):
        (reply, again), reusable = run_exchanges(
            ScriptedServer(make_response(b"one"), make_response(b"two")), 2
        )
        assert (reply.body, again.body) == (b"one", b"two")
        assert reusable

    def test_response_to_another_request_is_discarded(self):
        stray = make_response(b"stray", response_id=b"other")
        (_, reply), reusable = run_exchanges(
            ScriptedServer(make_response(b"one"), stray + make_response(b"two")), 2
        )
        assert reply.body == b"two"
        assert not reusable

    def test_unsolicited_bytes_close_the_connection(self):
        (reply,), reusable = run_exchanges(
            ScriptedServer(make_response(b"one") + b"surplus"), 1
        )
        assert reply.body == b"one"
        assert not reusable

    def test_second_response_to_one_request_closes_the_connection(self):
        (reply,), reusable = run_exchanges(
            ScriptedServer(make_response(b"one") + make_response(b"one")), 1
        )
        assert reply.body == b"one"
        assert not reusable

    @pytest.mark.parametrize("data", [b"garbage\r\n\r\n", make_response(b"x" * 9)[:-3]])
    def test_malformed_or_truncated_response_is_a_failure(self, data):
        (outcome,), reusable = run_exchanges(ScriptedServer(data, at_end="close"), 1)
        assert isinstance(outcome, Failure)
        assert outcome.kind is ErrorKind.UPSTREAM_FAILED
        assert not reusable

    def test_response_without_length_ends_at_the_close(self):
        data = b"HTTP/1.1 200 OK\r\nid: ours\r\n\r\nwhole"
        (reply,), reusable = run_exchanges(ScriptedServer(data, at_end="close"), 1)
        assert isinstance(reply, Reply)
        assert reply.body == b"whole"
        assert not reusable

    def test_reset_in_a_response_without_length_is_a_failure(self):
        data = b"HTTP/1.1 200 OK\r\nid: ours\r\n\r\npart"
        (outcome,), _ = run_exchanges(ScriptedServer(data, at_end="reset"), 1)
        assert isinstance(outcome, Failure)

    def test_close_header_closes_the_connection(self):
        data = make_response(b"one", extra_headers=b"connection: close\r\n")
        (reply,), reusable = run_exchanges(ScriptedServer(data), 1)
        assert reply.body == b"one"
        assert not reusable


class TestHeadRequest:
    REQUEST = b"HEAD / HTTP/1.1\r\nhost: a\r\n\r\n"
    HEAD = b"HTTP/1.1 %d X\r\nid: ours\r\ncontent-length: 9\r\n\r\n"

    def ask(self, *statuses: int):
        async def run():
            data = b"".join(self.HEAD % status for status in statuses)
            server = await asyncio.start_server(
                ScriptedServer(data).serve, "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            connection = await open_connection(f"127.0.0.1:{port}", TIMEOUT_S)
            future = asyncio.get_running_loop().create_future()
            connection.send(ServerRequest(self.REQUEST, read_origin), future.set_result)
            outcome = await asyncio.wait_for(future, TIMEOUT_S)
            connection.abort()
            server.close()
            return outcome

        return asyncio.run(run())

    def test_second_response_does_not_replace_the_first(self):
        assert self.ask(200, 500).status == 200

    def test_status_that_does_not_exist_is_a_failure(self):
        assert isinstance(self.ask(999), Failure)


class TestStatus:
    """A status that HTTP does not have is no response, and not an interim one."""

    @pytest.mark.parametrize("status", [0, 1, 42, 99, 600, 999])
    def test_unknown_class_is_a_failure(self, status):
        data = make_response(b"one").replace(b" 200 ", b" %03d " % status)
        (outcome,), reusable = run_exchanges(ScriptedServer(data), 1)
        assert isinstance(outcome, Failure)
        assert outcome.kind is ErrorKind.UPSTREAM_FAILED
        assert not reusable

    @pytest.mark.parametrize("status", [100, 102, 103, 199])
    def test_interim_responses_are_passed_over(self, status):
        interim = b"HTTP/1.1 %d Wait\r\n\r\n" % status
        (reply,), reusable = run_exchanges(
            ScriptedServer(interim + make_response(b"one")), 1
        )
        assert reply.body == b"one"
        assert reusable


class TestClosedGracefully:
    """Only the TCP state distinguishes a close from a reset, not the loop's event."""

    def connect(self) -> tuple[socket.socket, socket.socket]:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            client = socket.create_connection(listener.getsockname())
            server, _ = listener.accept()
        return client, server

    def test_close(self):
        client, server = self.connect()
        server.close()
        assert client.recv(1) == b""
        assert closed_gracefully(client)
        client.close()

    def test_reset(self):
        client, server = self.connect()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        server.close()
        with pytest.raises(ConnectionResetError):
            client.recv(1)
        assert not closed_gracefully(client)
        client.close()


class EndlessServer:
    """A server that answers a request with bytes that never end."""

    def __init__(self, begin: bytes, repeated: bytes):
        self.begin = begin
        self.repeated = repeated
        self.sent_bytes = 0

    async def serve(self, reader, writer) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.begin)
            while True:
                writer.write(self.repeated)
                self.sent_bytes += len(self.repeated)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


FRAMING_LIMIT = MAX_FRAMING_BYTES + SOCKET_BUFFER_BYTES
BODY_LIMIT = MAX_RESPONSE_BODY_BYTES + SOCKET_BUFFER_BYTES
OK_HEAD = b"HTTP/1.1 200 OK\r\n"


class TestEndlessResponse:
    """The connection is closed at a bound, and the request ends as a failure."""

    @pytest.mark.parametrize(
        ("begin", "repeated", "max_sent"),
        [
            (OK_HEAD + b"a: ", b"x" * 4096, FRAMING_LIMIT),
            (OK_HEAD, b"a: b\r\n" * 500, FRAMING_LIMIT),
            (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 100, FRAMING_LIMIT),
            (b"", make_response(b"", b"other") * 50, FRAMING_LIMIT),
            (b"", make_response(b"x" * 9000, b"other"), BODY_LIMIT),
            (OK_HEAD + b"\r\n", b"x" * 4096, BODY_LIMIT),
            (
                OK_HEAD + b"transfer-encoding: chunked\r\n\r\n1;",
                b"x" * 4096,
                FRAMING_LIMIT,
            ),
            (
                OK_HEAD + b"transfer-encoding: chunked\r\n\r\n",
                b"1000\r\n" + b"x" * 4096 + b"\r\n",
                BODY_LIMIT,
            ),
            (
                OK_HEAD + b"transfer-encoding: chunked\r\n\r\n0\r\n",
                b"a: b\r\n" * 500,
                FRAMING_LIMIT,
            ),
            (b"", b"\0" * 4096, FRAMING_LIMIT),
        ],
        ids=[
            "header value",
            "headers",
            "interim responses",
            "responses to another request",
            "bodies to another request",
            "body without length",
            "chunk extension",
            "chunks",
            "trailers",
            "no HTTP",
        ],
    )
    def test_ends_at_a_bound(self, begin, repeated, max_sent):
        server = EndlessServer(begin, repeated)
        (outcome,), reusable = run_exchanges(server, 1)
        assert isinstance(outcome, Failure)
        assert outcome.kind is ErrorKind.UPSTREAM_FAILED
        assert not reusable
        assert server.sent_bytes <= max_sent


UNFRAMED_RESPONSE = b"HTTP/1.1 200 OK\r\nid: ours\r\n\r\nrecords"
CHUNKED_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nid: ours\r\ntransfer-encoding: chunked\r\n\r\n"
    b"7\r\nrecords\r\n0\r\n\r\n"
)
STRAY_RESPONSE = b"HTTP/1.1 200 OK\r\nid: other\r\ncontent-length: 0\r\n\r\n"


class TestResponseThatEndsInItsHead:
    """A server sends a part of a response and closes its connection in order."""

    @pytest.mark.parametrize("loop_factory", [None, uvloop.new_event_loop])
    @pytest.mark.parametrize("before", [b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"])
    @pytest.mark.parametrize(
        "response", [make_response(b"records"), CHUNKED_RESPONSE, UNFRAMED_RESPONSE]
    )
    def test_is_a_failure_wherever_it_is_cut(self, loop_factory, before, response):
        head_bytes = response.index(b"\r\n\r\n") + 4
        is_framed = response is not UNFRAMED_RESPONSE
        cuts = range(len(response) if is_framed else head_bytes)
        parts = [before + response[:cut] for cut in cuts]

        async def run() -> list:
            servers = [ScriptedServer(part, at_end="close") for part in parts]
            found = await asyncio.gather(*(exchange(server, 1) for server in servers))
            return [outcomes[0] for outcomes, _ in found]

        with asyncio.Runner(loop_factory=loop_factory) as runner:
            outcomes = runner.run(run())
        assert len(outcomes) == len(parts)
        assert all(isinstance(outcome, Failure) for outcome in outcomes)

    def test_is_a_failure_after_a_response_to_another_request(self):
        data = STRAY_RESPONSE + make_response(b"records")[:30]
        (outcome,), _ = run_exchanges(ScriptedServer(data, at_end="close"), 1)
        assert isinstance(outcome, Failure)
