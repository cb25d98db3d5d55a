"""A request to one replica, tried again only where that is allowed."""

from __future__ import annotations

import asyncio

import structlog

from ..errors import ErrorKind, Failure
from ..http.exchange import Outcome, Reply
from ..upstreams.replica import Exchange, Replica
from ..world.model import Route
from .call import NEVER_RAN, Call, Verdict
from .context import Context
from .plan import plan_call
from .refusal import refuse
from .result import Refusal

REJECTED_LIMIT = 5  # sends of one request, those that were rejected included


class SingleRun:
    """One request to a replica of one service."""

    def __init__(self, context: Context, call: Call, route: Route, service: str):
        self._context = context
        self._call = call
        self._route = route
        self._service = service
        self._plan = plan_call(context, call, route)
        self._schedule = self._plan.schedule
        self._open: set[Exchange] = set()
        self._tried: list[str] = []
        self._runs = 0
        self._sends = 0
        self._replied: Reply | None = None
        self._last: Failure | None = None
        self._timers: list[asyncio.TimerHandle] = []
        self._answer: asyncio.Future[Reply | Refusal] = (
            asyncio.get_running_loop().create_future()
        )

    async def run(self) -> Reply | Refusal:
        """Send, wait, and answer."""
        context = self._context
        now = context.now()
        context.budget.add_request(self._service, now)
        replica = context.choose(self._route, self._service, self._tried)
        if replica is None or now >= self._schedule.end_at:
            return refuse(context, self._call, self._route, ErrorKind.NO_REPLICA)
        loop = asyncio.get_running_loop()
        end_s = self._schedule.end_at - now
        self._timers.append(loop.call_later(end_s, self._finish, ErrorKind.DEADLINE))
        if self._route.repeatable:
            hedge_s = max(0.0, self._schedule.hedge_at - now)
            self._timers.append(loop.call_later(hedge_s, self._hedge))
        try:
            self._send(replica)
            return await self._answer
        finally:
            for timer in self._timers:
                timer.cancel()
            for exchange in self._open:
                exchange.cancel()

    def _send(self, replica: Replica) -> None:
        self._sends += 1
        self._runs += 1
        self._tried.append(replica.entry.instance)
        exchange = self._context.send(
            replica,
            self._call,
            self._plan.headers,
            self._schedule.end_at,
            self._plan.durations.median_s,
            self._take,
            fresh=not self._route.repeatable,
        )
        self._open.add(exchange)

    def _take(self, exchange: Exchange, outcome: Outcome, verdict: Verdict) -> None:
        self._open.discard(exchange)
        if self._answer.done():
            return
        if verdict is Verdict.SUCCEEDED:
            self._plan.durations.add(self._context.now() - exchange.sent_at)
            self._deliver(outcome)
            return
        unsent = (
            isinstance(outcome, Failure) and outcome.kind is ErrorKind.CONNECT_FAILED
        )
        if unsent or verdict in NEVER_RAN:
            self._runs -= 1
        elif isinstance(outcome, Reply) and verdict is Verdict.FAILED:
            self._replied = outcome
        if isinstance(outcome, Failure):
            self._last = outcome
        if not self._open:
            self._retry(unsent)

    def _retry(self, unsent: bool) -> None:
        context = self._context
        now = context.now()
        if self._may_send() and now < self._schedule.end_at:
            replica = context.choose(self._route, self._service, self._tried)
            replica = replica or context.choose(self._route, self._service, [])
            if replica and (unsent or context.budget.try_spend(self._service, now)):
                self._log("retried", replica.entry.instance)
                self._send(replica)
                return
        self._finish(
            ErrorKind.NO_REPLICA if self._runs == 0 else ErrorKind.UPSTREAM_FAILED
        )

    def _may_send(self) -> bool:
        if self._sends >= REJECTED_LIMIT:
            return False
        most = self._route.attempts if self._route.repeatable else 1
        return self._runs < most

    def _hedge(self) -> None:
        context = self._context
        if self._answer.done() or len(self._open) != 1 or not self._may_send():
            return
        replica = context.choose(self._route, self._service, self._tried)
        if replica and context.budget.try_spend(self._service, context.now()):
            context.metrics.increment("hedges", self._route.name)
            self._log("hedged", replica.entry.instance)
            self._send(replica)

    def _deliver(self, reply: Reply) -> None:
        self._log("answered", self._tried[-1])
        duration_s = self._context.now() - self._call.request.arrived_at
        self._context.metrics.record_duration("single", self._route.name, duration_s)
        self._answer.set_result(reply)

    def _finish(self, kind: ErrorKind) -> None:
        if self._answer.done():
            return
        if self._replied is not None:
            self._deliver(self._replied)
            return
        detail = self._last.detail if self._last else ""
        self._log("failed", detail)
        self._answer.set_result(refuse(self._context, self._call, self._route, kind))

    def _log(self, outcome: str, detail: str) -> None:
        context = self._context
        now = context.now()
        structlog.get_logger().info(
            "request",
            request=self._call.name,
            route=self._route.name,
            service=self._service,
            version=context.view.configuration.version,
            outcome=outcome,
            detail=detail,
            tried=self._tried,
            ms=round((now - self._call.request.arrived_at) * 1000, 1),
            left_ms=round((self._call.deadline - now) * 1000),
        )
