from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import pytest

from anvilhoist.clock import read_boottime
from anvilhoist.errors import Failure, Kind, Ran
from anvilhoist.searches.upstream import Attempt, BookAsk, SearchAsk, UpstreamClient

GOOD_PART = b'{"shard":"s1","version":1,"hits":[],"incarnation":"a#1"}'
ASK = SearchAsk("sorting", 1, "s1", "blue")


def respond(status: int, body: bytes, extra: str = "") -> bytes:
    head = f"HTTP/1.1 {status} X\r\ncontent-length: {len(body)}\r\n{extra}\r\n"
    return head.encode() + body


@dataclass(slots=True)
class FakeUpstream:
    """A server whose answers tests write byte by byte."""

    answers: list[bytes | None]
    requests: list[bytes] = field(default_factory=list)
    closed: int = 0
    port: int = 0
    clients: list[UpstreamClient] = field(default_factory=list)
    _server: asyncio.Server | None = None
    _writers: list[asyncio.StreamWriter] = field(default_factory=list)

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._run, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def close_connections(self) -> None:
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0.05)

    def client(self, note: Callable[[], None] = lambda: None) -> UpstreamClient:
        address = f"127.0.0.1:{self.port}"
        client = UpstreamClient(address, "vaxjo", 4, read_boottime, note)
        self.clients.append(client)
        return client

    async def _run(self, reader, writer) -> None:
        self._writers.append(writer)
        while data := await reader.read(65536):
            self.requests.append(data)
            answer = self.answers.pop(0) if self.answers else None
            if answer is None:
                writer.transport.abort()
                return
            writer.write(answer)


def attempt(check: Callable[[], Failure | None] = lambda: None, budget: float = 1.0):
    return Attempt("a-1", read_boottime() + budget, check)


def run_with(answers: list[bytes | None], work) -> FakeUpstream:
    async def run() -> FakeUpstream:
        upstream = FakeUpstream(answers)
        await upstream.start()
        await work(upstream)
        for client in upstream.clients:
            await client.close()
        return upstream

    return asyncio.run(run())


class TestAttempt:
    def test_a_check_that_fails_at_the_last_moment_sends_no_byte(self):
        forbidden = Failure(Kind.VIEW_STALE, "late")

        async def work(upstream: FakeUpstream):
            one = attempt(lambda: forbidden)
            result = await upstream.client().search(ASK, one)
            assert result.error is forbidden
            assert not one.sent

        assert run_with([respond(200, GOOD_PART)], work).requests == []

    def test_a_refused_connection_is_known_not_to_have_run(self):
        async def work(_upstream: FakeUpstream):
            client = UpstreamClient(
                "127.0.0.1:1", "vaxjo", 4, read_boottime, lambda: None
            )
            result = await client.search(ASK, attempt())
            assert result.error.kind is Kind.CONNECT_FAILED
            assert result.error.answer.ran is Ran.NO

        run_with([], work)

    def test_a_connection_cut_after_the_first_byte_is_unknown(self):
        async def work(upstream: FakeUpstream):
            one = attempt()
            result = await upstream.client().book(BookAsk("t", "p"), one)
            assert one.sent
            assert result.error.answer.ran is Ran.UNKNOWN

        assert len(run_with([None], work).requests) == 1

    @pytest.mark.parametrize(
        "answer",
        [
            respond(200, b"nonsense"),
            respond(200, GOOD_PART[:-9]),
            respond(302, b"", "location: /elsewhere\r\n"),
            respond(500, b""),
        ],
    )
    def test_a_wrong_answer_is_a_failure_and_is_not_followed(self, answer):
        async def work(upstream: FakeUpstream):
            result = await upstream.client().search(ASK, attempt())
            assert result.error.kind is Kind.UPSTREAM_FAILED

        assert len(run_with([answer], work).requests) == 1


class TestReusedConnection:
    def test_a_booking_is_not_repeated_when_its_connection_drops(self):
        async def work(upstream: FakeUpstream):
            client = upstream.client()
            assert (await client.search(ASK, attempt())).is_ok()
            result = await client.book(BookAsk("t", "p"), attempt())
            assert result.error.kind is Kind.UPSTREAM_FAILED

        upstream = run_with([respond(200, GOOD_PART), None], work)
        assert sum(b"/book" in data for data in upstream.requests) == 1

    def test_a_kept_connection_that_was_closed_is_told(self):
        told = []

        async def work(upstream: FakeUpstream):
            client = upstream.client(lambda: told.append(1))
            assert (await client.search(ASK, attempt())).is_ok()
            assert told == []
            await upstream.close_connections()
            assert (await client.search(ASK, attempt())).is_ok()

        run_with([respond(200, GOOD_PART)] * 2, work)
        assert told == [1]

    def test_an_answer_cut_short_is_not_read_by_the_next_request(self):
        other = GOOD_PART.replace(b"s1", b"s2")
        half = respond(200, other)[:-20]

        async def work(upstream: FakeUpstream):
            client = upstream.client()
            late = await client.search(ASK, attempt(budget=0.1))
            assert late.error.kind is Kind.DEADLINE
            good = await client.search(ASK, attempt())
            assert good.ok.shard == "s1"

        run_with([half, respond(200, GOOD_PART)], work)
