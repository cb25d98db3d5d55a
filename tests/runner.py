"""A small fleet of real processes, driven from synchronous tests."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any, TypeVar

from anvilhoist.bench.caller import Caller, Reply
from anvilhoist.bench.fleet import Fleet
from anvilhoist.bench.topology import HOST, GroupKind, Topology, make_plan

T = TypeVar("T")

SMALL = Topology(
    data_centres=("vaxjo", "alvesta", "ljungby"),
    vms=("vaxjo", "alvesta", "ljungby", "vaxjo"),
    kinds={
        "sorting": GroupKind(6, 2, 3, 30, 1.0),
        "remelting": GroupKind(1, 4, 2, 20, 1.0, booking=True),
    },
    shards={"sorting": 6},
    ramp_ms=1000,
    cold_ms=800,
)


@dataclass(slots=True)
class FleetRunner:
    """Runs a fleet on a loop of its own."""

    loop: asyncio.Runner
    base_port: int
    fleet: Fleet = field(init=False)
    caller: Caller = field(init=False)

    def start(self) -> None:
        self.fleet = Fleet(make_plan(SMALL, self.base_port))
        self.run(self._start())

    def stop(self) -> None:
        self.run(self._stop())

    def run(self, work: Awaitable[T]) -> T:
        async def wait() -> T:
            return await work

        return self.loop.run(wait())

    def search(self, query: str = "blue", **fields: Any) -> Reply:
        return self.run(self.caller.search("search-sorting", query, **fields))

    def ticket(self) -> str:
        reply = self.run(self.caller.call("/v1/tickets", {"service": "book-remelting"}))
        assert reply.status == 200, reply
        return reply.body["value"]

    def book(self, ticket: str, payload: str = "kettle 4", **fields: Any) -> Reply:
        body = {
            "service": "book-remelting",
            "ticket": ticket,
            "payload": payload,
            **fields,
        }
        return self.run(self.caller.call("/v1/bookings", body))

    def entry(self, number: int = 0) -> str:
        return f"{HOST}:{self.fleet.plan.entries[number]}"

    def dispatch(self, number: int = 0) -> str:
        return f"{HOST}:{self.fleet.plan.dispatches[number]}"

    def eventually(
        self, probe: Callable[[], Awaitable[bool]], what: str, timeout: float = 30.0
    ) -> None:
        self.run(self.fleet.wait_for(probe, what, timeout))

    async def _start(self) -> None:
        plan = self.fleet.plan
        self.caller = Caller(tuple(f"{HOST}:{port}" for port in plan.entries))
        await self.fleet.start()
        await self.fleet.wait_ready()

    async def _stop(self) -> None:
        await self.caller.close()
        await self.fleet.stop()
