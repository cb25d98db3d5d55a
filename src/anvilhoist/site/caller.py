"""Stand-in of a caller: resolves addresses, sends requests, checks the answers."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

from ..clock import read_boottime
from ..errors import ErrorKind, Failure
from ..http.connect import open_connection, send_request
from ..http.exchange import ServerConnection
from ..http.messages import encode_request, find_header
from ..http.replies import Outcome, Reply
from ..platform import names
from ..platform.publish import decode_addresses, make_resolve_target
from .parts import find_merge_error, make_digest, make_records
from .site import (
    BOOK_PREFIX,
    DATA_CENTRES,
    HOST_NAME,
    NEXT_SHARDS,
    REGION,
    SEARCH_PREFIX,
    SHARDS,
    UNSHARDED_SERVICE,
)

CONNECT_TIMEOUT_S = 1.0
TOP_RECORDS = 5  # Records in the answer of a search, as in the site's configuration.
# With these statuses the tier promises that the request was not executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


@dataclass(slots=True)
class AttemptResult:
    """Result of one attempt.

    Attributes
    ----------
    attempt, path : str
        Attempt id, and prefix of the path that it was sent to.
    status : int
        HTTP status; 0 without an answer.
    sent_at, took_s : float
        Boot time when it was sent, and time until its answer or failure, in seconds.
    missing_shards : int
        Number of shards that the answer reports as missing.
    answer_error : str or None
        What is wrong with the answer; None if it is right or was not a success.
    detail : str
        Why there was no answer; empty if there was one.
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
    """Sends requests to a site and keeps their results.

    Parameters
    ----------
    directory_addresses : list of str
        Addresses of the address directories, one for each VM.
    seed : int
        Seed of the choice of addresses and connections; part of the attempt ids.
    reuse_probability : float
        Probability that a request uses an idle connection if there is one, 0 to 1.
    """

    directory_addresses: list[str]
    seed: int = 0
    reuse_probability: float = 0.8
    results: list[AttemptResult] = field(default_factory=list)
    _addresses: list[str] = field(default_factory=list)
    _addresses_expire_at: float = 0.0
    _idle_connections: list[tuple[str, ServerConnection]] = field(default_factory=list)
    _random: random.Random = field(init=False)
    _attempt_count: int = 0

    def __post_init__(self):
        self._random = random.Random(self.seed)

    async def send(self, path: str, deadline_s: float = 2.0) -> AttemptResult:
        """Send one request, check its answer, and keep and return the result."""
        self._attempt_count += 1
        attempt = f"a{self.seed:x}-{self._attempt_count:x}".encode()
        sent_at = read_boottime()
        outcome = await self._exchange(path, attempt, deadline_s)
        result = AttemptResult(
            attempt.decode(), path, 0, sent_at, read_boottime() - sent_at
        )
        if isinstance(outcome, Reply):
            result.status = outcome.status
            self._check_answer(result, outcome, attempt)
        else:
            result.detail = outcome.detail
        self.results.append(result)
        return result

    async def resolve(self) -> list[str]:
        """Return addresses to connect to, cached as long as the directory allows.

        If no directory answers, the last known addresses are returned.
        """
        if self._addresses and read_boottime() < self._addresses_expire_at:
            return self._addresses
        for address in self._random.sample(
            self.directory_addresses, len(self.directory_addresses)
        ):
            target = make_resolve_target(HOST_NAME, REGION, DATA_CENTRES[0])
            outcome = await _send_to(address, b"GET", target, [], b"", 1.0)
            if isinstance(outcome, Reply) and outcome.status == 200:
                self._addresses, keep_s = decode_addresses(outcome.body)
                self._addresses_expire_at = read_boottime() + keep_s
                break
        return self._addresses

    async def _exchange(self, path: str, attempt: bytes, deadline_s: float) -> Outcome:
        addresses = await self.resolve()
        if not addresses:
            return Failure(ErrorKind.PEER_LOST, "no directory returned an address")
        headers = [
            (names.ATTEMPT_ID, attempt),
            (names.DEADLINE_MS, b"%d" % (deadline_s * 1000)),
        ]
        method, body = (
            (b"POST", b"book it") if path.startswith(BOOK_PREFIX) else (b"GET", b"")
        )
        target = f"{path}{attempt.decode()}"
        usable = [
            pair
            for pair in self._idle_connections
            if pair[0] in addresses and pair[1].reusable
        ]
        if usable and self._random.random() < self.reuse_probability:
            pair = self._random.choice(usable)
            self._idle_connections.remove(pair)
            address, connection = pair
        else:
            address, connection = self._random.choice(addresses), None
        return await _send_to(
            address,
            method,
            target,
            headers,
            body,
            deadline_s + 1.0,
            connection,
            self._idle_connections,
        )

    def _check_answer(
        self, result: AttemptResult, reply: Reply, attempt: bytes
    ) -> None:
        if not 200 <= reply.status < 300:
            return
        if result.path.startswith(SEARCH_PREFIX):
            listed = find_header(reply.headers, names.PART_DIGESTS) or b""
            digests = [
                digest.strip() for digest in listed.split(b",") if digest.strip()
            ]
            missing_shards = int(
                find_header(reply.headers, names.MISSING_PARTS) or b"0"
            )
            result.missing_shards = missing_shards
            errors = [
                find_merge_error(shards, attempt, digests, reply.body, TOP_RECORDS)
                if len(digests) + missing_shards == len(shards)
                else "listed and missing shards are not as many as a configuration has"
                for shards in (SHARDS, NEXT_SHARDS)
            ]
            result.answer_error = None if None in errors else str(errors)
            return
        if find_header(reply.headers, names.DIGEST) != make_digest(
            UNSHARDED_SERVICE, attempt
        ):
            result.answer_error = "the digest does not belong to this request"
        elif reply.body != make_records(UNSHARDED_SERVICE, attempt):
            result.answer_error = "the body is not the records of this request"


async def _send_to(
    address, method, target, headers, body, timeout_s, connection=None, idle=None
) -> Outcome:
    try:
        async with asyncio.timeout(timeout_s):
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
