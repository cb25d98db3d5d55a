"""Stand-in of the users' store, run as a separate process."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from urllib.parse import parse_qs

from ..http.limits import ConnectionLimits
from ..http.messages import Request, Response
from ..http.server import HttpServer
from ..platform import names
from ..platform.publish import (
    StoreItem,
    StoreQuery,
    encode_events,
    encode_items,
    parse_store_query,
)
from ..process import run_cli, wait_for_stop_signal

PAGE_ITEMS = 50  # Most items on a page; the users' store sends pages this small.
PAGE_BYTES = 1 << 20  # A page ends with the value that reaches this size.
SILENT_MODE_HOLD_S = 30.0  # In mode "silent", the time before a call gets status 503.
MODES = ("serve", "busy", "silent", "flood")
FLOOD_HEADERS = 200_000  # of an answer in mode "flood", several times what is read


@dataclass(slots=True)
class StoreStandin:
    """Items with revisions, and the history of their changes.

    Attributes
    ----------
    compacted_revision : int
        Watches that start before this revision get status 410.
    mode : str
        One of `MODES`: "serve" answers calls, "busy" rejects them with status 503, and
        "silent" does so after `SILENT_MODE_HOLD_S`, and
        "flood" answers with a head that is too long for any reader.
    calls : int
        Calls of the tier so far.
    stale_snapshot : tuple or None
        Items and revision for readers that allow stale answers; None for the newest.
    era : int
        Number of times that the store has come back from a copy.
    copy : tuple
        Items and revision that it would come back with.
    """

    items: dict[str, tuple[bytes, int]] = field(default_factory=dict)
    history: list[StoreItem] = field(default_factory=list)
    revision: int = 1
    compacted_revision: int = 1
    mode: str = "serve"
    calls: int = 0
    stale_snapshot: tuple[dict[str, tuple[bytes, int]], int] | None = None
    era: int = 0
    copy: tuple[dict[str, tuple[bytes, int]], int] = field(
        default_factory=lambda: ({}, 1)
    )
    _revision_changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def handle(self, request: Request) -> Response:
        """Answer a call of the tier, or run a control command."""
        path = request.path
        if path.startswith("/control/"):
            return self._run_command(path.removeprefix("/control/"), request)
        self.calls += 1
        response = await self._answer_call(request)
        response.headers.append((names.STORE_ERA, b"%d" % self.era))
        return response

    async def _answer_call(self, request: Request) -> Response:
        path = request.path
        if self.mode == "busy":
            return Response(503)
        if self.mode == "silent":
            await asyncio.sleep(SILENT_MODE_HOLD_S)
            return Response(503)
        if self.mode == "flood":
            return Response(200, [(b"a", b"")] * FLOOD_HEADERS)
        if path == names.RANGE_PATH:
            return self._range(parse_store_query(request))
        if path == names.WATCH_PATH:
            return await self._watch(parse_store_query(request))
        return Response(404)

    def put(self, key: str, value: bytes | None) -> None:
        """Write an item, or delete it if the value is None."""
        self.revision += 1
        if value is None:
            self.items.pop(key, None)
        else:
            self.items[key] = (value, self.revision)
        self.history.append((key, value, self.revision))
        self._revision_changed.set()
        self._revision_changed = asyncio.Event()

    def restore(self) -> None:
        """Come back from the copy: what was written since is gone."""
        items, self.revision = self.copy
        self.items = dict(items)
        self.history.clear()
        self.compacted_revision = self.revision
        self.stale_snapshot = None
        self.era += 1
        self._revision_changed.set()
        self._revision_changed = asyncio.Event()

    def _run_command(self, command: str, request: Request) -> Response:
        query_string = request.target.decode().partition("?")[2]
        query = {key: values[0] for key, values in parse_qs(query_string).items()}
        if command == "put":
            self.put(query["key"], request.body)
        elif command == "delete":
            self.put(query["key"], None)
        elif command == "mode" and query.get("mode") in MODES:
            self.mode = query["mode"]
        elif command == "lag":
            self.stale_snapshot = (dict(self.items), self.revision)
        elif command == "copy":
            self.copy = (dict(self.items), self.revision)
        elif command == "restore":
            self.restore()
        elif command == "compact":
            self.history.clear()
            self.compacted_revision = self.revision
        elif command == "keys":
            return Response(200, [], json.dumps(list(self.items)).encode())
        elif command == "calls":
            return Response(200, [], str(self.calls).encode())
        else:
            return Response(400)
        return Response(200)

    def _range(self, query: StoreQuery) -> Response:
        items, revision = self.items, self.revision
        if query.allow_stale and self.stale_snapshot is not None:
            items, revision = self.stale_snapshot
        keys = sorted(
            key for key in items if key.startswith(query.prefix) and key > query.after
        )
        page: list[StoreItem] = []
        page_bytes = 0
        for key in keys[:PAGE_ITEMS]:
            page.append((key, *items[key]))
            page_bytes += len(items[key][0])
            if page_bytes >= PAGE_BYTES:
                break
        return encode_items(page, len(keys) > len(page), revision)

    async def _watch(self, query: StoreQuery) -> Response:
        after = int(query.after)
        if after < self.compacted_revision or after > self.revision:
            return Response(410)
        era, revision_changed = self.era, self._revision_changed
        if self.revision <= after:
            try:
                async with asyncio.timeout(query.wait_s):
                    await revision_changed.wait()
            except TimeoutError:
                return encode_events([], self.revision)
        if self.era != era:
            return Response(503)
        events = [
            item
            for item in self.history
            if item[2] > after and item[0].startswith(query.prefix)
        ]
        return encode_events(events, self.revision)


def serve(address: str):
    """Serve until SIGTERM.

    Parameters
    ----------
    address : str
        IP address and port to listen on.
    """

    async def run() -> int:
        limits = ConnectionLimits(idle_s=60.0)
        server = HttpServer("store", StoreStandin().handle, lambda: limits)
        await server.listen(address)
        await wait_for_stop_signal()
        return 0

    return run


if __name__ == "__main__":
    run_cli("anvilhoist-site-store", serve)
