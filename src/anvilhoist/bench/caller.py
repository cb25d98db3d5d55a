"""A caller: asks which addresses to use, keeps them for a while, connects there."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import numpy as np

TIMEOUT_S = 5.0


@dataclass(frozen=True, slots=True)
class Reply:
    """What came back for a call.

    Attributes
    ----------
    status : int
        HTTP status, 0 where the connection failed.
    elapsed_s : float
        Time that it took, in seconds.
    """

    status: int
    body: dict[str, Any]
    elapsed_s: float

    @property
    def coverage(self) -> float:
        """Share of the shards that the answer covers, 0 for an error."""
        return self.body.get("coverage", {}).get("share", 0.0)


@dataclass(slots=True)
class Caller:
    """One caller.

    Parameters
    ----------
    seeds : tuple of str
        Entry addresses to ask at first.
    """

    seeds: tuple[str, ...]
    seed: int = 1
    _addresses: tuple[str, ...] = ()
    _keep_until: float = 0.0
    _session: aiohttp.ClientSession = field(init=False)
    _random: np.random.Generator = field(init=False)

    def __post_init__(self):
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0),
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        )
        self._random = np.random.default_rng(self.seed)

    async def close(self) -> None:
        """Close the connections."""
        await self._session.close()

    async def choose_address(self) -> str:
        """One of the addresses that the tier names, asked anew when they are old."""
        if time.monotonic() >= self._keep_until:
            await self._refresh()
        known = self._addresses or self.seeds
        return known[int(self._random.integers(len(known)))]

    async def call(self, path: str, body: dict[str, Any]) -> Reply:
        """Send one request to one of the addresses."""
        address = await self.choose_address()
        return await self.call_at(address, path, body)

    async def call_at(self, address: str, path: str, body: dict[str, Any]) -> Reply:
        """Send one request to a given address."""
        began = time.perf_counter()
        try:
            async with self._session.post(
                f"http://{address}{path}", json=body
            ) as reply:
                answer = await reply.json()
                return Reply(reply.status, answer, time.perf_counter() - began)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            detail = {"error": type(error).__name__, "address": address}
            return Reply(0, detail, time.perf_counter() - began)

    async def get_at(self, address: str, path: str) -> Reply:
        """Read one path at a given address."""
        began = time.perf_counter()
        try:
            async with self._session.get(f"http://{address}{path}") as reply:
                answer = await reply.json()
                return Reply(reply.status, answer, time.perf_counter() - began)
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            detail = {"error": type(error).__name__, "address": address}
            return Reply(0, detail, time.perf_counter() - began)

    async def search(self, service: str, query: str, **fields: Any) -> Reply:
        """Search."""
        return await self.call(
            "/v1/search", {"service": service, "query": query, **fields}
        )

    async def _refresh(self) -> None:
        asked = [*self._addresses, *self.seeds]
        for address in asked:
            reply = await self.get_at(address, "/v1/addresses")
            if reply.status == 200:
                self._addresses = tuple(reply.body["addresses"])
                self._keep_until = time.monotonic() + reply.body["keep_s"]
                return
