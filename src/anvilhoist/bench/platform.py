"""Stand-in of the platform's service: values with revisions, read and watched.

Each address that it listens on can be up, down or stale on its own, so that
readers can be cut off one by one. Publishing is for operators and experiments.
"""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field

from aiohttp import web

from ..errors import UsageError
from ..process import run_binary, wait_for_stop

MODES = ("up", "down", "stale")


@dataclass(frozen=True, slots=True)
class Value:
    """A published value."""

    revision: int
    text: str


@dataclass(slots=True)
class Store:
    """Values, modes by port and counts of calls.

    Attributes
    ----------
    own : dict
        Values that only one address shows, by port and key.
    """

    values: dict[str, Value] = field(default_factory=dict)
    modes: dict[int, str] = field(default_factory=dict)
    frozen: dict[int, dict[str, Value]] = field(default_factory=dict)
    own: dict[tuple[int, str], Value] = field(default_factory=dict)
    calls: Counter[int] = field(default_factory=Counter)
    started_at: float = field(default_factory=time.monotonic)
    changed: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def publish(self, key: str, text: str) -> int:
        """Publish a text under the next revision of its key."""
        previous = self.values.get(key)
        revision = 1 if previous is None else previous.revision + 1
        async with self.changed:
            self.values[key] = Value(revision, text)
            self.changed.notify_all()
        return revision

    async def set_mode(self, port: int, mode: str) -> None:
        """Set how one address behaves."""
        async with self.changed:
            self.modes[port] = mode
            self.frozen[port] = dict(self.values)
            self.changed.notify_all()

    def read(self, port: int, key: str) -> Value | None:
        """Value as seen at one address."""
        if (port, key) in self.own:
            return self.own[(port, key)]
        if self.modes.get(port) == "stale":
            return self.frozen[port].get(key)
        return self.values.get(key)


def build_app(store: Store) -> web.Application:
    """Build the application for readers and publishers."""

    async def read(request: web.Request) -> web.Response:
        port = request.transport.get_extra_info("sockname")[1]
        store.calls[port] += 1
        key = request.match_info["key"]
        after = int(request.query.get("after", "0"))
        until = time.monotonic() + int(request.query.get("wait_ms", "0")) / 1000
        while True:
            if store.modes.get(port) == "down":
                request.transport.abort()
                return web.Response(status=503)
            value = store.read(port, key)
            if value is not None and value.revision > after:
                break
            left = until - time.monotonic()
            if left <= 0:
                break
            await _wait_for_change(store, left)
        if value is None:
            return web.Response(status=404)
        text = value.text if value.revision > after else None
        return web.json_response({"key": key, "revision": value.revision, "text": text})

    async def publish(request: web.Request) -> web.Response:
        key = request.match_info["key"]
        text = await request.text()
        if "port" in request.query:
            store.own[(int(request.query["port"]), key)] = Value(1, text)
            return web.json_response({"revision": 1})
        revision = await store.publish(key, text)
        return web.json_response({"revision": revision})

    async def set_mode(request: web.Request) -> web.Response:
        mode = request.match_info["mode"]
        if mode not in MODES:
            return web.Response(status=400)
        await store.set_mode(int(request.match_info["port"]), mode)
        return web.Response()

    async def count(_request: web.Request) -> web.Response:
        seconds = time.monotonic() - store.started_at
        return web.json_response(
            {"calls": sum(store.calls.values()), "seconds": seconds}
        )

    app = web.Application(client_max_size=2 * 1024 * 1024)
    app.router.add_get("/v1/values/{key}", read)
    app.router.add_put("/admin/values/{key}", publish)
    app.router.add_post("/admin/modes/{port}/{mode}", set_mode)
    app.router.add_get("/admin/calls", count)
    return app


async def _wait_for_change(store: Store, seconds: float) -> None:
    async with store.changed:
        try:
            await asyncio.wait_for(store.changed.wait(), seconds)
        except TimeoutError:
            return


async def run_platform(ports: tuple[int, ...]) -> int:
    """Run the stand-in on some ports of the loopback address."""
    store = Store()
    runner = web.AppRunner(build_app(store), access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    for port in ports:
        await web.TCPSite(runner, "127.0.0.1", port).start()
    await wait_for_stop()
    await runner.cleanup()
    return 0


def serve(ports: str):
    """Serve as the platform.

    Parameters
    ----------
    ports : str
        Ports to listen on, separated by commas.
    """
    try:
        values = ports if isinstance(ports, tuple) else str(ports).split(",")
        numbers = tuple(int(part) for part in values)
    except ValueError:
        raise UsageError(f"--ports: found {ports!r}; numbers are allowed") from None
    return lambda: run_platform(numbers)


def main() -> None:
    """Run the binary."""
    run_binary("anvilhoist-standin-platform", serve)


if __name__ == "__main__":
    main()
