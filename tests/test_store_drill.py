"""A drill on real processes: the store is away and comes back from a copy."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Awaitable, Callable
from dataclasses import replace

import aiohttp
import pytest

from anvilhoist.clock import read_boottime
from anvilhoist.platform.publish import encode_replica, replica_key
from anvilhoist.site.load import LoadGenerator
from anvilhoist.site.site import (
    HOST_NAME,
    READ_PREFIX,
    UNSHARDED_SERVICE,
    Site,
    Vm,
)
from conftest import WORKER

SEED = 11
AWAY_S = 1.5  # how long the store answers nothing
CONTACT_S = 4.0  # after the store's return, VMs keep all limits of time again
LOST_CHANGES = 30  # written after the copy was made
READS = 60
ADDED_PREFIX = "/added/"
_loopback_octets = itertools.count(190 + 3 * WORKER)

Scenario = Callable[[Site], Awaitable[None]]


def run_site(scenario: Scenario) -> None:
    async def run():
        site = Site(next(_loopback_octets))
        try:
            await site.start()
            load = LoadGenerator(site, SEED)
            load.start()
            await scenario(site)
            await load.stop()
        finally:
            await site.stop()

    asyncio.run(run())


async def write_entries(site: Site, count: int) -> None:
    """Write entries again, each with the next sequence number."""
    instances = itertools.islice(itertools.cycle(list(site.entries)), count)
    for instance in instances:
        entry = site.entries[instance]
        site.entries[instance] = replace(entry, sequence=entry.sequence + 1)
        value = encode_replica(site.entries[instance])
        await site.put_store_item(replica_key(instance), value)


async def lose_changes(site: Site) -> None:
    """Make a copy of the store, let changes follow, and take the store away."""
    await site.send_store_command("copy")
    await write_entries(site, LOST_CHANGES)
    await asyncio.sleep(1.0)
    await site.send_store_command("mode", mode="busy")
    await asyncio.sleep(AWAY_S)
    await site.send_store_command("restore")


async def add_route(site: Site) -> None:
    """Publish a configuration with one more route."""
    site.configuration_version += 5
    configuration = site.make_configuration()
    read = next(route for route in configuration.routes if route.name == "read")
    added = replace(read, name="added", prefix=ADDED_PREFIX)
    routes = (*configuration.routes, added)
    await site.put_configuration(replace(configuration, routes=routes))


async def request(vm: Vm, path: str, attempt: str) -> int:
    headers = {"Host": HOST_NAME, "x-attempt-id": attempt, "x-deadline-ms": "1500"}
    url = f"http://{vm.callers_address}{path}"
    async with aiohttp.request("GET", url, headers=headers) as reply:
        return reply.status


async def request_added_route(site: Site) -> list[int]:
    """Return the status that each VM answers a request for the added route with."""
    return [
        await request(vm, f"{ADDED_PREFIX}1", f"added-{vm.name}") for vm in site.fleet
    ]


async def send_reads(site: Site, count: int) -> None:
    """Send requests to the replicas of the unsharded service, to all VMs in turn."""
    for number, vm in zip(range(count), itertools.cycle(site.fleet), strict=False):
        await request(vm, f"{READ_PREFIX}{number}", f"read-{number}-{vm.name}")


async def count_late_arrivals(site: Site, instance: str, cutoff_at: float) -> int:
    arrivals = json.loads(await site.send_replicas_command("arrivals"))
    return sum(at > cutoff_at for at in arrivals[instance])


@pytest.mark.process
class TestStoreBackFromCopy:
    @pytest.mark.parametrize("written_again", [0, 3 * LOST_CHANGES])
    def test_changes_after_the_return_are_followed(self, written_again):
        """The counter is below what VMs know, or has passed it on their return."""

        async def scenario(site):
            leaver = next(
                name
                for name, entry in site.entries.items()
                if entry.service == UNSHARDED_SERVICE
            )
            await lose_changes(site)
            await add_route(site)
            await site.drain(leaver)
            await write_entries(site, written_again)
            await site.send_store_command("mode", mode="serve")
            await asyncio.sleep(CONTACT_S)
            cutoff_at = read_boottime()
            statuses = await request_added_route(site)
            await send_reads(site, READS)
            late = await count_late_arrivals(site, leaver, cutoff_at)
            assert (statuses, late) == ([200] * len(site.fleet), 0)

        run_site(scenario)

    def test_entries_that_the_copy_lacks_stay_in_use(self):
        async def scenario(site):
            await site.send_store_command("copy")
            added = await site.add_replica(UNSHARDED_SERVICE, "vaxjo")
            for name, entry in list(site.entries.items()):
                if entry.service == UNSHARDED_SERVICE and name != added:
                    await site.drain(name)
            await asyncio.sleep(1.0)
            await site.send_store_command("mode", mode="busy")
            await asyncio.sleep(AWAY_S)
            await site.send_store_command("restore")
            await add_route(site)
            await site.send_store_command("mode", mode="serve")
            await asyncio.sleep(1.0)
            returned_at = read_boottime()
            await write_entries(site, len(site.entries))
            await asyncio.sleep(CONTACT_S)
            statuses = await request_added_route(site)
            await send_reads(site, READS)
            leavers = [name for name, entry in site.entries.items() if entry.draining]
            late = [
                await count_late_arrivals(site, name, returned_at) for name in leavers
            ]
            assert statuses == [200] * len(site.fleet)
            assert not any(late)

        run_site(scenario)
