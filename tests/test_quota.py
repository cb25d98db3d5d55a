"""Replicas that name a rate limit for all VMs together, played in virtual time."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from anvilhoist.errors import ERROR_RESPONSES, ErrorKind, Executed
from anvilhoist.peers.members import RECENT_S
from anvilhoist.upstreams.quota import (
    BURST_REQUESTS,
    MIN_RATE,
    SenderRank,
    compute_share,
)
from virtual_fleet import GATHER_ROUTE, SINGLE_ROUTE, VirtualFleet
from virtual_time import run_in_virtual_time

pytestmark = pytest.mark.usefixtures("quiet_logs")

WINDOW_S = 4.0
GRACE_S = 4.0  # after a replica first named a limit, for all VMs to follow
EXCESS_RATIO = 1.5  # of the limit, that a replica may get in a window
EXCESS_REQUESTS = 5  # besides


def count_allowed(limit: float) -> float:
    """Return how many requests a replica may get in a window."""
    return EXCESS_RATIO * limit * WINDOW_S + EXCESS_REQUESTS


def count_most(fleet: VirtualFleet, instance: str, since: float | None = None) -> int:
    """Return the most requests in a window after the grace period."""
    if since is None:
        since = fleet.replicas.named_at[instance] + GRACE_S
    return fleet.replicas.count_most(instance, WINDOW_S, since)


class TestSumOverVms:
    """Load: queries at all VMs; one of two replicas of a shard names a limit."""

    @pytest.mark.parametrize(
        ("vms", "limit", "rate"),
        [(4, 12.8, 45), (4, 5.8, 90), (4, 0.0, 45), (33, 2.7, 28), (78, 5.6, 60)],
    )
    def test_replica_gets_no_more_than_it_named_from_all_vms_together(
        self, monkeypatch, vms, limit, rate
    ):
        async def run():
            fleet = VirtualFleet(monkeypatch, vms)
            await fleet.play(3.0, rate)
            fleet.replicas.limits["shard-1-0"] = b"%.1f" % limit
            await fleet.play(14.0, rate)
            assert count_most(fleet, "shard-1-0") <= count_allowed(limit)
            assert set(fleet.results) == {"whole"}

        run_in_virtual_time(run())

    def test_sum_holds_while_vms_leave_are_killed_and_start_again(self, monkeypatch):
        async def run():
            fleet = VirtualFleet(monkeypatch, 4)
            fleet.replicas.limits["shard-1-0"] = b"5.8"
            await fleet.play(5.0, 60)
            fleet.leave(1)
            await fleet.play(2.0, 60, hosts=["10.0.0.2", "10.0.0.3", "10.0.0.4"])
            fleet.kill(1)
            fleet.kill(2)
            await fleet.play(1.0, 60)
            fleet.start(1)
            await fleet.play(4.0, 60)
            fleet.start(2)
            await fleet.play(6.0, 60)
            assert count_most(fleet, "shard-1-0") <= count_allowed(5.8)

        run_in_virtual_time(run())

    @pytest.mark.parametrize("vms", [4, 25])
    def test_sum_holds_while_vms_do_not_reach_each_other(self, monkeypatch, vms):
        async def run():
            fleet = VirtualFleet(monkeypatch, vms)
            fleet.replicas.limits["shard-1-0"] = b"6.0"
            await fleet.play(6.0, 60)
            fleet.separated = {f"10.0.0.{n}" for n in range(1, vms // 2 + 1)}
            await fleet.play(RECENT_S, 60)
            fleet.separated = set()
            await fleet.play(4.0, 60)
            assert count_most(fleet, "shard-1-0") <= count_allowed(6.0)

        run_in_virtual_time(run())

    @pytest.mark.parametrize("limit", [0.5, 5.6])
    def test_sum_holds_when_an_entry_lapses_and_returns(self, monkeypatch, limit):
        # Guards against a limit that is forgotten with the entry of its replica.
        async def main():
            fleet = VirtualFleet(monkeypatch, 4)
            fleet.replicas.limits["shard-0-0"] = str(limit).encode()
            fleet.replicas.answer_s = 0.2  # until then a VM without a limit sends more
            await fleet.play(12.0, 90)
            for _ in range(3):
                entry = fleet.remove_entry("shard-0-0")
                await fleet.play(1.0, 90)
                fleet.put_entry(entry)
                await fleet.play(5.0, 90)
            return fleet

        fleet = run_in_virtual_time(main())
        assert count_most(fleet, "shard-0-0") <= count_allowed(limit)

    def test_sum_holds_after_a_pause_of_all_callers(self, monkeypatch):
        async def run():
            fleet = VirtualFleet(monkeypatch, 33)
            fleet.replicas.limits["shard-1-0"] = b"2.7"
            fleet.replicas.limits["shard-1-1"] = b"2.7"
            await fleet.play(6.0, 28)
            await asyncio.sleep(20.0)
            await fleet.play(4.0, 200)
            for instance in ("shard-1-0", "shard-1-1"):
                assert count_most(fleet, instance) <= count_allowed(2.7)

        run_in_virtual_time(run())


class TestNamedLimit:
    """Load: queries at all VMs of a small fleet; what a replica names changes."""

    def play(self, monkeypatch, *phases: bytes | None, seconds=8.0):
        """Return the fleet after phases in each of which `shard-1-0` names a limit."""

        async def run():
            fleet = VirtualFleet(monkeypatch, 4)
            for phase in phases:
                fleet.phase_at = asyncio.get_running_loop().time()
                if phase is None:
                    fleet.replicas.limits.pop("shard-1-0", None)
                else:
                    fleet.replicas.limits["shard-1-0"] = phase
                await fleet.play(seconds, 45)
            return fleet

        return run_in_virtual_time(run())

    def test_lower_limit_is_followed(self, monkeypatch):
        fleet = self.play(monkeypatch, b"12.0", b"4.0")
        since = fleet.phase_at + 1.0
        assert count_most(fleet, "shard-1-0", since) <= count_allowed(4.0)

    def test_higher_limit_is_used(self, monkeypatch):
        fleet = self.play(monkeypatch, b"2.0", b"16.0", seconds=12.0)
        since = fleet.phase_at + GRACE_S
        assert count_most(fleet, "shard-1-0", since) > count_allowed(2.0)

    @pytest.mark.parametrize("limit", [b"3.0", b"0", b"0.0"])
    def test_withdrawn_limit_is_forgotten_by_all_vms(self, monkeypatch, limit):
        fleet = self.play(monkeypatch, limit, None, seconds=15.0)
        replicas = [f.replicas.by_instance["shard-1-0"] for f in fleet.fronts.values()]
        assert not any(replica.quota.is_limited for replica in replicas)

    @pytest.mark.parametrize(
        "value",
        [b"", b"-1", b"nan", b"inf", b"1e3", b"3 per s", b"0x3", b"9" * 18, b"9" * 400],
    )
    def test_value_that_is_no_number_or_enormous_limits_nothing(
        self, monkeypatch, value
    ):
        fleet = self.play(monkeypatch, value)
        assert count_most(fleet, "shard-1-0", 4.0) > count_allowed(3.0)
        for front in fleet.fronts.values():
            assert len(front.members.list_alive_hosts()) == 3
        assert set(fleet.results) == {"whole"}

    def test_invalid_value_leaves_the_known_limit(self, monkeypatch):
        fleet = self.play(monkeypatch, b"4.0", b"many")
        assert count_most(fleet, "shard-1-0") <= count_allowed(4.0)

    def test_limit_of_a_replaced_replica_does_not_hold_for_the_new_one(
        self, monkeypatch
    ):
        async def run():
            fleet = VirtualFleet(monkeypatch, 4)
            fleet.replicas.limits["shard-1-0"] = b"2.0"
            await fleet.play(6.0, 45)
            del fleet.replicas.limits["shard-1-0"]
            for front in fleet.fronts.values():
                entry = front.replicas.by_instance["shard-1-0"].entry
                front.replicas.update("shard-1-0", replace(entry, born_ms=2))
            await fleet.play(6.0, 45)
            for front in fleet.fronts.values():
                assert not front.replicas.by_instance["shard-1-0"].quota.is_limited

        run_in_virtual_time(run())


class TestNoRoom:
    """Load: more requests than all replicas of a service accept together."""

    def play(self, monkeypatch, route, limit: bytes, vms=4, hosts=None) -> VirtualFleet:
        async def run():
            fleet = VirtualFleet(monkeypatch, vms)
            for service in ("shard-0", "shard-1"):
                for copy in "01":
                    fleet.replicas.limits[f"{service}-{copy}"] = limit
            await fleet.play(12.0, 40, route, hosts)
            return fleet

        fleet = run_in_virtual_time(run())
        for instance in fleet.replicas.named_at:
            assert count_most(fleet, instance) <= count_allowed(float(limit))
        return fleet

    def test_query_goes_on_without_the_shard(self, monkeypatch):
        fleet = self.play(monkeypatch, GATHER_ROUTE, b"4.0")
        assert set(fleet.results) == {"whole", "partial"}

    def test_request_is_refused_at_once(self, monkeypatch):
        fleet = self.play(monkeypatch, SINGLE_ROUTE, b"4.0")
        assert set(fleet.results) == {"whole", "replicas_limited"}
        assert max(fleet.refusal_s) < 0.01
        response = ERROR_RESPONSES[ErrorKind.REPLICAS_LIMITED]
        assert (response.status, response.executed) == (503, Executed.NO)

    def test_most_of_the_limit_is_used(self, monkeypatch):
        fleet = self.play(monkeypatch, SINGLE_ROUTE, b"4.0")
        arrivals = [at for at in fleet.replicas.arrivals["shard-0-0"] if at > GRACE_S]
        assert len(arrivals) >= 0.8 * 4.0 * (12.0 - GRACE_S)

    def test_request_finds_a_vm_that_may_send_in_a_large_fleet(self, monkeypatch):
        async def run():
            fleet = VirtualFleet(monkeypatch, 33, copies=3)
            for copy in "012":
                fleet.replicas.limits[f"shard-0-{copy}"] = b"4.0"
            await fleet.play(6.0, 6, SINGLE_ROUTE)
            fleet.results.clear()
            await fleet.play(60.0, 6, SINGLE_ROUTE)
            for copy in "012":
                assert count_most(fleet, f"shard-0-{copy}") <= count_allowed(4.0)
            return fleet.results

        results = run_in_virtual_time(run())
        assert results["whole"] >= 2 / 3 * results.total()

    def test_one_vm_with_all_callers_has_its_share(self, monkeypatch):
        fleet = self.play(monkeypatch, SINGLE_ROUTE, b"4.0", hosts=["10.0.0.1"])
        arrivals = [at for at in fleet.replicas.arrivals["shard-0-0"] if at > GRACE_S]
        assert len(arrivals) >= 0.8 * 4.0 / 4 * (12.0 - GRACE_S)


class TestQuotaShares:
    @example(limit=2.7, vms=890)
    @example(limit=0.0, vms=78)
    @example(limit=1e6, vms=1)
    @given(st.floats(0.0, 500.0), st.integers(1, 890))
    def test_all_shares_add_up_to_no_more_than_the_limit(self, limit, vms):
        shares = [compute_share(limit, SenderRank(rank, vms)) for rank in range(vms)]
        rate = max(limit, MIN_RATE)
        assert sum(share.rate for share in shares) <= rate + 1e-9
        most = sum(int(share.burst + WINDOW_S * share.rate) for share in shares)
        assert most <= WINDOW_S * rate + limit + BURST_REQUESTS + 1e-9
        assert all(share.burst >= 1.0 for share in shares if share.rate)

    def test_two_views_of_who_may_send_stay_within_the_excess(self):
        for limit in (0.0, 2.7, 5.6, 12.8):
            sent = WINDOW_S * max(limit, MIN_RATE) + limit + BURST_REQUESTS
            assert sent * 1.15 <= count_allowed(limit)
