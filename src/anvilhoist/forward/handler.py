"""Answer callers' requests."""

from __future__ import annotations

from dataclasses import dataclass

from ..errors import Kind
from ..http.messages import Request, Response
from ..platform.edge import encode_refusal, read_call
from .context import Context
from .gather import GatherRun
from .refusal import refuse
from .routes import RouteTable, split_service
from .single import SingleRun

BAD_REQUEST = 400


@dataclass(slots=True)
class Forwarder:
    """Finds the route of each request and runs it."""

    context: Context
    _table: RouteTable | None = None

    async def handle(self, request: Request) -> Response:
        """Answer one request."""
        call = read_call(request)
        if call is None:
            return encode_refusal(BAD_REQUEST, None)
        context = self.context
        configuration = context.view.configuration
        if configuration is None:
            return refuse(context, call, None, Kind.NO_CONFIGURATION)
        if self._table is None or self._table.configuration is not configuration:
            self._table = RouteTable(configuration)
        route = self._table.find(call.host, request.path)
        if route is None:
            return refuse(context, call, None, Kind.NO_ROUTE)
        context.metrics.count("requests", route.name)
        if route.gather is not None:
            return await GatherRun(context, call, route, route.gather).run()
        service = split_service(route, context.random)
        if service is None:
            return refuse(context, call, route, Kind.NO_REPLICA)
        return await SingleRun(context, call, route, service).run()
