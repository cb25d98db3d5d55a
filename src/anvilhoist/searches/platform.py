"""Edge to the platform's service, which is only read and watched.

``GET /v1/values/<key>?after=<revision>&wait_ms=<n>`` answers with the key, its
revision and its text once the revision is above `after`, or without a text when
`wait_ms` have passed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import aiohttp
from expression import Error, Ok, Result
from pydantic import TypeAdapter, ValidationError

from ..errors import Failure, Kind
from ..settings import BORDER
from .messages import Published

CALL_MARGIN_S = 2.0


@dataclass(frozen=True, slots=True)
class Value:
    """The platform's answer."""

    __pydantic_config__ = BORDER

    key: str
    revision: int
    text: str | None = None


@dataclass(frozen=True, slots=True)
class Reading:
    """What one call told.

    Attributes
    ----------
    published : Published or None
        Newer document, if there was one.
    revision : int
        Revision that the platform held.
    held_at : float
        Latest clock reading at which it is known to have been the newest.
    """

    published: Published | None
    revision: int
    held_at: float


_VALUE = TypeAdapter(Value)


@dataclass(slots=True)
class PlatformClient:
    """Reads documents from whichever platform address answers.

    Parameters
    ----------
    addresses : tuple of str
        Addresses of the service, tried in turn after a failure.
    source : str
        IP number of this process, which connections come from.
    now : callable
        Clock, in seconds.
    """

    addresses: tuple[str, ...]
    source: str
    now: Callable[[], float]
    calls: int = 0
    _turn: int = 0
    _session: aiohttp.ClientSession | None = field(default=None)

    async def read(
        self, key: str, after: int, wait_s: float
    ) -> Result[Reading, Failure]:
        """Read a document, waiting for one newer than `after`."""
        self.calls += 1
        asked_at = self.now()
        address = self.addresses[self._turn % len(self.addresses)]
        url = f"http://{address}/v1/values/{key}"
        query = {"after": str(after), "wait_ms": str(int(wait_s * 1000))}
        timeout = aiohttp.ClientTimeout(total=wait_s + CALL_MARGIN_S)
        try:
            async with self._open().get(url, params=query, timeout=timeout) as reply:
                body = await reply.read()
                if reply.status != 200:
                    return self._fail(f"{address}: status {reply.status}")
            value = _VALUE.validate_json(body)
        except (aiohttp.ClientError, TimeoutError, ValidationError) as error:
            return self._fail(f"{address}: {type(error).__name__}")
        return Ok(self._interpret(value, asked_at, wait_s))

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()

    def _interpret(self, value: Value, asked_at: float, wait_s: float) -> Reading:
        if value.text is None:
            held_at = min(asked_at + wait_s, self.now())
            return Reading(None, value.revision, held_at)
        published = Published(value.key, value.revision, value.text)
        return Reading(published, value.revision, asked_at)

    def _fail(self, detail: str) -> Result[Reading, Failure]:
        self._turn += 1
        return Error(Failure(Kind.UPSTREAM_FAILED, detail))

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            connector = aiohttp.TCPConnector(local_addr=(self.source, 0))
            self._session = aiohttp.ClientSession(connector=connector)
        return self._session
