"""Send a query to one replica of each shard, hedge and retry, and merge the parts."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from ..errors import ErrorKind, has_failed_with
from ..http.replies import Outcome
from ..platform.edge import read_digest
from ..upstreams.replica import Exchange, Replica
from ..world.model import Gather, Route
from .call import Call, Verdict
from .context import Context
from .gate import SendGate
from .merge import merge_records
from .plan import plan_call
from .query_report import QueryReport, report_query
from .refusal import refuse
from .result import GatherResult, Refusal
from .shard import ShardState
from .timing import SECOND_HEDGE_FACTOR

MAX_SENDS_PER_SHARD = 6  # including sends that replicas rejected
MAX_EXTRA_PROBES = 2  # unresponsive replicas that one query is also sent to
RETRY_BACKOFF_S = 0.015  # before the third send to a shard; doubles with each send

OnOutcome = Callable[[Exchange, Outcome, Verdict], None]


class GatherRun:
    """Run of one query over many shards."""

    def __init__(
        self,
        context: Context,
        call: Call,
        route: Route,
        gather: Gather,
        is_suspect: bool = False,
    ):
        self._context = context
        self._call = call
        self._route = route
        self._gather = gather
        self._shards = [ShardState(service) for service in gather.shards]
        self._plan = plan_call(context, call, route)
        self._schedule = self._plan.schedule
        self._answered_count = 0
        self._unresolved_count = len(self._shards)
        self._hedges = self._retries = 0
        self._is_suspect = is_suspect
        self._gate = SendGate()
        self._timers: list[asyncio.TimerHandle] = []
        # The run keeps to this version's shards even if the configuration changes.
        self._version = context.view.configuration.version
        self._result: asyncio.Future[GatherResult | Refusal] = (
            asyncio.get_running_loop().create_future()
        )

    async def run(self) -> GatherResult | Refusal:
        """Send the query to all shards and return the merged result.

        Return a refusal instead if fewer shards than the route requires have a replica
        or answer in time.
        """
        now = self._context.now()
        for shard in self._shards:
            self._context.budget.add_request(shard.service, now)
        replicas = [self._choose_untried(shard) for shard in self._shards]
        reachable = sum(replica is not None for replica in replicas)
        if reachable < self._gather.min_shards or now >= self._schedule.end_at:
            limited = [
                shard.service
                for shard, replica in zip(self._shards, replicas, strict=True)
                if shard.limited and replica is None
            ]
            kind = ErrorKind.REPLICAS_LIMITED if limited else ErrorKind.NO_REPLICA
            return refuse(
                self._context, self._call, self._route, kind, reachable, limited
            )
        self._start_timers()
        try:
            for shard, replica in zip(self._shards, replicas, strict=True):
                if replica is None:
                    self._abandon_shard(shard)
                elif self._is_suspect:
                    self._gate.hold(partial(self._send_first, shard))
                else:
                    self._send(shard, replica)
            self._send_held()
            if not self._is_suspect:
                self._send_extra_probes()
            return await self._result
        except asyncio.CancelledError:
            self._report_outcome("cancelled", "caller disconnected")
            raise
        finally:
            for timer in self._timers:
                timer.cancel()
            self._cancel_pending()
            self._gate.held.clear()

    def _choose_untried(self, shard: ShardState) -> Replica | None:
        context = self._context
        if context.has_limited_replica(self._route, shard.service):
            shard.limited = True
        return context.choose_replica(self._route, shard.service, shard.tried)

    def _send_first(self, shard: ShardState) -> None:
        replica = self._choose_untried(shard)
        if replica is None:
            self._abandon_shard(shard)
        else:
            self._send(shard, replica, risked=True)

    def _send(self, shard: ShardState, replica: Replica, risked: bool = False) -> None:
        """Send to a replica; `risked` if none may have survived the query so far."""

        def on_outcome(exchange: Exchange, outcome: Outcome, verdict: Verdict) -> None:
            shard.pending.pop(exchange, None)
            self._gate.record_outcome(exchange, outcome, verdict)
            if self._gate.is_fatal:
                self._finish()
            self._on_outcome(shard, exchange, outcome, verdict)
            if self._gate.held:
                self._send_held()

        exchange = self._start_exchange(shard, replica, on_outcome)
        shard.pending[exchange] = replica
        if risked:
            self._gate.watch(exchange)

    def _send_held(self) -> None:
        while not self._result.done() and (send := self._gate.take_admitted()):
            send()

    def _send_probe(self, shard: ShardState, replica: Replica) -> None:
        def on_outcome(exchange: Exchange, outcome: Outcome, verdict: Verdict) -> None:
            shard.probe = None
            if verdict is not Verdict.SUCCEEDED:
                shard.uncount_unexecuted(outcome, verdict)
            elif not shard.abandoned:
                self._on_outcome(shard, exchange, outcome, verdict)

        shard.probe = self._start_exchange(shard, replica, on_outcome)

    def _start_exchange(
        self, shard: ShardState, replica: Replica, on_outcome: OnOutcome
    ) -> Exchange:
        shard.sends += 1
        shard.attempts += 1
        shard.tried.append(replica.entry.instance)
        return self._context.send(
            replica,
            self._call,
            self._plan.headers,
            self._schedule.end_at,
            self._plan.latency.median_s,
            on_outcome,
        )

    def _on_outcome(
        self, shard: ShardState, exchange: Exchange, outcome: Outcome, verdict: Verdict
    ) -> None:
        now = self._context.now()
        if verdict is Verdict.SUCCEEDED:
            duration_s = now - exchange.sent_at
            self._plan.latency.add(duration_s)
            self._context.metrics.record_duration("shard", self._route.name, duration_s)
        if self._result.done() or shard.digest is not None:
            return
        if verdict is Verdict.SUCCEEDED and self._is_new_digest(read_digest(outcome)):
            shard.digest = read_digest(outcome)
            shard.body = outcome.body
            self._answered_count += 1
            self._resolve_shard(shard)
            return
        unsent = shard.uncount_unexecuted(outcome, verdict)
        if not shard.pending and has_failed_with(outcome, ErrorKind.MEMORY_SHORT):
            self._abandon_shard(shard)
        elif not shard.pending:
            self._schedule_retry(shard, now, unsent)

    def _is_new_digest(self, digest: bytes) -> bool:
        """Return whether no part with this digest has been received yet."""
        return all(shard.digest != digest for shard in self._shards)

    def _schedule_retry(self, shard: ShardState, now: float, unsent: bool) -> None:
        if shard.sends == 1:
            self._send_retry(shard, unsent)
            return
        backoff_s = RETRY_BACKOFF_S * 2 ** (shard.sends - 2)
        if not self._may_send(shard) or now + backoff_s >= self._schedule.end_at:
            self._abandon_shard(shard)
            return
        loop = asyncio.get_running_loop()
        self._timers.append(loop.call_later(backoff_s, self._send_retry, shard, unsent))

    def _send_retry(self, shard: ShardState, unsent: bool) -> None:
        now = self._context.now()
        if self._result.done() or shard.abandoned or shard.digest is not None:
            return
        if self._gate.lost and not self._gate.admits():
            self._gate.hold(partial(self._send_retry, shard, unsent))
            return
        if self._may_send(shard) and now < self._schedule.end_at:
            replica = self._choose_untried(shard) or self._choose_any(shard)
            if self._send_within_budget(shard, replica, exempt=unsent):
                self._retries += 1
                return
        self._abandon_shard(shard)

    def _send_within_budget(
        self, shard: ShardState, replica: Replica | None, exempt: bool
    ) -> bool:
        # A retry is exempt from the budget if the send that it replaces never reached
        # a replica, because the retry is then no extra arrival.
        if replica is None:
            return False
        if not exempt and not self._context.try_spend_retry(shard.service):
            return False
        self._send(shard, replica, risked=True)
        return True

    def _choose_any(self, shard: ShardState) -> Replica | None:
        # No untried replica is usable; one that rejected the query may accept it now.
        return self._context.choose_replica(self._route, shard.service, [])

    def _may_send(self, shard: ShardState) -> bool:
        return (
            shard.attempts < self._route.attempts and shard.sends < MAX_SENDS_PER_SHARD
        )

    def _abandon_shard(self, shard: ShardState) -> None:
        if not shard.abandoned:
            shard.abandoned = True
            self._resolve_shard(shard)

    def _resolve_shard(self, shard: ShardState) -> None:
        """Count a shard as answered or abandoned; finish if that decides the query."""
        self._unresolved_count -= 1
        if self._unresolved_count == 0:
            self._finish()
        elif self._answered_count >= self._gather.min_shards and (
            self._context.now() >= self._schedule.partial_answer_at
        ):
            self._finish()
        elif self._answered_count + self._unresolved_count < self._gather.min_shards:
            self._finish()

    def _start_timers(self) -> None:
        loop = asyncio.get_running_loop()
        now = self._context.now()

        def schedule_at(when: float, callback) -> None:
            self._timers.append(loop.call_later(max(0.0, when - now), callback))

        schedule = self._schedule
        hedge_s = schedule.hedge_at - self._call.request.arrived_at
        schedule_at(schedule.hedge_at, self._send_hedges)
        schedule_at(
            schedule.hedge_at + (SECOND_HEDGE_FACTOR - 1) * hedge_s, self._send_hedges
        )
        schedule_at(schedule.partial_answer_at, self._finish_if_enough)
        schedule_at(schedule.end_at, self._finish)

    def _send_extra_probes(self) -> None:
        """Send the query to some unresponsive replicas too, to see whether they answer.

        The shard has been sent to another replica, so no query waits for a probe.
        """
        services = self._context.replicas.unresponsive_services
        probes = 0
        for shard in self._shards if services else ():
            if probes == MAX_EXTRA_PROBES:
                return
            if shard.service not in services:
                continue
            if len(shard.pending) != 1 or not self._may_send(shard):
                continue
            replica = self._context.choose_extra_probe(
                self._route, shard.service, shard.tried
            )
            if replica and self._context.try_spend_retry(shard.service):
                self._send_probe(shard, replica)
                probes += 1

    def _send_hedges(self) -> None:
        """Hedge the unanswered shards that wait for exactly one replica."""
        for shard in self._shards:
            if shard.digest is not None or shard.abandoned or len(shard.pending) != 1:
                continue
            if not self._may_send(shard):
                continue
            if not self._gate.admits():
                return
            if self._send_within_budget(
                shard, self._choose_untried(shard), exempt=False
            ):
                self._hedges += 1

    def _finish_if_enough(self) -> None:
        if self._answered_count >= self._gather.min_shards:
            self._finish()

    def _finish(self) -> None:
        if self._result.done():
            return
        self._result.set_result(self._build_result())

    def _build_result(self) -> GatherResult | Refusal:
        answered = [shard for shard in self._shards if shard.digest is not None]
        missing = self._list_missing()
        if len(answered) < self._gather.min_shards or not answered:
            self._report_outcome("failed", "too few shards answered")
            kind = ErrorKind.TOO_FEW_SHARDS
            return refuse(self._context, self._call, self._route, kind, len(answered))
        body = merge_records((shard.body for shard in answered), self._gather.top)
        self._report_outcome(
            "answered", "whole" if not missing else "without some shards"
        )
        digests = tuple(shard.digest for shard in answered)
        return GatherResult(self._version, digests, missing, body)

    def _list_missing(self) -> tuple[str, ...]:
        return tuple(s.service for s in self._shards if s.digest is None)

    def _cancel_pending(self) -> None:
        for shard in self._shards:
            for exchange in list(shard.pending):
                exchange.cancel()
            shard.pending.clear()
            if shard.probe is not None:
                shard.probe.cancel()

    def _report_outcome(self, outcome: str, why: str) -> None:
        report = QueryReport(
            outcome,
            why,
            self._version,
            self._list_missing(),
            self._answered_count,
            self._hedges,
            self._retries,
        )
        report_query(
            self._context, self._call, self._route, self._plan, self._shards, report
        )
