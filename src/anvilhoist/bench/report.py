"""Reports of experiments: a page of figures and two plots."""

from __future__ import annotations

from pathlib import Path

import matplotlib
import numpy as np

matplotlib.use("Agg")

from matplotlib import pyplot

from .results import Results

SIZE_INCHES = (9.0, 5.0)


def write_report(results: Results, folder: Path) -> str:
    """Write the report of an experiment.

    Returns
    -------
    str
        Path of the page.
    """
    folder.mkdir(parents=True, exist_ok=True)
    name = results.experiment.name
    _plot_latency(results, folder / f"{name}-latency.png")
    _plot_change(results, folder / f"{name}-change.png")
    page = folder / f"{name}.md"
    page.write_text(_write_page(results), encoding="utf-8")
    return str(page)


def _write_page(results: Results) -> str:
    name = results.experiment.name
    lines = [f"# {name}", "", "| measure | value | target | met |", "|---|---|---|---|"]
    lines += [
        f"| {item.measure} | {item.value:g} | {item.target} | {_say(item.met)} |"
        for item in results.measures
    ]
    lines += ["", f"![latency]({name}-latency.png)", f"![change]({name}-change.png)"]
    return "\n".join(lines) + "\n"


def _say(met: bool | None) -> str:
    return {True: "yes", False: "**no**", None: ""}[met]


def _plot_latency(results: Results, path: Path) -> None:
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    for name, loads in results.loads.items():
        values = sorted(item.latency_s * 1e3 for load in loads for item in load.samples)
        shares = 1 - np.arange(1, len(values) + 1) / (len(values) + 1)
        axes.plot(values, shares, label=name)
    axes.set_yscale("log")
    axes.set_xlabel("latency of a query, ms")
    axes.set_ylabel("share of queries that took longer")
    axes.legend()
    _save(figure, path)


def _plot_change(results: Results, path: Path) -> None:
    figure, axes = pyplot.subplots(figsize=SIZE_INCHES)
    samples = [] if results.change is None else results.change.samples
    times = [item.at_s for item in samples]
    axes.scatter(times, [item.latency_s * 1e3 for item in samples], s=6)
    axes.set_xlabel("time, s; a data centre is out in the middle third")
    axes.set_ylabel("latency of a query, ms")
    second = axes.twinx()
    second.plot(times, [item.coverage for item in samples], color="tab:green")
    second.set_ylim(0, 1.05)
    second.set_ylabel("coverage")
    _save(figure, path)


def _save(figure, path: Path) -> None:
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
