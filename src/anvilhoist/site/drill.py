"""A drill: the store is away for a moment and comes back from a copy.

Run as a program, it plays the drill under load at several sizes and prints how long the
VMs take to follow the store again, and what callers lost.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Collection
from dataclasses import asdict, dataclass

import aiohttp

from ..clock import read_boottime
from ..errors import UsageError
from ..platform.names import REPLICA_KEY_PREFIX
from ..platform.publish import encode_replica, replica_key
from ..process import run_cli
from .invariants import Violation
from .load import LoadGenerator
from .site import DATA_CENTRES, Site, Vm

# Times after the store's return until replicas that live have written their entries
# again, and until those of replicas that are gone have lapsed.
WRITTEN_AGAIN_S = 1.0
LAPSED_S = 3.6
FOLLOW_TIMEOUT_S = 15.0
POLL_INTERVAL_S = 0.1  # between two looks at the VMs that do not follow yet
LOST_ROUNDS = 3  # how often each entry is written after the copy was made
CALM_S = 2.0  # of load before the drill and after it
LOOPBACK_OCTET = 96
SEED = 19


@dataclass(frozen=True, slots=True)
class DrillFigures:
    """Figures of one drill.

    Attributes
    ----------
    vms : int
        Number of VMs.
    away_s : float
        How long the store answered nothing, in seconds.
    followed_s : float or None
        Time from the store's return until the last VM uses a configuration that was
        written at that moment, in seconds; None if one never does.
    requests, failed : int
        Number of requests during the drill, and of those without status 200.
    """

    vms: int
    away_s: float
    followed_s: float | None
    requests: int
    failed: int


async def copy_store(site: Site) -> None:
    """Make a copy that lacks more changes than are written again after its return."""
    await site.send_store_command("copy")
    for _ in range(LOST_ROUNDS):
        await write_entries(site)


async def lose_changes(
    site: Site, away_s: float, data_centres_out: Collection[str] = ()
) -> None:
    """Take the store away, and set it back to its last copy.

    Operators write their state again, with a new configuration, before the store
    answers the VMs.

    Parameters
    ----------
    site : Site
        Site whose store has made a copy before.
    away_s : float
        How long the store answers nothing, in seconds.
    data_centres_out : collection of str
        Data centres that operators have taken out of service, read at its return.
    """
    await site.send_store_command("mode", mode="busy")
    await asyncio.sleep(away_s)
    await site.send_store_command("restore")
    await site.publish_configuration()
    for data_centre in DATA_CENTRES:
        await site.set_data_centre_out(data_centre, data_centre in data_centres_out)


async def bring_back(site: Site) -> None:
    """Let the store answer again, and all replicas that live write their entries."""
    await site.send_store_command("mode", mode="serve")
    await asyncio.sleep(WRITTEN_AGAIN_S)
    await write_entries(site)
    await asyncio.sleep(LAPSED_S - WRITTEN_AGAIN_S)
    await drop_lapsed(site)


async def write_entries(site: Site) -> None:
    """Write the entries of all replicas once more."""
    for instance, entry in list(site.entries.items()):
        await site.put_store_item(replica_key(instance), encode_replica(entry))


async def drop_lapsed(site: Site) -> None:
    """Delete the entries of replicas that are gone."""
    for key in json.loads(await site.send_store_command("keys")):
        instance = key.removeprefix(REPLICA_KEY_PREFIX)
        if instance != key and instance not in site.entries:
            await site.send_store_command("delete", key=key)


async def read_version(vm: Vm) -> int | None:
    """Return the version of the configuration that a VM uses."""
    url = f"http://{vm.metrics_address}/status"
    async with aiohttp.request("GET", url) as reply:
        return json.loads(await reply.read())["version"]


async def find_old_configurations(site: Site) -> list[Violation]:
    """Find VMs that do not use the newest configuration."""
    published = site.configuration_version
    versions = {vm.name: await read_version(vm) for vm in site.fleet}
    return [
        Violation("configuration", f"{name}: {version}, published is {published}")
        for name, version in versions.items()
        if version != published
    ]


async def wait_until_followed(site: Site) -> float | None:
    """Wait until every VM uses the newest configuration.

    Returns
    -------
    float or None
        How long it took, in seconds; None after `FOLLOW_TIMEOUT_S`.
    """
    started_at = read_boottime()
    behind = list(site.fleet)
    while read_boottime() - started_at < FOLLOW_TIMEOUT_S:
        versions = await asyncio.gather(*(read_version(vm) for vm in behind))
        behind = [
            vm
            for vm, version in zip(behind, versions, strict=True)
            if version != site.configuration_version
        ]
        if not behind:
            return round(read_boottime() - started_at, 2)
        await asyncio.sleep(POLL_INTERVAL_S)
    return None


async def run_drill(vms: int, away_s: float) -> DrillFigures:
    """Play one drill under load.

    Parameters
    ----------
    vms : int
        Number of VMs.
    away_s : float
        How long the store answers nothing, in seconds.
    """
    site = Site(LOOPBACK_OCTET, vms)
    try:
        await site.start()
        load = LoadGenerator(site, SEED)
        load.start()
        await copy_store(site)
        await asyncio.sleep(CALM_S)
        await lose_changes(site, away_s)
        settled = asyncio.create_task(bring_back(site))
        followed_s = await wait_until_followed(site)
        await settled
        await asyncio.sleep(CALM_S)
        results = await load.stop()
        failed = sum(result.status != 200 for result in results)
        return DrillFigures(vms, away_s, followed_s, len(results), failed)
    finally:
        await site.stop()


def drill(vms: str = "4", away: float = 1.5):
    """Play the drill at several sizes; the exit code is 1 if a VM never follows.

    Parameters
    ----------
    vms : str
        Numbers of VMs, separated by commas.
    away : float
        How long the store answers nothing, in seconds.
    """
    # The fire library parses "4,33" into a tuple of numbers.
    parts = vms if isinstance(vms, tuple) else str(vms).split(",")
    try:
        sizes = [int(part) for part in parts]
    except ValueError:
        raise UsageError(f"--vms: {vms!r} is not a list of whole numbers") from None

    async def run() -> int:
        follow = True
        for size in sizes:
            figures = await run_drill(size, away)
            print(json.dumps(asdict(figures)), flush=True)
            follow = follow and figures.followed_s is not None
        return 0 if follow else 1

    return run


if __name__ == "__main__":
    run_cli("anvilhoist-drill", drill)
