"""Stand-ins of replicas, many in one process, each with a fault of its own."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from ..clock import read_boottime
from ..http.messages import Request, Response
from ..http.server import HttpServer
from ..platform import names
from ..process import run_cli, wait_for_stop_signal
from ..tasks import start_task
from .endless import ENDLESS_FAULTS, write_endless
from .parts import make_digest, make_records

# Requests waiting or running at a replica; it rejects further ones.
MAX_OPEN_REQUESTS = 12
# SO_LINGER with a time of 0 s: closing sends RST instead of FIN.
LINGER_ZERO = struct.pack("ii", 1, 0)
FAULTS = (
    "", "slow", "dark", "shed", "extra", "cut", "cut_head", "reset", "unframed",
    "fail", "limit", "leaving", "quiet", "gone", "long", *ENDLESS_FAULTS,
)  # fmt: skip
LONG_ANSWER_BYTES = 3 << 20  # size of an answer's body under the fault "long"
QUIET_S = 2  # for which a replica wants no requests, under the fault "quiet"
# A request with this in its path ends the replicas that run it.
DEADLY_PATH = b"/deadly"
DOWN_S = 2.0  # time for which a replica that ended accepts no connection
SLOWDOWN_FACTOR = 8.0  # Multiplies the time of a request under the fault "slow".
RATE_LIMIT_PER_S = 2.0  # for all VMs together, under the fault "limit"
# Probability that a request is hit by a fault other than "slow", "dark" and "gone".
FAULT_PROBABILITY = 0.5


@dataclass(slots=True)
class Standin:
    """One replica.

    Attributes
    ----------
    instance, service : str
        Id of the instance, and its service.
    work_s : float
        Mean time of a request, in seconds.
    slots : int
        Number of requests that run at the same time.
    fault : str
        Current fault, one of `FAULTS`:

        - "": none.
        - "slow": requests take longer.
        - "dark": requests are read and not answered.
        - "shed": requests are rejected with status 503.
        - "extra": the answer is sent twice.
        - "cut": the answer ends early, and the connection is closed.
        - "cut_head": the same, in the head of the answer.
        - "reset": the connection is reset in place of an answer.
        - "unframed": the answer has no content length, and may end early with a reset.
        - "fail": the request runs and gets status 500.
        - "leaving": answers say that the replica leaves.
        - "quiet": requests are rejected with status 503 and a Retry-After of `QUIET_S`.
        - "limit": answers name `RATE_LIMIT_PER_S`; further requests are served too.
        - "gone": new connections are refused, also after another fault is set.
        - "long": answers have `LONG_ANSWER_BYTES`.
        - `ENDLESS_FAULTS`: the answer has a head, a body or other bytes without end.
    runs : list of dict
        Requests that began to run, with instance, service, attempt id, request line,
        body size in bytes, time left in ms as text (empty if not sent) and boot time.
    arrivals : list of float
        Boot times at which requests arrived, in seconds.
    open_requests, running : int
        Requests waiting or running now, and those of them that run.
    on_end : callable
        Called with the instance when a request ends the replica.
    """

    instance: str
    service: str
    work_s: float
    slots: int
    fault: str = ""
    runs: list[dict[str, Any]] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    open_requests: int = 0
    running: int = 0
    on_end: Callable[[str], None] = lambda instance: None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _free_slots: asyncio.Semaphore | None = None
    _random: random.Random = field(default_factory=random.Random)

    def __post_init__(self):
        self._free_slots = asyncio.Semaphore(self.slots)
        self._random.seed(self.instance)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends."""
        self._writers.add(writer)
        try:
            while await self._serve_request(reader, writer):
                pass
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def reset_connections(self) -> None:
        """Reset all connections, as the end of the process does."""
        for writer in list(self._writers):
            self._reset_connection(writer)

    async def _serve_request(self, reader, writer) -> bool:
        """Serve one request; return whether the connection stays open."""
        head = await reader.readuntil(b"\r\n\r\n")
        request_line, *header_lines = head.split(b"\r\n")
        headers = dict(
            (name.strip().lower(), value.strip())
            for name, _, value in (
                text.partition(b":") for text in header_lines if text
            )
        )
        body = await reader.readexactly(int(headers.get(b"content-length", b"0")))
        attempt = headers.get(names.ATTEMPT_ID, b"")
        self.arrivals.append(read_boottime())
        if self.fault == "dark":
            await asyncio.sleep(3600)
        if headers.get(names.TARGET_INSTANCE, b"").decode() != self.instance:
            return self._write_response(writer, attempt, 421, b"")
        if self._should_reject():
            not_executed = (names.NOT_EXECUTED, b"1")
            return self._write_response(writer, attempt, 503, b"", not_executed)
        if not await self._run_request(reader, request_line, attempt, headers, body):
            return False
        if DEADLY_PATH in request_line:
            self.on_end(self.instance)
            return False
        return await self._send_answer(writer, attempt, request_line)

    def _should_reject(self) -> bool:
        sheds = self.fault == "shed" and self._random.random() < FAULT_PROBABILITY
        return sheds or self.fault == "quiet" or self.open_requests >= MAX_OPEN_REQUESTS

    async def _run_request(self, reader, request_line, attempt, headers, body) -> bool:
        """Run a request once a slot is free.

        Return False if the client disconnected.
        """
        self.open_requests += 1
        try:
            async with self._free_slots:
                self.runs.append(
                    {
                        "instance": self.instance,
                        "service": self.service,
                        "attempt": attempt.decode(),
                        "line": request_line.decode("latin-1"),
                        "body": len(body),
                        "left_ms": headers.get(names.DEADLINE_MS, b"").decode(),
                        "at": read_boottime(),
                    }
                )
                self.running += 1
                try:
                    return await self._simulate_work(reader)
                finally:
                    self.running -= 1
        finally:
            self.open_requests -= 1

    async def _simulate_work(self, reader) -> bool:
        """Wait for the time of a request; return False if the client disconnected."""
        factor = SLOWDOWN_FACTOR if self.fault == "slow" else 1.0
        end = time.monotonic() + factor * self.work_s * self._random.uniform(0.6, 1.4)
        while time.monotonic() < end:
            if reader.at_eof():
                return False
            await asyncio.sleep(min(0.005, max(0.0, end - time.monotonic())))
        return True

    async def _send_answer(self, writer, attempt: bytes, request_line: bytes) -> bool:
        """Send the answer under the fault; return whether the connection stays open."""
        body = make_records(self.service, attempt)
        if self.fault == "long":
            body *= LONG_ANSWER_BYTES // len(body)
        if self.fault in ENDLESS_FAULTS:
            return await write_endless(writer, attempt, self.fault)
        fault_applies = self._random.random() < FAULT_PROBABILITY
        if self.fault == "fail" and fault_applies:
            return self._write_response(writer, attempt, 500, b"failed")
        if self.fault == "reset" and fault_applies:
            return self._reset_connection(writer)
        if self.fault == "cut" and fault_applies:
            writer.write(self._encode_response(attempt, 200, body)[:-20])
            return False
        if self.fault == "cut_head" and fault_applies:
            data = self._encode_response(attempt, 200, body)
            head_bytes = data.index(b"\r\n\r\n")
            writer.write(data[: self._random.randrange(head_bytes + 3)])
            return False
        if self.fault == "unframed" and fault_applies:
            return await self._write_unframed(writer, attempt, body)
        self._write_response(writer, attempt, 200, body)
        if self.fault == "extra" and fault_applies:
            await asyncio.sleep(self._random.uniform(0.0, 0.1))
            self._write_response(writer, attempt, 200, body)
        return True

    async def _write_unframed(self, writer, attempt: bytes, body: bytes) -> bool:
        """Write an answer without a content length; return False to close."""
        data = self._encode_response(attempt, 200, body)
        head, _, content = data.partition(b"\r\n\r\n")
        kept_lines = [
            line for line in head.split(b"\r\n") if not line.startswith(b"content-l")
        ]
        complete = self._random.random() < 0.5
        sent = content if complete else content[:50]
        writer.write(b"\r\n".join(kept_lines) + b"\r\n\r\n" + sent)
        await writer.drain()
        if not complete:
            await asyncio.sleep(0.002)
            return self._reset_connection(writer)
        return False

    def _reset_connection(self, writer) -> bool:
        """Reset the connection; return False, as it does not stay open."""
        connection_socket = writer.get_extra_info("socket")
        connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
        writer.transport.abort()
        return False

    def _write_response(
        self, writer, attempt, status: int, body: bytes, *extra_headers
    ) -> bool:
        """Write a response; return True, as the connection stays open."""
        writer.write(self._encode_response(attempt, status, body, *extra_headers))
        return True

    def _encode_response(
        self, attempt: bytes, status: int, body: bytes, *extra_headers
    ) -> bytes:
        waiting = self.open_requests - self.running
        load = b"%d,%d,%d" % (self.running, waiting, self.slots)
        headers = [
            (names.ATTEMPT_ID, attempt),
            (names.SERVER_LOAD, load),
            (b"content-length", b"%d" % len(body)),
            *extra_headers,
        ]
        if status in (200, 500):
            headers.append((names.DIGEST, make_digest(self.service, attempt)))
        if self.fault == "quiet" and status == 503:
            headers.append((names.RETRY_AFTER, b"%d" % QUIET_S))
        if self.fault == "leaving":
            headers.append((names.LEAVING, b"1"))
        if self.fault == "limit":
            headers.append((names.RATE_LIMIT, b"%.1f" % RATE_LIMIT_PER_S))
        header_lines = [
            b"HTTP/1.1 %d Said" % status,
            *(b"%s: %s" % pair for pair in headers),
        ]
        return b"\r\n".join(header_lines) + b"\r\n\r\n" + body


@dataclass(slots=True)
class ReplicaHost:
    """Replicas of this process, started and controlled over HTTP."""

    host: str
    standins: dict[str, Standin] = field(default_factory=dict)
    _servers: dict[str, asyncio.Server] = field(default_factory=dict)
    _ends: list[str] = field(default_factory=list)

    async def handle(self, request: Request) -> Response:
        """Run a control command."""
        path = request.path
        fields = json.loads(request.body or b"{}")
        if path == "/start":
            return await self._start_replica(fields)
        if path == "/fault" and fields["fault"] in FAULTS:
            return await self._set_fault(fields["instance"], fields["fault"])
        if path == "/runs":
            runs = [run for standin in self.standins.values() for run in standin.runs]
            return Response(200, [], json.dumps(runs).encode())
        if path == "/arrivals":
            arrivals = {name: each.arrivals for name, each in self.standins.items()}
            return Response(200, [], json.dumps(arrivals).encode())
        if path == "/ends":
            return Response(200, [], json.dumps(self._ends).encode())
        return Response(400)

    async def _start_replica(self, fields: dict[str, Any]) -> Response:
        port = fields.pop("port")
        standin = Standin(**fields, on_end=self._end_replica)
        server = await asyncio.start_server(standin.serve, self.host, port)
        self.standins[standin.instance] = standin
        self._servers[standin.instance] = server
        return Response(200)

    def _end_replica(self, instance: str) -> None:
        self._ends.append(instance)
        start_task("restart", self._restart_replica(instance))

    async def _restart_replica(self, instance: str) -> None:
        standin, server = self.standins[instance], self._servers[instance]
        port = server.sockets[0].getsockname()[1]
        server.close()
        standin.reset_connections()
        await asyncio.sleep(DOWN_S)
        self._servers[instance] = await asyncio.start_server(
            standin.serve, self.host, port
        )

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
        IP address and port for control commands; the replicas use the same IP address.
    """

    async def run() -> int:
        host = ReplicaHost(address.partition(":")[0])
        server = HttpServer("replicas", host.handle)
        await server.listen(address)
        await wait_for_stop_signal()
        return 0

    return run


if __name__ == "__main__":
    run_cli("anvilhoist-site-replicas", serve)
