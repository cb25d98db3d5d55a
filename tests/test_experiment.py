"""Experiments on a small site."""

from __future__ import annotations

import asyncio

import pytest

from anvilhoist.errors import UsageError
from anvilhoist.site.drill import drill
from anvilhoist.site.experiment import experiment, plot_results, run_case


class TestArguments:
    @pytest.mark.parametrize(
        ("arguments", "problem"),
        [
            ({"cases": "calm,rain"}, "rain"),
            ({"vms": "3,many"}, "not a list of whole numbers"),
        ],
    )
    def test_invalid_argument_is_named(self, arguments, problem):
        with pytest.raises(UsageError, match=problem):
            experiment(**arguments)


@pytest.mark.process
class TestRunCase:
    def test_unresponsive_replica_leaves_most_searches_complete(self, tmp_path):
        measured = asyncio.run(run_case("dark", 2, rate=30.0, seconds=2.0))
        assert measured.served == 1.0
        assert measured.whole > 0.9
        assert 0.0 < measured.cores < 1.0
        plot_results([measured], str(tmp_path / "picture.png"))
        assert (tmp_path / "picture.png").stat().st_size > 0


class TestDrillArguments:
    def test_invalid_size_is_named(self):
        with pytest.raises(UsageError, match="not a list of whole numbers"):
            drill(vms="4,many")
