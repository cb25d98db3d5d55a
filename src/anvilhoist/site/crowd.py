"""Clients that keep to no limits: they send without end, stop, or don't read."""

from __future__ import annotations

import asyncio
import itertools
import socket
from collections.abc import Iterable
from dataclasses import dataclass, field

from ..clock import read_boottime
from ..platform import names
from .site import BOOK_PREFIX, HOST_NAME, READ_PREFIX

RECEIVE_BUFFER_BYTES = 4096  # of each client's socket, so that it reads little
READER_LIMIT_BYTES = 1024  # of each client's stream; it stops reading at twice this
SETTLED_S = 3.0  # a client that sends nothing for so long has sent all that it can
CHECK_INTERVAL_S = 0.1
BLOCK_BYTES = 32768  # sent at a time

_attempt_numbers = itertools.count()


def make_head(method: str, target: str, *lines: str) -> bytes:
    """Return the head of a proper request, with an attempt id of its own."""
    number = next(_attempt_numbers)
    attempt = f"{names.ATTEMPT_ID.decode()}: crowd-{number}"
    head = [f"{method} {target} HTTP/1.1", f"host: {HOST_NAME}", attempt, *lines]
    return "\r\n".join([*head, "", ""]).encode()


def send_trailers(size_bytes: int, target: str = BOOK_PREFIX) -> Iterable[bytes]:
    """Return the bytes of a chunked request with trailers of a size, without end."""
    yield make_head("POST", target, "transfer-encoding: chunked")
    yield b"1\r\nx\r\n0\r\n"
    yield from repeat_bytes(b"a: b\r\n", size_bytes)


def send_chunks(count: int, chunk: bytes, target: str = BOOK_PREFIX) -> Iterable[bytes]:
    """Return the bytes of a chunked request that stops before its last chunk."""
    yield make_head("POST", target, "transfer-encoding: chunked")
    line = b"%x\r\n%s\r\n" % (len(chunk), chunk)
    yield from repeat_bytes(line, count * len(line))


def send_head(size_bytes: int) -> Iterable[bytes]:
    """Return the bytes of a head of many short headers that stops before its end."""
    yield make_head("GET", READ_PREFIX)[:-2]
    yield from repeat_bytes(b"a:\r\n", size_bytes)


def send_pipelined(size_bytes: int) -> Iterable[bytes]:
    """Return the bytes of short requests in a row."""
    yield from repeat_bytes(b"GET / HTTP/1.1\r\n\r\n", size_bytes)


def send_request(target: str) -> Iterable[bytes]:
    """Return the bytes of one proper request without a body."""
    yield make_head("GET", target)


def repeat_bytes(piece: bytes, size_bytes: int) -> Iterable[bytes]:
    """Repeat a piece up to a size, several at a time."""
    per_block = max(1, BLOCK_BYTES // len(piece))
    whole_blocks, rest = divmod(size_bytes // len(piece), per_block)
    yield from itertools.repeat(piece * per_block, whole_blocks)
    yield piece * rest


@dataclass(slots=True)
class Crowd:
    """Clients of one VM that stay connected until `close`, and don't read.

    Parameters
    ----------
    address : str
        IP address and port that they connect to.

    Attributes
    ----------
    connected : int
        Connections that were established.
    """

    address: str
    connected: int = 0
    _writers: list[asyncio.StreamWriter] = field(default_factory=list)
    _tasks: list[asyncio.Task] = field(default_factory=list)
    _progressed_at: float = 0.0

    async def run(self, requests: Iterable[Iterable[bytes]]) -> None:
        """Let one client send each of the requests, until none can send any more.

        A client ends when it has sent all, or when the VM closes its connection.
        """
        self._progressed_at = read_boottime()
        self._tasks = [
            asyncio.create_task(self._run_client(pieces)) for pieces in requests
        ]
        while not all(task.done() for task in self._tasks):
            await asyncio.sleep(CHECK_INTERVAL_S)
            if read_boottime() - self._progressed_at > SETTLED_S:
                return

    async def close(self) -> None:
        """Abort all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()

    async def _run_client(self, pieces: Iterable[bytes]) -> None:
        host, _, port = self.address.rpartition(":")
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.setblocking(False)
        try:
            loop = asyncio.get_running_loop()
            await loop.sock_connect(connection, (host, int(port)))
            _, writer = await asyncio.open_connection(
                sock=connection, limit=READER_LIMIT_BYTES
            )
            self.connected += 1
            self._writers.append(writer)
            for piece in pieces:
                writer.write(piece)
                await writer.drain()
                self._progressed_at = read_boottime()
        except ConnectionError:
            connection.close()
