"""Run a load against a small site, with and without faults, and write a report.

Each case runs with each number of VMs. The report holds figures of the callers'
results, the arrivals at replicas, and the CPU time and memory of the tier's processes.
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
from .site import DATA_CENTRES, SEARCH_PREFIX, SHARDS, Site

LOOPBACK_OCTET = 95
SEED = 17
FAULT_SETTLE_S = 1.0  # Time between injecting the fault and starting the load.
BYTES_PER_MIB = 1 << 20

FaultInjector = Callable[[Site], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Measured:
    """Figures of one case at one size.

    Attributes
    ----------
    case : str
        Name of the case.
    vms, requests : int
        Number of VMs, and number of requests sent.
    served : float
        Share of the requests that got status 200, 0 to 1.
    whole : float
        Share of the searches that got status 200 and covered every shard, 0 to 1.
    p50_ms, p99_ms : float
        Percentiles of the time that searches took, answered or not, in ms.
    extra : float
        Arrivals at replicas beyond the expected ones (one per request, or per shard of
        a search), as a share of these; 0 if there were fewer.
    cores, memory_mb : float
        CPU time per second of load, and resident memory in MiB, of one VM's process;
        means over VMs.
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


async def _inject_nothing(site: Site) -> None:
    return


async def _slow_every_fifth(site: Site) -> None:
    for instance in list(site.entries)[::5]:
        await site.set_fault(instance, "slow")


async def _make_one_unresponsive(site: Site) -> None:
    await site.set_fault(next(iter(site.entries)), "dark")


async def _reject_at_every_fourth(site: Site) -> None:
    for instance in list(site.entries)[::4]:
        await site.set_fault(instance, "shed")


async def _take_out_data_centre(site: Site) -> None:
    await site.set_data_centre_out(DATA_CENTRES[0], True)


CASES: dict[str, FaultInjector] = {
    "calm": _inject_nothing,
    "slow": _slow_every_fifth,
    "dark": _make_one_unresponsive,
    "rejecting": _reject_at_every_fourth,
    "data_centre_out": _take_out_data_centre,
}


async def run_case(case: str, vms: int, rate: float, seconds: float) -> Measured:
    """Run one case at one size.

    Parameters
    ----------
    case : str
        Name of the case, a key of `CASES`.
    vms : int
        Number of VMs.
    rate : float
        Mean number of requests a second.
    seconds : float
        Length of the load, in seconds.
    """
    site = Site(LOOPBACK_OCTET, vms)
    try:
        await site.start()
        await CASES[case](site)
        await asyncio.sleep(FAULT_SETTLE_S)
        load = LoadGenerator(site, SEED, rate)
        cpu_s_before = _read_cpu_s(site)
        load.start()
        await asyncio.sleep(seconds)
        results = await load.stop()
        cpu_s = _read_cpu_s(site) - cpu_s_before
        memory_mb = _read_memory_bytes(site) / BYTES_PER_MIB / vms
        arrivals = json.loads(await site.send_replicas_command("arrivals"))
        arrival_count = sum(len(times) for times in arrivals.values())
        return _summarize(
            case, vms, results, arrival_count, cpu_s / seconds / vms, memory_mb
        )
    finally:
        await site.stop()


def _summarize(
    case: str,
    vms: int,
    results: Sequence[AttemptResult],
    arrivals: int,
    cores: float,
    memory_mb: float,
) -> Measured:
    searches = [result for result in results if result.path.startswith(SEARCH_PREFIX)]
    expected_arrivals = len(searches) * len(SHARDS) + len(results) - len(searches)
    durations_ms = sorted(result.took_s * 1000 for result in searches)
    complete = [r for r in searches if r.status == 200 and not r.missing_shards]
    served = sum(result.status == 200 for result in results)
    return Measured(
        case=case,
        vms=vms,
        requests=len(results),
        served=round(served / len(results), 4),
        whole=round(len(complete) / len(searches), 4),
        p50_ms=round(durations_ms[len(durations_ms) // 2], 1),
        p99_ms=round(durations_ms[int(len(durations_ms) * 0.99)], 1),
        extra=round(max(0.0, arrivals / expected_arrivals - 1.0), 4),
        cores=round(cores, 4),
        memory_mb=round(memory_mb, 1),
    )


def _list_processes(site: Site) -> list[psutil.Process]:
    return [psutil.Process(vm.process.pid) for vm in site.fleet]


def _read_cpu_s(site: Site) -> float:
    cpu_times = [process.cpu_times() for process in _list_processes(site)]
    return sum(times.user + times.system for times in cpu_times)


def _read_memory_bytes(site: Site) -> int:
    return sum(process.memory_info().rss for process in _list_processes(site))


def plot_results(measured_cases: Sequence[Measured], path: str) -> None:
    """Plot each case's p99 of searches and share of searches with every shard."""
    from matplotlib import pyplot

    figure, (upper, lower) = pyplot.subplots(2, 1, figsize=(9, 7), sharex=True)
    labels = [f"{each.case}\n{each.vms} VMs" for each in measured_cases]
    upper.bar(labels, [each.p99_ms for each in measured_cases], color="tab:blue")
    upper.set_ylabel("p99 of searches, ms")
    lower.bar(labels, [100 * each.whole for each in measured_cases], color="tab:green")
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
    """Run cases at several sizes and write a report with a plot.

    Parameters
    ----------
    vms : str
        Numbers of VMs, separated by commas.
    cases : str
        Names of cases, separated by commas.
    rate : float
        Mean number of requests a second.
    seconds : float
        Length of the load of each case, in seconds.
    report : str
        Path of the report and the plot, without file extension.
    """
    case_names = _split_list(cases)
    unknown = sorted(set(case_names) - set(CASES))
    if unknown:
        raise UsageError(f"--cases: no such case: {', '.join(unknown)}")
    try:
        sizes = [int(each) for each in _split_list(vms)]
    except ValueError:
        raise UsageError(f"--vms: {vms!r} is not a list of whole numbers") from None

    async def run() -> int:
        measured_cases = []
        for size in sizes:
            for case in case_names:
                measured = await run_case(case, size, rate, seconds)
                print(json.dumps(asdict(measured)), flush=True)
                measured_cases.append(measured)
        Path(report).parent.mkdir(parents=True, exist_ok=True)
        text = json.dumps([asdict(each) for each in measured_cases], indent=1)
        Path(f"{report}.json").write_text(text, encoding="utf-8")
        plot_results(measured_cases, f"{report}.png")
        print(f"written to {report}.json and {report}.png")
        return 0

    return run


def _split_list(text) -> list[str]:
    # The fire library parses "3,9" into a tuple of numbers.
    parts = text if isinstance(text, tuple) else str(text).split(",")
    return [str(part).strip() for part in parts]


if __name__ == "__main__":
    run_cli("anvilhoist-experiment", experiment)
