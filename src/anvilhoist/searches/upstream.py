"""Edge to upstreams: HTTP with JSON, deadlines and cancellation.

``POST /search`` and ``POST /book`` carry the remaining time in `x-deadline-ms`
and an attempt's name in `x-attempt`; ``POST /cancel`` names an attempt, whose
own exchange then ends with status 499.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp
from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload
from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError
from yarl import URL

from ..errors import Failure, Kind
from ..settings import BORDER
from .messages import Hit

ANSWER_GRACE_S = 0.05
CANCEL_TIMEOUT_S = 0.1
KEEPALIVE_S = 3600.0
ANSWER_LIMIT_BYTES = 4 * 1024 * 1024

_SKIPPED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")

_KINDS = {
    409: Kind.SNAPSHOT_GONE,
    422: Kind.UPSTREAM_REJECTED,
    499: Kind.CANCELLED,
    503: Kind.SHED,
    504: Kind.DEADLINE,
}


@dataclass(frozen=True, slots=True)
class Part:
    """One shard's answer, as the upstream stated it.

    Attributes
    ----------
    shard, version
        What the upstream says that it searched.
    incarnation : str
        The upstream's name for its run.
    """

    shard: str
    version: int
    hits: tuple[tuple[str, float, str], ...]
    incarnation: str
    cold: bool = False

    __pydantic_config__ = BORDER

    def to_hits(self) -> tuple[Hit, ...]:
        """Records found, as messages carry them."""
        return tuple(Hit(*hit) for hit in self.hits)


@dataclass(frozen=True, slots=True)
class Confirmation:
    """An upstream's confirmation of a booking."""

    confirmation: str
    incarnation: str
    cold: bool = False

    __pydantic_config__ = BORDER


_PART = TypeAdapter(Part)
_CONFIRMATION = TypeAdapter(Confirmation)


@dataclass(frozen=True, slots=True)
class SearchAsk:
    """Body of a search."""

    index: str
    version: int
    shard: str
    query: str


@dataclass(frozen=True, slots=True)
class BookAsk:
    """Body of a booking."""

    ticket: str
    payload: str


class SendForbiddenError(Exception):
    """The last check before the first byte failed; nothing was sent."""

    def __init__(self, failure: Failure):
        self.failure = failure
        super().__init__(failure.detail)


@dataclass(slots=True)
class Attempt:
    """One exchange with an upstream and whether its first byte went out.

    Parameters
    ----------
    name : str
        Unique among all attempts of all processes.
    deadline : float
        Clock reading, in seconds.
    check : callable
        Failure that forbids sending right now, or None.
    """

    name: str
    deadline: float
    check: Callable[[], Failure | None]
    sent: bool = False
    forbidden: Failure | None = None

    def begin(self) -> None:
        """Check for the last time and record that bytes go out.

        Raises
        ------
        SendForbiddenError
            If the check failed.
        """
        self.forbidden = self.check()
        if self.forbidden is not None:
            raise SendForbiddenError(self.forbidden)
        self.sent = True


class _GuardedBody(BytesPayload):
    """Body whose attempt is checked in the step that writes the first byte.

    The library holds headers back until the body is written, so a failed check
    leaves the upstream with nothing.
    """

    def __init__(
        self,
        value: bytes,
        attempt: Attempt,
        see_connection: Callable[[asyncio.Transport], None],
    ):
        super().__init__(value, content_type="application/json")
        self._attempt = attempt
        self._see_connection = see_connection

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        self._see_connection(writer.transport)
        self._attempt.begin()
        await super().write_with_length(writer, content_length)


@dataclass(slots=True)
class UpstreamClient:
    """Connections to one replica.

    Parameters
    ----------
    address : str
        IP number and port.
    data_centre : str
        Data centre of this process.
    connections : int
        Most connections that the replica accepts.
    now : callable
        Clock, in seconds.
    note_closed : callable
        Called when a kept connection turns out to have been closed, which may
        mean that the replica was started anew.
    """

    address: str
    data_centre: str
    connections: int
    now: Callable[[], float]
    note_closed: Callable[[], None]
    _exchanges: int = 0
    _urls: dict[str, URL] = field(default_factory=dict)
    _transports: set[asyncio.Transport] = field(default_factory=set)
    _session: aiohttp.ClientSession | None = field(default=None)

    async def search(self, ask: SearchAsk, attempt: Attempt) -> Result[Part, Failure]:
        """Search one shard."""
        body = json.dumps(
            {
                "index": ask.index,
                "version": ask.version,
                "shard": ask.shard,
                "query": ask.query,
            }
        )
        return await self._post("/search", body, attempt, _PART)

    async def book(
        self, ask: BookAsk, attempt: Attempt
    ) -> Result[Confirmation, Failure]:
        """Run one booking."""
        body = json.dumps({"ticket": ask.ticket, "payload": ask.payload})
        return await self._post("/book", body, attempt, _CONFIRMATION)

    async def cancel(self, name: str) -> None:
        """Tell the upstream that an attempt's answer is no longer wanted."""
        timeout = aiohttp.ClientTimeout(total=CANCEL_TIMEOUT_S)
        url = self._url("/cancel")
        self._exchanges += 1
        try:
            async with self._open().post(
                url, json={"attempt": name}, timeout=timeout, allow_redirects=False
            ) as reply:
                await reply.read()
        except (aiohttp.ClientError, TimeoutError):
            return
        finally:
            self._exchanges -= 1

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    async def _post(
        self, path: str, body: str, attempt: Attempt, model: TypeAdapter
    ) -> Result:
        budget_s = attempt.deadline - self.now()
        if budget_s <= 0:
            return Error(Failure(Kind.QUEUE_EXPIRED, "no time left to send it"))
        timeout = aiohttp.ClientTimeout(total=budget_s + ANSWER_GRACE_S)
        headers = {
            "x-deadline-ms": str(int(budget_s * 1000)),
            "x-attempt": attempt.name,
            "x-from": self.data_centre,
        }
        self._exchanges += 1
        try:
            async with self._open().post(
                self._url(path),
                data=_GuardedBody(body.encode(), attempt, self._see_connection),
                headers=headers,
                timeout=timeout,
                allow_redirects=False,
            ) as reply:
                return self._read(reply.status, await reply.read(), model)
        except TimeoutError:
            return Error(self._explain(attempt, Kind.DEADLINE, "no answer in time"))
        except aiohttp.ClientError as error:
            detail = type(error).__name__
            return Error(self._explain(attempt, Kind.UPSTREAM_FAILED, detail))
        finally:
            self._exchanges -= 1

    def _explain(self, attempt: Attempt, kind: Kind, detail: str) -> Failure:
        if attempt.forbidden is not None:
            return attempt.forbidden
        if not attempt.sent:
            return Failure(Kind.CONNECT_FAILED, f"{self.address}: {detail}")
        return Failure(kind, f"{self.address}: {detail}")

    def _read(self, status: int, body: bytes, model: TypeAdapter) -> Result:
        if status != 200:
            kind = _KINDS.get(status, Kind.UPSTREAM_FAILED)
            return Error(Failure(kind, f"{self.address}: status {status}"))
        if len(body) > ANSWER_LIMIT_BYTES:
            return Error(Failure(Kind.UPSTREAM_FAILED, "the answer is too large"))
        try:
            return Ok(model.validate_json(body))
        except ValidationError:
            detail = f"{self.address}: the answer is not what was asked for"
            return Error(Failure(Kind.UPSTREAM_FAILED, detail))

    def _url(self, path: str) -> URL:
        url = self._urls.get(path)
        if url is None:
            url = self._urls[path] = URL(f"http://{self.address}{path}")
        return url

    def _see_connection(self, transport: asyncio.Transport) -> None:
        """See whether a kept connection should have been there instead."""
        if transport in self._transports:
            return
        alive = {item for item in self._transports if not item.is_closing()}
        if len(self._transports) >= self._exchanges > len(alive):
            self.note_closed()
        self._transports = alive | {transport}

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(
                limit=self.connections, keepalive_timeout=KEEPALIVE_S
            )
            self._session = aiohttp.ClientSession(
                connector=connector,
                cookie_jar=aiohttp.DummyCookieJar(),
                auto_decompress=False,
                skip_auto_headers=_SKIPPED_HEADERS,
            )
        return self._session
