"""Stand-ins of the platform, replicas and clients, and control of front processes.

Only the standard library is used. Store, replicas and clients run in the process of
the case; each front runs as a process of its own, with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import hashlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST_NAME = "site.example"
REGION = "smaland"
HEARTBEAT_S = 1.2  # `heartbeat-ms` of the settings example
PAGE_ITEMS = 50
# Exit codes of the Python program; `run.sh` turns them into those of a case.
HELD, BROKEN, NOT_RUN = 0, 10, 2


class Record:
    """The record of a run: one line for each thing that is sent, answered or run."""

    def __init__(self, folder: Path):
        self.started_at = time.monotonic()
        self._file = open(folder / "record.txt", "w", encoding="utf-8")

    @property
    def now(self) -> float:
        """Seconds since the start of the case."""
        return time.monotonic() - self.started_at

    def note(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now:8.3f} {text}\n")

    def say(self, text: str) -> None:
        """Write one line and print it."""
        self.note(text)
        print(f"{self.now:8.3f} {text}", flush=True)

    def close(self) -> None:
        """Close the file."""
        self._file.close()


@dataclass
class Message:
    """A request or a response."""

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Read a request, or a response that has a length."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first.split(" ", 2), headers, body)


def encode_response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a response."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: keys, revisions, paged reads and watches."""

    def __init__(self, record: Record):
        self.record = record
        self.items: dict[str, tuple[bytes, int]] = {}
        self.history: list[tuple[str, bytes | None, int]] = []
        self.revision = 1
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def listen(self, host: str, port: int) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def put(self, key: str, value: object) -> float:
        """Write an item, or remove it if the value is None; return the time."""
        self.revision += 1
        data = None if value is None else json.dumps(value).encode()
        if data is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (data, self.revision)
        self.history.append((key, data, self.revision))
        self._changed.set()
        self._changed = asyncio.Event()
        shown = "removed" if data is None else f"{len(data)} bytes"
        self.record.note(f"store confirms {key} revision {self.revision} ({shown})")
        return self.record.now

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
            while True:
                request = await read_message(reader)
                await asyncio.sleep(0.004)  # an answer of the store takes 4 ms
                writer.write(await self._answer(request))
                await writer.drain()
        writer.close()

    async def _answer(self, request: Message) -> bytes:
        parts = urlsplit(request.first[1])
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        prefix = query.get("path-prefix", "")
        if parts.path == "/anvilhoist/kv-range":
            return self._read(prefix, query.get("after", ""))
        if parts.path == "/anvilhoist/kv-watch":
            wait_s = int(query.get("wait-ms", "0")) / 1000
            return await self._watch(prefix, int(query["after"]), wait_s)
        return encode_response(404, {})

    def _read(self, prefix: str, after: str) -> bytes:
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self._encode(k, *self.items[k]) for k in keys[:PAGE_ITEMS]]
        more = len(keys) > PAGE_ITEMS
        return self._json({"items": page, "has-more": more, "at": self.revision})

    async def _watch(self, prefix: str, after: int, wait_s: float) -> bytes:
        if self.revision <= after:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), wait_s)
        events = [
            self._encode(key, value, revision)
            for key, value, revision in self.history
            if revision > after and key.startswith(prefix)
        ]
        return self._json({"events": events, "at": self.revision})

    @staticmethod
    def _encode(key: str, value: bytes | None, revision: int) -> dict:
        if value is None:
            return {"key": key, "revision": revision, "deleted": True}
        text = base64.b64encode(value).decode()
        return {"key": key, "value": text, "revision": revision, "lease": 0}

    @staticmethod
    def _json(fields: dict) -> bytes:
        body = json.dumps(fields).encode()
        return encode_response(200, {"Content-Type": "application/json"}, body)


class Proxy:
    """A TCP proxy before the store; it can cut its link with resets."""

    def __init__(self, target: tuple[str, int]):
        self.target = target
        self.cut = False
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, host: str, port: int) -> None:
        """Start to listen."""
        self._server = await asyncio.start_server(self._serve, host, port)

    def set_cut(self, cut: bool) -> None:
        """Cut the link: connections are reset, new ones too, until it is healed."""
        self.cut = cut
        if cut:
            for writer in list(self._writers):
                writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        if self.cut:
            writer.transport.abort()
            return
        try:
            other_reader, other_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.transport.abort()
            return
        pair = {writer, other_writer}
        self._writers |= pair
        await asyncio.gather(
            self._copy(reader, other_writer), self._copy(other_reader, writer)
        )
        self._writers -= pair
        for each in pair:
            each.transport.abort()

    @staticmethod
    async def _copy(reader, writer) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        writer.transport.abort()


@dataclass
class Run:
    """One request that a replica got."""

    replica: str
    attempt: str
    method: str
    at: float
    ran: bool


@dataclass
class Replica:
    """A replica of one service, as the pages describe a sound one."""

    record: Record
    store: Store
    instance: str
    service: str
    host: str
    port: int
    zone: str
    slots: int = 4
    queue: int = 16
    work_s: float = 0.03
    limit: float | None = None
    state: str = "ready"
    # Status with which a share of the requests ends after they ran.
    failure_status: int = 0
    failure_share: float = 0.0
    arrivals: list[Run] = field(default_factory=list)
    sequence: int = 0
    born: int = field(default_factory=lambda: int(time.time() * 1000))

    def __post_init__(self):
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(self.slots)
        self._random = random.Random(self.instance)
        self._server: asyncio.Server | None = None

    @property
    def key(self) -> str:
        """Key of its entry."""
        return f"servers/{self.instance}"

    @property
    def entry(self) -> dict:
        """Its entry in the store."""
        return {
            "backend": self.service, "address": f"{self.host}:{self.port}",
            "zone": self.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "warmup-left-ms": 0, "sequence": self.sequence,
            "born": self.born,
        }  # fmt: skip

    async def start(self) -> None:
        """Start to listen, and register."""
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.check_in()

    def check_in(self) -> float:
        """Write the entry; return the time of the confirmation."""
        self.sequence += 1
        return self.store.put(self.key, self.entry)

    def make_body(self, attempt: str) -> bytes:
        """Return the body for an attempt: records of 16 bytes."""
        seed = f"{self.service}/{attempt}".encode()
        return b"".join(
            hashlib.md5(seed + bytes([n])).digest() for n in range(8)
        )

    def make_digest(self, attempt: str) -> str:
        """Return the digest of the body for an attempt."""
        return hashlib.md5(self.make_body(attempt)).hexdigest()

    async def _serve(self, reader, writer) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
            while True:
                request = await read_message(reader)
                data = await self._handle(request, reader)
                if data is None:
                    break
                writer.write(data)
                await writer.drain()
        writer.close()

    async def _handle(self, request: Message, reader) -> bytes | None:
        attempt = request.headers.get("x-attempt-id", "")
        if request.headers.get("x-target-instance") != self.instance:
            return self._reject(421, attempt)
        arrival = Run(
            self.instance, attempt, request.first[0], self.record.now, False
        )
        self.arrivals.append(arrival)
        if self._waiting >= self.queue:
            self.record.note(f"{self.instance} rejects {attempt}")
            return self._reject(503, attempt)
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            arrival.ran = True
            self.record.note(f"{self.instance} runs {attempt}")
            end_at = time.monotonic() + self.work_s
            while time.monotonic() < end_at:
                if reader.at_eof():
                    return None
                await asyncio.sleep(min(0.01, max(0.0, end_at - time.monotonic())))
        finally:
            self._running -= 1
            self._free.release()
        return self._answer(attempt)

    def _answer(self, attempt: str) -> bytes:
        if self._random.random() < self.failure_share:
            self.record.note(
                f"{self.instance} ran {attempt} and answers {self.failure_status}"
            )
            headers = self._headers(attempt)
            return encode_response(self.failure_status, headers, b"failed")
        headers = self._headers(attempt)
        headers["X-Response-Signature"] = self.make_digest(attempt)
        return encode_response(200, headers, self.make_body(attempt))

    def _headers(self, attempt: str) -> dict[str, str]:
        load = f"{self._running},{self._waiting},{self.slots}"
        headers = {"X-Attempt-Id": attempt, "X-Server-Load": load}
        if self.limit is not None:
            headers["Server-Limit"] = f"{self.limit:.1f}"
        return headers

    def _reject(self, status: int, attempt: str) -> bytes:
        headers = self._headers(attempt) | {"X-Not-Executed": "1"}
        return encode_response(status, headers)


@dataclass
class Front:
    """One front process on a loopback address of its own."""

    record: Record
    name: str
    host: str
    zone: str
    ports: dict[str, int]
    seeds: list[str]
    store_address: str
    zones: tuple[str, ...]
    folder: Path
    process: subprocess.Popen | None = None

    @property
    def callers(self) -> tuple[str, int]:
        """Address for clients."""
        return self.host, self.ports["callers"]

    def start(self) -> None:
        """Start the process as the deploy file does."""
        path = self.folder / f"{self.name}.toml"
        path.write_text(self._encode_settings(), encoding="utf-8")
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["front"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["ANVILHOIST_SETTINGS"] = str(path)
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.note(f"{self.name} started")

    def stop(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    def read_rss_mb(self) -> float:
        """Return the resident memory of the process in MB."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGESIZE") / 1e6

    async def is_ready(self) -> bool:
        """Ask the readiness address, as the platform does."""
        try:
            reply = await exchange(
                (self.host, self.ports["readiness"]),
                b"GET /anvilhoist/readiness HTTP/1.1\r\nHost: front\r\n\r\n", 1.0,
            )  # fmt: skip
        except (OSError, EOFError, TimeoutError):
            return False
        return reply.first[1] == "200"

    def read_log(self) -> str:
        """Return what the process has written."""
        path = self.folder / f"{self.name}.log"
        return path.read_text(encoding="utf-8", errors="replace")

    def _encode_settings(self) -> str:
        at = {name: f"{self.host}:{port}" for name, port in self.ports.items()}
        zones = "\n".join(f'"{zone}" = "{REGION}"' for zone in self.zones)
        return f"""vm = "{self.name}"
host = "{self.host}"
data_centre = "{self.zone}"
region = "{REGION}"
seeds = {json.dumps(self.seeds)}
store = "{self.store_address}"
peers_port = {self.ports["heartbeats"]}
metrics_port = {self.ports["metrics"]}

[listen]
callers = "{at["callers"]}"
readiness = "{at["readiness"]}"
peers = "{at["peers"]}"
directory = "{at["directory"]}"

[bounds]
retry_ratio = 0.2
retry_allowance = 52
retry_window_s = 10
stop_s = 6
address_keep_s = 5

[data_centres]
{zones}
"""


async def exchange(address: tuple[str, int], data: bytes, timeout_s: float) -> Message:
    """Send one request on a new connection and return its response."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(data)
            return await read_message(reader)
        finally:
            writer.close()


@dataclass
class Result:
    """How one attempt of a client ended; status 0 without an answer."""

    attempt: str
    status: int
    sent_at: float
    took_s: float
    front: str
    detail: str = ""
    kept: bool = False
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


class Client:
    """A client with one connection, which it keeps for many requests."""

    def __init__(self, record: Record, name: str, front: Front):
        self.record = record
        self.name = name
        self.front = front
        self.results: list[Result] = []
        self._stream = None
        self._count = 0

    async def send(
        self, path: str, method: str = "GET", body: bytes = b"", deadline_ms: int = 2000
    ) -> Result:
        """Send one attempt, and wait for its answer."""
        self._count += 1
        attempt = f"{self.name}-{self._count:04x}"
        kept = self._stream is not None
        lines = [
            f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}",
            f"X-Attempt-Id: {attempt}", f"X-Deadline-Ms: {deadline_ms}",
        ]  # fmt: skip
        if body:
            lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        sent_at = self.record.now
        result = Result(attempt, 0, sent_at, 0.0, self.front.name, kept=kept)
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.0):
                if self._stream is None:
                    self._stream = await asyncio.open_connection(*self.front.callers)
                reader, writer = self._stream
                writer.write(data)
                reply = await read_message(reader)
            result.status = int(reply.first[1])
            result.body, result.headers = reply.body, reply.headers
            if reply.headers.get("connection") == "close":
                self.close()
        except (OSError, EOFError, TimeoutError) as error:
            result.detail = repr(error)
            self.close()
        result.took_s = self.record.now - sent_at
        self.results.append(result)
        self.record.note(
            f"client {attempt} at {self.front.name}: {method} {path} sent at "
            f"{sent_at:.3f}, status {result.status or 'none'} {result.detail}"
        )
        return result

    def close(self) -> None:
        """Close the connection."""
        if self._stream is not None:
            self._stream[1].close()
            self._stream = None


class Case:
    """A small deployment: a store, replicas, fronts, and what happens there."""

    def __init__(self, folder: Path, zones: tuple[str, ...], front_zones: list[str]):
        self.folder = folder
        self.record = Record(folder)
        self.zones = zones
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.net = find_free_network(len(front_zones))
        self.store = Store(self.record)
        self.version = 1
        self.replicas: list[Replica] = []
        self._next_port = self.net.base + 100
        ports = {
            name: self.net.base + number
            for number, name in enumerate(
                ("callers", "readiness", "peers", "directory", "heartbeats", "metrics")
            )
        }
        hosts = [self.net.address(1, n + 1) for n in range(len(front_zones))]
        seeds = [f"{host}:{ports['peers']}" for host in hosts[:3]]
        self.fronts = [
            Front(
                self.record, f"front-{n + 1}", hosts[n], zone, ports, seeds,
                self.proxy_address(n), zones, Path(self._temporary.name),
            )  # fmt: skip
            for n, zone in enumerate(front_zones)
        ]
        self.proxies: list[Proxy] = []

    def proxy_address(self, number: int) -> str:
        """Address of the store as one front sees it: that of a proxy of its own."""
        return f"{self.net.address(0, 1)}:{self.net.base + 1 + number}"

    async def start_store(self) -> None:
        """Start the store, and a proxy before it for each front."""
        host = self.net.address(0, 1)
        await self.store.listen(host, self.net.base)
        for number in range(len(self.fronts)):
            proxy = Proxy((host, self.net.base))
            await proxy.listen(host, self.net.base + 1 + number)
            self.proxies.append(proxy)

    async def add_replica(self, instance: str, service: str, zone: str, **options):
        """Start a replica and return it."""
        self._next_port += 1
        replica = Replica(
            self.record, self.store, instance, service, self.net.address(0, 2),
            self._next_port, zone, **options,
        )  # fmt: skip
        await replica.start()
        self.replicas.append(replica)
        return replica

    def put_configuration(self, routes: list[dict], services: list[dict]) -> float:
        """Write the next version of the configuration."""
        self.version += 2
        limits = {
            "max-header-bytes": 16384, "max-body-bytes": 262144,
            "header-timeout-ms": 3000, "idle-timeout-ms": 15000,
        }  # fmt: skip
        return self.store.put(
            "op/config",
            {"version": self.version, "routes": routes, "backends": services,
             "limits": limits},
        )  # fmt: skip

    async def start_fronts(self) -> None:
        """Start all fronts and wait until they are ready."""
        for front in self.fronts:
            front.start()
        for front in self.fronts:
            await self.wait_ready(front)
        await asyncio.sleep(2.0)  # for the fronts to hear each other

    async def wait_ready(self, front: Front) -> None:
        """Wait until a front is ready."""
        for _ in range(150):
            if await front.is_ready():
                return
            await asyncio.sleep(0.1)
        raise CaseNotRunError(f"{front.name} isn't ready: {front.read_log()[-500:]}")

    def stop(self) -> None:
        """End all processes that the case started."""
        for front in self.fronts:
            front.stop()
        self._temporary.cleanup()
        self.record.close()


class CaseNotRunError(Exception):
    """The case could not run."""


@dataclass
class Network:
    """Free loopback addresses and ports."""

    octet: int
    base: int

    def address(self, third: int, fourth: int) -> str:
        """Return an address of the network."""
        return f"127.{self.octet}.{third}.{fourth}"


def find_free_network(fronts: int) -> Network:
    """Find loopback addresses on which the ports of a case are free."""
    for _ in range(50):
        net = Network(random.randrange(60, 250), random.randrange(20000, 29000, 200))
        hosts = [net.address(0, 1), net.address(0, 2)]
        hosts += [net.address(1, n + 1) for n in range(fronts)]
        if all(_is_free(h, net.base + p) for h in hosts for p in (*range(10), 101)):
            return net
    raise CaseNotRunError("no free ports")


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True


def make_route(name: str, prefix: str, service: str, **fields) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name, "hostname": HOST_NAME, "path-prefix": prefix,
        "route-type": "idempotent", "timeout-ms": 2000, "target-latency-ms": 400,
        "priority": 1, "backend": service, "max-attempts": 2,
    } | fields  # fmt: skip


def make_service(name: str, max_connections: int = 96) -> dict:
    """Return a service of the configuration."""
    return {
        "name": name, "health-check-path": "/health",
        "max-connections": max_connections, "protocol": "h1", "tls": False,
        "warmup-s": 3.0, "warmup-per-s": 0.0,
    }  # fmt: skip


def run_case(file: str, zones: tuple[str, ...], front_zones: list[str], play) -> None:
    """Play a case and exit with its verdict."""
    folder = Path(file).resolve().parent
    case = None
    code = NOT_RUN
    try:
        case = Case(folder, zones, front_zones)
        case.record.say("with the disruption" if TROUBLE else "without the disruption")
        broken = asyncio.run(asyncio.wait_for(play(case), 110))
        code = BROKEN if broken else HELD
        case.record.say("the rule was broken" if broken else "the rule held")
    except Exception as error:
        print(f"the case couldn't run: {error!r}")
    finally:
        if case is not None:
            case.stop()
    # Open connections of the stand-ins end with the process.
    sys.stdout.flush()
    os._exit(code)
