"""The whole path, shown once: `make run`."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from dataclasses import dataclass, field

from .caller import Caller, Reply
from .fleet import Fleet
from .topology import GroupKind, Topology, make_plan, write_config, write_vms

BASE_PORT = 21000
QUERY_PERIOD_S = 0.05
PHASE_S = 4.0

TOPOLOGY = Topology(
    data_centres=("vaxjo", "alvesta", "ljungby"),
    vms=("vaxjo", "alvesta", "ljungby", "vaxjo"),
    kinds={
        "sorting": GroupKind(20, 2, 3, 30, 6.0),
        "remelting": GroupKind(1, 7, 4, 100, 1.0, booking=True),
    },
    shards={"sorting": 20},
)


@dataclass(slots=True)
class Tally:
    """What was served while a phase lasted."""

    statuses: Counter[str] = field(default_factory=Counter)
    lowest_coverage: float = 1.0

    def add(self, reply: Reply) -> None:
        """Count one reply."""
        name = "answered" if reply.status == 200 else reply.body.get("error", "?")
        self.statuses[name] += 1
        if reply.status == 200:
            self.lowest_coverage = min(self.lowest_coverage, reply.coverage)


async def run_demo() -> int:
    """Start everything, show it, stop it.

    Returns
    -------
    int
        0 if every answer was as it should be.
    """
    plan = make_plan(TOPOLOGY, BASE_PORT)
    fleet = Fleet(plan)
    caller = Caller(plan.entry_addresses)
    good = False
    try:
        print("starting: platform, upstreams in three data centres, four entry VMs")
        await fleet.start()
        await fleet.wait_ready()
        good = await _show_search(caller)
        good = await _show_booking(caller) and good
        good = await _show_change(fleet, caller) and good
    finally:
        await caller.close()
        await fleet.stop()
    codes = sorted(set(fleet.exit_codes.values()))
    print(f"stopped: {len(fleet.exit_codes)} processes, exit codes {codes}")
    return 0 if good and codes == [0] else 1


async def _show_search(caller: Caller) -> bool:
    reply = await caller.search("search-sorting", "ultramarine")
    body = dict(reply.body)
    hits = body.pop("hits", [])
    print(f"search: status {reply.status}, {len(hits)} hits, {json.dumps(body)}")
    return reply.status == 200 and reply.coverage == 1.0


async def _show_booking(caller: Caller) -> bool:
    issued = await caller.call("/v1/tickets", {"service": "book-remelting"})
    print(f"ticket: status {issued.status}, {json.dumps(issued.body)}")
    booking = {
        "service": "book-remelting",
        "ticket": issued.body.get("value", ""),
        "payload": "kettle 4, blue wax",
    }
    first = await caller.call("/v1/bookings", booking)
    again = await caller.call("/v1/bookings", booking)
    print(f"booking: status {first.status}, {json.dumps(first.body)}")
    print(f"the same booking again: status {again.status}, {json.dumps(again.body)}")
    return first.status == 200 and first.body["value"] == again.body.get("value")


async def _show_change(fleet: Fleet, caller: Caller) -> bool:
    plan = fleet.plan
    gone = "alvesta"
    leaving = {
        name: "leaving"
        for name, centre in zip(plan.vm_names, plan.topology.vms, strict=True)
        if centre == gone
    }
    before = await _query_for(caller, PHASE_S)
    print(f"before the change: {_describe(before)}")
    await fleet.publish("config", write_config(plan, out=(gone,)))
    await fleet.publish("vms", write_vms(plan, leaving))
    out = await _query_for(caller, PHASE_S)
    print(f"{gone} is out: {_describe(out)}")
    await fleet.publish("vms", write_vms(plan))
    await fleet.publish("config", write_config(plan))
    back = await _query_for(caller, PHASE_S)
    print(f"{gone} is back: {_describe(back)}")
    return all(set(tally.statuses) == {"answered"} for tally in (before, out, back))


async def _query_for(caller: Caller, seconds: float) -> Tally:
    tally = Tally()
    tasks = []
    for number in range(int(seconds / QUERY_PERIOD_S)):
        tasks.append(
            asyncio.create_task(caller.search("search-sorting", f"pigment {number}"))
        )
        await asyncio.sleep(QUERY_PERIOD_S)
    for task in tasks:
        tally.add(await task)
    return tally


def _describe(tally: Tally) -> str:
    counts = ", ".join(f"{name} {count}" for name, count in tally.statuses.items())
    return f"{counts}; lowest coverage {tally.lowest_coverage:.3f}"
