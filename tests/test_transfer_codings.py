"""Bodies in transfer codings other than chunks."""

from __future__ import annotations

import asyncio

import pytest

from anvilhoist.errors import ErrorKind, Failure
from anvilhoist.http.connect import open_connection
from anvilhoist.http.limits import ConnectionLimits
from anvilhoist.http.messages import Request
from anvilhoist.http.replies import Reply, ResponseOrigin, ServerRequest
from anvilhoist.http.request_reader import RequestReader

TIMEOUT_S = 5.0
CHUNKS = b"\r\n3\r\nwax\r\n0\r\n\r\n"
OFFER = b"Connection: Upgrade\r\nUpgrade: h2c\r\n"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
FOREIGN = (
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"Transfer-Encoding: GZIP,chunked\r\n",
    b"Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
)
PLAIN = (
    b"Transfer-Encoding: chunked\r\n",
    b"transfer-encoding:  Chunked \r\n",
)


def read_requests(data: bytes) -> tuple[list[Request], list[int]]:
    requests: list[Request] = []
    refused: list[int] = []
    reader = RequestReader(ConnectionLimits, int, requests.append, refused.append)
    reader.feed(data)
    return requests, refused


@pytest.mark.parametrize("offer", [b"", OFFER], ids=["plain", "offer"])
class TestRequest:
    @pytest.mark.parametrize("coding", FOREIGN)
    def test_body_is_not_passed_on_in_another_form(self, coding, offer):
        data = b"POST / HTTP/1.1\r\nHost: a\r\n" + offer + coding + CHUNKS
        assert read_requests(data + REQUEST) == ([], [501])

    @pytest.mark.parametrize("coding", PLAIN)
    def test_body_in_chunks_is_read(self, coding, offer):
        data = b"POST / HTTP/1.1\r\nHost: a\r\n" + offer + coding + CHUNKS
        requests, refused = read_requests(data + REQUEST)
        assert [request.body for request in requests] == [b"wax", b""]
        assert not refused


class TestResponse:
    def get(self, response: bytes) -> Reply | Failure:
        async def serve(reader, writer) -> None:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await reader.read()
            writer.close()

        async def run() -> Reply | Failure:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            connection = await open_connection(f"127.0.0.1:{port}", TIMEOUT_S)
            outcome = asyncio.get_running_loop().create_future()
            request = ServerRequest(REQUEST, lambda headers: ResponseOrigin.UNNAMED)
            connection.send(request, outcome.set_result)
            reply = await asyncio.wait_for(outcome, TIMEOUT_S)
            connection.abort()
            server.close()
            return reply

        return asyncio.run(run())

    @pytest.mark.parametrize("coding", FOREIGN)
    def test_body_in_another_form_is_no_response(self, coding):
        reply = self.get(b"HTTP/1.1 200 OK\r\n" + coding + CHUNKS)
        assert isinstance(reply, Failure)
        assert reply.kind is ErrorKind.UPSTREAM_FAILED

    @pytest.mark.parametrize("coding", PLAIN)
    def test_body_in_chunks_is_read(self, coding):
        reply = self.get(b"HTTP/1.1 200 OK\r\n" + coding + CHUNKS)
        assert reply.body == b"wax"
