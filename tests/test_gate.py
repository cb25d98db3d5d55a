from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from anvilhoist.errors import Failure, Kind
from anvilhoist.searches.documents import Group
from anvilhoist.searches.gate import IDLE_TRUST_S, Gate
from fakes import FakeClock

GROUP = Group(slots=3, connections=30, replicas={}, cold_slots=1, ramp_ms=1000)
STEPS = ("enter", "leave", "cold", "ok", "cancel", "wait")


def make_gate(clock: FakeClock) -> Gate:
    return Gate(GROUP, clock, check=lambda: None, tell=lambda event, reason: None)


def warm_up(gate: Gate, clock: FakeClock) -> None:
    for _ in range(12):
        gate.note_success("a#1", says_cold=False, service_s=0.005)
        clock.at += 0.1
    assert gate.limit == 3


class TestTemperature:
    def test_a_new_owner_treats_a_replica_as_cold(self):
        clock = FakeClock()
        gate = make_gate(clock)
        assert gate.limit == 1
        warm_up(gate, clock)

    def test_a_fresh_incarnation_is_cold_whatever_it_reports(self):
        clock = FakeClock()
        gate = make_gate(clock)
        warm_up(gate, clock)
        gate.note_success("a#2", says_cold=False, service_s=0.005)
        assert gate.limit == 1

    def test_an_idle_replica_is_not_trusted_until_the_same_run_answers(self):
        clock = FakeClock()
        gate = make_gate(clock)
        warm_up(gate, clock)
        clock.at += IDLE_TRUST_S + 0.1
        assert gate.limit == 1
        gate.note_success("a#1", says_cold=False, service_s=0.005)
        assert gate.limit == 3

    def test_a_closed_connection_takes_the_trust_away(self):
        clock = FakeClock()
        gate = make_gate(clock)
        warm_up(gate, clock)
        gate.note_unproven()
        assert gate.limit == 1

    def test_answers_that_turn_slow_in_a_row_are_evidence(self):
        clock = FakeClock()
        gate = make_gate(clock)
        warm_up(gate, clock)
        gate.note_success("a#1", says_cold=False, service_s=0.2)
        assert gate.limit == 3
        for _ in range(2):
            gate.note_success("a#1", says_cold=False, service_s=0.2)
        assert gate.limit == 1

    def test_a_new_owner_goes_on_with_the_ramp_of_the_old_one(self):
        clock = FakeClock()
        gate = make_gate(clock)
        gate.adopt("a#1", ramp_age_s=2.0)
        assert gate.limit == 1
        gate.note_success("a#1", says_cold=False, service_s=0.005)
        assert gate.limit == 3
        other = make_gate(clock)
        other.adopt("a#1", ramp_age_s=2.0)
        other.note_success("a#2", says_cold=False, service_s=0.005)
        assert other.limit == 1


class TestSlots:
    def test_work_granted_before_a_fall_into_cold_start_is_not_sent(self):
        async def run():
            clock = FakeClock()
            gate = make_gate(clock)
            warm_up(gate, clock)
            for _ in range(2):
                assert (await gate.enter(clock.at + 1, 5)).is_ok()
            assert gate.begin() is None
            gate.note_cold("it shed load")
            assert gate.begin().kind is Kind.QUEUE_FULL

        asyncio.run(run())

    def test_queue_is_bounded_and_drops_what_is_past_its_deadline(self):
        async def run():
            clock = FakeClock()
            gate = make_gate(clock)
            assert (await gate.enter(clock.at + 1, 1)).is_ok()
            waiting = asyncio.create_task(gate.enter(clock.at + 1, 1))
            await asyncio.sleep(0)
            full = await gate.enter(clock.at + 1, 1)
            assert full.error.kind is Kind.QUEUE_FULL
            clock.at += 5
            gate.leave(has_begun=False)
            assert (await waiting).error.kind is Kind.QUEUE_EXPIRED

        asyncio.run(run())

    def test_a_waiter_is_refused_when_work_becomes_forbidden(self):
        async def run():
            clock = FakeClock()
            allowed = [None]
            gate = Gate(GROUP, clock, lambda: allowed[0], lambda event, reason: None)
            assert (await gate.enter(clock.at + 1, 5)).is_ok()
            waiting = asyncio.create_task(gate.enter(clock.at + 1, 5))
            await asyncio.sleep(0)
            allowed[0] = Failure(Kind.OUT_OF_SERVICE)
            gate.leave(has_begun=False)
            assert (await waiting).error.kind is Kind.OUT_OF_SERVICE

        asyncio.run(run())

    @given(
        st.lists(st.sampled_from(["enter", "leave", "cold", "ok", "cancel", "wait"]))
    )
    def test_work_begun_never_exceeds_the_limit_at_its_first_byte(self, steps):
        asyncio.run(self._play(steps))

    async def _play(self, steps):
        clock = FakeClock()
        gate = make_gate(clock)
        waiting, sent, granted = [], 0, 0
        for step in steps:
            clock.at += 0.3 if step == "wait" else 0.01
            match step:
                case "enter":
                    waiting.append(asyncio.create_task(gate.enter(clock.at + 1, 4)))
                case "cancel" if waiting:
                    waiting.pop().cancel()
                case "cold":
                    gate.note_cold("test")
                case "ok":
                    gate.note_success("a#1", says_cold=False, service_s=0.005)
                case "leave" if sent:
                    sent -= 1
                    gate.leave(has_begun=True)
            await asyncio.sleep(0)
            for task in [task for task in waiting if task.done()]:
                waiting.remove(task)
                if not task.cancelled() and task.result().is_ok():
                    granted += 1
            while granted:
                granted -= 1
                limit = gate.limit
                if gate.begin() is None:
                    sent += 1
                    assert sent <= limit
                else:
                    gate.leave(has_begun=False)
        for task in waiting:
            task.cancel()
        assert gate.begun == sent
