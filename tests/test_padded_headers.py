"""White space around a header's value is no part of it, whatever the header decides."""

from __future__ import annotations

import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from anvilhoist.errors import Failure
from anvilhoist.http.exchange import ServerConnection
from anvilhoist.http.limits import ConnectionLimits
from anvilhoist.http.messages import Request, find_header, make_header
from anvilhoist.http.replies import Reply, ServerRequest
from anvilhoist.http.request_reader import RequestReader
from anvilhoist.platform.edge import (
    build_forwarded_response,
    classify_reply,
    is_leaving,
    make_origin_reader,
    parse_call,
    parse_quiet_time,
    parse_rate_limit,
    parse_server_load,
    prepare_headers,
    read_digest,
)
from anvilhoist.platform.names import STORE_ERA
from anvilhoist.platform.store import StoreClient

ATTEMPT = b"9c41d07be2a35f68"
BODY = b"whole"
REPLY_HEADERS = (
    (b"X-Attempt-Id", ATTEMPT),
    (b"X-Response-Signature", b"3e1b.07.5a2.600.0.c9f2a4d1"),
    (b"X-Not-Executed", b"busy"),
    (b"Server-Limit", b"1"),
    (b"Server-Leaving", b"1"),
    (b"Retry-After", b"2.5"),
    (b"X-Server-Load", b"3,1,8"),
    (b"Store-Era", b"4"),
    (b"Keep-Alive", b"timeout=3, max=9"),
    (b"X-Other", b"two  words\tand three"),
)
REQUEST_HEADERS = (
    (b"Host", b"site.example"),
    (b"X-Attempt-Id", ATTEMPT),
    (b"X-Deadline-Ms", b"400"),
    (b"Expect", b"100-continue"),
    (b"X-Other", b"two  words\tand three"),
)
CONNECTION_HEADERS = ((b"Connection", b"close"), (b"Connection", b"keep-alive"))
FRAMINGS = (
    ((b"Content-Length", b"%d" % len(BODY)), BODY),
    ((b"Transfer-Encoding", b"chunked"), b"5\r\n" + BODY + b"\r\n0\r\n\r\n"),
)

CALL = parse_call(Request(b"GET", b"/a/", [(b"x-attempt-id", ATTEMPT)]))

padding = st.text(" \t", max_size=3).map(str.encode)
paddings = st.tuples(padding, padding)
framings = st.sampled_from(FRAMINGS)
connection_headers = st.sampled_from(CONNECTION_HEADERS)


def encode(first_line: bytes, headers, around, body: bytes) -> bytes:
    """Return a message whose header values have white space around them."""
    before, after = around
    lines = []
    for name, value in headers:
        # The parser refuses a tab behind this one: see TestTabBehindChunked.
        end = after.replace(b"\t", b" ") if name == b"Transfer-Encoding" else after
        lines.append(name + b":" + before + value + end)
    return b"\r\n".join((first_line, *lines)) + b"\r\n\r\n" + body


class Transport:
    """Transport that sends nothing."""

    def write(self, data: bytes) -> None:
        return

    def get_write_buffer_size(self) -> int:
        return 0

    def is_closing(self) -> bool:
        return False

    def abort(self) -> None:
        return


def receive(data: bytes, cut: int = 0) -> tuple[ServerConnection, list]:
    """Return a connection that got a response in two pieces, and the outcomes."""
    outcomes: list = []
    connection = ServerConnection(lambda _: None)
    connection._transport = Transport()
    request = ServerRequest(b"GET / HTTP/1.1\r\n\r\n", make_origin_reader(CALL))
    connection.send(request, outcomes.append)
    for piece in (data[:cut], data[cut:]):
        if piece:
            connection.data_received(piece)
    return connection, outcomes


def read(data: bytes, cut: int = 0, limits: ConnectionLimits | None = None):
    """Return the requests read from two pieces, and the statuses of refusals."""
    requests: list = []
    refusals: list = []
    found = limits or ConnectionLimits()
    reader = RequestReader(
        lambda: found, lambda: None, requests.append, refusals.append
    )
    for piece in (data[:cut], data[cut:]):
        if piece and not reader.ended:
            reader.feed(piece)
    return requests, refusals


class TestReplies:
    STATUS_LINE = b"HTTP/1.1 503 Busy"

    @given(paddings, framings, connection_headers, st.integers(0, 400))
    def test_any_padding_changes_no_reply(self, around, framing, connection, cut):
        length, body = framing
        headers = (*REPLY_HEADERS, connection, length)
        plain, (expected,) = receive(
            encode(self.STATUS_LINE, headers, (b"", b""), body)
        )
        padded, (found,) = receive(encode(self.STATUS_LINE, headers, around, body), cut)
        assert isinstance(expected, Reply)
        assert found == expected
        assert found.body == BODY
        assert padded.reusable == plain.reusable == (connection[1] == b"keep-alive")
        assert padded.keep_alive_timeout_s == plain.keep_alive_timeout_s == 3.0

    @pytest.mark.parametrize("around", [(b" ", b" "), (b"", b"\t"), (b"", b" ")])
    def test_what_a_replica_asks_for_is_understood(self, around):
        # Guards against a limit, a leaving or a quiet time that is ignored.
        headers = (*REPLY_HEADERS, FRAMINGS[0][0])
        _, (reply,) = receive(encode(self.STATUS_LINE, headers, around, BODY))
        assert parse_rate_limit(reply.headers) == 1.0
        assert is_leaving(reply.headers)
        assert parse_quiet_time(reply) == 2.5
        assert parse_server_load(reply.headers) == 4
        assert read_digest(reply) == REPLY_HEADERS[1][1]
        assert classify_reply(reply, CALL).name == "NOT_EXECUTED"

    def test_echoed_id_with_white_space_is_the_id(self):
        # Guards against an answer that is taken for one to another request.
        data = encode(b"HTTP/1.1 200 OK", (*REPLY_HEADERS, FRAMINGS[0][0]),
                      (b"", b" "), BODY)  # fmt: skip
        connection, outcomes = receive(data)
        assert [type(outcome) for outcome in outcomes] == [Reply]
        assert connection.reusable

    @pytest.mark.parametrize("after", [b" ", b"\t "])
    def test_era_of_the_store_with_white_space(self, after):
        # Guards against a copy of the store that is not noticed.
        headers = ((b"Store-Era", b"4"), FRAMINGS[0][0])
        _, (reply,) = receive(encode(b"HTTP/1.1 200 OK", headers, (b"", after), BODY))
        assert find_header(reply.headers, STORE_ERA) == b"4"
        client = StoreClient("127.0.0.1:1")
        client._named_era = 4
        client._note_era(reply.headers)
        assert client.era == 4
        assert client._ignored_era == b""

    def test_value_that_is_only_white_space_names_no_limit(self):
        headers = ((b"Server-Limit", b""), FRAMINGS[0][0])
        _, (reply,) = receive(encode(b"HTTP/1.1 200 OK", headers, (b" ", b"\t"), BODY))
        assert parse_rate_limit(reply.headers) is None
        assert parse_rate_limit([]) == math.inf


class TestRequests:
    REQUEST_LINE = b"POST /a/b HTTP/1.1"

    @given(paddings, framings, connection_headers, st.integers(0, 300))
    def test_any_padding_changes_no_request(self, around, framing, connection, cut):
        length, body = framing
        headers = (*REQUEST_HEADERS, connection, length)
        (plain,), _ = read(encode(self.REQUEST_LINE, headers, (b"", b""), body))
        (padded,), refusals = read(
            encode(self.REQUEST_LINE, headers, around, body), cut
        )
        assert refusals == []
        assert padded.headers == plain.headers
        assert padded.body == plain.body == BODY
        assert padded.keep_alive == plain.keep_alive == (connection[1] == b"keep-alive")

    @pytest.mark.parametrize("around", [(b" ", b" "), (b"", b"\t"), (b"", b" ")])
    def test_what_a_caller_asks_for_is_understood(self, around):
        # Guards against 404 for a host, and a deadline that is not the caller's.
        headers = (*REQUEST_HEADERS, FRAMINGS[0][0])
        (request,), _ = read(encode(self.REQUEST_LINE, headers, around, BODY))
        call = parse_call(request)
        assert call.host == "site.example"
        assert call.attempt_id == ATTEMPT
        assert call.deadline == pytest.approx(request.arrived_at + 0.4)

    def test_id_that_is_only_white_space_is_none(self):
        # Guards against a request without an id that is sent to a replica.
        headers = ((b"Host", b"a"), (b"X-Attempt-Id", b""))
        (request,), _ = read(encode(b"GET / HTTP/1.1", headers, (b" ", b"\t"), b""))
        assert parse_call(request) is None

    @pytest.mark.parametrize("cut", [0, 100, 15_000])
    def test_white_space_counts_towards_the_size_of_a_head(self, cut):
        # Guards against heads of any size that are hidden in white space.
        limits = ConnectionLimits(header_bytes=16_384)
        around = (b"", b" " * 16_384)
        data = encode(b"GET / HTTP/1.1", ((b"Host", b"a"),), around, b"")
        requests, refusals = read(data, cut, limits)
        assert requests == []
        assert refusals == [431]


class TestTabBehindChunked:
    """A message whose body the parser can't tell the end of is refused, not misread."""

    DATA = b"%s\r\nTransfer-Encoding: chunked\t\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"

    def test_request_is_refused(self):
        assert read(self.DATA % b"POST / HTTP/1.1") == ([], [400])

    def test_response_is_a_failure(self):
        connection, outcomes = receive(self.DATA % b"HTTP/1.1 200 OK")
        assert outcomes == []
        connection.eof_received()
        connection.connection_lost(None)
        assert [type(outcome) for outcome in outcomes] == [Failure]


class TestForwarding:
    def test_inner_white_space_is_forwarded_unchanged(self):
        headers = (*REQUEST_HEADERS, FRAMINGS[0][0])
        data = encode(TestRequests.REQUEST_LINE, headers, (b" \t", b" \t"), BODY)
        (request,), _ = read(data)
        forwarded = prepare_headers(parse_call(request))
        assert find_header(forwarded, b"x-other") == b"two  words\tand three"
        assert find_header(forwarded, b"x-attempt-id") == ATTEMPT
        data = encode(b"HTTP/1.1 200 OK", (*REPLY_HEADERS, FRAMINGS[0][0]),
                      (b" \t", b" \t"), BODY)  # fmt: skip
        _, (reply,) = receive(data)
        response = build_forwarded_response(reply)
        assert find_header(response.headers, b"x-other") == b"two  words\tand three"
        assert read_digest(reply) == REPLY_HEADERS[1][1]

    @given(st.binary(max_size=8), padding, padding)
    def test_only_spaces_and_tabs_around_any_value_are_dropped(
        self, value, before, after
    ):
        inner = b"x" + value + b"x"
        name, found = make_header(b"X-Other", before + inner + after)
        assert (name, found) == (b"x-other", inner)

    @pytest.mark.parametrize("value", [b"\xa01\xa0", b"\x0b1", b"1\x0c", b"\x851"])
    def test_other_white_space_belongs_to_the_value(self, value):
        assert make_header(b"a", value) == (b"a", value)
