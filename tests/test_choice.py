from __future__ import annotations

from random import Random

import pytest

from anvilhoist.upstreams.choice import choose_probe, choose_replica, estimate_cost
from anvilhoist.upstreams.health import Health
from anvilhoist.upstreams.replica import Replica
from anvilhoist.upstreams.warmup import WarmupLimiter
from anvilhoist.world.model import ReplicaEntry

USUAL_S = 0.04
HERE = "vaxjo"


class Clock:
    def __init__(self):
        self.at = 100.0

    def __call__(self) -> float:
        return self.at


def make_replica(clock, name="i-1", place=HERE, slots=3, limiter=None) -> Replica:
    entry = ReplicaEntry(name, "shard", "127.0.0.1:1", place, slots)
    return Replica(entry, clock, lambda: 10, limiter or WarmupLimiter())


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def pair(clock) -> list[Replica]:
    return [make_replica(clock, "i-1"), make_replica(clock, "i-2", "alvesta")]


def answer(replica: Replica, clock: Clock, took_s: float, failed=False) -> None:
    key = replica.health.start_request(clock.at, USUAL_S)
    clock.at += took_s
    replica.health.finish_request(key, clock.at, answered=True, failed=failed)


class TestChooseReplica:
    def choose(self, replicas, clock, tried=()):
        return choose_replica(replicas, HERE, clock.at, Random(1), tried)

    def test_own_data_centre_first(self, pair, clock):
        assert self.choose(pair, clock) is pair[0]

    def test_a_queue_outweighs_the_way(self, pair, clock):
        for _ in range(5):
            pair[0].health.start_request(clock.at, USUAL_S)
        assert self.choose(pair, clock) is pair[1]

    def test_first_late_answer_moves_requests(self, pair, clock):
        answer(pair[0], clock, 10 * USUAL_S)
        assert self.choose(pair, clock) is pair[1]

    def test_stalled_replica_is_passed_over_before_it_answers(self, pair, clock):
        pair[0].health.start_request(clock.at, USUAL_S)
        clock.at += 4 * USUAL_S
        assert self.choose(pair, clock) is pair[1]

    def test_slow_replica_is_tried_again_later(self, pair, clock):
        answer(pair[0], clock, 10 * USUAL_S)
        clock.at += 10.0
        assert self.choose(pair, clock) is pair[0]

    def test_failing_replica_is_passed_over(self, pair, clock):
        for _ in range(4):
            answer(pair[0], clock, USUAL_S, failed=True)
        assert self.choose(pair, clock) is pair[1]

    def test_tried_draining_and_gone_are_never_chosen(self, pair, clock):
        assert self.choose(pair, clock, tried=["i-1"]) is pair[1]
        pair[0].retire()
        assert self.choose(pair, clock) is pair[1]
        entry = pair[1].entry
        pair[1].entry = ReplicaEntry(
            entry.instance, "shard", entry.address, "alvesta", 3, draining=True
        )
        assert self.choose(pair, clock) is None

    def test_connections_are_bounded(self, pair, clock):
        pair[0].connection_count = 10
        assert self.choose(pair, clock) is pair[1]

    def test_load_that_a_replica_tells_counts(self, pair, clock):
        pair[0].health.record_load(9, clock.at)
        assert self.choose(pair, clock) is pair[1]
        clock.at += 5.0
        assert estimate_cost(pair[0], HERE, clock.at) == pytest.approx(1.0, abs=0.1)


class TestDarkReplica:
    def test_silence_makes_it_dark_and_an_answer_brings_it_back(self, pair, clock):
        key = pair[0].health.start_request(clock.at, USUAL_S)
        clock.at += 0.5
        assert pair[0].health.is_unresponsive(clock.at)
        assert not pair[0].usable(clock.at)
        pair[0].health.finish_request(key, clock.at, answered=True, failed=False)
        assert not pair[0].health.is_unresponsive(clock.at)

    def test_it_stays_dark_when_the_request_is_given_up(self, pair, clock):
        key = pair[0].health.start_request(clock.at, USUAL_S)
        clock.at += 0.5
        assert pair[0].health.is_unresponsive(clock.at)
        pair[0].health.finish_request(key, clock.at, answered=False, failed=False)
        assert pair[0].health.is_unresponsive(clock.at)

    def test_one_probe_at_a_time(self, pair, clock):
        health = pair[0].health
        health.start_request(clock.at, USUAL_S)
        clock.at += 0.5
        assert choose_probe(pair[:1], clock.at) is pair[0]
        health.probed_at = clock.at
        assert choose_probe(pair[:1], clock.at) is None
        clock.at += 0.5
        assert choose_probe(pair[:1], clock.at) is pair[0]


class TestHealth:
    def test_given_up_request_says_at_least_how_slow(self, clock):
        health = Health()
        key = health.start_request(clock.at, USUAL_S)
        health.finish_request(key, clock.at + 6 * USUAL_S, answered=False, failed=False)
        assert health.estimate_slowness(clock.at + 6 * USUAL_S) == pytest.approx(6.0)

    def test_request_given_up_early_says_nothing(self, clock):
        health = Health()
        key = health.start_request(clock.at, USUAL_S)
        health.finish_request(
            key, clock.at + 0.1 * USUAL_S, answered=False, failed=False
        )
        assert health.estimate_slowness(clock.at) == pytest.approx(1.0)


class TestWarmupLimiter:
    def test_bound_holds_in_every_second_for_two_senders(self):
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

    def test_only_the_sender_sends_while_cold(self):
        limiter = WarmupLimiter(lambda: 10.0, lambda: False)
        limiter.set_warmup_left(1.0, 0.0)
        assert not limiter.admits(0.5)
        assert limiter.admits(1.5)

    def test_without_a_named_rate_there_is_no_bound(self):
        limiter = WarmupLimiter()
        limiter.set_warmup_left(5.0, 0.0)
        assert all(limiter.admits(0.0) for _ in range(100))
