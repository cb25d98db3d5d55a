"""Which request a response on a connection that is used again belongs to."""

from __future__ import annotations

import pytest

from anvilhoist.forward.call import Call
from anvilhoist.http.exchange import ServerConnection
from anvilhoist.http.messages import Request
from anvilhoist.http.replies import Outcome, Reply, ServerRequest
from anvilhoist.platform.edge import make_origin_reader
from test_reply_turns import REQUEST, FakeTransport

FIRST_ID = b"0d13c2a7"
SECOND_ID = b"f4e85b19"
HEAD = (
    b"HTTP/1.1 200 OK\r\ncontent-type: x\r\nx-attempt-id: %s\r\n"
    b"x-response-signature: 3e1b\r\ncontent-length: 16\r\n\r\n"
)
UNNAMED_HEAD = b"HTTP/1.1 %d X\r\ncontent-length: 16\r\n\r\n"
BODY = b"r" * 16
FIRST_HEAD = HEAD % FIRST_ID


def flip_bit(data: bytes, number: int) -> bytes:
    byte, bit = divmod(number, 8)
    return data[:byte] + bytes([data[byte] ^ 1 << bit]) + data[byte + 1 :]


class Connection:
    """A connection whose requests are answered by the test."""

    def __init__(self):
        self.connection = ServerConnection(lambda connection: None)
        self.outcomes: list[Outcome] = []
        FakeTransport(self.connection)

    def ask(self, attempt_id: bytes) -> None:
        call = Call(Request(b"GET", b"/", []), attempt_id, "h", 1.0)
        request = ServerRequest(REQUEST, make_origin_reader(call))
        self.connection.send(request, self.outcomes.append)

    def answer(self, head: bytes) -> None:
        self.connection.data_received(head + BODY)

    def list_replies(self) -> list[Reply]:
        return [outcome for outcome in self.outcomes if isinstance(outcome, Reply)]


@pytest.fixture
def connection() -> Connection:
    """A connection on which one request was answered, and the next one is sent."""
    connection = Connection()
    connection.ask(FIRST_ID)
    connection.answer(FIRST_HEAD)
    connection.ask(SECOND_ID)
    return connection


class TestLateSecondResponse:
    @pytest.mark.parametrize("number", range(8 * len(FIRST_HEAD)))
    def test_one_wrong_bit_makes_it_no_answer_to_the_next_request(
        self, connection, number
    ):
        connection.answer(flip_bit(FIRST_HEAD, number))
        assert len(connection.list_replies()) == 1

    @pytest.mark.parametrize("status", [200, 429, 500, 503])
    def test_without_an_id_it_is_no_answer(self, connection, status):
        connection.answer(UNNAMED_HEAD % status)
        assert len(connection.list_replies()) == 1

    def test_with_two_ids_it_is_no_answer(self, connection):
        both = b"x-attempt-id: %s\r\nx-attempt-id: %s" % (SECOND_ID, FIRST_ID)
        connection.answer(FIRST_HEAD.replace(b"x-attempt-id: " + FIRST_ID, both))
        assert len(connection.list_replies()) == 1

    def test_the_right_answer_behind_it_counts(self, connection):
        connection.answer(UNNAMED_HEAD % 200)
        connection.answer(HEAD % SECOND_ID)
        assert len(connection.list_replies()) == 2
        assert not connection.connection.reusable


class TestUnnamedResponse:
    def test_counts_where_no_response_names_its_request(self):
        """Responses to queries need not echo the id."""
        connection = Connection()
        for attempt_id in (FIRST_ID, SECOND_ID):
            connection.ask(attempt_id)
            connection.answer(UNNAMED_HEAD % 200)
        assert len(connection.list_replies()) == 2
