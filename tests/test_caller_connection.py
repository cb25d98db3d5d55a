"""Connections of callers that send slowly, don't read, or ask before they send."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

from anvilhoist.clock import read_boottime
from anvilhoist.http.limits import ConnectionLimits
from anvilhoist.http.messages import Request, Response
from anvilhoist.http.server import HttpServer

LIMITS = ConnectionLimits(header_bytes=300, body_bytes=50, header_s=0.3, idle_s=0.6)
CHECK_S = 0.05
BODY_BYTES = 1 << 20
REQUEST = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"


class CallerSite:
    """An HTTP server and one connection to it.

    Attributes
    ----------
    handled : list of bytes
        Targets of the requests that the handler was called with.
    """

    def __init__(self, body: bytes = b"", handling_s: float = 0.0):
        self.handled: list[bytes] = []
        self.server = HttpServer("test", self.handle, lambda: LIMITS)
        self.body = body
        self.handling_s = handling_s

    async def handle(self, request: Request) -> Response:
        self.handled.append(request.target)
        await asyncio.sleep(self.handling_s)
        return Response(200, [], self.body or request.target)

    async def enforce_timeouts(self) -> None:
        while True:
            self.server.enforce_timeouts(read_boottime())
            await asyncio.sleep(CHECK_S)

    def run(self, scenario: Callable[..., Awaitable]) -> None:
        async def run():
            await self.server.listen("127.0.0.1:0")
            timeouts = asyncio.create_task(self.enforce_timeouts())
            port = self.server._listener.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await scenario(reader, writer)
            timeouts.cancel()
            writer.close()
            self.server.stop_listening()

        asyncio.run(run())


class TestSlowHead:
    def test_head_that_arrives_byte_by_byte_is_refused(self):
        async def scenario(reader, writer):
            response = asyncio.create_task(reader.read())
            for byte in b"GET / HTTP/1.1\r\nhost: a\r\nx: yyyyyyyyyyyyyyyyyyyyyyyyyyyy":
                writer.write(bytes([byte]))
                await asyncio.sleep(CHECK_S)
                if response.done():
                    break
            assert response.done()
            assert response.result().split()[1] == b"408"

        site = CallerSite()
        site.run(scenario)
        assert not site.handled

    def test_head_behind_a_long_request_is_not_refused(self):
        async def scenario(reader, writer):
            second = REQUEST % 2
            writer.write(REQUEST % 1 + second[:10])
            await reader.readuntil(b"\r\n\r\n/1")
            writer.write(second[10:])
            assert b"200 OK" in await reader.readuntil(b"\r\n\r\n/2")

        CallerSite(handling_s=1.5 * LIMITS.header_s).run(scenario)


class TestUnreadResponses:
    def test_no_request_is_handled_while_responses_pile_up(self):
        async def scenario(reader, writer):
            for number in range(100):
                writer.write(REQUEST % number)
            await asyncio.sleep(LIMITS.idle_s / 2)
            # What the sockets hold, and one response beyond it.
            assert len(site.handled) < 20
            assert site.server.connections

        site = CallerSite(b"x" * BODY_BYTES)
        site.run(scenario)

    def test_connection_of_a_caller_that_never_reads_is_closed(self):
        async def scenario(reader, writer):
            for number in range(100):
                writer.write(REQUEST % number)
            await asyncio.sleep(2 * LIMITS.idle_s + 4 * CHECK_S)
            assert not site.server.connections

        site = CallerSite(b"x" * BODY_BYTES)
        site.run(scenario)

    def test_a_caller_that_reads_slowly_gets_all(self):
        async def scenario(reader, writer):
            for number in range(20):
                writer.write(REQUEST % number)
            received = 0
            while received < 20 * BODY_BYTES:
                received += len(await reader.read(BODY_BYTES))
                await asyncio.sleep(0.01)
            assert len(site.handled) == 20

        site = CallerSite(b"x" * BODY_BYTES)
        site.run(scenario)


EXPECT_HEAD = (
    b"POST /2 HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n"
    b"expect: 100-continue\r\n%s\r\n"
)


class TestContinue:
    def test_is_sent_before_the_body(self):
        async def scenario(reader, writer):
            writer.write(EXPECT_HEAD % (2, b""))
            assert b"100 Continue" in await reader.readuntil(b"\r\n\r\n")
            writer.write(b"ab")
            assert b"200 OK" in await reader.readuntil(b"\r\n\r\n/2")

        CallerSite().run(scenario)

    def test_waits_for_earlier_responses(self):
        async def scenario(reader, writer):
            writer.write(REQUEST % 1 + EXPECT_HEAD % (2, b""))
            received = await reader.readuntil(b"100 Continue\r\n\r\n")
            assert received.startswith(b"HTTP/1.1 200 OK")
            writer.write(b"ab")
            assert b"200 OK" in await reader.readuntil(b"\r\n\r\n/2")

        CallerSite(handling_s=CHECK_S).run(scenario)

    def test_is_not_sent_for_a_refused_request(self):
        async def scenario(reader, writer):
            writer.write(EXPECT_HEAD % (2, b"x: " + b"y" * 400 + b"\r\n"))
            assert (await reader.read()).startswith(b"HTTP/1.1 431")

        CallerSite().run(scenario)

    def test_is_not_sent_for_a_body_that_is_too_large(self):
        async def scenario(reader, writer):
            writer.write(EXPECT_HEAD % (LIMITS.body_bytes + 1, b""))
            assert (await reader.read()).startswith(b"HTTP/1.1 413")

        CallerSite().run(scenario)


class TestStopping:
    """A caller whose request was just accepted gets a response."""

    def test_request_that_waits_to_be_accepted_is_answered(self):
        async def scenario(reader, writer):
            port = writer.get_extra_info("peername")[1]
            # The event loop accepts nothing in the meantime.
            callers = [socket.create_connection(("127.0.0.1", port)) for _ in range(3)]
            for caller in callers:
                caller.sendall(REQUEST % 1)
            site.server.drain()
            site.server.stop_listening()
            loop = asyncio.get_running_loop()
            for caller in callers:
                caller.setblocking(False)
                received = await asyncio.wait_for(loop.sock_recv(caller, 4096), 2.0)
                assert received.startswith(b"HTTP/1.1 200")
                caller.close()

        site = CallerSite()
        site.run(scenario)

    def test_connection_on_which_a_request_arrives_is_busy(self):
        async def scenario(reader, writer):
            assert site.server.busy_connections == 0
            writer.write((REQUEST % 1)[:9])
            await asyncio.sleep(CHECK_S)
            assert site.server.busy_connections == 1
            writer.write((REQUEST % 1)[9:])
            assert b"200 OK" in await reader.readuntil(b"\r\n\r\n/1")
            await asyncio.sleep(CHECK_S)
            assert site.server.busy_connections == 0

        site = CallerSite()
        site.run(scenario)

    def test_requests_that_were_read_before_the_drain_are_answered(self):
        async def scenario(reader, writer):
            writer.write(REQUEST % 1 + REQUEST % 2)
            await asyncio.sleep(CHECK_S)
            site.server.drain()
            received = await reader.read()
            assert received.count(b"200 OK") == 2
            assert received.count(b"Connection: close") == 1

        site = CallerSite(handling_s=2 * CHECK_S)
        site.run(scenario)

    def test_connection_with_an_unsent_response_is_busy(self):
        async def scenario(reader, writer):
            site.server.drain()
            writer.write(REQUEST % 1)
            await asyncio.sleep(2 * CHECK_S)
            assert site.server.busy_connections == 1
            received = await reader.read()
            assert len(received) > BODY_BYTES
            assert site.server.busy_connections == 0

        site = CallerSite(b"x" * 20 * BODY_BYTES)
        site.run(scenario)

    def test_requests_that_do_not_end_in_time_are_answered(self):
        async def scenario(reader, writer):
            writer.write(REQUEST % 1 + REQUEST % 2)
            await asyncio.sleep(CHECK_S)
            site.server.abandon_requests()
            received = await reader.read()
            # The first may have run, the second has not.
            assert received.startswith(b"HTTP/1.1 504")
            assert received.count(b"HTTP/1.1 503") == 1

        site = CallerSite(handling_s=5.0)
        site.run(scenario)
        assert site.handled == [b"/1"]
