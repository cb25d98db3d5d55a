from __future__ import annotations

import asyncio

from expression import Ok
from hypothesis import given
from hypothesis import strategies as st

from anvilhoist.errors import ErrorKind, Executed
from anvilhoist.searches.tickets import (
    OUTCOME_RETENTION_S,
    TICKET_TTL_S,
    TicketRegistry,
    parse_ticket,
)


class FakeClock:
    def __init__(self):
        self.at = 100.0

    def __call__(self) -> float:
        return self.at


def make_registry(clock: FakeClock, incarnation: int = 7) -> TicketRegistry:
    return TicketRegistry("vm-1", incarnation, clock)


class TestTickets:
    def test_a_ticket_is_spent_once(self):
        async def run():
            registry = make_registry(FakeClock())
            ticket = registry.find(registry.issue("p").ok).ok
            assert registry.spend(ticket, "x").ok is True
            assert registry.spend(ticket, "x").ok is False
            assert registry.spend(ticket, "y").error.kind is ErrorKind.TICKET_MISUSED

        asyncio.run(run())

    def test_a_ticket_of_another_incarnation_is_unknown_and_never_runs(self):
        text = make_registry(FakeClock(), 6).issue("p").ok
        failure = make_registry(FakeClock(), 7).find(text).error
        assert failure.kind is ErrorKind.TICKET_LOST
        assert failure.response.executed is Executed.UNKNOWN

    def test_a_ticket_used_too_late_is_known_not_to_have_run(self):
        async def run():
            clock = FakeClock()
            registry = make_registry(clock)
            ticket = registry.find(registry.issue("p").ok).ok
            clock.at += TICKET_TTL_S + 1
            assert registry.spend(ticket, "x").ok is False
            assert ticket.outcome.result().error.response.executed is Executed.NO

        asyncio.run(run())

    def test_an_evicted_outcome_is_unknown(self):
        async def run():
            clock = FakeClock()
            registry = make_registry(clock)
            text = registry.issue("p").ok
            ticket = registry.find(text).ok
            registry.spend(ticket, "x")
            registry.record_outcome(ticket, Ok("done"))
            clock.at += OUTCOME_RETENTION_S + 1
            registry.evict_expired(clock.at)
            assert registry.find(text).error.kind is ErrorKind.TICKET_EXPIRED

        asyncio.run(run())

    @given(st.text())
    def test_any_text_is_a_ticket_or_a_typed_failure(self, text):
        parsed = parse_ticket(text)
        assert parsed.is_ok() or parsed.error.kind is ErrorKind.TICKET_REQUIRED

    @given(
        st.lists(
            st.tuples(st.sampled_from(["send", "end", "late", "evict", "restart"]))
        )
    )
    def test_no_order_of_events_runs_a_ticket_twice(self, steps):
        asyncio.run(self._run_steps([step for (step,) in steps]))

    async def _run_steps(self, steps):
        clock = FakeClock()
        registry = make_registry(clock)
        text = registry.issue("p").ok
        runs = 0
        for number, step in enumerate(steps):
            match step:
                case "send":
                    found = registry.find(text)
                    if found.is_ok():
                        spent = registry.spend(found.ok, "x")
                        runs += spent.is_ok() and spent.ok
                case "end":
                    found = registry.find(text)
                    if found.is_ok() and found.ok.outcome is not None:
                        registry.record_outcome(found.ok, Ok("done"))
                case "late":
                    clock.at += TICKET_TTL_S
                case "evict":
                    registry.evict_expired(clock.at)
                case "restart":
                    registry = make_registry(clock, incarnation=8 + number)
        assert runs <= 1
