"""Demonstration of the users' protocol and the JSON interface: `make run`."""

from __future__ import annotations

import asyncio
import json
import signal

import aiohttp

from ..process import run_cli
from .invariants import TrafficCutoff, find_violations
from .load import LoadGenerator, summarize_results
from .site import DATA_CENTRES, Site

LOOPBACK_OCTET = 50
SEED = 11
# Time of load before the changes, and again with a data centre out of service.
LOAD_PHASE_S = 2.0


def demo():
    """Run a small site under load and planned changes.

    The exit code is 1 if an invariant was violated.
    """

    async def run() -> int:
        site = Site(LOOPBACK_OCTET, serves_api=True)
        try:
            print("starting the store, the replicas and three VMs")
            await site.start()
            load = LoadGenerator(site, SEED)
            load.start()
            await asyncio.sleep(LOAD_PHASE_S)
            print(f"before changes: {summarize_results(load.results)}")
            cutoffs = await _make_planned_changes(site)
            results = await load.stop()
            print(f"in total: {summarize_results(results)}")
            arrivals = json.loads(await site.send_replicas_command("arrivals"))
            runs = await site.read_runs()
            violations = find_violations(
                results, runs, arrivals, cutoffs, require_answers=True
            )
            print(f"violations: {[str(each) for each in violations] or 'none'}")
            await _show_api(site)
            return 1 if violations else 0
        finally:
            await site.stop()
            print(f"stopped; exit codes: {sorted(set(site.exit_codes))}")

    return run


async def _show_api(site: Site) -> None:
    url = f"http://{site.fleet[0].api_address}/v1"
    async with aiohttp.ClientSession() as session:
        search = {"service": "search", "query": "ultramarine"}
        async with session.post(f"{url}/search", json=search) as reply:
            coverage = (await reply.json())["coverage"]
            print(f"coverage of a search over the JSON interface: {coverage}")
        async with session.post(f"{url}/tickets", json={"service": "book"}) as reply:
            ticket = (await reply.json())["value"]
        booking = {"service": "book", "ticket": ticket, "payload": "kettle 4"}
        for _ in range(2):
            async with session.post(f"{url}/bookings", json=booking) as reply:
                print(f"booking with ticket {ticket}: {(await reply.json())['value']}")


async def _make_planned_changes(site: Site) -> list[TrafficCutoff]:
    instance = next(iter(site.entries))
    print(f"draining {instance}; taking {DATA_CENTRES[1]} out of service and back")
    await site.drain(instance)
    await site.set_data_centre_out(DATA_CENTRES[1], True)
    await asyncio.sleep(LOAD_PHASE_S)
    await site.set_data_centre_out(DATA_CENTRES[1], False)
    vm = site.fleet[0]
    print(f"restarting {vm.name} with SIGTERM")
    site.signal_vm(vm, signal.SIGTERM)
    await asyncio.to_thread(vm.process.wait, 10)
    site.start_vm(vm)
    await site.wait_ready(vm)
    return []


if __name__ == "__main__":
    run_cli("anvilhoist-site-demo", demo)
