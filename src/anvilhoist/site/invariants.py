"""Invariants of a run, checked only against what callers and replicas recorded."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from .caller import NOT_EXECUTED_STATUSES, AttemptResult
from .site import BOOK_PREFIX, SEARCH_PREFIX

# Most runs of one attempt id at one service; equals `attempts` of the site's routes.
MAX_RUNS_PER_SERVICE = 2
# Amount by which a forwarded deadline may exceed the caller's.
DEADLINE_TOLERANCE_MS = 500.0


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of an invariant.

    Attributes
    ----------
    invariant : str
        Name of the invariant:

        - "own answer": a successful answer belongs to its request, has the right
          records, and accounts for every shard as listed or missing.
        - "asked": replicas run only requests that callers sent.
        - "deadline": a run has a deadline of at most the caller's plus a tolerance.
        - "attempts": an attempt runs at most `MAX_RUNS_PER_SERVICE` times at a service.
        - "once": a booking runs at most once.
        - "not run": a booking runs nowhere if its status promises so.
        - "left": a replica gets no request after its cutoff.
        - "answered": every attempt gets an answer.
        - "recovered": after the faults of a soak, every attempt succeeds.
    detail : str
        The request or replica that violates it, and how.
    """

    invariant: str
    detail: str


@dataclass(frozen=True, slots=True)
class TrafficCutoff:
    """The time from which a replica must not get any requests.

    Attributes
    ----------
    instance : str
        Id of the replica.
    at : float
        Boot time, in seconds.
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
    """Find all violations of the invariants.

    Parameters
    ----------
    results : sequence of AttemptResult
        Results of all attempts of callers.
    runs : sequence of dict
        Requests that the replicas ran, as the stand-ins recorded them.
    arrivals : dict
        Boot times at which requests reached each instance, in seconds.
    cutoffs : sequence of TrafficCutoff
        Replicas that must not get requests from a time on.
    require_answers : bool
        Whether every attempt must be answered, as during planned changes.
    deadline_ms : float
        Time until the deadline that callers set for each request, in ms.
    """
    results_by_attempt = {result.attempt: result for result in results}
    violations = [
        Violation("own answer", f"{result.attempt}: {result.answer_error}")
        for result in results
        if result.answer_error
    ]
    violations += _check_runs(results_by_attempt, runs, deadline_ms)
    for cutoff in cutoffs:
        late_arrivals = [
            at for at in arrivals.get(cutoff.instance, ()) if at > cutoff.at
        ]
        if late_arrivals:
            violations.append(
                Violation(
                    "left",
                    f"{cutoff.instance}: {len(late_arrivals)} requests after cutoff",
                )
            )
    if require_answers:
        violations += [
            Violation("answered", f"{result.attempt} {result.path}: {result.detail}")
            for result in results
            if result.status == 0
        ]
    return violations


def _check_runs(
    results_by_attempt: dict[str, AttemptResult],
    runs: Sequence[dict[str, Any]],
    deadline_ms: float,
) -> list[Violation]:
    violations: list[Violation] = []
    run_counts: Counter[tuple[str, str]] = Counter()
    services_by_attempt: dict[str, set[str]] = defaultdict(set)
    for run in runs:
        attempt = run["attempt"]
        result = results_by_attempt.get(attempt)
        run_counts[(attempt, run["service"])] += 1
        services_by_attempt[attempt].add(run["service"])
        if result is None or f"{result.path}{attempt} " not in run["line"]:
            violations.append(Violation("asked", f"{attempt}: {run['line']}"))
            continue
        if not 0 < float(run["left_ms"] or 0) <= deadline_ms + DEADLINE_TOLERANCE_MS:
            violations.append(
                Violation("deadline", f"{attempt}: {run['left_ms']} ms left")
            )
    for (attempt, service), run_count in run_counts.items():
        if run_count > MAX_RUNS_PER_SERVICE:
            violations.append(
                Violation("attempts", f"{attempt}: {run_count} runs at {service}")
            )
    for attempt, services in services_by_attempt.items():
        result = results_by_attempt.get(attempt)
        if result is None or result.path.startswith(SEARCH_PREFIX):
            continue
        total_runs = sum(run_counts[(attempt, service)] for service in services)
        if result.path.startswith(BOOK_PREFIX) and total_runs > 1:
            violations.append(Violation("once", f"{attempt}: {total_runs} runs"))
        if (
            result.path.startswith(BOOK_PREFIX)
            and result.status in NOT_EXECUTED_STATUSES
        ):
            violations.append(
                Violation("not run", f"{attempt}: ran, but got status {result.status}")
            )
    return violations
