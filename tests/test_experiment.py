"""Experiments on a small site."""

from __future__ import annotations

import asyncio

import pytest

from anvilhoist.errors import UsageError
from anvilhoist.site.experiment import experiment, plot_results, run_case


class TestArguments:
    @pytest.mark.parametrize(
        ("arguments", "problem"),
        [({"cases": "calm,rain"}, "rain"), ({"vms": "3,many"}, "no numbers")],
    )
    def test_what_makes_no_sense_is_named(self, arguments, problem):
        with pytest.raises(UsageError, match=problem):
            experiment(**arguments)


@pytest.mark.process
class TestRunCase:
    def test_dark_replica_costs_no_shard(self, tmp_path):
        found = asyncio.run(run_case("dark", 2, rate=30.0, seconds=2.0))
        assert found.served == 1.0
        assert found.whole > 0.9
        assert 0.0 < found.cores < 1.0
        plot_results([found], str(tmp_path / "picture.png"))
        assert (tmp_path / "picture.png").stat().st_size > 0
