"""Several VMs with their own decisions, played in virtual time without a network."""

from __future__ import annotations

import asyncio
import base64
import json
import re
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace
from random import Random

from anvilhoist.errors import ErrorKind, Failure
from anvilhoist.forward.call import Call
from anvilhoist.forward.result import ForwardResult, GatherResult, Refusal
from anvilhoist.front.process import Front
from anvilhoist.front.settings import FrontSettings, Listen
from anvilhoist.http.limits import ConnectionLimits
from anvilhoist.http.messages import Request
from anvilhoist.http.replies import Reply, ServerRequest
from anvilhoist.peers.heartbeats import HEARTBEAT_PERIOD_S
from anvilhoist.peers.messages import VmState
from anvilhoist.platform.documents import decode_item
from anvilhoist.platform.publish import replica_key
from anvilhoist.world.model import (
    Configuration,
    ConfigurationChanged,
    Gather,
    ReplicaChanged,
    ReplicaEntry,
    ReplicaRemoved,
    Route,
    Service,
)

SHARDS = ("shard-0", "shard-1", "shard-2", "shard-3")
GATHER_ROUTE = Route(
    "search", "h", "/", True, 2.0, 0.25, 2, gather=Gather(SHARDS, 5, 0.5)
)
SINGLE_ROUTE = Route("read", "h", "/", True, 2.0, 0.25, 2, services=(("shard-0", 1.0),))
ANSWER_S = 0.02
CONNECT_S = 0.001
RESTART_S = 3.0  # time for which a replica that ended accepts nothing
TICK_S = 0.25
CALLER_WAIT_S = 2.0
DATA_CENTRES = ("vaxjo", "alvesta", "ljungby")
_TARGET = re.compile(rb"x-target-instance: *([^\r]+)", re.IGNORECASE)


@dataclass(slots=True)
class FakeReplicas:
    """All replicas: what they answer, and when requests arrived at each.

    Attributes
    ----------
    limits : dict of bytes
        Value of the header that names a limit, by instance; without an entry, none.
    arrivals : dict of list of float
        Times of arrival by instance, in seconds.
    named_at : dict of float
        When an instance first named a limit.
    answer_s : float
        Time until a request is answered, in seconds.
    rejected_share : dict of float
        Share of the requests that a service's replicas reject, by service.
    more_headers : dict of list
        Headers that a replica adds to all its answers, by instance.
    status : int
        Status of all answers; those of requests that ran and failed are not 200.
    quiet : dict of bytes
        Retry-After with which an instance turns all requests away.
    asked_quiet : dict of list of float
        When each instance turned a request away so, in seconds.
    deadly : set of bytes
        Targets of requests that end each replica that runs them.
    reset_share : float
        Share of the requests whose connection something between resets.
    ended_until : dict of float
        When a replica that has ended accepts connections again, by its address.
    ends : list of str
        Addresses of the replicas that ended, each as often as it did.
    """

    limits: dict[str, bytes] = field(default_factory=dict)
    arrivals: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    named_at: dict[str, float] = field(default_factory=dict)
    answer_s: float = ANSWER_S
    rejected_share: dict[str, float] = field(default_factory=dict)
    random: Random = field(default_factory=lambda: Random(1))
    more_headers: dict[str, list] = field(default_factory=dict)
    status: int = 200
    quiet: dict[str, bytes] = field(default_factory=dict)
    asked_quiet: dict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    deadly: set[bytes] = field(default_factory=set)
    reset_share: float = 0.0
    ended_until: dict[str, float] = field(default_factory=dict)
    ends: list[str] = field(default_factory=list)
    _connections: list[FakeConnection] = field(default_factory=list)

    def answer(self, data: bytes) -> Reply:
        instance = _TARGET.search(data)[1].decode()
        share = self.rejected_share.get(instance.rpartition("-")[0], 0.0)
        if share and self.random.random() < share:
            return Reply(503, [(b"x-not-executed", b"shed")], b"")
        if instance in self.quiet:
            now = asyncio.get_running_loop().time()
            self.asked_quiet[instance].append(now)
            retry_after = (b"retry-after", self.quiet[instance])
            return Reply(503, [(b"x-not-executed", b"busy"), retry_after], b"")
        headers = [(b"x-response-signature", instance.encode())]
        headers += self.more_headers.get(instance, [])
        limit = self.limits.get(instance)
        if limit is not None:
            headers.append((b"server-limit", limit))
            now = asyncio.get_running_loop().time()
            self.named_at.setdefault(instance, now)
        return Reply(self.status, headers, b"r" * 16)

    async def open_connection(self, address, timeout_s, on_closed):
        await asyncio.sleep(CONNECT_S)
        now = asyncio.get_running_loop().time()
        if now < self.ended_until.get(address, 0.0):
            raise ConnectionRefusedError
        connection = FakeConnection(self, address)
        self._connections.append(connection)
        return connection

    def end(self, address: str) -> None:
        """End a replica, and start it again after a while."""
        now = asyncio.get_running_loop().time()
        self.ended_until[address] = now + RESTART_S
        self.ends.append(address)
        for connection in [c for c in self._connections if c.address == address]:
            connection.lose()
        self._connections = [c for c in self._connections if c.reusable]

    def count_most(self, instance: str, window_s: float, since: float) -> int:
        """Return the most arrivals in any window that starts at `since` or later."""
        times = [at for at in self.arrivals[instance] if at >= since]
        return max(
            (sum(start <= at < start + window_s for at in times) for start in times),
            default=0,
        )


class FakeConnection:
    """Connection of a VM to a replica that always answers."""

    def __init__(self, replicas: FakeReplicas, address: str):
        self.replicas = replicas
        self.address = address
        self.idle_since = 0.0
        self.keep_alive_timeout_s = None
        self.reusable = True
        self._timer: asyncio.TimerHandle | None = None
        self._on_outcome = None

    def send(self, request: ServerRequest, on_outcome) -> None:
        data = request.head
        loop = asyncio.get_running_loop()
        instance = _TARGET.search(data)[1].decode()
        self.replicas.arrivals[instance].append(loop.time())

        self._on_outcome = on_outcome
        target = data.split(b" ", 2)[1]

        def finish() -> None:
            if target in self.replicas.deadly:
                self.replicas.end(self.address)
            elif self.replicas.random.random() < self.replicas.reset_share:
                self.lose()
            else:
                self._on_outcome = None
                on_outcome(self.replicas.answer(data))

        self._timer = loop.call_later(self.replicas.answer_s, finish)

    def lose(self) -> None:
        """Lose the connection; a request that is open on it fails."""
        on_outcome = self._on_outcome
        self.abort()
        if on_outcome is not None:
            on_outcome(Failure(ErrorKind.CONNECTION_LOST, "connection lost"))

    def abort(self) -> None:
        self.reusable = False
        self._on_outcome = None
        if self._timer is not None:
            self._timer.cancel()


@dataclass(slots=True)
class FakeDatagrams:
    """Transport of a VM that delivers its heartbeats to the others at once."""

    fleet: VirtualFleet
    host: str

    def is_closing(self) -> bool:
        return False

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        receiver = self.fleet.fronts.get(address[0])
        if receiver is None or not self.fleet.is_connected(self.host, address[0]):
            return
        endpoint = self.fleet.endpoints[address[0]]
        loop = asyncio.get_running_loop()
        loop.call_soon(endpoint.datagram_received, data, (self.host, address[1]))


class VirtualFleet:
    """VMs that serve queries by their own decisions; `copies` replicas a shard."""

    def __init__(self, monkeypatch, vms: int, copies: int = 2, seed: int = 1):
        self.random = Random(seed)
        self.replicas = FakeReplicas()
        self.fronts: dict[str, Front] = {}
        self.endpoints: dict[str, object] = {}
        self.separated: set[str] = set()
        self.results: Counter[str] = Counter()
        self.missing_parts = 0
        self.refusal_s: list[float] = []
        self.requested_at: list[float] = []
        self.phase_at = 0.0
        self.copies = copies
        loop = asyncio.get_running_loop()
        monkeypatch.setattr("anvilhoist.front.process.read_boottime", loop.time)
        monkeypatch.setattr(
            "anvilhoist.upstreams.replica.open_connection",
            self.replicas.open_connection,
        )
        for number in range(1, vms + 1):
            self.start(number)
        self._timer = loop.create_task(self._run_timers())

    def is_connected(self, host: str, other: str) -> bool:
        """Return whether datagrams pass; separated VMs reach only each other."""
        return (host in self.separated) == (other in self.separated)

    def start(self, number: int) -> None:
        """Start a VM, anew if it ran before."""
        host = f"10.0.0.{number}"
        settings = FrontSettings(
            f"vm-{number}", host, DATA_CENTRES[number % 3], "smaland", "10.9.0.1:1",
            Listen(f"{host}:1", f"{host}:2", f"{host}:3"), 7380, 7395,
            seeds=("10.0.0.1:2", "10.0.0.2:2", "10.0.0.3:2"),
        )  # fmt: skip
        front = Front(settings)
        front.incarnation = int(asyncio.get_running_loop().time() * 1000)
        front.context.random.seed(number)
        services = {name: Service(name, 1000) for name in SHARDS}
        routes = (GATHER_ROUTE, SINGLE_ROUTE)
        changes = [
            ConfigurationChanged(Configuration(1, routes, services, ConnectionLimits()))
        ]
        for shard_number, shard in enumerate(SHARDS):
            for copy in range(self.copies):
                data_centre = DATA_CENTRES[copy % 3]
                instance = f"{shard}-{copy}"
                entry = ReplicaEntry(
                    instance,
                    shard,
                    f"10.8.{shard_number}.{copy + 1}:1",
                    data_centre,
                    4,
                    born_ms=1,
                )
                changes.append(ReplicaChanged(entry))
        endpoint = front._heartbeat_endpoint
        endpoint.connection_made(FakeDatagrams(self, host))
        self.fronts[host] = front
        self.endpoints[host] = endpoint
        front.view.apply(1, changes)

    def publish_restart(self, instance: str, born_ms: int) -> None:
        """Publish that a replica has started again."""
        known = next(iter(self.fronts.values())).view.entries[instance]
        self.put_entry(replace(known, born_ms=born_ms))

    def remove_entry(self, instance: str) -> ReplicaEntry:
        """Remove the entry of a replica, and return it."""
        entry = next(iter(self.fronts.values())).view.entries[instance]
        for front in self.fronts.values():
            front.view.apply(front.view.revision + 1, [ReplicaRemoved(instance)])
        return entry

    def put_entry(self, entry: ReplicaEntry) -> None:
        """Write the entry of a replica."""
        for front in self.fronts.values():
            front.view.apply(front.view.revision + 1, [ReplicaChanged(entry)])

    def write_document(self, instance: str, document: dict) -> None:
        """Write a document under the key of a replica, as any writer may."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        change = decode_item(replica_key(instance), value)
        for front in self.fronts.values():
            front.view.apply(front.view.revision + 1, [change])

    def kill(self, number: int) -> None:
        """End a VM at once; it sends nothing more."""
        host = f"10.0.0.{number}"
        del self.fronts[host], self.endpoints[host]

    def leave(self, number: int) -> None:
        """Begin the shutdown of a VM."""
        front = self.fronts[f"10.0.0.{number}"]
        front.state = VmState.LEAVING
        self.endpoints[f"10.0.0.{number}"].send()

    async def play(self, seconds: float, rate: float, route=GATHER_ROUTE, hosts=None):
        """Play `rate` requests a second, at random VMs or at random ones of `hosts`."""
        loop = asyncio.get_running_loop()
        end_at = loop.time() + seconds
        while loop.time() < end_at:
            await asyncio.sleep(self.random.expovariate(rate))
            if not self.fronts:
                continue
            chosen = self.random.choice(sorted(hosts or self.fronts))
            self.requested_at.append(loop.time())
            loop.create_task(self._request_and_count(self.fronts[chosen], route))

    async def request(
        self, front: Front, route: Route, target: bytes = b"/"
    ) -> ForwardResult:
        """Play one request at a VM, whose caller waits for `CALLER_WAIT_S`."""
        now = asyncio.get_running_loop().time()
        request = Request(b"GET", target, [], arrived_at=now)
        call = Call(request, b"id", "h", now + CALLER_WAIT_S)
        return await front.forwarder.run(call, route)

    async def _request_and_count(self, front: Front, route: Route) -> None:
        started_at = asyncio.get_running_loop().time()
        result = await self.request(front, route)
        if isinstance(result, GatherResult):
            self.missing_parts += len(result.missing)
            self.results["whole" if not result.missing else "partial"] += 1
        else:
            name = "whole" if isinstance(result, Reply) else result.kind.value
            self.results[name] += 1
            if isinstance(result, Refusal):
                waited_s = asyncio.get_running_loop().time() - started_at
                self.refusal_s.append(waited_s)

    async def _run_timers(self) -> None:
        beats = 0
        while True:
            now = asyncio.get_running_loop().time()
            for host, front in list(self.fronts.items()):
                front.replicas.maintain(now)
                if beats % round(HEARTBEAT_PERIOD_S / TICK_S) == 0:
                    self.endpoints[host].send()
                    front.members.expire_silent(now)
            beats += 1
            await asyncio.sleep(TICK_S)
