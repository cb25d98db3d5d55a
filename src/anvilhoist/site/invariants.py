"""Judge a run of a site by what its callers and replicas saw, and nothing else."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from .caller import PROMISES_NOT_RUN, AttemptResult
from .site import BOOK, SEARCH

ATTEMPTS = 2  # replicas that one attempt may run on, as the site's routes say
OVERRUN_MS = 500.0  # ms by which a deadline handed on may exceed the caller's


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was broken.

    Attributes
    ----------
    invariant, detail : str
        Which, and by what.
    """

    invariant: str
    detail: str


@dataclass(frozen=True, slots=True)
class TrafficCutoff:
    """A replica that was to get nothing more from some time on.

    Attributes
    ----------
    instance : str
        Which.
    at : float
        From when, in seconds.
    """

    instance: str
    at: float


def find_violations(
    results: Sequence[AttemptResult],
    runs: Sequence[dict[str, Any]],
    arrivals: dict[str, list[float]],
    cutoffs: Sequence[TrafficCutoff] = (),
    require_answers: bool = False,
    deadline_ms: float = 2000.0,
) -> list[Violation]:
    """Find every promise that was broken.

    Parameters
    ----------
    results : sequence of AttemptResult
        What came of each attempt.
    runs : sequence of dict
        What the replicas ran.
    arrivals : dict
        Times at which requests reached each instance, in seconds.
    cutoffs : sequence of TrafficCutoff
        Replicas that were to get nothing more.
    require_answers : bool
        Whether every attempt has to be answered, as around planned work.
    deadline_ms : float
        Time that callers waited, in ms.
    """
    sent = {result.attempt: result for result in results}
    violations = [
        Violation("own answer", f"{result.attempt}: {result.answer_error}")
        for result in results
        if result.answer_error
    ]
    violations += _check_runs(sent, runs, deadline_ms)
    for each in cutoffs:
        late = [at for at in arrivals.get(each.instance, ()) if at > each.at]
        if late:
            violations.append(Violation("left", f"{each.instance}: {len(late)} later"))
    if require_answers:
        violations += [
            Violation("answered", f"{result.attempt} {result.path}: {result.detail}")
            for result in results
            if result.status == 0
        ]
    return violations


def _check_runs(
    sent: dict[str, AttemptResult], runs: Sequence[dict[str, Any]], deadline_ms: float
) -> list[Violation]:
    violations: list[Violation] = []
    count: Counter[tuple[str, str]] = Counter()
    services: dict[str, set[str]] = defaultdict(set)
    for run in runs:
        attempt = run["attempt"]
        result = sent.get(attempt)
        count[(attempt, run["service"])] += 1
        services[attempt].add(run["service"])
        if result is None or f"{result.path}{attempt} " not in run["line"]:
            violations.append(Violation("asked", f"{attempt}: {run['line']}"))
            continue
        if not 0 < float(run["left_ms"] or 0) <= deadline_ms + OVERRUN_MS:
            violations.append(Violation("deadline", f"{attempt}: {run['left_ms']} ms"))
    for (attempt, service), runs_there in count.items():
        if runs_there > ATTEMPTS:
            violations.append(
                Violation("attempts", f"{attempt}: {runs_there} {service}")
            )
    for attempt, found in services.items():
        result = sent.get(attempt)
        if result is None or result.path.startswith(SEARCH):
            continue
        total = sum(count[(attempt, service)] for service in found)
        if result.path.startswith(BOOK) and total > 1:
            violations.append(Violation("once", f"{attempt}: {total} runs"))
        if result.path.startswith(BOOK) and result.status in PROMISES_NOT_RUN:
            violations.append(Violation("not run", f"{attempt}: {result.status}"))
    return violations
