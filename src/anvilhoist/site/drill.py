"""A drill: the store is away for a moment and comes back from a copy."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Collection

import aiohttp

from ..platform.names import REPLICA_KEY_PREFIX
from ..platform.publish import encode_replica, replica_key
from .invariants import Violation
from .site import DATA_CENTRES, Site

# Times after the store's return until all that lives has written its state again, and
# until the entries of replicas that are gone have lapsed.
WRITTEN_AGAIN_S = 1.0
LAPSED_S = 3.6


async def restore_store(
    site: Site, away_s: float, data_centres_out: Collection[str] = ()
) -> None:
    """Take the store away for `away_s` seconds; it comes back from its last copy.

    Parameters
    ----------
    site : Site
        Site whose store has made a copy before.
    away_s : float
        How long the store answers nothing, in seconds.
    data_centres_out : collection of str
        Data centres that operators have taken out of service; read at the store's
        return.
    """
    await site.send_store_command("mode", mode="busy")
    await asyncio.sleep(away_s)
    await site.send_store_command("restore")
    await site.send_store_command("mode", mode="serve")
    await asyncio.sleep(WRITTEN_AGAIN_S)
    await write_again(site, data_centres_out)
    await asyncio.sleep(LAPSED_S - WRITTEN_AGAIN_S)
    await drop_lapsed(site)


async def write_again(site: Site, data_centres_out: Collection[str]) -> None:
    """Write all that operators and replicas have published once more."""
    for data_centre in DATA_CENTRES:
        await site.set_data_centre_out(data_centre, data_centre in data_centres_out)
    for instance, entry in list(site.entries.items()):
        await site.put_store_item(replica_key(instance), encode_replica(entry))
    await site.put_configuration(site.make_configuration())


async def drop_lapsed(site: Site) -> None:
    """Delete the entries of replicas that are gone."""
    for key in json.loads(await site.send_store_command("keys")):
        instance = key.removeprefix(REPLICA_KEY_PREFIX)
        if instance != key and instance not in site.entries:
            await site.send_store_command("delete", key=key)


async def find_old_configurations(site: Site) -> list[Violation]:
    """Find VMs that do not use the newest configuration."""
    published = site.configuration_version
    violations = []
    for vm in site.fleet:
        url = f"http://{vm.metrics_address}/status"
        async with aiohttp.request("GET", url) as reply:
            version = json.loads(await reply.read())["version"]
        if version != published:
            detail = f"{vm.name}: {version}, published is {published}"
            violations.append(Violation("configuration", detail))
    return violations
