"""Experiment files and what an experiment found."""

from __future__ import annotations

import json
import statistics
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Annotated

from pydantic import Field

from ..settings import BORDER, Name, parse_toml
from .load import LoadResult
from .topology import Topology


@dataclass(frozen=True, slots=True)
class Experiment:
    """One experiment file.

    Attributes
    ----------
    rate : float
        Queries a second.
    seconds : float
        Length of one load.
    runs : int
        Times that each load is repeated.
    """

    __pydantic_config__ = BORDER

    name: Name
    index: Name
    rate: Annotated[float, Field(gt=0)]
    seconds: Annotated[float, Field(gt=0)]
    runs: Annotated[int, Field(ge=1)]
    seed: int
    topology: Topology
    straggler_share: float = 0.01
    p99_limit_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Measure:
    """One figure against its target."""

    measure: str
    value: float
    target: str
    met: bool | None
    runs: int


@dataclass(slots=True)
class Results:
    """Everything that an experiment found.

    Attributes
    ----------
    loads : dict of str to list of LoadResult
        By variant, one for each run.
    extra : dict of str to list of float
        Extra sub-requests as a share of first tries, by variant.
    change : LoadResult or None
        Load while a data centre left and came back.
    """

    experiment: Experiment
    measures: list[Measure] = field(default_factory=list)
    loads: dict[str, list[LoadResult]] = field(default_factory=dict)
    extra: dict[str, list[float]] = field(default_factory=dict)
    change: LoadResult | None = None

    def note(
        self, name: str, value: float, target: str = "none", met: bool | None = None
    ) -> None:
        """Keep and print one measure."""
        runs = self.experiment.runs
        measure = Measure(name, round(value, 4), target, met, runs)
        self.measures.append(measure)
        print(json.dumps(asdict(measure)), flush=True)

    def median_p99(self, variant: str) -> float:
        """Median over the runs of a variant's 99th percentile, in seconds."""
        return statistics.median(item.percentile(99) for item in self.loads[variant])


def read_experiment(path: str) -> Experiment:
    """Read and validate an experiment file."""
    return parse_toml(path, Path(path).read_text(encoding="utf-8"), Experiment)
