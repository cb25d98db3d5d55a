"""What experiments drive the stand-in of upstreams with."""

from __future__ import annotations

from dataclasses import asdict

from aiohttp import web

from .witness import ReplicaState, Upstreams, listen


def build_admin(upstreams: Upstreams) -> web.Application:
    """Build the application that experiments drive the stand-in with."""
    settings = upstreams.settings
    by_name = {state.name: state for state in upstreams.replicas.values()}

    async def restart(request: web.Request) -> web.Response:
        quiet = request.query.get("quiet") == "1"
        for state in _select(by_name, request):
            state.restart(quiet)
        return web.Response()

    async def stop(request: web.Request) -> web.Response:
        for state in _select(by_name, request):
            await state.site.stop()
            state.is_listening = False
            state.restart(quiet=False)
        return web.Response()

    async def gone(request: web.Request) -> web.Response:
        for state in _select(by_name, request):
            state.gone_versions.add(int(request.query["version"]))
        return web.Response()

    async def tune(request: web.Request) -> web.Response:
        query = request.query
        if "service_factor" in query:
            upstreams.service_factor = float(query["service_factor"])
        if "straggler_share" in query:
            upstreams.straggler_share = float(query["straggler_share"])
        if "lose_answers" in query:
            upstreams.lose_answers = query["lose_answers"] == "1"
        return web.Response()

    async def heal(_request: web.Request) -> web.Response:
        upstreams.service_factor = 1.0
        upstreams.straggler_share = settings.straggler_share
        upstreams.lose_answers = False
        for state in by_name.values():
            state.gone_versions.clear()
            if not state.is_listening:
                state.restart(quiet=False)
                state.site = await listen(upstreams.runner, state.settings.port)
                state.is_listening = True
        return web.Response()

    async def reset(_request: web.Request) -> web.Response:
        upstreams.arrivals.clear()
        for state in by_name.values():
            state.peak = state.over_bound = state.received = 0
        return web.Response()

    async def stats(_request: web.Request) -> web.Response:
        return web.json_response([_describe(state) for state in by_name.values()])

    async def arrivals(_request: web.Request) -> web.Response:
        return web.json_response([asdict(item) for item in upstreams.arrivals])

    async def bookings(_request: web.Request) -> web.Response:
        return web.json_response(upstreams.bookings)

    app = web.Application()
    app.router.add_post("/restart", restart)
    app.router.add_post("/stop", stop)
    app.router.add_post("/heal", heal)
    app.router.add_post("/gone", gone)
    app.router.add_post("/tune", tune)
    app.router.add_post("/reset", reset)
    app.router.add_get("/stats", stats)
    app.router.add_get("/arrivals", arrivals)
    app.router.add_get("/bookings", bookings)
    return app


def _select(
    by_name: dict[str, ReplicaState], request: web.Request
) -> list[ReplicaState]:
    wanted = request.query.get("replica")
    return list(by_name.values()) if wanted is None else [by_name[wanted]]


def _describe(state: ReplicaState) -> dict[str, str | int | bool]:
    return {
        "replica": state.name,
        "received": state.received,
        "peak": state.peak,
        "over_bound": state.over_bound,
        "connections_peak": state.connections_peak,
        "connections_made": state.connections_made,
        "connections": state.settings.connections,
        "slots": state.settings.slots,
        "cold": state.is_cold,
    }
