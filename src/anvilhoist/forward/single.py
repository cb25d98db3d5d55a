"""Forward a request to one replica, with retries and a hedge where allowed."""

from __future__ import annotations

import asyncio

import structlog

from ..errors import ErrorKind, Failure, has_failed_with
from ..http.replies import Outcome, Reply
from ..upstreams.replica import Exchange, Replica
from ..world.model import Route
from .call import NOT_EXECUTED_VERDICTS, Call, Verdict
from .context import Context
from .plan import plan_call
from .refusal import refuse
from .result import Refusal

# Statuses by which callers know that a request has not run and never will.
UNEXECUTED_STATUSES = (408, 421, 429, 503)
MAX_SENDS = 5  # per request, including sends that replicas rejected


class SingleRun:
    """Run of one request to a replica of one service.

    A request that must not run twice is retried only where no replica executed it, and
    is never hedged.
    """

    def __init__(
        self,
        context: Context,
        call: Call,
        route: Route,
        service: str,
        is_suspect: bool = False,
    ):
        self._context = context
        self._call = call
        self._route = route
        self._service = service
        self._plan = plan_call(context, call, route)
        self._schedule = self._plan.schedule
        self._pending: set[Exchange] = set()
        self._tried: list[str] = []
        self._attempts = 0
        self._sends = 0
        self._error_reply: Reply | None = None
        self._last_failure: Failure | None = None
        self._is_suspect = is_suspect
        self._timers: list[asyncio.TimerHandle] = []
        self._result: asyncio.Future[Reply | Refusal] = (
            asyncio.get_running_loop().create_future()
        )

    async def run(self) -> Reply | Refusal:
        """Send the request and return a replica's response, or else a refusal."""
        context = self._context
        now = context.now()
        context.budget.add_request(self._service, now)
        replica = context.choose_replica(self._route, self._service, self._tried)
        if replica is None or now >= self._schedule.end_at:
            return self._refuse_unsent()
        loop = asyncio.get_running_loop()
        end_s = self._schedule.end_at - now
        self._timers.append(
            loop.call_later(end_s, self._finish_without_success, ErrorKind.DEADLINE)
        )
        if self._route.repeatable and not self._is_suspect:
            hedge_s = max(0.0, self._schedule.hedge_at - now)
            self._timers.append(loop.call_later(hedge_s, self._send_hedge))
        try:
            self._send(replica)
            return await self._result
        finally:
            for timer in self._timers:
                timer.cancel()
            for exchange in self._pending:
                exchange.cancel()

    def _send(self, replica: Replica) -> None:
        self._sends += 1
        self._attempts += 1
        self._tried.append(replica.entry.instance)
        exchange = self._context.send(
            replica,
            self._call,
            self._plan.headers,
            self._schedule.end_at,
            self._plan.latency.median_s,
            self._on_outcome,
            new_connection=not self._route.repeatable,
        )
        self._pending.add(exchange)

    def _on_outcome(
        self, exchange: Exchange, outcome: Outcome, verdict: Verdict
    ) -> None:
        self._pending.discard(exchange)
        if self._result.done():
            return
        if verdict is Verdict.SUCCEEDED:
            self._plan.latency.add(self._context.now() - exchange.sent_at)
            self._finish_with_reply(outcome)
            return
        unsent = has_failed_with(outcome, ErrorKind.CONNECT_FAILED)
        if unsent or verdict in NOT_EXECUTED_VERDICTS:
            self._attempts -= 1
        elif isinstance(outcome, Reply) and self._may_forward_error(outcome, verdict):
            self._error_reply = outcome
        if isinstance(outcome, Failure):
            self._last_failure = outcome
        if self._is_suspect and has_failed_with(outcome, ErrorKind.CONNECTION_LOST):
            self._finish_without_success(ErrorKind.UPSTREAM_FAILED)
            return
        if not self._pending and has_failed_with(outcome, ErrorKind.MEMORY_SHORT):
            self._finish_without_success(ErrorKind.MEMORY_SHORT)
            return
        if not self._pending:
            self._retry(unsent)

    def _may_forward_error(self, reply: Reply, verdict: Verdict) -> bool:
        """Return whether a replica's error response may go to the caller.

        Some statuses promise that the request has not run and never will. Only a
        replica that says so itself keeps this promise.
        """
        if verdict is not Verdict.FAILED:
            return False
        return self._route.repeatable or reply.status not in UNEXECUTED_STATUSES

    def _retry(self, unsent: bool) -> None:
        context = self._context
        now = context.now()
        if self._may_send() and now < self._schedule.end_at:
            replica = context.choose_replica(self._route, self._service, self._tried)
            replica = replica or context.choose_replica(self._route, self._service, [])
            if replica and (unsent or context.try_spend_retry(self._service)):
                self._log_request("retried", replica.entry.instance)
                self._send(replica)
                return
        if self._attempts:
            self._finish_without_success(ErrorKind.UPSTREAM_FAILED)
        else:
            self._finish_without_success(self._find_unsent_kind())

    def _refuse_unsent(self) -> Refusal:
        kind = self._find_unsent_kind()
        limited = [self._service] if kind is ErrorKind.REPLICAS_LIMITED else []
        return refuse(self._context, self._call, self._route, kind, limited=limited)

    def _find_unsent_kind(self) -> ErrorKind:
        if self._context.has_limited_replica(self._route, self._service):
            return ErrorKind.REPLICAS_LIMITED
        return ErrorKind.NO_REPLICA

    def _may_send(self) -> bool:
        if self._sends >= MAX_SENDS:
            return False
        max_attempts = self._route.attempts if self._route.repeatable else 1
        return self._attempts < max_attempts

    def _send_hedge(self) -> None:
        context = self._context
        if self._result.done() or len(self._pending) != 1 or not self._may_send():
            return
        replica = context.choose_replica(self._route, self._service, self._tried)
        if replica and context.try_spend_retry(self._service):
            context.metrics.increment("hedges", self._route.name)
            self._log_request("hedged", replica.entry.instance)
            self._send(replica)

    def _finish_with_reply(self, reply: Reply) -> None:
        self._log_request("answered", self._tried[-1])
        duration_s = self._context.now() - self._call.request.arrived_at
        self._context.metrics.record_duration("single", self._route.name, duration_s)
        self._result.set_result(reply)

    def _finish_without_success(self, kind: ErrorKind) -> None:
        """Finish with the last error response of a replica, or else a refusal."""
        if self._result.done():
            return
        if self._error_reply is not None:
            self._finish_with_reply(self._error_reply)
            return
        detail = self._last_failure.detail if self._last_failure else ""
        self._log_request("failed", detail)
        self._result.set_result(refuse(self._context, self._call, self._route, kind))

    def _log_request(self, outcome: str, detail: str) -> None:
        context = self._context
        now = context.now()
        structlog.get_logger().info(
            "request",
            request=self._call.attempt_id_text,
            route=self._route.name,
            service=self._service,
            version=context.view.configuration.version,
            outcome=outcome,
            detail=detail,
            tried=self._tried,
            limited=context.has_limited_replica(self._route, self._service),
            ms=round((now - self._call.request.arrived_at) * 1000, 1),
            left_ms=round((self._call.deadline - now) * 1000),
        )
