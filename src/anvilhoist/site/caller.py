"""Stand-in of a caller: asks where to connect, sends, and judges the answers."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from ..clock import read_boottime
from ..errors import ErrorKind, Failure
from ..http.connect import open_connection, send_request
from ..http.exchange import Outcome, Reply, ServerConnection
from ..http.messages import encode_request, find_header
from ..platform import names
from ..platform.publish import decode_addresses, make_resolve_target
from .parts import find_merge_error, make_digest, make_records
from .site import (
    BOOK,
    DATA_CENTRES,
    HOST_NAME,
    NEXT_SHARDS,
    REGION,
    SEARCH,
    SHARDS,
    UNSHARDED_SERVICE,
)

CONNECT_TIMEOUT_S = 1.0
TOP = 5
PROMISES_NOT_RUN = (408, 421, 429, 503)


@dataclass(slots=True)
class AttemptResult:
    """What came of one attempt.

    Attributes
    ----------
    attempt, path : str
        Id and path.
    status : int
        HTTP status; 0 without an answer.
    missing_shards : int
        Shards that the answer is without.
    answer_error : str or None
        What is wrong with the answer.
    sent_at, took_s : float
        When it was sent, and how long it took, in seconds.
    """

    attempt: str
    path: str
    status: int
    sent_at: float
    took_s: float
    missing_shards: int = 0
    answer_error: str | None = None
    detail: str = ""


@dataclass(slots=True)
class SiteCaller:
    """Sends requests to a site and keeps what came of them.

    Parameters
    ----------
    directories : list of str
        Addresses that tell where to connect.
    seed : int
        Seed of its choices.
    reuse_probability : float
        Share of the requests that go out on a connection that is open.
    """

    directories: list[str]
    seed: int = 0
    reuse_probability: float = 0.8
    results: list[AttemptResult] = field(default_factory=list)
    _addresses: list[str] = field(default_factory=list)
    _until: float = 0.0
    _idle: list[tuple[str, ServerConnection]] = field(default_factory=list)
    _random: random.Random = field(init=False)
    _count: int = 0

    def __post_init__(self):
        self._random = random.Random(self.seed)

    async def send(self, path: str, deadline_s: float = 2.0) -> AttemptResult:
        """Send one request and judge its answer."""
        self._count += 1
        attempt = f"a{self.seed:x}-{self._count:x}".encode()
        sent_at = read_boottime()
        outcome = await self._exchange(path, attempt, deadline_s)
        result = AttemptResult(
            attempt.decode(), path, 0, sent_at, read_boottime() - sent_at
        )
        if isinstance(outcome, Reply):
            result.status = outcome.status
            self._judge(result, outcome, attempt)
        else:
            result.detail = outcome.detail
        self.results.append(result)
        return result

    async def resolve(self) -> list[str]:
        """Addresses to connect to, kept as long as the directory says."""
        if self._addresses and read_boottime() < self._until:
            return self._addresses
        for directory in self._random.sample(self.directories, len(self.directories)):
            target = make_resolve_target(HOST_NAME, REGION, DATA_CENTRES[0])
            outcome = await _call(directory, b"GET", target, [], b"", 1.0)
            if isinstance(outcome, Reply) and outcome.status == 200:
                self._addresses, keep_s = decode_addresses(outcome.body)
                self._until = read_boottime() + keep_s
                break
        return self._addresses

    async def _exchange(self, path: str, attempt: bytes, deadline_s: float) -> Outcome:
        addresses = await self.resolve()
        if not addresses:
            return Failure(ErrorKind.PEER_LOST, "no address")
        headers = [
            (names.REQUEST_ID, attempt),
            (names.DEADLINE_MS, b"%d" % (deadline_s * 1000)),
        ]
        method, body = (b"POST", b"book it") if path.startswith(BOOK) else (b"GET", b"")
        target = f"{path}{attempt.decode()}"
        kept = [
            pair for pair in self._idle if pair[0] in addresses and pair[1].reusable
        ]
        if kept and self._random.random() < self.reuse_probability:
            pair = self._random.choice(kept)
            self._idle.remove(pair)
            address, connection = pair
        else:
            address, connection = self._random.choice(addresses), None
        return await _call(
            address,
            method,
            target,
            headers,
            body,
            deadline_s + 1.0,
            connection,
            self._idle,
        )

    def _judge(self, result: AttemptResult, reply: Reply, attempt: bytes) -> None:
        if not 200 <= reply.status < 300:
            return
        if result.path.startswith(SEARCH):
            listed = find_header(reply.headers, names.PART_DIGESTS) or b""
            digests = [each.strip() for each in listed.split(b",") if each.strip()]
            missing_shards = int(
                find_header(reply.headers, names.MISSING_PARTS) or b"0"
            )
            result.missing_shards = missing_shards
            found = [
                find_merge_error(shards, attempt, digests, reply.body, TOP)
                if len(digests) + missing_shards == len(shards)
                else "not all shards of one configuration"
                for shards in (SHARDS, NEXT_SHARDS)
            ]
            result.answer_error = None if None in found else str(found)
            return
        if find_header(reply.headers, names.DIGEST) != make_digest(
            UNSHARDED_SERVICE, attempt
        ):
            result.answer_error = "the digest is not this request's"
        elif reply.body != make_records(UNSHARDED_SERVICE, attempt):
            result.answer_error = "the body is not whole"


async def _call(
    address, method, target, headers, body, limit_s, connection=None, idle=None
) -> Outcome:
    try:
        async with asyncio.timeout(limit_s):
            if connection is None:
                connection = await open_connection(address, CONNECT_TIMEOUT_S)
            data = encode_request(
                method, target.encode(), [(b"host", HOST_NAME.encode()), *headers], body
            )
            outcome = await send_request(connection, data)
    except OSError as error:
        outcome = Failure(ErrorKind.PEER_LOST, repr(error))
    if connection is not None:
        if idle is not None and connection.reusable:
            idle.append((address, connection))
        else:
            connection.abort()
    return outcome
