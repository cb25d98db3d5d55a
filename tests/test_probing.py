"""Signs of life of the store beside a call, and what they rule out."""

from __future__ import annotations

import asyncio
import math

import pytest

from anvilhoist.world.probing import (
    PROBE_INTERVAL_S,
    SignOfLife,
    find_longest_gap,
    probe_beside,
)
from virtual_time import run_in_virtual_time


def play(probe, call_s=math.inf, until=10.0):
    """Return the sign of life that is found, and when."""

    async def run():
        loop = asyncio.get_running_loop()
        call = loop.create_future()
        if call_s < math.inf:
            loop.call_later(call_s, call.set_result, None)
        found = await probe_beside(call, probe, loop.time, until)
        return found, loop.time()

    return run_in_virtual_time(run())


def make_probe(*answers: tuple[float, bool]):
    """Return a probe whose calls take these times, in seconds, and are so answered."""
    left = list(answers)

    async def probe() -> bool:
        delay_s, answered = left.pop(0)
        await asyncio.sleep(delay_s)
        return answered

    return probe


class TestProbeBeside:
    def test_first_probe_is_answered(self):
        found, at = play(make_probe((0.1, True)))
        assert found == SignOfLife(0.0, pytest.approx(0.1))
        assert at == pytest.approx(0.1)

    def test_late_answer_to_the_first_probe_counts(self):
        # Guards against a late answer that is taken for none.
        found, _ = play(make_probe((0.5, True), (0.5, True)))
        assert found == SignOfLife(0.0, pytest.approx(0.5))

    def test_lost_probe_is_followed_by_another(self):
        found, _ = play(make_probe((0.8, False), (0.0, True)))
        assert found.asked_at == pytest.approx(PROBE_INTERVAL_S)

    def test_refused_probes_are_paced_up_to_the_end(self):
        calls = []

        async def refuse() -> bool:
            calls.append(None)
            return False

        found, at = play(refuse, until=1.0)
        assert found is None
        assert len(calls) == 4
        assert at == pytest.approx(1.0)

    def test_answer_to_the_call_ends_it(self):
        found, at = play(make_probe((0.8, False), (0.8, False)), call_s=0.4)
        assert found is None
        assert at == pytest.approx(0.4)

    def test_no_probe_beside_a_call_that_has_ended(self):
        async def run():
            call = asyncio.get_running_loop().create_future()
            call.set_result(None)
            return await probe_beside(call, make_probe(), lambda: 0.0, 1.0)

        assert run_in_virtual_time(run()) is None

    def test_nothing_is_left_running(self):
        async def run():
            call = asyncio.get_running_loop().create_future()
            probe = make_probe((9.0, True), (9.0, True), (9.0, True), (9.0, True))
            await probe_beside(call, probe, lambda: 0.0, 1.0)
            await asyncio.sleep(0)
            return asyncio.all_tasks() - {asyncio.current_task()}

        assert run_in_virtual_time(run()) == set()


class TestFindLongestGap:
    @pytest.mark.parametrize(
        ("signs", "gap_s"),
        [
            ([], 3.0),
            ([None, None], 3.0),
            ([SignOfLife(1.0, 1.1)], 2.0),
            ([SignOfLife(1.0, 2.5)], 2.5),
            ([SignOfLife(1.0, 1.1), None, SignOfLife(2.0, 2.9)], 1.9),
            ([None, SignOfLife(2.8, 2.9)], 2.9),
        ],
    )
    def test_sign_is_dated_by_when_it_was_asked_for(self, signs, gap_s):
        # Guards against an outage between a probe and its late answer.
        assert find_longest_gap(0.0, signs, 3.0) == pytest.approx(gap_s)
