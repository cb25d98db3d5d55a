"""Answer callers' requests by the route of their host and path."""

from __future__ import annotations

from dataclasses import dataclass

from ..errors import ERROR_RESPONSES, ErrorKind
from ..http.messages import Request, Response
from ..platform.edge import (
    build_forwarded_response,
    encode_error_response,
    encode_gather_response,
    parse_call,
)
from ..upstreams.suspects import Suspicion
from ..world.model import Route
from .call import Call
from .context import Context
from .gather import GatherRun
from .refusal import refuse
from .result import ForwardResult, GatherResult, Refusal
from .routes import RouteTable, choose_service
from .single import SingleRun
from .timing import estimate_completion

BAD_REQUEST_STATUS = 400


@dataclass(slots=True)
class Forwarder:
    """Handler that finds the route of each request and runs the request on it.

    Parameters
    ----------
    context : Context
        State that all requests share.
    """

    context: Context
    _route_table: RouteTable | None = None

    async def handle(self, request: Request) -> Response:
        """Return the response to a request; 400 if it has no attempt id."""
        call = parse_call(request)
        if call is None:
            return encode_error_response(BAD_REQUEST_STATUS, None)
        return _encode_result(call, await self._find_route_and_run(call))

    async def run(self, call: Call, route: Route) -> ForwardResult:
        """Run a call on a route and return its result."""
        context = self.context
        context.metrics.increment("requests", route.name)
        suspicion = context.judge(call)
        if suspicion is Suspicion.QUARANTINED:
            retry_after_s = context.suspects.compute_quarantine_left(call.key)
            return refuse(
                context,
                call,
                route,
                ErrorKind.QUARANTINED,
                retry_after_s=retry_after_s,
            )
        if not self._can_complete(route):
            return refuse(context, call, route, ErrorKind.STOPPING)
        is_suspect = suspicion is Suspicion.SUSPECTED
        if route.gather is not None:
            run = GatherRun(context, call, route, route.gather, is_suspect)
            return await run.run()
        service = choose_service(route, context.random)
        if service is None:
            return refuse(context, call, route, ErrorKind.NO_REPLICA)
        return await SingleRun(context, call, route, service, is_suspect).run()

    def _can_complete(self, route: Route) -> bool:
        """Return whether a request that begins now ends before the process stops."""
        context = self.context
        latency = context.latencies.get(route.name, route.target_s)
        completed_at = context.now() + estimate_completion(route, latency.p90_s)
        return completed_at < context.serves_until

    async def _find_route_and_run(self, call: Call) -> ForwardResult:
        context = self.context
        configuration = context.view.configuration
        if configuration is None:
            return refuse(context, call, None, ErrorKind.NO_CONFIGURATION)
        if (
            self._route_table is None
            or self._route_table.configuration is not configuration
        ):
            self._route_table = RouteTable(configuration)
        route = self._route_table.find(call.host, call.request.path)
        if route is None:
            return refuse(context, call, None, ErrorKind.NO_ROUTE)
        return await self.run(call, route)


def _encode_result(call: Call, result: ForwardResult) -> Response:
    match result:
        case GatherResult(digests=digests, missing=missing, body=body):
            return encode_gather_response(call, digests, len(missing), body)
        case Refusal(kind, retry_after_s):
            return encode_error_response(ERROR_RESPONSES[kind].status, retry_after_s)
    return build_forwarded_response(result)
