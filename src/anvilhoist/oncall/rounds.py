"""Draw worth, served share and price over the rounds in the journal."""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..errors import UsageError

SIZE_INCHES = (11.0, 6.0)
SCORED = "score"
WITH_TROUBLE = ("trouble", "scale")


@dataclass(frozen=True, slots=True)
class Round:
    """One scored round of a site.

    Attributes
    ----------
    site, at, why : str
        Which site, when, and what for.
    worth : float
        Mean over the days with trouble.
    lowest : float
        Worth of the worst of these days.
    passed : bool
        Whether the gate was passed.
    """

    site: str
    at: str
    why: str
    worth: float
    lowest: float
    passed: bool


def read_rounds(folder: str) -> list[Round]:
    """Read the scored rounds of a journal, oldest first.

    Raises
    ------
    UsageError
        If the folder holds no scored round.
    """
    rounds: list[Round] = []
    for path in sorted(Path(folder).glob("*.json")):
        entry = json.loads(path.read_text(encoding="utf-8"))
        if entry.get("cmd") == SCORED and entry.get("days"):
            rounds.append(_read_one(entry))
    if not rounds:
        raise UsageError(f"{folder}: no scored round")
    return rounds


def draw_rounds(rounds: list[Round], path: str) -> None:
    """Draw the rounds of every site into one picture."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    by_site: dict[str, list[Round]] = defaultdict(list)
    for each in rounds:
        by_site[each.site].append(each)
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    for site, found in sorted(by_site.items()):
        numbers = range(1, len(found) + 1)
        (line,) = axes.plot(
            numbers, [each.worth for each in found], marker="o", label=f"{site}, mean"
        )
        axes.plot(
            numbers, [each.lowest for each in found], linestyle=":",
            color=line.get_color(), label=f"{site}, worst day",
        )  # fmt: skip
        for number, each in zip(numbers, found, strict=True):
            if not each.passed:
                axes.plot(number, each.worth, marker="x", color="red", markersize=12)
    axes.set_xlabel("round of the site (red cross: gate failed)")
    axes.set_ylabel("worth, days with trouble")
    axes.set_ylim(0.0, 1.0)
    axes.grid(alpha=0.3)
    axes.legend(loc="lower right", fontsize=8)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def format_rounds(rounds: list[Round]) -> list[str]:
    """One line for each round."""
    return [
        f"{each.at} {each.site:24} {each.worth:.3f} lowest {each.lowest:.3f} "
        f"{'passed' if each.passed else 'FAILED'}  {each.why}"
        for each in rounds
    ]


def _read_one(entry: dict[str, Any]) -> Round:
    days = [day["G"] for day in entry["days"] if day.get("slot") in WITH_TROUBLE]
    return Round(
        site=entry["site"],
        at=entry["at"][0],
        why=entry.get("why") or "",
        worth=sum(days) / len(days) if days else 0.0,
        lowest=min(days, default=0.0),
        passed=entry.get("figures", {}).get("gate") == 1.0,
    )
