"""Stand-in of upstreams: many replicas in one process, each on its own port."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

from aiohttp import web

from ..process import run_binary, wait_for_stop
from ..settings import parse_toml
from .control import build_admin
from .witness import ReplicaState, Upstreams, UpstreamSettings, listen


async def _work(
    upstreams: Upstreams, request: web.Request, kind: str, subject: str
) -> tuple[int, ReplicaState]:
    """Do one piece of work and give its status."""
    replica = upstreams.find(request)
    if not replica.is_listening:
        request.transport.abort()
        return 503, replica
    attempt = request.headers["x-attempt"]
    extra_s = _connection_delay(replica, request) + _distance(upstreams, request)
    run = replica.run
    replica.at_work += 1
    replica.received += 1
    replica.peak = max(replica.peak, replica.at_work)
    upstreams.note_arrival(replica, kind, attempt, subject)
    cancelled = asyncio.Event()
    upstreams.attempts[attempt] = cancelled
    try:
        if replica.at_work > replica.bound:
            replica.over_bound += 1
            return 503, replica
        deadline_s = int(request.headers["x-deadline-ms"]) / 1000
        return await _serve(upstreams, cancelled, extra_s, deadline_s), replica
    finally:
        if replica.run == run:
            replica.at_work -= 1
        upstreams.attempts.pop(attempt, None)


async def _serve(
    upstreams: Upstreams, cancelled: asyncio.Event, extra_s: float, deadline_s: float
) -> int:
    service_s = upstreams.draw_service_s() + extra_s
    try:
        await asyncio.wait_for(cancelled.wait(), min(service_s, deadline_s))
        return 499
    except TimeoutError:
        return 200 if service_s <= deadline_s else 504


def _connection_delay(replica: ReplicaState, request: web.Request) -> float:
    transport = request.transport
    if transport in replica.connections:
        return 0.0
    replica.connections.add(transport)
    replica.connections_made += 1
    count = sum(1 for item in replica.connections if not item.is_closing())
    replica.connections_peak = max(replica.connections_peak, count)
    return replica.settings.setup_ms / 1000


def _distance(upstreams: Upstreams, request: web.Request) -> float:
    if request.headers.get("x-from") == upstreams.settings.data_centre:
        return 0.0
    return 2 * upstreams.settings.one_way_ms / 1000


def build_app(upstreams: Upstreams) -> web.Application:
    """Build the application that all replicas share."""

    async def search(request: web.Request) -> web.Response:
        ask = json.loads(await request.read())
        shard, version, query = ask["shard"], ask["version"], ask["query"]
        replica = upstreams.find(request)
        if version in replica.gone_versions:
            return web.Response(status=409)
        status, replica = await _work(
            upstreams, request, "search", f"{ask['index']}@{version}/{shard}"
        )
        if status != 200:
            return web.Response(status=status)
        return web.json_response(
            {
                "shard": shard,
                "version": version,
                "hits": [[f"{shard}:{query}", 1.0, f"{query} in {shard}@{version}"]],
                "incarnation": f"{replica.name}#{replica.run}",
                "cold": replica.is_cold and not replica.lies,
            }
        )

    async def book(request: web.Request) -> web.Response:
        ask = json.loads(await request.read())
        ticket = ask["ticket"]
        status, replica = await _work(upstreams, request, "book", ticket)
        if status != 200:
            return web.Response(status=status)
        upstreams.bookings[ticket] = upstreams.bookings.get(ticket, 0) + 1
        if upstreams.lose_answers:
            request.transport.abort()
        return web.json_response(
            {
                "confirmation": f"{replica.name}:{ticket}",
                "incarnation": f"{replica.name}#{replica.run}",
                "cold": replica.is_cold and not replica.lies,
            }
        )

    async def cancel(request: web.Request) -> web.Response:
        ask = json.loads(await request.read())
        event = upstreams.attempts.get(ask["attempt"])
        if event is not None:
            event.set()
        return web.Response()

    app = web.Application()
    app.router.add_post("/search", search)
    app.router.add_post("/book", book)
    app.router.add_post("/cancel", cancel)
    return app


async def run_upstreams(settings: UpstreamSettings) -> int:
    """Run all replicas until told to stop."""
    upstreams = Upstreams(settings)
    runner = web.AppRunner(
        build_app(upstreams),
        access_log=None,
        shutdown_timeout=0.1,
        handler_cancellation=True,
        keepalive_timeout=600,
    )
    await runner.setup()
    upstreams.runner = runner
    for state in upstreams.replicas.values():
        state.site = await listen(runner, state.settings.port)
    admin = web.AppRunner(build_admin(upstreams), access_log=None, shutdown_timeout=0.1)
    await admin.setup()
    await web.TCPSite(admin, "127.0.0.1", settings.admin_port).start()
    await wait_for_stop()
    await runner.cleanup()
    await admin.cleanup()
    return 0


def serve(settings: str):
    """Serve as upstreams.

    Parameters
    ----------
    settings : str
        Path of the settings file.
    """
    path = str(settings)

    async def run() -> int:
        text = Path(path).read_text(encoding="utf-8")
        return await run_upstreams(parse_toml(path, text, UpstreamSettings))

    return run


def main() -> None:
    """Run the binary."""
    run_binary("anvilhoist-standin-upstreams", serve)


if __name__ == "__main__":
    main()
