from __future__ import annotations

from random import Random

import pytest

from anvilhoist.upstreams.choice import (
    choose_probe_target,
    choose_replica,
    estimate_cost,
)
from anvilhoist.upstreams.health import Health
from anvilhoist.upstreams.replica import Replica
from anvilhoist.upstreams.warmup import WarmupLimiter
from anvilhoist.world.model import ReplicaEntry

TYPICAL_S = 0.04
OWN_DATA_CENTRE = "vaxjo"


class Clock:
    def __init__(self):
        self.at = 100.0

    def __call__(self) -> float:
        return self.at


def make_replica(
    clock, name="i-1", data_centre=OWN_DATA_CENTRE, slots=3, limiter=None
) -> Replica:
    entry = ReplicaEntry(name, "shard", "127.0.0.1:1", data_centre, slots)
    return Replica(entry, clock, lambda: 10, limiter or WarmupLimiter())


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def pair(clock) -> list[Replica]:
    return [make_replica(clock, "i-1"), make_replica(clock, "i-2", "alvesta")]


def answer_request(
    replica: Replica, clock: Clock, duration_s: float, failed=False
) -> None:
    key = replica.health.start_request(clock.at, TYPICAL_S)
    clock.at += duration_s
    replica.health.finish_request(key, clock.at, answered=True, failed=failed)


class TestChooseReplica:
    def choose(self, replicas, clock, tried=()):
        return choose_replica(replicas, OWN_DATA_CENTRE, clock.at, Random(1), tried)

    def test_own_data_centre_first(self, pair, clock):
        assert self.choose(pair, clock) is pair[0]

    def test_a_queue_outweighs_the_cost_of_another_data_centre(self, pair, clock):
        for _ in range(5):
            pair[0].health.start_request(clock.at, TYPICAL_S)
        assert self.choose(pair, clock) is pair[1]

    def test_one_slow_answer_moves_requests_away(self, pair, clock):
        answer_request(pair[0], clock, 10 * TYPICAL_S)
        assert self.choose(pair, clock) is pair[1]

    def test_stalled_replica_is_avoided_before_it_answers(self, pair, clock):
        pair[0].health.start_request(clock.at, TYPICAL_S)
        clock.at += 4 * TYPICAL_S
        assert self.choose(pair, clock) is pair[1]

    def test_slow_replica_is_used_again_later(self, pair, clock):
        answer_request(pair[0], clock, 10 * TYPICAL_S)
        clock.at += 10.0
        assert self.choose(pair, clock) is pair[0]

    def test_failing_replica_is_avoided(self, pair, clock):
        for _ in range(4):
            answer_request(pair[0], clock, TYPICAL_S, failed=True)
        assert self.choose(pair, clock) is pair[1]

    @pytest.mark.parametrize("seed", range(5))
    def test_unrepeatable_requests_avoid_a_replica_that_fails_half(self, clock, seed):
        near = make_replica(clock, "i-1")
        far = [make_replica(clock, f"i-{n}", "alvesta") for n in (2, 3)]
        random = Random(seed)
        lost = 0
        for _ in range(100):
            chosen = choose_replica(
                [near, *far], OWN_DATA_CENTRE, clock.at, random, repeatable=False
            )
            failed = chosen is near and random.random() < 0.5
            lost += failed
            answer_request(chosen, clock, TYPICAL_S, failed)
            clock.at += 0.3
        assert lost <= 10

    def test_tried_draining_and_retired_replicas_are_never_chosen(self, pair, clock):
        assert self.choose(pair, clock, tried=["i-1"]) is pair[1]
        pair[0].retire()
        assert self.choose(pair, clock) is pair[1]
        entry = pair[1].entry
        pair[1].entry = ReplicaEntry(
            entry.instance, "shard", entry.address, "alvesta", 3, draining=True
        )
        assert self.choose(pair, clock) is None

    def test_replica_at_its_connection_limit_is_not_chosen(self, pair, clock):
        pair[0].connection_count = 10
        assert self.choose(pair, clock) is pair[1]

    def test_load_that_a_replica_reports_raises_its_cost(self, pair, clock):
        pair[0].health.record_load(9, clock.at)
        assert self.choose(pair, clock) is pair[1]
        clock.at += 5.0
        assert estimate_cost(pair[0], OWN_DATA_CENTRE, clock.at) == pytest.approx(
            1.0, abs=0.1
        )


class TestUnresponsiveReplica:
    def test_silence_makes_it_unresponsive_until_it_answers(self, pair, clock):
        key = pair[0].health.start_request(clock.at, TYPICAL_S)
        clock.at += 0.5
        assert pair[0].health.is_unresponsive(clock.at)
        assert not pair[0].is_usable(clock.at)
        pair[0].health.finish_request(key, clock.at, answered=True, failed=False)
        assert not pair[0].health.is_unresponsive(clock.at)

    def test_it_stays_unresponsive_when_the_request_is_given_up(self, pair, clock):
        key = pair[0].health.start_request(clock.at, TYPICAL_S)
        clock.at += 0.5
        assert pair[0].health.is_unresponsive(clock.at)
        pair[0].health.finish_request(key, clock.at, answered=False, failed=False)
        assert pair[0].health.is_unresponsive(clock.at)

    def test_next_probe_waits_for_the_probe_interval(self, pair, clock):
        health = pair[0].health
        health.start_request(clock.at, TYPICAL_S)
        clock.at += 0.5
        assert choose_probe_target(pair[:1], clock.at) is pair[0]
        health.probed_at = clock.at
        assert choose_probe_target(pair[:1], clock.at) is None
        clock.at += 0.5
        assert choose_probe_target(pair[:1], clock.at) is pair[0]


class TestHealth:
    def test_age_of_an_abandoned_request_raises_slowness(self, clock):
        health = Health()
        key = health.start_request(clock.at, TYPICAL_S)
        health.finish_request(
            key, clock.at + 6 * TYPICAL_S, answered=False, failed=False
        )
        assert health.estimate_slowness(clock.at + 6 * TYPICAL_S) == pytest.approx(6.0)

    def test_request_abandoned_early_leaves_slowness_unchanged(self, clock):
        health = Health()
        key = health.start_request(clock.at, TYPICAL_S)
        health.finish_request(
            key, clock.at + 0.1 * TYPICAL_S, answered=False, failed=False
        )
        assert health.estimate_slowness(clock.at) == pytest.approx(1.0)


class TestWarmupLimiter:
    def test_two_senders_stay_within_the_rate_in_every_second(self):
        rate = 10.0
        limiters = [WarmupLimiter(lambda: rate), WarmupLimiter(lambda: rate)]
        sent = []
        for limiter in limiters:
            limiter.set_warmup_left(5.0, 0.0)
        for step in range(500):
            now = step / 100
            for limiter in limiters:
                if limiter.admits(now):
                    limiter.record_sent(now)
                    sent.append(now)
        for start in sent:
            window = [at for at in sent if start <= at < start + 1.0]
            assert len(window) <= rate

    def test_only_the_sender_may_send_while_cold(self):
        limiter = WarmupLimiter(lambda: 10.0, lambda: False)
        limiter.set_warmup_left(1.0, 0.0)
        assert not limiter.admits(0.5)
        assert limiter.admits(1.5)

    def test_without_a_rate_there_is_no_limit(self):
        limiter = WarmupLimiter()
        limiter.set_warmup_left(5.0, 0.0)
        assert all(limiter.admits(0.0) for _ in range(100))
