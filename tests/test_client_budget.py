"""Bounds on what all clients together make the process hold."""

from __future__ import annotations

import resource

import pytest
from hypothesis import given
from hypothesis import strategies as st

from anvilhoist.front.limits import make_client_limits
from anvilhoist.front.settings import Limits
from anvilhoist.http.client_budget import ClientBudget, ClientLimits
from anvilhoist.http.messages import Request, Response
from test_client_input import Server, encode_chunked, wait_until

LIMITS = ClientLimits(memory_bytes=1000, connections=4)


class FakeClock:
    def __init__(self):
        self.seconds = 0.0

    def __call__(self) -> float:
        return self.seconds


class Holder:
    """Something that holds memory until it is shed."""

    def __init__(self, budget: ClientBudget, client: str = ""):
        self.reason = ""
        self.account = budget.open_account(self.shed, client)

    def shed(self, reason: str) -> None:
        self.reason = reason
        self.account.close()


@pytest.fixture
def clock() -> FakeClock:
    return FakeClock()


@pytest.fixture
def budget(clock, quiet_logs) -> ClientBudget:
    return ClientBudget(LIMITS, clock)


class TestMemory:
    def test_what_is_closed_is_given_back(self, budget):
        holders = [Holder(budget) for _ in range(3)]
        for holder in holders:
            holder.account.hold(300)
        assert budget.held_bytes == 900
        holders[0].account.hold(100)
        holders[1].account.close()
        assert budget.held_bytes == 400

    def test_nothing_is_shed_at_the_limit(self, budget, clock):
        holder = Holder(budget)
        clock.seconds = 5.0
        holder.account.hold(1000)
        assert not holder.reason

    def test_the_most_memory_held_for_the_longest_is_shed_first(self, budget, clock):
        long_held = Holder(budget)
        long_held.account.hold(300)
        clock.seconds = 5.0
        large = Holder(budget)
        large.account.hold(600)
        clock.seconds = 6.0
        small = Holder(budget)
        small.account.hold(99)
        small.account.hold(101)
        assert [h.reason for h in (long_held, large, small)] == ["memory", "", ""]
        assert budget.held_bytes == 701

    def test_it_goes_on_until_the_limit_holds(self, budget, clock):
        holders = [Holder(budget) for _ in range(10)]
        for holder in holders:
            holder.account.hold(100)
        clock.seconds = 1.0
        Holder(budget).account.hold(150)
        assert sum(holder.reason == "memory" for holder in holders) == 3
        assert budget.shed_count["memory"] == 3

    def test_a_holder_that_ends_later_counts_no_more(self, budget, clock):
        """A connection that is aborted closes its account in a later turn."""
        accounts = [budget.open_account(lambda reason: None) for _ in range(10)]
        for account in accounts:
            account.hold(100)
        clock.seconds = 1.0
        Holder(budget).account.hold(150)
        assert budget.shed_count["memory"] == 3
        assert sum(account.held_bytes == 0 for account in accounts) == 3
        for account in accounts:
            account.close()
        assert budget.held_bytes == 150

    def test_what_was_shed_counts_no_more(self, budget, clock):
        holder = Holder(budget)
        clock.seconds = 1.0
        holder.account.hold(2000)
        assert holder.reason == "memory"
        holder.account.hold(500)
        assert budget.held_bytes == 0

    @given(
        st.lists(
            st.tuples(st.integers(0, 9), st.integers(0, 2000), st.booleans()),
            max_size=60,
        )
    )
    def test_any_use_stays_within_the_limit(self, steps):
        clock = FakeClock()
        budget = ClientBudget(LIMITS, clock)
        holders: dict[int, Holder] = {}
        for number, size_bytes, closes in steps:
            clock.seconds += 1.0
            holder = holders.get(number)
            if holder is None or holder.reason:
                holder = holders[number] = Holder(budget, client="127.0.0.1")
            holder.account.hold(size_bytes)
            if closes:
                holder.account.close()
                del holders[number]
            assert budget.held_bytes <= LIMITS.memory_bytes
            assert budget.connections <= LIMITS.connections
            kept = [holder.account.held_bytes for holder in holders.values()]
            assert budget.held_bytes == sum(kept)
        for holder in holders.values():
            holder.account.close()
        assert (budget.held_bytes, budget.connections) == (0, 0)


class TestConnections:
    def test_the_costliest_give_place_to_a_new_one(self, budget, clock):
        holders = []
        for held_bytes in (10, 100, 10, 10, 10):
            clock.seconds += 1.0
            holder = Holder(budget, client="127.0.0.1")
            holder.account.hold(held_bytes)
            holders.append(holder)
        reasons = [holder.reason for holder in holders]
        # One gives place, and another one so that this is not repeated at once.
        assert reasons == ["connections", "connections", "", "", ""]
        assert budget.connections == 3

    def test_connections_to_servers_are_not_counted(self, budget):
        holders = [Holder(budget) for _ in range(10)]
        assert not any(holder.reason for holder in holders)
        assert budget.connections == 0


class TestShedClients:
    def test_request_that_is_shed_while_it_is_read_has_not_run(self, quiet_logs):
        server = Server(ClientLimits(memory_bytes=100_000))
        body = b"%x\r\n%s\r\n" % (60_000, b"x" * 60_000)

        async def scenario() -> None:
            first, _ = await server.connect(encode_chunked(b"/1", body))
            await wait_until(lambda: server.budget.held_bytes > 60_000)
            second, writer = await server.connect(encode_chunked(b"/2", body))
            assert (await first.read()).startswith(b"HTTP/1.1 503")
            writer.write(b"0\r\n\r\n")
            received = await second.readuntil(b"\r\n\r\n/2")
            assert received.startswith(b"HTTP/1.1 200")

        server.run(scenario)
        assert server.bodies == [60_000]

    def test_request_that_is_shed_while_it_is_handled_may_have_run(self, quiet_logs):
        server = Server(ClientLimits(memory_bytes=100_000), handling_s=5.0)
        head = b"POST /1 HTTP/1.1\r\ncontent-length: 60000\r\n\r\n"

        async def scenario() -> None:
            first, _ = await server.connect(head + b"x" * 60_000)
            await wait_until(lambda: server.bodies)
            await server.connect(head + b"x" * 60_000)
            assert (await first.read()).startswith(b"HTTP/1.1 504")

        server.run(scenario)

    def test_long_response_that_is_not_read_is_given_up(self, quiet_logs):
        server = Server(ClientLimits(memory_bytes=20 << 20))

        async def answer(request: Request) -> Response:
            return Response(200, [], b"x" * (12 << 20) if request.body else b"short")

        async def scenario() -> None:
            server.server.handle = answer
            head = b"POST /1 HTTP/1.1\r\ncontent-length: 1\r\n\r\nx"
            await server.connect(head)
            await wait_until(lambda: server.budget.held_bytes > 12 << 20)
            await server.connect(head)
            await wait_until(lambda: server.budget.shed_count["memory"] == 1)
            await wait_until(lambda: server.budget.connections == 1)
            reader, _ = await server.connect(b"GET /2 HTTP/1.1\r\n\r\n")
            assert b"short" in await reader.readuntil(b"short")

        server.run(scenario)

    def test_more_connections_than_allowed_take_the_place_of_idle_ones(
        self, quiet_logs
    ):
        server = Server(ClientLimits(connections=10))

        async def scenario() -> None:
            crowd = [await server.connect(b"") for _ in range(30)]
            reader, writer = await server.connect(b"GET /1 HTTP/1.1\r\n\r\n")
            assert b"200 OK" in await reader.readuntil(b"\r\n\r\n/1")
            assert len(server.server.connections) <= 10
            for _, crowd_writer in [*crowd, (reader, writer)]:
                crowd_writer.close()

        server.run(scenario)


class TestLimitsOfSettings:
    def test_clients_may_use_a_quarter_of_the_memory(self):
        limits = make_client_limits(Limits(memory_mb=300))
        assert limits.memory_bytes == 75 << 20

    def test_clients_may_use_half_of_the_descriptors(self):
        found, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        assert make_client_limits(Limits(descriptors=100)).connections == 50
        assert make_client_limits(Limits(descriptors=1e9)).connections == found / 2
        assert make_client_limits(Limits()).connections == found / 2
