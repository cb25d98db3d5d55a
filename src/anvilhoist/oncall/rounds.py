"""List and plot the worth of the rounds in a journal."""

from __future__ import annotations

import json
from collections import defaultdict
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..errors import UsageError

FIGURE_SIZE_INCHES = (11.0, 6.0)
SCORE_COMMAND = "score"  # command of the journal entries that hold a scored round
TROUBLE_SLOTS = ("trouble", "scale")  # slots of the days that count towards the worth


@dataclass(frozen=True, slots=True)
class Round:
    """One scored round of a site.

    Attributes
    ----------
    site, at, why : str
        Name of the site, time of the round, and its stated purpose.
    mean_worth : float
        Mean worth of the days with trouble; 0 if there were none.
    lowest_worth : float
        Lowest worth of these days; 0 if there were none.
    passed : bool
        Whether the gate was passed.
    """

    site: str
    at: str
    why: str
    mean_worth: float
    lowest_worth: float
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
        if entry.get("cmd") == SCORE_COMMAND and entry.get("days"):
            rounds.append(_parse_round(entry))
    if not rounds:
        raise UsageError(f"{folder}: no scored round")
    return rounds


def plot_rounds(rounds: list[Round], path: str) -> None:
    """Write one plot with the worth of every site's rounds."""
    # The other commands need no plotting library and start faster without it.
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    by_site: dict[str, list[Round]] = defaultdict(list)
    for scored in rounds:
        by_site[scored.site].append(scored)
    figure, axes = pyplot.subplots(figsize=FIGURE_SIZE_INCHES)
    for site, site_rounds in sorted(by_site.items()):
        numbers = range(1, len(site_rounds) + 1)
        (line,) = axes.plot(
            numbers,
            [scored.mean_worth for scored in site_rounds],
            marker="o",
            label=f"{site}, mean",
        )
        axes.plot(
            numbers, [scored.lowest_worth for scored in site_rounds], linestyle=":",
            color=line.get_color(), label=f"{site}, worst day",
        )  # fmt: skip
        for number, scored in zip(numbers, site_rounds, strict=True):
            if not scored.passed:
                axes.plot(
                    number, scored.mean_worth, marker="x", color="red", markersize=12
                )
    axes.set_xlabel("round of the site (red cross: gate failed)")
    axes.set_ylabel("worth, days with trouble")
    axes.set_ylim(0.0, 1.0)
    axes.grid(alpha=0.3)
    axes.legend(loc="lower right", fontsize=8)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def format_rounds(rounds: list[Round]) -> list[str]:
    """Return one line for each round."""
    return [
        f"{scored.at} {scored.site:24} {scored.mean_worth:.3f} "
        f"lowest {scored.lowest_worth:.3f} "
        f"{'passed' if scored.passed else 'FAILED'}  {scored.why}"
        for scored in rounds
    ]


def _parse_round(entry: dict[str, Any]) -> Round:
    worths = [day["G"] for day in entry["days"] if day.get("slot") in TROUBLE_SLOTS]
    return Round(
        site=entry["site"],
        at=entry["at"][0],
        why=entry.get("why") or "",
        mean_worth=sum(worths) / len(worths) if worths else 0.0,
        lowest_worth=min(worths, default=0.0),
        passed=entry.get("figures", {}).get("gate") == 1.0,
    )
