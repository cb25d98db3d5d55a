"""Stand-in of the users' store, as a process of its own."""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from ..http.messages import Request, Response
from ..http.server import ConnectionLimits, HttpServer
from ..platform import names
from ..process import run_binary, wait_for_stop

PAGE_ITEMS = 50  # items a page, as small as the users' store gives them
SILENCE_S = 30.0  # s for which a silent store holds a call
MODES = ("serve", "busy", "silent")


@dataclass(slots=True)
class StoreStandin:
    """Items with revisions, and their history."""

    items: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    history: list[tuple[int, str, bytes | None]] = field(default_factory=list)
    revision: int = 1
    oldest: int = 1
    mode: str = "serve"
    calls: int = 0
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def handle(self, request: Request) -> Response:
        """Answer a call of the tier, or an order of the experiment."""
        path = request.path
        query = {
            key: values[0]
            for key, values in parse_qs(
                request.target.decode().partition("?")[2], keep_blank_values=True
            ).items()
        }
        if path.startswith("/control/"):
            return self._order(path.removeprefix("/control/"), query, request.body)
        self.calls += 1
        if self.mode == "busy":
            return Response(503)
        if self.mode == "silent":
            await asyncio.sleep(SILENCE_S)
            return Response(503)
        if path == names.RANGE_CALL:
            return self._range(query)
        if path == names.WATCH_CALL:
            return await self._watch(query)
        return Response(404)

    def put(self, key: str, value: bytes | None) -> None:
        """Write an item, or delete it."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (value, self.revision)
        self.history.append((self.revision, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    def _order(self, order: str, query: dict[str, str], body: bytes) -> Response:
        if order == "put":
            self.put(query["key"], body)
        elif order == "delete":
            self.put(query["key"], None)
        elif order == "mode" and query.get("mode") in MODES:
            self.mode = query["mode"]
        elif order == "compact":
            self.history.clear()
            self.oldest = self.revision
        elif order == "calls":
            return Response(200, [], str(self.calls).encode())
        else:
            return Response(400)
        return Response(200)

    def _range(self, query: dict[str, str]) -> Response:
        prefix = query["path-prefix"]
        after = query.get("after", "")
        found = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = [self._encode(key) for key in found[:PAGE_ITEMS]]
        more = len(found) > PAGE_ITEMS
        return _encode({"items": page, "has-more": more, "at": self.revision})

    async def _watch(self, query: dict[str, str]) -> Response:
        after = int(query["after"])
        if after < self.oldest:
            return Response(410)
        changed = self._changed
        if self.revision <= after:
            try:
                async with asyncio.timeout(int(query["wait-ms"]) / 1000):
                    await changed.wait()
            except TimeoutError:
                return _encode({"events": [], "at": self.revision})
        events = [
            {"key": key, "revision": revision, "deleted": True}
            if value is None
            else {"key": key, "revision": revision, "value": _text(value)}
            for revision, key, value in self.history
            if revision > after and key.startswith(query["path-prefix"])
        ]
        return _encode({"events": events, "at": self.revision})

    def _encode(self, key: str) -> dict[str, Any]:
        value, revision = self.items[key]
        return {"key": key, "value": _text(value), "revision": revision}


def _text(value: bytes) -> str:
    return base64.b64encode(value).decode()


def _encode(fields: dict[str, Any]) -> Response:
    return Response(200, [], json.dumps(fields).encode())


def serve(address: str):
    """Serve until SIGTERM.

    Parameters
    ----------
    address : str
        IP number and port.
    """

    async def run() -> int:
        limits = ConnectionLimits(idle_s=60.0)
        server = HttpServer("store", StoreStandin().handle, lambda: limits)
        await server.listen(address)
        await wait_for_stop()
        return 0

    return run


if __name__ == "__main__":
    run_binary("anvilhoist-site-store", serve)
