from __future__ import annotations

import asyncio
import json
import os
from collections import Counter
from random import Random

import pytest
import structlog
from hypothesis import given
from hypothesis import strategies as st

from anvilhoist.errors import ERROR_RESPONSES, ErrorKind, Executed
from anvilhoist.forward.merge import merge_records
from anvilhoist.forward.refusal import compute_retry_after
from anvilhoist.forward.routes import RouteTable, choose_service
from anvilhoist.forward.timing import plan_schedule
from anvilhoist.front.stopping import plan_shutdown
from anvilhoist.http.limits import ConnectionLimits
from anvilhoist.http.messages import Request, Response, strip_hop_by_hop_headers
from anvilhoist.http.server import HttpServer
from anvilhoist.logs import MAX_BUFFER_BYTES, LogBuffer
from anvilhoist.world.model import Configuration, Gather, Route

LIMITS = ConnectionLimits(header_bytes=300, body_bytes=50, header_s=0.2, idle_s=0.4)


def make_route(prefix: str, host: str = "a.example", **fields) -> Route:
    values = {"timeout_s": 2.0, "target_s": 0.2, "attempts": 2, **fields}
    return Route(prefix, host, prefix, True, **values)


class TestHttpServer:
    def exchange_bytes(self, sent: bytes, seconds: float = 1.0, drain: bool = False):
        """Return the bytes received, and the requests that were handled."""
        handled: list[Request] = []

        async def handle(request: Request) -> Response:
            handled.append(request)
            await asyncio.sleep(0.01)
            return Response(200, [], request.target)

        async def run() -> bytes:
            server = HttpServer("test", handle, lambda: LIMITS)
            await server.listen("127.0.0.1:0")
            if drain:
                server.drain()
            port = server._listener.sockets[0].getsockname()[1]
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(sent)
            received = b""
            end = asyncio.get_running_loop().time() + seconds
            while asyncio.get_running_loop().time() < end:
                server.enforce_timeouts(__import__("time").clock_gettime(7))
                try:
                    data = await asyncio.wait_for(reader.read(65536), 0.05)
                except TimeoutError:
                    continue
                if not data:
                    break
                received += data
            writer.close()
            server.stop_listening()
            return received

        return asyncio.run(run()), handled

    def test_pipelined_requests_are_answered_in_order(self):
        received, _ = self.exchange_bytes(
            b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\nhost: a\r\n\r\n", 0.3
        )
        assert received.count(b"200 OK") == 2
        assert received.index(b"/1") < received.index(b"/2")

    def test_chunked_body_is_joined(self):
        _, handled = self.exchange_bytes(
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
            b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
            0.2,
        )
        assert handled[0].body == b"abcde"

    @pytest.mark.parametrize(
        ("sent", "status"),
        [
            (b"nonsense\r\n\r\n", b"400"),
            (b"GET / HTTP/1.1\r\nx: " + b"y" * 400 + b"\r\n\r\n", b"431"),
            (b"POST / HTTP/1.1\r\ncontent-length: 60\r\n\r\n" + b"z" * 60, b"413"),
            (b"GET / HTTP/1.1\r\nhost:", b"408"),
            (
                b"POST / HTTP/1.1\r\ncontent-length: 3\r\n"
                b"transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
                b"400",
            ),
        ],
    )
    def test_invalid_request_is_answered_without_the_handler(self, sent, status):
        received, handled = self.exchange_bytes(sent)
        assert received.split()[1] == status
        assert b"Connection: close" in received
        assert not handled

    def test_idle_connection_is_closed(self):
        received, _ = self.exchange_bytes(b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\n", 1.5)
        assert received.startswith(b"HTTP/1.1 200")

    def test_draining_answers_and_closes(self):
        received, handled = self.exchange_bytes(
            b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\n", drain=True
        )
        assert b"200 OK" in received
        assert b"Connection: close" in received
        assert len(handled) == 1

    def test_handler_is_cancelled_when_the_caller_disconnects(self):
        ended = []

        async def handle(request: Request) -> Response:
            try:
                await asyncio.sleep(5)
            except asyncio.CancelledError:
                ended.append("cancelled")
                raise
            return Response(200)

        async def run():
            server = HttpServer("test", handle)
            await server.listen("127.0.0.1:0")
            port = server._listener.sockets[0].getsockname()[1]
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.1)
            server.stop_listening()

        asyncio.run(run())
        assert ended == ["cancelled"]


class TestStripHopByHopHeaders:
    def test_headers_of_the_connection_are_removed(self):
        headers = [
            (b"connection", b"keep-alive, X-Mine"),
            (b"x-mine", b"1"),
            (b"te", b"trailers"),
            (b"x-other", b"2"),
            (b"replaced", b"3"),
        ]
        assert strip_hop_by_hop_headers(headers, frozenset((b"replaced",))) == [
            (b"x-other", b"2")
        ]

    def test_headers_named_by_any_connection_header_are_not_forwarded(self):
        headers = [
            (b"connection", b"keep-alive"),
            (b"connection", b"Upgrade, HTTP2-Settings"),
            (b"upgrade", b"h2c"),
            (b"http2-settings", b"AAEAAEAA"),
            (b"te", b"trailers"),
            (b"x-other", b"2"),
        ]
        kept = strip_hop_by_hop_headers(headers, frozenset())
        assert kept == [(b"x-other", b"2")]


class TestRouteTable:
    def test_longest_prefix_of_the_host_is_found(self):
        routes = (make_route("/a/"), make_route("/a/b/"), make_route("/", "b.example"))
        table = RouteTable(Configuration(1, routes, {}, LIMITS))
        assert table.find("a.example", "/a/b/c").prefix == "/a/b/"
        assert table.find("A.example", "/a/x").prefix == "/a/"
        assert table.find("a.example", "/ab/") is None
        assert table.find("b.example", "/x").prefix == "/"
        assert table.find("c.example", "/a/") is None

    def test_services_are_chosen_by_weight(self):
        route = make_route("/a/", services=(("x", 3.0), ("y", 1.0), ("z", 0.0)))
        random = Random(3)
        counts = Counter(choose_service(route, random) for _ in range(4000))
        assert counts["x"] / 4000 == pytest.approx(0.75, abs=0.03)
        assert counts["z"] == 0

    def test_without_weights_no_service_is_chosen(self):
        assert choose_service(make_route("/a/"), Random(1)) is None


class TestGather:
    @pytest.mark.parametrize(
        ("total", "share", "min_shards"),
        [(20, 0.89, 18), (20, 0.75, 15), (3, 1.0, 3), (3, 0.0, 1), (90, 0.95, 86)],
    )
    def test_min_shards(self, total, share, min_shards):
        shards = tuple(str(number) for number in range(total))
        assert Gather(shards, 5, share).min_shards == min_shards


class TestMergeRecords:
    @given(
        st.lists(
            st.lists(st.binary(min_size=16, max_size=16), max_size=20), max_size=6
        ),
        st.integers(0, 30),
    )
    def test_greatest_first_and_duplicates_are_kept(self, parts, top):
        bodies = [b"".join(part) + b"rest" for part in parts]
        records = sorted((r for part in parts for r in part), reverse=True)
        assert merge_records(bodies, top) == b"".join(records[:top])


class TestSchedule:
    def test_never_beyond_timeout_or_deadline(self):
        route = make_route("/a/", timeout_s=0.5, target_s=0.4)
        assert plan_schedule(route, 10.0, 20.0, 0.02).end_at == 10.5
        short = plan_schedule(route, 10.0, 10.1, 0.02)
        assert short.end_at < 10.1
        assert short.partial_answer_at <= short.end_at

    def test_short_objective_over_many_shards_reserves_time_for_the_answer(self):
        shards = tuple(str(number) for number in range(90))
        route = make_route("/a/", target_s=0.072, gather=Gather(shards, 5, 0.85))
        schedule = plan_schedule(route, 0.0, 0.4, 0.02)
        assert schedule.partial_answer_at <= 0.072 - 0.02
        assert schedule.hedge_at <= 0.5 * schedule.partial_answer_at

    def test_a_long_round_trip_brings_the_partial_answer_forward(self):
        shards = tuple(str(number) for number in range(90))
        route = make_route("/a/", target_s=0.072, gather=Gather(shards, 5, 0.85))
        near = plan_schedule(route, 0.0, 0.4, 0.02, 0.002)
        far = plan_schedule(route, 0.0, 0.4, 0.02, 0.006)
        assert near.partial_answer_at - far.partial_answer_at == pytest.approx(0.008)

    def test_hedge_leaves_time_for_its_answer(self):
        route = make_route("/a/", target_s=0.2)
        assert plan_schedule(route, 0.0, 9.0, 5.0).hedge_at <= 0.1


class TestRetryAfter:
    def test_only_requests_that_did_not_run_get_a_retry_delay(self):
        for kind in ErrorKind:
            retry_after_s = compute_retry_after(kind, 3.0)
            if ERROR_RESPONSES[kind].executed is not Executed.NO:
                assert retry_after_s is None

    def test_at_most_a_third_of_the_time_left(self):
        assert compute_retry_after(ErrorKind.NO_REPLICA, 0.3) <= 0.1
        assert compute_retry_after(ErrorKind.NO_REPLICA, -1.0) == 0.0


class TestShutdownPlan:
    def test_serves_while_callers_hold_the_address(self):
        plan = plan_shutdown(100.0, 6.0, 1.0)
        assert not plan.may_exit(102.9, requests_in_flight=0)
        assert not plan.should_close_idle(102.9)
        assert plan.may_exit(103.1, requests_in_flight=0)
        assert not plan.may_exit(103.1, requests_in_flight=1)

    def test_ends_before_it_is_killed(self):
        plan = plan_shutdown(100.0, 6.0, 1.0)
        assert plan.may_exit(105.6, requests_in_flight=9)
        assert plan.should_stop_listening(104.6)


class TestLogBuffer:
    def test_stalled_reader_never_blocks_and_drops_are_reported(self):
        reading, writing = os.pipe()
        os.set_blocking(writing, False)
        buffer = LogBuffer(writing)
        line = "x" * 1000
        for _ in range(3 * MAX_BUFFER_BYTES // 1000):
            buffer.write(line)
            buffer.flush()
        assert buffer.dropped > 0
        dropped = buffer.dropped
        received = b""
        while b"log_lines_dropped" not in received:
            received += os.read(reading, 1 << 20)
            buffer.flush()
        report = json.loads(received[received.index(b"{") :].splitlines()[0])
        assert report["count"] == dropped
        os.close(reading)
        os.close(writing)

    def test_lines_for_a_closed_reader_are_dropped(self):
        reading, writing = os.pipe()
        buffer = LogBuffer(writing)
        os.close(reading)
        buffer.write("line")
        buffer.flush()
        assert buffer.dropped == 1
        os.close(writing)


@pytest.fixture(autouse=True)
def _reset_logging():
    structlog.reset_defaults()
    yield
    structlog.reset_defaults()
