"""Stand-ins of store, replicas and clients for the cases of this review.

They use the standard library alone, run in one event loop, and follow the users'
pages. The processes under test are started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import hashlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
LINGER_ZERO = struct.pack("ii", 1, 0)
HOST_NAME = "site.example"
ZONES = ("vaxjo", "alvesta", "ljungby")
REGION = "smaland"
START_TIMEOUT_S = 20.0


def free_port(host: str) -> int:
    """Return a port that is free for TCP and UDP on a loopback address."""
    while True:
        with socket.socket() as tcp, socket.socket(type=socket.SOCK_DGRAM) as udp:
            tcp.bind((host, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((host, port))
            except OSError:
                continue
            return port


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    writer.get_extra_info("socket").setsockopt(
        socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO
    )
    writer.transport.abort()


@dataclass
class Message:
    """A request or a response: first line, headers by lower-case name, body."""

    line: str
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.line.split()[1])


async def read_message(
    reader: asyncio.StreamReader, is_response: bool = False
) -> Message | None:
    """Read one message; None if the connection ends before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        return Message("HTTP/1.1 0 cut", {}, error.partial, False)
    line, *fields = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers: dict[str, str] = {}
    for text in fields:
        name, _, value = text.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    message = Message(line, headers)
    try:
        if "chunked" in headers.get("transfer-encoding", "").lower():
            parts = []
            while size := int((await reader.readline()).split(b";")[0], 16):
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readline()
            message.body = b"".join(parts)
        elif "content-length" in headers:
            message.body = await reader.readexactly(int(headers["content-length"]))
        elif is_response:
            message.body = await reader.read()
    except asyncio.IncompleteReadError as error:
        message.body, message.complete = error.partial, False
    return message


def encode(first: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Encode a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Record:
    """What happened, written to `record.txt` with the seconds since the start."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_at = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self._started_at

    def write(self, what: str, **fields) -> None:
        """Write one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{self.now:9.3f} {what} {text}\n")
        self._file.flush()


class Store:
    """The platform's store: items, revisions and history."""

    page_items = 50
    history_s = 20.0  # changes older than this are no longer told to watches

    def __init__(self):
        self.items: dict[str, tuple[bytes, int]] = {}
        self.history: list[tuple[str, bytes | None, int]] = []
        self.changed_at: list[float] = []
        self.forgotten = 1  # revision of the newest change that is no longer told
        self.revision = 1
        self.address = ""
        self._changed = asyncio.Event()

    async def start(self, host: str) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{server.sockets[0].getsockname()[1]}"

    def put(self, key: str, value: bytes | None) -> int:
        """Write an item, or remove it if the value is None; return the revision."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (value, self.revision)
        self.history.append((key, value, self.revision))
        self.changed_at.append(time.monotonic())
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision

    async def _serve(self, reader, writer) -> None:
        try:
            while request := await read_message(reader):
                parts = urlsplit(request.line.split()[1])
                query = {k: v[0] for k, v in parse_qs(parts.query, True).items()}
                gone = False
                if parts.path.endswith("/kv-range"):
                    answer = self._range(query)
                elif parts.path.endswith("/kv-watch"):
                    answer = await self._watch(query)
                    gone = answer is None
                elif parts.path.endswith("/kv-key"):
                    answer = self._key(query)
                else:
                    answer = None
                status = "200 OK" if answer is not None else "404 Not Found"
                if gone:
                    status = "410 Gone"
                body = json.dumps(answer or {}).encode()
                kind = {"Content-Type": "application/json"}
                writer.write(encode(f"HTTP/1.1 {status}", kind, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def _key(self, query: dict[str, str]):
        item = self.items.get(query["key"])
        return _item(query["key"], *item) | {"at": self.revision} if item else None

    def _range(self, query: dict[str, str]):
        prefix, after = query.get("path-prefix", ""), query.get("after", "")
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [_item(key, *self.items[key]) for key in keys[: self.page_items]]
        more = len(keys) > self.page_items
        return {"items": page, "has-more": more, "at": self.revision}

    def _forget(self) -> None:
        oldest = time.monotonic() - self.history_s
        while self.changed_at and self.changed_at[0] < oldest:
            self.changed_at.pop(0)
            self.forgotten = self.history.pop(0)[2]

    async def _watch(self, query: dict[str, str]):
        after = int(query["after"])
        self._forget()
        if after < self.forgotten:
            return None
        changed = self._changed
        if self.revision <= after:
            try:
                async with asyncio.timeout(int(query.get("wait-ms", "0")) / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
        events = [
            _item(*event)
            for event in self.history
            if event[2] > after and event[0].startswith(query.get("path-prefix", ""))
        ]
        return {"events": events, "at": self.revision}


def _item(key: str, value: bytes | None, revision: int) -> dict:
    if value is None:
        return {"key": key, "revision": revision, "deleted": True}
    text = base64.b64encode(value).decode()
    return {"key": key, "value": text, "revision": revision, "created": revision,
            "lease": 0}  # fmt: skip


def make_part(service: str, attempt: str, records: int = 60) -> tuple[str, bytes]:
    """Return digest and body of a service's answer to one attempt."""
    body = b"".join(
        hashlib.md5(f"{service}/{attempt}/{n}".encode()).digest()
        for n in range(records)
    )
    return hashlib.sha1(service.encode() + attempt.encode() + body).hexdigest(), body


@dataclass
class Replica:
    """A replica of one service.

    `fault` may be set to a coroutine function of this replica, the request and the
    writer, which is called in place of the answer once the request has run; it returns
    whether the connection stays open, or None to go on with the usual answer.
    `describe_work`, if set, returns work in seconds and records of an answer by the
    request line.
    """

    service: str
    instance: str
    zone: str
    record: Record
    slots: int = 4
    work_s: float = 0.02
    queue: int = 16
    runs: list[tuple[str, str]] = field(default_factory=list)
    fault: object = None
    describe_work: object = None
    address: str = ""
    running: int = 0
    waiting: int = 0
    born: int = 0
    extra: dict[str, str] = field(default_factory=dict)
    quiet: bool = True
    _server: asyncio.Server | None = None
    _slots: asyncio.Semaphore | None = None
    _writers: set = field(default_factory=set)

    async def start(self, host: str) -> None:
        """Listen; a new start keeps the port."""
        port = int(self.address.partition(":")[2] or 0)
        self._slots = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self.born = int(time.time() * 1000)

    def crash(self) -> None:
        """End like a killed process: no listener, all connections reset."""
        self._server.close()
        for writer in list(self._writers):
            reset(writer)

    def entry(self, state: str = "ready", sequence: int = 1) -> bytes:
        """Return what the replica writes to the store."""
        return json.dumps(
            {"backend": self.service, "address": self.address, "zone": self.zone,
             "version": "v1", "slots": self.slots, "state": state,
             "warmup-left-ms": 0, "sequence": sequence, "born": self.born}
        ).encode()  # fmt: skip

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while request := await read_message(reader):
                if not request.complete or not await self._answer(
                    request, reader, writer
                ):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request: Message, reader, writer) -> bool:
        attempt = request.headers.get("x-attempt-id", "")
        if request.headers.get("x-target-instance", self.instance) != self.instance:
            self.reply(writer, attempt, "421 Misdirected", b"", {})
            return True
        if self.running + self.waiting >= self.slots + self.queue:
            self.reply(writer, attempt, "503 Full", b"", {"X-Not-Executed": "1"})
            return True
        self.waiting += 1
        async with self._slots:
            self.waiting -= 1
            self.running += 1
            self.runs.append((attempt, request.line))
            if not self.quiet:
                self.record.write(
                    "ran", replica=self.instance, attempt=attempt,
                    line=request.line.replace(" ", "_"), body=len(request.body),
                )  # fmt: skip
            work_s, records = self.work_s, 60
            if self.describe_work is not None:
                work_s, records = self.describe_work(request.line)
            try:
                end = time.monotonic() + work_s * random.uniform(0.7, 1.3)
                while (left := end - time.monotonic()) > 0:
                    if reader.at_eof():
                        return False
                    await asyncio.sleep(min(0.01, left))
            finally:
                self.running -= 1
        if self.fault is not None:
            kept = await self.fault(self, request, writer)
            if kept is not None:
                return kept
        digest, body = make_part(self.service, attempt, records)
        self.reply(writer, attempt, "200 OK", body, {"X-Response-Signature": digest})
        await writer.drain()
        return True

    def reply(self, writer, attempt, status, body, headers) -> None:
        """Write one response."""
        load = f"{self.running},{self.waiting},{self.slots}"
        fixed = {"X-Attempt-Id": attempt, "X-Server-Load": load}
        writer.write(encode(f"HTTP/1.1 {status}", fixed | self.extra | headers, body))


@dataclass
class Front:
    """One process of the tier on its own loopback address."""

    number: int
    host: str
    zone: str
    ports: dict[str, int]
    settings_path: Path
    log_path: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start it with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["front"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "ANVILHOIST_SETTINGS": str(self.settings_path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log,
                stdin=subprocess.DEVNULL,
            )  # fmt: skip

    def address(self, name: str) -> tuple[str, int]:
        """Return one of its addresses."""
        return self.host, self.ports[name]

    def signal(self, number: signal.Signals) -> None:
        """Send it a signal if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def resident_mb(self) -> float:
        """Return its resident memory in MB; 0 if it doesn't run."""
        try:
            pages = Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]
        except (OSError, IndexError):
            return 0.0
        return int(pages) * os.sysconf("SC_PAGE_SIZE") / 1e6


class Deployment:
    """A small deployment: a store, replicas and fronts."""

    def __init__(self, record: Record, octet: int | None = None):
        self.record = record
        self.octet = octet or random.randint(60, 120)
        self.store = Store()
        self.replicas: list[Replica] = []
        self.fronts: list[Front] = []
        self.version = 0
        self._folder = tempfile.TemporaryDirectory(prefix="case-")
        self.folder = Path(self._folder.name)
        self.bounds = {"retry_ratio": 0.2, "retry_allowance": 52, "retry_window_s": 10,
                       "stop_s": 6, "address_keep_s": 5}  # fmt: skip

    async def start_store(self) -> None:
        """Start the store."""
        await self.store.start(f"127.{self.octet}.0.1")

    async def add_replica(self, service: str, **fields) -> Replica:
        """Start a replica and register it."""
        number = len(self.replicas)
        replica = Replica(
            service, f"i-{number:04x}", ZONES[number % 2], self.record, **fields
        )
        await replica.start(f"127.{self.octet}.2.{1 + number // 200}")
        self.replicas.append(replica)
        self.store.put(f"servers/{replica.instance}", replica.entry())
        return replica

    def publish(self, routes: list[dict], services: list[str], **limits) -> None:
        """Write the next version of the configuration."""
        self.version += random.randint(1, 4)
        document = {
            "version": self.version,
            "routes": routes,
            "backends": [
                {"name": name, "health-check-path": "/health", "max-connections": 96,
                 "warmup-s": 3, "warmup-per-s": 0}
                for name in services
            ],
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000} | limits,
        }  # fmt: skip
        self.store.put("op/config", json.dumps(document).encode())
        self.record.write("published", version=self.version)

    async def start_fronts(self, count: int, zones: tuple[str, ...] = ZONES) -> None:
        """Start the fronts in turn in the zones and wait until all are ready."""
        names = ("frontend", "readiness", "control", "directory", "peers", "metrics")
        hosts = [f"127.{self.octet}.1.{n + 1}" for n in range(count)]
        ports = {}
        for name in names:
            while (port := free_port(hosts[0])) in ports.values():
                pass
            ports[name] = port
        for number, host in enumerate(hosts):
            path = self.folder / f"front-{number}.toml"
            zone = zones[number % len(zones)]
            log = self.folder / f"front-{number}.log"
            front = Front(number, host, zone, ports, path, log)
            path.write_text(self._encode_settings(front, hosts), encoding="utf-8")
            self.fronts.append(front)
            front.start()
        for front in self.fronts:
            await self.wait_ready(front)

    async def wait_ready(self, front: Front) -> None:
        """Wait until a front is ready."""
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            try:
                status = await self.ask_ready(front)
            except OSError:
                status = 0
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"front {front.number} did not get ready")

    async def ask_ready(self, front: Front) -> int:
        """Ask a front as the platform does; return the status."""
        answer = await fetch(front.address("readiness"), "/anvilhoist/readiness")
        return answer.status if answer else 0

    def stop(self) -> None:
        """End all processes that this deployment started."""
        for front in self.fronts:
            if front.process is not None and front.process.poll() is None:
                front.signal(signal.SIGCONT)
                front.process.kill()
                front.process.wait()

    def _encode_settings(self, front: Front, hosts: list[str]) -> str:
        def address(name: str) -> str:
            return f'"{front.host}:{front.ports[name]}"'

        seeds = [f"{host}:{front.ports['control']}" for host in hosts[:3]]
        lines = [
            f'vm = "front-{front.number}"',
            f'host = "{front.host}"',
            f'data_centre = "{front.zone}"',
            f'region = "{REGION}"',
            f"seeds = {json.dumps(seeds)}",
            f'store = "{self.store.address}"',
            f"peers_port = {front.ports['peers']}",
            f"metrics_port = {front.ports['metrics']}",
            "[listen]",
            f"callers = {address('frontend')}",
            f"readiness = {address('readiness')}",
            f"peers = {address('control')}",
            f"directory = {address('directory')}",
            "[bounds]",
            *(f"{name} = {value}" for name, value in self.bounds.items()),
            "[data_centres]",
            *(f'"{zone}" = "{REGION}"' for zone in ZONES),
        ]
        return "\n".join(lines) + "\n"


class CannotRunError(Exception):
    """The case could not run."""


async def fetch(address, target: str, timeout_s: float = 1.0) -> Message | None:
    """Send one GET request on a connection of its own."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(encode(f"GET {target} HTTP/1.1", {"Host": "x"}))
            return await read_message(reader, True)
        finally:
            writer.close()


@dataclass
class Answer:
    """What a client saw of one attempt: status 0 if the connection ended without."""

    attempt: str
    status: int
    headers: dict[str, str]
    body: bytes
    complete: bool
    took_s: float
    why: str = ""


class Client:
    """A client that keeps one connection to one front."""

    def __init__(self, front: Front, name: str):
        self.front = front
        self.name = name
        self._count = 0
        self._reader = self._writer = None

    @property
    def is_open(self) -> bool:
        """Whether the next request uses a kept connection."""
        return self._writer is not None

    async def send(
        self, target: str, deadline_s: float, method: str = "GET", body: bytes = b"",
        wait_s: float | None = None,
    ) -> Answer:  # fmt: skip
        """Send one attempt and wait for its answer, a second past its deadline."""
        self._count += 1
        attempt = f"{self.name}-{self._count:x}"
        began = time.monotonic()

        def answer(status=0, headers=None, body=b"", complete=False, why=""):
            took = time.monotonic() - began
            return Answer(attempt, status, headers or {}, body, complete, took, why)

        try:
            async with asyncio.timeout(wait_s or deadline_s + 1.0):
                if self._writer is None:
                    self._reader, self._writer = await asyncio.open_connection(
                        *self.front.address("frontend")
                    )
                headers = {"Host": HOST_NAME, "X-Attempt-Id": attempt,
                           "X-Deadline-Ms": str(int(deadline_s * 1000))}  # fmt: skip
                self._writer.write(encode(f"{method} {target} HTTP/1.1", headers, body))
                got = await read_message(self._reader, True)
        except TimeoutError:
            self.close()
            return answer(why="timeout")
        except OSError as error:
            self.close()
            return answer(why=repr(error).replace(" ", "_"))
        if got is None:
            self.close()
            return answer(why="closed")
        if not got.complete or got.headers.get("connection", "").lower() == "close":
            self.close()
        return answer(got.status, got.headers, got.body, got.complete)

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None


def run_case(case) -> None:
    """Run a case and exit: 1 the rule was broken, 0 it held, 2 it couldn't run."""
    folder = Path(sys.argv[0]).resolve().parent
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    deployment = Deployment(record)
    code = 2
    try:
        code = asyncio.run(case(deployment, record, trouble))
    except CannotRunError as error:
        record.write("cannot_run", why=str(error))
    finally:
        deployment.stop()
        record.write("result", code=code)
    sys.exit(code)
