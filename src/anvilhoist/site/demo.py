"""Both interfaces, shown once on a small site: `make run`."""

from __future__ import annotations

import asyncio
import json
import signal

import aiohttp

from ..process import run_cli
from .invariants import TrafficCutoff, find_violations
from .load import LoadGenerator, describe
from .site import DATA_CENTRES, Site

BASE = 50
SEED = 11
CALM_S = 2.0


def demo():
    """Start a small site, show it, stop it; exit code 1 if a promise was broken."""

    async def run() -> int:
        site = Site(BASE, serves_api=True)
        try:
            print("starting: store, replicas, three VMs of the front")
            await site.start()
            load = LoadGenerator(site, SEED)
            load.start()
            await asyncio.sleep(CALM_S)
            print(f"calm: {describe(load.results)}")
            cutoffs = await _show_changes(site)
            results = await load.stop()
            print(f"in all: {describe(results)}")
            arrivals = json.loads(await site.send_replicas_command("arrivals"))
            runs = await site.read_runs()
            violations = find_violations(
                results, runs, arrivals, cutoffs, require_answers=True
            )
            print(f"promises broken: {[str(each) for each in violations] or 'none'}")
            await _show_own_interface(site)
            return 1 if violations else 0
        finally:
            await site.stop()
            print(f"stopped, exit codes {sorted(set(site.exit_codes))}")

    return run


async def _show_own_interface(site: Site) -> None:
    url = f"http://{site.fleet[0].api_address}/v1"
    async with aiohttp.ClientSession() as session:
        ask = {"service": "search", "query": "ultramarine"}
        async with session.post(f"{url}/search", json=ask) as reply:
            coverage = (await reply.json())["coverage"]
            print(f"a search over the tier's own interface: {coverage}")
        async with session.post(f"{url}/tickets", json={"service": "book"}) as reply:
            ticket = (await reply.json())["value"]
        booking = {"service": "book", "ticket": ticket, "payload": "kettle 4"}
        for _ in range(2):
            async with session.post(f"{url}/bookings", json=booking) as reply:
                print(f"the booking of {ticket}: {(await reply.json())['value']}")


async def _show_changes(site: Site) -> list[TrafficCutoff]:
    instance = next(iter(site.entries))
    print(f"{instance} drains; {DATA_CENTRES[1]} is taken out and brought back")
    await site.drain(instance)
    await site.set_data_centre_out(DATA_CENTRES[1], True)
    await asyncio.sleep(CALM_S)
    await site.set_data_centre_out(DATA_CENTRES[1], False)
    vm = site.fleet[0]
    print(f"{vm.name} gets SIGTERM and starts again")
    site.signal_vm(vm, signal.SIGTERM)
    await asyncio.to_thread(vm.process.wait, 10)
    site.start_vm(vm)
    await site.wait_ready(vm)
    return []


if __name__ == "__main__":
    run_cli("anvilhoist-site-demo", demo)
