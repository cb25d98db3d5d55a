"""A small fleet of real processes, driven from synchronous tests."""

from __future__ import annotations

import asyncio
import itertools
import json
import signal
import threading
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

import aiohttp

from anvilhoist.bench.caller import Caller, Reply
from anvilhoist.bench.checker import EFFECT_S, Call, Change, Record, Sample
from anvilhoist.bench.fleet import Fleet
from anvilhoist.bench.topology import (
    GroupKind,
    Topology,
    make_plan,
    vm_host,
    write_config,
    write_directory,
    write_vms,
)
from anvilhoist.bench.witness import Arrival
from anvilhoist.clock import read_boottime
from relay import Relay

T = TypeVar("T")

RELAY_PORTS_FROM = 150
SAMPLE_PERIOD_S = 0.2
RESTORE_S = 0.6

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
    """Runs a fleet on a loop of its own and records what is seen."""

    base_port: int
    topology: Topology = SMALL
    fleet: Fleet = field(init=False)
    caller: Caller = field(init=False)
    record: Record = field(default_factory=Record)
    relays: list[Relay] = field(default_factory=list)
    out: set[str] = field(default_factory=set)
    states: dict[str, str] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    versions: tuple[int, ...] = (1,)
    stopped: set[str] = field(default_factory=set)
    cut_off: set[str] = field(default_factory=set)
    excused_until: dict[str, float] = field(default_factory=dict)
    _loop: asyncio.AbstractEventLoop = field(default_factory=asyncio.new_event_loop)
    _thread: threading.Thread | None = None
    _sampler: asyncio.Task | None = None
    _background: list[asyncio.Task] = field(default_factory=list)
    _numbers: itertools.count = field(default_factory=itertools.count)

    def start(self) -> None:
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()
        self.run(self._start())

    def stop(self) -> None:
        try:
            self.run(self._stop())
        finally:
            self._loop.call_soon_threadsafe(self._loop.stop)
            self._thread.join()

    def run(self, work: Coroutine[Any, Any, T]) -> T:
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(120)

    def wait(self, seconds: float) -> None:
        self.run(asyncio.sleep(seconds))

    def eventually(
        self, probe: Callable[[], Awaitable[bool]], what: str, timeout: float = 30.0
    ) -> None:
        self.run(self.fleet.wait_for(probe, what, timeout))

    def wait_ready(self) -> None:
        self.run(self.fleet.wait_ready())

    def restore(self) -> None:
        """Undo every fault and begin a new record."""
        self.stop_load()
        self.heal()
        for name in list(self.stopped):
            self.signal(name, signal.SIGCONT)
        for vm in self.fleet.plan.vm_names:
            for role in ("dispatch", "entry"):
                if f"{vm}-{role}" not in self.fleet.processes:
                    self.start_process(f"{vm}-{role}")
        self.out.clear()
        self.leaving.clear()
        self.states.clear()
        self.versions = self.versions[-1:]
        self.tell_upstreams("heal")
        self.publish_config()
        self.publish_directory()
        self.publish("vms", write_vms(self.fleet.plan))
        self.wait(RESTORE_S)
        self.wait_ready()
        self.reset_record()

    # Callers

    def search(self, query: str = "blue", **fields: Any) -> Reply:
        return self.run(self._search(query, **fields))

    def start_searches(self, rate: float, **fields: Any) -> None:
        """Searches at a rate until the scenario ends."""
        self._spawn(self._search_on(rate, fields))

    def start_bookings(self, rate: float) -> None:
        """Bookings at a rate, each sent twice, to any entry VM."""
        self._spawn(self._book_on(rate))

    def stop_load(self) -> None:
        self.run(self._stop_load())

    def ticket(self) -> str:
        body = {"service": "book-remelting"}
        reply = self.run(self.caller.call("/v1/tickets", body))
        assert reply.status == 200, reply
        return reply.body["value"]

    def book(self, ticket: str, payload: str = "kettle 4", **fields: Any) -> Reply:
        return self.run(self._book(ticket, payload, **fields))

    def book_at(self, address: str, ticket: str, payload: str = "kettle 4") -> Reply:
        return self.run(self._book(ticket, payload, address=address))

    def outcome(self, ticket: str, number: int = 0) -> Reply:
        return self.run(
            self.caller.get_at(self.entry(number), f"/v1/outcomes/{ticket}")
        )

    def entry(self, number: int = 0) -> str:
        return self.fleet.plan.entry_address(number)

    def dispatch(self, number: int = 0) -> str:
        return self.fleet.plan.dispatch_address(number)

    # Operators and faults

    def take_out(self, centre: str) -> None:
        self.out.add(centre)
        self._note("out", centre)
        self.publish_config()

    def bring_back(self, centre: str) -> None:
        self.out.discard(centre)
        self._note("in", centre)
        self.publish_config()

    def set_leaving(self, replica: str) -> None:
        self.leaving.add(replica)
        self._note("leaving", replica)
        self.publish_directory()

    def set_vm(self, vm: str, state: str) -> None:
        self.states[vm] = state
        self.publish("vms", write_vms(self.fleet.plan, self.states))

    def publish_config(self, **profile_changes: Any) -> int:
        text = write_config(self.fleet.plan, tuple(self.out), profile_changes)
        return self.publish("config", text)

    def publish_directory(self) -> int:
        plan = self.fleet.plan
        text = write_directory(plan, self.versions, frozenset(self.leaving))
        return self.publish("directory", text)

    def publish(self, key: str, text: str, valid: bool = True) -> int:
        at = read_boottime()
        revision = self.run(self.fleet.publish(key, text))
        if valid:
            self.record.changes.append(Change(at, "publish", key, revision))
        return revision

    def signal(self, name: str, number: signal.Signals) -> None:
        self.fleet.send_signal(name, number)
        if number is signal.SIGSTOP:
            self.stopped.add(name)
        if number is signal.SIGCONT:
            self.stopped.discard(name)
            self.excused_until[name.rpartition("-")[0]] = read_boottime() + EFFECT_S

    def end(self, name: str, number: signal.Signals) -> int:
        address = self._address_of(name)
        self.stopped.discard(name)
        if address in self.fleet.plan.entry_addresses:
            self._note("stop" if number is signal.SIGTERM else "kill", address)
        return self.run(self.fleet.stop_process(name, number))

    def start_process(self, name: str) -> None:
        vm, _, role = name.rpartition("-")
        number = self.fleet.plan.vm_names.index(vm)
        self.excused_until[vm] = read_boottime() + EFFECT_S
        start = {"entry": self.fleet.start_entry, "dispatch": self.fleet.start_dispatch}
        start[role](number)

    def set_platform(self, mode: str, vms: tuple[str, ...]) -> None:
        numbers = tuple(self.fleet.plan.vm_names.index(vm) for vm in vms)
        self.run(self.fleet.set_platform(mode, numbers))

    def tell_upstreams(self, command: str, **query: str) -> None:
        self.run(self.fleet.tell_upstreams(command, **query))

    def tell_replica(self, command: str, name: str) -> None:
        centre = self.fleet.plan.replicas[name][0]
        self.run(self.fleet.tell_upstreams(command, centre, replica=name))

    def isolate(self, number: int) -> None:
        """Cut one VM off from all others and from the platform."""
        source = vm_host(number)
        for position, relay in enumerate(self.relays):
            if position == number:
                for other in range(len(self.relays)):
                    if other != number:
                        relay.cut(vm_host(other))
            else:
                relay.cut(source)
        self.cut_off.add(self.fleet.plan.vm_names[number])
        self.run(self.fleet.set_platform("down", (number,)))

    def heal(self) -> None:
        async def heal() -> None:
            for relay in self.relays:
                relay.heal()
            await self.fleet.set_platform("up")

        self.run(heal())
        for vm in self.cut_off:
            self.excused_until[vm] = read_boottime() + EFFECT_S
        self.cut_off.clear()

    # The record

    def take_record(self) -> Record:
        """Record so far, with what the witness at the upstreams saw."""
        found = self.run(self.fleet.read_upstreams("arrivals"))
        self.record.arrivals = [Arrival(**item) for part in found for item in part]
        return self.record

    def reset_record(self) -> None:
        self.record = Record()
        self.run(self.fleet.tell_upstreams("reset"))

    def read_stats(self) -> list[dict[str, Any]]:
        """Counts of every replica."""
        found = self.run(self.fleet.read_upstreams("stats"))
        return [item for part in found for item in part]

    def read_revisions(self, key: str) -> dict[str, int]:
        """Revision of a document in force at each process."""
        found = {}
        for address in self.fleet.addresses:
            text = self.run(self.fleet.read_operations(address, "/ops/state"))
            for document in json.loads(text)["documents"]:
                if document["key"] == key:
                    found[address] = document["revision"]
        return found

    def bookings_run(self) -> dict[str, int]:
        """How often each ticket ran, by the upstreams' own count."""
        merged: dict[str, int] = {}
        for part in self.run(self.fleet.read_upstreams("bookings")):
            merged.update(part)
        return merged

    def _note(self, what: str, subject: str) -> None:
        self.record.changes.append(Change(read_boottime(), what, subject))

    def _address_of(self, name: str) -> str:
        vm, _, role = name.rpartition("-")
        number = self.fleet.plan.vm_names.index(vm)
        return self.entry(number) if role == "entry" else self.dispatch(number)

    async def _start(self) -> None:
        plan = make_plan(self.topology, self.base_port)
        for number in range(len(plan.entries)):
            port = self.base_port + RELAY_PORTS_FROM + number
            relay = Relay(vm_host(number), port, plan.dispatches[number])
            await relay.start()
            self.relays.append(relay)
        plan.relays = tuple(relay.address for relay in self.relays)
        self.fleet = Fleet(plan)
        self.caller = Caller(plan.entry_addresses)
        await self.fleet.start()
        await self.fleet.wait_ready()
        self._sampler = asyncio.create_task(self._sample_on())

    async def _stop(self) -> None:
        await self._stop_load()
        self._sampler.cancel()
        await self.caller.close()
        try:
            await self.fleet.stop()
        finally:
            for relay in self.relays:
                await relay.stop()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        async def spawn() -> None:
            self._background.append(asyncio.create_task(work))

        self.run(spawn())

    async def _stop_load(self) -> None:
        for task in self._background:
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        self._background.clear()
        others = asyncio.all_tasks() - {asyncio.current_task()}
        pending = [task for task in others if task.get_name().startswith("call")]
        await asyncio.gather(*pending, return_exceptions=True)

    async def _search_on(self, rate: float, fields: dict[str, Any]) -> None:
        loop = asyncio.get_running_loop()
        while True:
            loop.create_task(
                self._search(f"q{next(self._numbers)}", **fields), name="call"
            )
            await asyncio.sleep(1 / rate)

    async def _book_on(self, rate: float) -> None:
        loop = asyncio.get_running_loop()
        while True:
            loop.create_task(self._book_twice(), name="call")
            await asyncio.sleep(1 / rate)

    async def _book_twice(self) -> None:
        body = {"service": "book-remelting"}
        issued = await self.caller.call("/v1/tickets", body)
        if issued.status != 200:
            return
        for _ in range(2):
            await self._book(issued.body["value"], "kettle 4")

    async def _search(self, query: str, **fields: Any) -> Reply:
        fields.setdefault("request_id", f"s{next(self._numbers)}")
        body = {"service": "search-sorting", "query": query, **fields}
        return await self._call("/v1/search", body, query, "")

    async def _book(
        self, ticket: str, payload: str, address: str | None = None, **fields: Any
    ) -> Reply:
        fields.setdefault("request_id", f"b{next(self._numbers)}")
        body = {
            "service": "book-remelting",
            "ticket": ticket,
            "payload": payload,
            **fields,
        }
        return await self._call("/v1/bookings", body, payload, ticket, address)

    async def _call(
        self,
        path: str,
        body: dict[str, Any],
        query: str,
        ticket: str,
        address: str | None = None,
    ) -> Reply:
        address = address or await self.caller.choose_address()
        sent_at = read_boottime()
        reply = await self.caller.call_at(address, path, body)
        call = Call(
            sent_at,
            read_boottime(),
            address,
            query,
            ticket,
            body["request_id"],
            reply.status,
            reply.body,
        )
        self.record.calls.append(call)
        return reply

    async def _sample_on(self) -> None:
        while True:
            for name in list(self.fleet.processes):
                if name.startswith("vm-") and name not in self.stopped:
                    await self._sample(name)
            await asyncio.sleep(SAMPLE_PERIOD_S)

    async def _sample(self, name: str) -> None:
        at = read_boottime()
        try:
            text = await self.fleet.read_operations(
                self._address_of(name), "/ops/state"
            )
        except (aiohttp.ClientError, TimeoutError):
            return
        vm = name.rpartition("-")[0]
        is_cut = vm in self.cut_off or at < self.excused_until.get(vm, 0.0)
        process = self.fleet.processes.get(name)
        run = f"{name}#{process.pid if process else 0}"
        for document in json.loads(text)["documents"]:
            sample = Sample(at, run, document["key"], document["revision"], is_cut)
            self.record.samples.append(sample)
