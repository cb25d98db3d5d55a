"""Stand-ins of replicas, many in one process, each with its own fault."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
import time
from dataclasses import dataclass, field
from typing import Any

from ..clock import read_boottime
from ..http.messages import Request, Response
from ..http.server import HttpServer
from ..platform import names
from ..process import run_cli, wait_for_stop_signal
from .parts import make_digest, make_records

QUEUE = 12  # requests that wait at a replica before it rejects
RESET = struct.pack("ii", 1, 0)
FAULTS = (
    "", "slow", "dark", "shed", "extra", "cut", "reset", "unframed", "fail", "gone",
)  # fmt: skip
SLOW_TIMES = 8.0
FAULT_SHARE = 0.5  # of the answers that a fault spoils


@dataclass(slots=True)
class Standin:
    """One replica.

    Attributes
    ----------
    instance, service : str
        Id and service.
    work_s : float
        Mean time of a request, in seconds.
    slots : int
        Requests at the same time.
    """

    instance: str
    service: str
    work_s: float
    slots: int
    fault: str = ""
    runs: list[dict[str, Any]] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    waiting: int = 0
    running: int = 0
    _free: asyncio.Semaphore | None = None
    _random: random.Random = field(default_factory=random.Random)

    def __post_init__(self):
        self._free = asyncio.Semaphore(self.slots)
        self._random.seed(self.instance)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while await self._serve_one(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, reader, writer) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        line, *lines = head.split(b"\r\n")
        headers = dict(
            (name.strip().lower(), value.strip())
            for name, _, value in (text.partition(b":") for text in lines if text)
        )
        body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
        attempt = headers.get(names.REQUEST_ID, b"")
        self.arrivals.append(read_boottime())
        if self.fault == "dark":
            await asyncio.sleep(3600)
        if headers.get(names.TARGET_INSTANCE, b"").decode() != self.instance:
            return self._write(writer, attempt, 421, b"")
        if self._sheds():
            return self._write(writer, attempt, 503, b"", (names.NOT_EXECUTED, b"1"))
        if not await self._work(reader, line, attempt, headers, body):
            return False
        return await self._answer(writer, attempt, line)

    def _sheds(self) -> bool:
        if self.fault == "shed" and self._random.random() < FAULT_SHARE:
            return True
        return self.waiting >= QUEUE

    async def _work(self, reader, line, attempt, headers, body) -> bool:
        self.waiting += 1
        try:
            async with self._free:
                self.runs.append(
                    {
                        "instance": self.instance,
                        "service": self.service,
                        "attempt": attempt.decode(),
                        "line": line.decode("latin-1"),
                        "body": len(body),
                        "left_ms": headers.get(names.DEADLINE_MS, b"").decode(),
                        "at": read_boottime(),
                    }
                )
                self.running += 1
                try:
                    return await self._sleep(reader)
                finally:
                    self.running -= 1
        finally:
            self.waiting -= 1

    async def _sleep(self, reader) -> bool:
        times = SLOW_TIMES if self.fault == "slow" else 1.0
        end = time.monotonic() + times * self.work_s * self._random.uniform(0.6, 1.4)
        while time.monotonic() < end:
            if reader.at_eof():
                return False
            await asyncio.sleep(min(0.005, max(0.0, end - time.monotonic())))
        return True

    async def _answer(self, writer, attempt: bytes, line: bytes) -> bool:
        body = make_records(self.service, attempt)
        spoils = self._random.random() < FAULT_SHARE
        if self.fault == "fail" and spoils:
            return self._write(writer, attempt, 500, b"failed")
        if self.fault == "reset" and spoils:
            return self._reset(writer)
        if self.fault == "cut" and spoils:
            writer.write(self._encode(attempt, 200, body)[:-20])
            return False
        if self.fault == "unframed" and spoils:
            return await self._write_unframed(writer, attempt, body)
        self._write(writer, attempt, 200, body)
        if self.fault == "extra" and spoils:
            await asyncio.sleep(self._random.uniform(0.0, 0.1))
            self._write(writer, attempt, 200, body)
        return True

    async def _write_unframed(self, writer, attempt: bytes, body: bytes) -> bool:
        data = self._encode(attempt, 200, body)
        head, _, rest = data.partition(b"\r\n\r\n")
        kept = [row for row in head.split(b"\r\n") if not row.startswith(b"content-l")]
        whole = self._random.random() < 0.5
        writer.write(b"\r\n".join(kept) + b"\r\n\r\n" + (rest if whole else rest[:50]))
        await writer.drain()
        if not whole:
            await asyncio.sleep(0.002)
            return self._reset(writer)
        return False

    def _reset(self, writer) -> bool:
        raw = writer.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()
        return False

    def _write(self, writer, attempt, status: int, body: bytes, *extra) -> bool:
        writer.write(self._encode(attempt, status, body, *extra))
        return True

    def _encode(self, attempt: bytes, status: int, body: bytes, *extra) -> bytes:
        load = b"%d,%d,%d" % (self.running, self.waiting - self.running, self.slots)
        headers = [
            (names.REQUEST_ID, attempt),
            (names.SERVER_LOAD, load),
            (b"content-length", b"%d" % len(body)),
            *extra,
        ]
        if status in (200, 500):
            headers.append((names.DIGEST, make_digest(self.service, attempt)))
        lines = [b"HTTP/1.1 %d Said" % status, *(b"%s: %s" % pair for pair in headers)]
        return b"\r\n".join(lines) + b"\r\n\r\n" + body


@dataclass(slots=True)
class Host:
    """The process's replicas, and the orders of the experiment."""

    host: str
    standins: dict[str, Standin] = field(default_factory=dict)
    _servers: dict[str, asyncio.Server] = field(default_factory=dict)

    async def handle(self, request: Request) -> Response:
        """Carry out an order."""
        path = request.path
        fields = json.loads(request.body or b"{}")
        if path == "/start":
            return await self._start(fields)
        if path == "/fault" and fields["fault"] in FAULTS:
            return await self._set_fault(fields["instance"], fields["fault"])
        if path == "/runs":
            runs = [run for found in self.standins.values() for run in found.runs]
            return Response(200, [], json.dumps(runs).encode())
        if path == "/arrivals":
            found = {name: each.arrivals for name, each in self.standins.items()}
            return Response(200, [], json.dumps(found).encode())
        return Response(400)

    async def _start(self, fields: dict[str, Any]) -> Response:
        port = fields.pop("port")
        standin = Standin(**fields)
        server = await asyncio.start_server(standin.serve, self.host, port)
        self.standins[standin.instance] = standin
        self._servers[standin.instance] = server
        return Response(200)

    async def _set_fault(self, instance: str, fault: str) -> Response:
        self.standins[instance].fault = fault
        if fault == "gone":
            self._servers[instance].close()
        return Response(200)


def serve(address: str):
    """Serve until SIGTERM.

    Parameters
    ----------
    address : str
        IP number and port for the experiment's orders.
    """

    async def run() -> int:
        host = Host(address.partition(":")[0])
        server = HttpServer("replicas", host.handle)
        await server.listen(address)
        await wait_for_stop_signal()
        return 0

    return run


if __name__ == "__main__":
    run_cli("anvilhoist-site-replicas", serve)
