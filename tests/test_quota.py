"""Replicas that name a rate limit for all VMs together, played in virtual time."""

from __future__ import annotations

import logging

import pytest
import structlog

from virtual_fleet import VirtualFleet
from virtual_time import run_in_virtual_time

WINDOW_S = 4.0
GRACE_S = 4.0  # after a replica first named a limit, for all VMs to follow
EXCESS_RATIO = 1.5  # of the limit, that a replica may get in a window
EXCESS_REQUESTS = 5  # besides


@pytest.fixture(autouse=True)
def quiet_logs():
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    yield
    structlog.reset_defaults()


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
            await fleet.play(20.0, rate)
            assert count_most(fleet, "shard-1-0") <= count_allowed(limit)
            assert set(fleet.results) == {"whole"}

        run_in_virtual_time(run())
