"""Play a load against a small site, with and without faults, and report.

Each case is played at each number of VMs; the report holds what callers got, what
replicas were asked for, and what the processes of the tier spent.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

import psutil

from ..errors import UsageError
from ..process import run_cli
from .caller import AttemptResult
from .load import LoadGenerator
from .site import DATA_CENTRES, SEARCH, SHARDS, Site

BASE = 95
SEED = 17
SETTLE_S = 1.0
MB = 1 << 20

Disturb = Callable[[Site], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Measured:
    """What one case showed at one size.

    Attributes
    ----------
    case : str
        Name of the case.
    vms, requests : int
        Size of the tier, and requests that were sent.
    served : float
        Share that was answered with success, 0 to 1.
    whole : float
        Share of the searches that covered every shard, 0 to 1.
    p50_ms, p99_ms : float
        Times of searches until their answer, in ms.
    extra : float
        Arrivals at replicas beyond one a request and shard, for each of these.
    cores, memory_mb : float
        Processor share and memory of one VM's process, means over the VMs.
    """

    case: str
    vms: int
    requests: int
    served: float
    whole: float
    p50_ms: float
    p99_ms: float
    extra: float
    cores: float
    memory_mb: float


async def _stay_calm(site: Site) -> None:
    return


async def _slow_some(site: Site) -> None:
    for instance in list(site.entries)[::5]:
        await site.set_fault(instance, "slow")


async def _darken_one(site: Site) -> None:
    await site.set_fault(next(iter(site.entries)), "dark")


async def _reject_some(site: Site) -> None:
    for instance in list(site.entries)[::4]:
        await site.set_fault(instance, "shed")


async def _take_out_one(site: Site) -> None:
    await site.set_data_centre_out(DATA_CENTRES[0], True)


CASES: dict[str, Disturb] = {
    "calm": _stay_calm,
    "slow": _slow_some,
    "dark": _darken_one,
    "rejecting": _reject_some,
    "data_centre_out": _take_out_one,
}


async def run_case(case: str, vms: int, rate: float, seconds: float) -> Measured:
    """Play one case at one size.

    Parameters
    ----------
    case : str
        Name of the case, a key of `CASES`.
    vms : int
        Processes of the tier.
    rate : float
        Requests a second.
    seconds : float
        Length of the load.
    """
    site = Site(BASE, vms)
    try:
        await site.start()
        await CASES[case](site)
        await asyncio.sleep(SETTLE_S)
        load = LoadGenerator(site, SEED, rate)
        before = _read_processor_s(site)
        load.start()
        await asyncio.sleep(seconds)
        results = await load.stop()
        spent = _read_processor_s(site) - before
        memory_mb = _read_memory(site) / MB / vms
        arrivals = json.loads(await site.send_replicas_command("arrivals"))
        total = sum(len(times) for times in arrivals.values())
        return _measure(case, vms, results, total, spent / seconds / vms, memory_mb)
    finally:
        await site.stop()


def _measure(
    case: str,
    vms: int,
    results: Sequence[AttemptResult],
    arrivals: int,
    cores: float,
    memory_mb: float,
) -> Measured:
    searches = [result for result in results if result.path.startswith(SEARCH)]
    asked = len(searches) * len(SHARDS) + len(results) - len(searches)
    times = sorted(result.took_s * 1000 for result in searches)
    whole = [r for r in searches if r.status == 200 and not r.missing_shards]
    served = sum(result.status == 200 for result in results)
    return Measured(
        case=case,
        vms=vms,
        requests=len(results),
        served=round(served / len(results), 4),
        whole=round(len(whole) / len(searches), 4),
        p50_ms=round(times[len(times) // 2], 1),
        p99_ms=round(times[int(len(times) * 0.99)], 1),
        extra=round(max(0.0, arrivals / asked - 1.0), 4),
        cores=round(cores, 4),
        memory_mb=round(memory_mb, 1),
    )


def _list_processes(site: Site) -> list[psutil.Process]:
    return [psutil.Process(vm.process.pid) for vm in site.fleet]


def _read_processor_s(site: Site) -> float:
    times = [process.cpu_times() for process in _list_processes(site)]
    return sum(found.user + found.system for found in times)


def _read_memory(site: Site) -> int:
    return sum(process.memory_info().rss for process in _list_processes(site))


def plot_results(found: Sequence[Measured], path: str) -> None:
    """Draw the searches' 99th percentiles and the whole answers of each case."""
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(2, 1, figsize=(9, 7), sharex=True)
    labels = [f"{each.case}\n{each.vms} VMs" for each in found]
    upper.bar(labels, [each.p99_ms for each in found], color="tab:blue")
    upper.set_ylabel("p99 of searches, ms")
    lower.bar(labels, [100 * each.whole for each in found], color="tab:green")
    lower.set_ylabel("searches with every shard, %")
    lower.tick_params(axis="x", labelrotation=45)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)


def experiment(
    vms: str = "3,9",
    cases: str = ",".join(CASES),
    rate: float = 40.0,
    seconds: float = 6.0,
    report: str = "reports/experiment",
):
    """Play cases at sizes, and write a report with a picture.

    Parameters
    ----------
    vms : str
        Numbers of VMs, with commas between.
    cases : str
        Names of cases, with commas between.
    rate : float
        Requests a second.
    seconds : float
        Length of the load of each case.
    report : str
        Path of the report, without an ending.
    """
    names = _split(cases)
    unknown = sorted(set(names) - set(CASES))
    if unknown:
        raise UsageError(f"--cases: no such case: {', '.join(unknown)}")
    try:
        sizes = [int(each) for each in _split(vms)]
    except ValueError:
        raise UsageError(f"--vms: {vms!r} holds no numbers") from None

    async def run() -> int:
        found = []
        for size in sizes:
            for case in names:
                measured = await run_case(case, size, rate, seconds)
                print(json.dumps(asdict(measured)), flush=True)
                found.append(measured)
        Path(report).parent.mkdir(parents=True, exist_ok=True)
        text = json.dumps([asdict(each) for each in found], indent=1)
        Path(f"{report}.json").write_text(text, encoding="utf-8")
        plot_results(found, f"{report}.png")
        print(f"written to {report}.json and {report}.png")
        return 0

    return run


def _split(text) -> list[str]:
    # The command line turns "3,9" into a tuple of numbers by itself.
    parts = text if isinstance(text, tuple) else str(text).split(",")
    return [str(part).strip() for part in parts]


if __name__ == "__main__":
    run_cli("anvilhoist-experiment", experiment)
