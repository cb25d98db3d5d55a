"""Writes docs/FAULT-MATRIX.md from the scenarios' tags.

Run ``python tests/matrix.py`` after a change of scenarios or reasons.
"""

from __future__ import annotations

import re
import tomllib
from dataclasses import dataclass
from itertools import product
from pathlib import Path

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "FAULT-MATRIX.md"
REASONS = ROOT / "docs" / "fault-matrix.toml"
FEATURES = ROOT / "tests" / "features"

FAULTS = (
    "straggler",
    "replica_killed",
    "replica_lost",
    "repartition",
    "cold_start",
    "lying_report",
    "platform_down",
    "platform_stale",
    "pause",
    "partition",
    "vm_killed",
    "vm_empty",
    "operators_race",
)
REQUEST_STEPS = ("resolve", "admit", "pin", "send", "wait", "hedge", "merge", "answer")
CONTROL_STEPS = ("apply", "change_owner", "shut_down", "spend")
STEPS = REQUEST_STEPS + CONTROL_STEPS
POINTS = tuple(range(1, 11))


@dataclass(frozen=True, slots=True)
class Scenario:
    """One scenario and what its tags say."""

    number: int
    name: str
    level: str
    points: tuple[int, ...]
    faults: tuple[str, ...]
    steps: tuple[str, ...]

    @property
    def key(self) -> str:
        return f"S{self.number}"


def read_scenarios() -> list[Scenario]:
    found = []
    for path in sorted(FEATURES.rglob("*.feature")):
        tags: set[str] = set()
        for line in path.read_text(encoding="utf-8").splitlines():
            text = line.strip()
            if text.startswith("@"):
                tags = set(re.findall(r"@(\w+)", text))
            elif text.startswith("Scenario:"):
                name = text.removeprefix("Scenario:").strip()
                found.append(_read(len(found) + 1, name, path.parent.name, tags))
                tags = set()
    return found


def _read(number: int, name: str, level: str, tags: set[str]) -> Scenario:
    return Scenario(
        number,
        name,
        level,
        tuple(point for point in POINTS if f"invariant_{point}" in tags),
        tuple(fault for fault in FAULTS if f"fault_{fault}" in tags),
        tuple(step for step in STEPS if f"step_{step}" in tags),
    )


def read_reasons() -> tuple[list[str], dict[tuple[str, str], str]]:
    rules = tomllib.loads(REASONS.read_text(encoding="utf-8"))["ruled_out"]
    cells = {}
    for number, rule in enumerate(rules, start=1):
        for cell in product(rule["faults"], rule["steps"]):
            cells.setdefault(cell, f"R{number}")
    return [rule["reason"] for rule in rules], cells


def write_page() -> str:
    scenarios = read_scenarios()
    reasons, ruled_out = read_reasons()
    cells = {cell: _fill(cell, scenarios, ruled_out) for cell in product(FAULTS, STEPS)}
    counts = {
        kind: sum(text.startswith(kind) for text in cells.values()) for kind in "SR-"
    }
    lines = [
        "# Fault matrix",
        "",
        "Written by `python tests/matrix.py` from the scenarios' tags and",
        "`docs/fault-matrix.toml`; a test compares it with both.",
        "",
        f"Of {len(cells)} cells {counts['S']} are proved by a scenario, "
        f"{counts['R']} are ruled out and {counts['-']} (marked -) are not proved.",
        "",
    ]
    for title, steps in (("a request", REQUEST_STEPS), ("control", CONTROL_STEPS)):
        lines += [f"## Steps of {title}", "", "| fault | " + " | ".join(steps) + " |"]
        lines.append("|---" * (len(steps) + 1) + "|")
        for fault in FAULTS:
            row = " | ".join(cells[(fault, step)] for step in steps)
            lines.append(f"| {fault} | {row} |")
        lines.append("")
    lines += ["## Points and faults", "", "| point | " + " | ".join(FAULTS) + " |"]
    lines.append("|---" * (len(FAULTS) + 1) + "|")
    for point in POINTS:
        row = " | ".join(_fill_point(point, fault, scenarios) for fault in FAULTS)
        lines.append(f"| {point} | {row} |")
    lines += ["", "## Scenarios", ""]
    lines += [
        f"- {item.key} (points {', '.join(map(str, item.points))}, "
        f"{item.level}): {item.name}"
        for item in scenarios
    ]
    lines += ["", "## Ruled out", ""]
    lines += [f"- R{number}: {text}" for number, text in enumerate(reasons, start=1)]
    return "\n".join(lines) + "\n"


def _fill(
    cell: tuple[str, str],
    scenarios: list[Scenario],
    ruled_out: dict[tuple[str, str], str],
) -> str:
    fault, step = cell
    keys = [
        item.key for item in scenarios if fault in item.faults and step in item.steps
    ]
    return ", ".join(keys) or ruled_out.get(cell, "-")


def _fill_point(point: int, fault: str, scenarios: list[Scenario]) -> str:
    keys = [
        item.key for item in scenarios if point in item.points and fault in item.faults
    ]
    return ", ".join(keys) or "-"


if __name__ == "__main__":
    PAGE.write_text(write_page(), encoding="utf-8")
