"""Requests whose clients offer another protocol, and responses that name one."""

from __future__ import annotations

import asyncio

import pytest

from anvilhoist.errors import ErrorKind, Failure
from anvilhoist.http.connect import open_connection
from anvilhoist.http.limits import ConnectionLimits
from anvilhoist.http.messages import Request, Response
from anvilhoist.http.replies import Reply, ResponseOrigin, ServerRequest
from anvilhoist.http.request_reader import RequestReader
from anvilhoist.http.server import HttpServer

LIMITS = ConnectionLimits(header_bytes=400, body_bytes=50, header_s=0.3, idle_s=5.0)
TIMEOUT_S = 5.0
# What an HTTP client sends with its first request if it also speaks HTTP/2.
H2C = (
    b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    b"HTTP2-Settings: AAEAAEAAAAIAAAABAAMAAABkAAQBAAAAAAUAAEAA\r\n"
)
WEBSOCKET = (
    b"Connection: keep-alive, Upgrade\r\nUpgrade: websocket\r\n"
    b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n"
)
LENGTH = b"Content-Length: 5\r\n\r\nwax 1"
LONG_CHUNK = b"Transfer-Encoding: chunked\r\n\r\n3c\r\n%s\r\n0\r\n\r\n" % (b"x" * 60)
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n3\r\nwax\r\n2\r\n 1\r\n0\r\n\r\n"
BODIES = (LENGTH, CHUNKED, b"\r\n")
BODY_IDS = ("length", "chunks", "none")
NEXT = b"GET /next HTTP/1.1\r\nHost: a\r\n\r\n"


def make_request(offer: bytes, body: bytes, method: bytes = b"POST") -> bytes:
    return b"%s /1 HTTP/1.1\r\nHost: a\r\n%s%s" % (method, offer, body)


class Reading:
    """What a reader makes of bytes that come in pieces of a size."""

    def __init__(self, data: bytes, piece_bytes: int = 4096):
        self.requests: list[Request] = []
        self.refused: list[int] = []
        self.reader = RequestReader(
            lambda: LIMITS, int, self.requests.append, self.refused.append
        )
        for at in range(0, len(data), piece_bytes):
            if not self.reader.ended:
                self.reader.feed(data[at : at + piece_bytes])

    @property
    def bodies(self) -> list[tuple[bytes, bytes]]:
        return [(request.target, request.body) for request in self.requests]


@pytest.mark.parametrize("piece_bytes", [1, 7, 4096])
class TestOfferWithRequest:
    @pytest.mark.parametrize("body", [LENGTH, CHUNKED], ids=["length", "chunks"])
    @pytest.mark.parametrize("offer", [H2C, WEBSOCKET], ids=["h2c", "websocket"])
    def test_body_is_not_lost(self, offer, body, piece_bytes):
        reading = Reading(make_request(offer, body), piece_bytes)
        assert reading.bodies == [(b"/1", b"wax 1")]
        assert reading.requests[0].method == b"POST"
        assert reading.requests[0].keep_alive
        assert not reading.reader.ended

    @pytest.mark.parametrize("body", BODIES, ids=BODY_IDS)
    def test_bytes_behind_it_are_the_next_request(self, body, piece_bytes):
        data = make_request(H2C, body) + NEXT + make_request(H2C, LENGTH) + NEXT
        reading = Reading(data, piece_bytes)
        first = b"" if body == b"\r\n" else b"wax 1"
        assert reading.bodies == [
            (b"/1", first),
            (b"/next", b""),
            (b"/1", b"wax 1"),
            (b"/next", b""),
        ]
        assert not reading.refused

    def test_headers_are_those_that_the_client_sent(self, piece_bytes):
        (offering,) = Reading(make_request(H2C, LENGTH), piece_bytes).requests
        (plain,) = Reading(make_request(b"", LENGTH), piece_bytes).requests
        offered = (b"connection", b"upgrade", b"http2-settings")
        kept = [header for header in offering.headers if header[0] not in offered]
        assert kept == plain.headers

    @pytest.mark.parametrize(
        ("version", "connection", "keep_alive"),
        [
            (b"1.1", b"Upgrade, close", False),
            (b"1.0", b"Upgrade", False),
            (b"1.0", b"Upgrade, keep-alive", True),
        ],
    )
    def test_connection_is_kept_as_without_it(
        self, version, connection, keep_alive, piece_bytes
    ):
        offer = b"Connection: %s\r\nUpgrade: h2c\r\n" % connection
        data = make_request(offer, LENGTH).replace(b"HTTP/1.1", b"HTTP/" + version)
        (request,) = Reading(data, piece_bytes).requests
        assert (request.body, request.keep_alive) == (b"wax 1", keep_alive)

    @pytest.mark.parametrize(
        ("offer", "body", "status"),
        [
            (H2C, b"Content-Length: 60\r\n\r\n", 413),
            (H2C, LONG_CHUNK, 413),
            (H2C + b"X: " + b"y" * 400 + b"\r\n", LENGTH, 431),
            (H2C, CHUNKED.replace(b"\r\n2\r\n", b"\r\nz\r\n"), 400),
            (H2C, b"Content-Length: 5\r\n" + CHUNKED, 400),
        ],
        ids=["length", "chunk", "head", "chunk size", "length and chunks"],
    )
    def test_limits_hold_as_without_it(self, offer, body, status, piece_bytes):
        reading = Reading(make_request(offer, body) + NEXT, piece_bytes)
        assert reading.refused == [status]
        assert not reading.requests


class TestConnect:
    @pytest.mark.parametrize("target", [b"/1", b"a:80", b"http://a/1"])
    @pytest.mark.parametrize("body", BODIES, ids=BODY_IDS)
    def test_is_refused_and_nothing_behind_it_is_read(self, target, body):
        data = make_request(b"", body, b"CONNECT").replace(b" /1 ", b" %s " % target)
        reading = Reading(data + NEXT)
        assert reading.refused == [501]
        assert not reading.requests


class TestConnectionOfOffer:
    """The offer on a connection: the answers of a server."""

    def exchange(self, *steps: tuple[bytes, bytes]) -> list[bytes]:
        """Send each piece once the end of the answer before it has come."""
        bodies: list[bytes] = []

        async def handle(request: Request) -> Response:
            bodies.append(request.body)
            return Response(200, [], request.target)

        async def run() -> None:
            server = HttpServer("test", handle, lambda: LIMITS)
            await server.listen("127.0.0.1:0")
            port = server._listener.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            async with asyncio.timeout(TIMEOUT_S):
                for sent, end in steps:
                    writer.write(sent)
                    await reader.readuntil(end)
            writer.close()
            server.stop_listening()

        asyncio.run(run())
        return bodies

    @pytest.mark.parametrize("body", [LENGTH, CHUNKED], ids=["length", "chunks"])
    def test_kept_connection_serves_the_next_request(self, body):
        bodies = self.exchange(
            (make_request(H2C, body), b"\r\n\r\n/1"),
            (make_request(b"", LENGTH), b"\r\n\r\n/1"),
            (make_request(WEBSOCKET, body), b"\r\n\r\n/1"),
            (NEXT, b"\r\n\r\n/next"),
        )
        assert bodies == [b"wax 1", b"wax 1", b"wax 1", b""]

    def test_body_that_waits_for_100_continue_is_not_lost(self):
        head, body = make_request(H2C + b"Expect: 100-continue\r\n", LENGTH).split(
            b"\r\n\r\n"
        )
        bodies = self.exchange(
            (head + b"\r\n\r\n", b"100 Continue\r\n\r\n"), (body, b"\r\n\r\n/1")
        )
        assert bodies == [b"wax 1"]


class TestResponseThatNamesAnUpgrade:
    """A server's response with the headers of an upgrade, or with status 101."""

    def get(self, response: bytes) -> tuple[Reply | Failure, bool]:
        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await reader.read()
            writer.close()

        async def run() -> tuple[Reply | Failure, bool]:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            connection = await open_connection(f"127.0.0.1:{port}", TIMEOUT_S)
            outcome = asyncio.get_running_loop().create_future()
            request = ServerRequest(NEXT, lambda headers: ResponseOrigin.UNNAMED)
            connection.send(request, outcome.set_result)
            reply = await asyncio.wait_for(outcome, TIMEOUT_S)
            reusable = connection.reusable
            connection.abort()
            server.close()
            return reply, reusable

        return asyncio.run(run())

    @pytest.mark.parametrize("status", [200, 426, 503])
    @pytest.mark.parametrize("body", [LENGTH, CHUNKED], ids=["length", "chunks"])
    def test_body_is_not_lost(self, status, body):
        reply, reusable = self.get(b"HTTP/1.1 %d X\r\n%s%s" % (status, H2C, body))
        assert (reply.status, reply.body) == (status, b"wax 1")
        assert reusable

    @pytest.mark.parametrize(
        "offer", [b"", H2C, WEBSOCKET], ids=["none", "h2c", "websocket"]
    )
    @pytest.mark.parametrize(
        "rest", [*BODIES, b"\r\n\0\0\0\7"], ids=[*BODY_IDS, "other protocol"]
    )
    def test_status_101_and_what_is_behind_it_is_no_response(self, offer, rest):
        behind = b"HTTP/1.1 200 OK\r\n" + LENGTH
        reply, reusable = self.get(b"HTTP/1.1 101 X\r\n" + offer + rest + behind)
        assert isinstance(reply, Failure)
        assert reply.kind is ErrorKind.UPSTREAM_FAILED
        assert not reusable
