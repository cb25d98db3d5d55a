"""A query over many shards: one replica of each, hedges, and one merged answer."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import structlog

from ..errors import ErrorKind, Failure
from ..http.exchange import Outcome
from ..platform.edge import read_digest
from ..upstreams.replica import Exchange, Replica
from ..world.model import Gather, Route
from .call import NEVER_RAN, Call, Verdict
from .context import Context
from .merge import merge_records
from .plan import plan_call
from .refusal import refuse
from .result import GatherResult, Refusal
from .timing import SECOND_HEDGE_FACTOR

REJECTED_LIMIT = 6  # sends for one shard, those that were rejected included
REJECTED_PAUSE_S = 0.015  # s until a shard is tried a third time, doubled each time


@dataclass(slots=True)
class Shard:
    """What has come of one shard so far.

    Attributes
    ----------
    service : str
        Service that holds the shard.
    runs : int
        Sends that ran or may have run.
    sends : int
        All sends.
    tried : list of str
        Instances that may have run it.
    open : dict
        Exchanges under way.
    digest, body : bytes
        Of the part, once it is in.
    """

    service: str
    runs: int = 0
    sends: int = 0
    tried: list[str] = field(default_factory=list)
    open: dict[Exchange, Replica] = field(default_factory=dict)
    digest: bytes | None = None
    body: bytes = b""
    lost: bool = False


class GatherRun:
    """One query under way."""

    def __init__(self, context: Context, call: Call, route: Route, gather: Gather):
        self._context = context
        self._call = call
        self._route = route
        self._gather = gather
        self._shards = [Shard(service) for service in gather.shards]
        self._plan = plan_call(context, call, route)
        self._schedule = self._plan.schedule
        self._in = 0
        self._undecided = len(self._shards)
        self._hedges = 0
        self._retries = 0
        self._timers: list[asyncio.TimerHandle] = []
        # The shards of one configuration, whatever comes into force meanwhile.
        self._version = context.view.configuration.version
        self._answer: asyncio.Future[GatherResult | Refusal] = (
            asyncio.get_running_loop().create_future()
        )

    async def run(self) -> GatherResult | Refusal:
        """Send, wait, and answer."""
        now = self._context.now()
        for shard in self._shards:
            self._context.budget.add_request(shard.service, now)
        chosen = [self._choose(shard) for shard in self._shards]
        reachable = sum(replica is not None for replica in chosen)
        if reachable < self._gather.min_shards or now >= self._schedule.end_at:
            return refuse(
                self._context, self._call, self._route, ErrorKind.NO_REPLICA, reachable
            )
        self._set_timers()
        try:
            for shard, replica in zip(self._shards, chosen, strict=True):
                if replica is None:
                    self._lose(shard)
                else:
                    self._send(shard, replica)
            return await self._answer
        except asyncio.CancelledError:
            self._log("cancelled", "caller left")
            raise
        finally:
            for timer in self._timers:
                timer.cancel()
            self._cancel_open()

    def _choose(self, shard: Shard) -> Replica | None:
        return self._context.choose(self._route, shard.service, shard.tried)

    def _send(self, shard: Shard, replica: Replica) -> None:
        shard.sends += 1
        shard.runs += 1
        shard.tried.append(replica.entry.instance)

        def on_done(exchange: Exchange, outcome: Outcome, verdict: Verdict) -> None:
            shard.open.pop(exchange, None)
            self._take(shard, exchange, outcome, verdict)

        exchange = self._context.send(
            replica,
            self._call,
            self._plan.headers,
            self._schedule.end_at,
            self._plan.durations.median_s,
            on_done,
        )
        shard.open[exchange] = replica

    def _take(
        self, shard: Shard, exchange: Exchange, outcome: Outcome, verdict: Verdict
    ) -> None:
        now = self._context.now()
        if verdict is Verdict.SUCCEEDED:
            duration_s = now - exchange.sent_at
            self._plan.durations.add(duration_s)
            self._context.metrics.record_duration("shard", self._route.name, duration_s)
        if self._answer.done() or shard.digest is not None:
            return
        if verdict is Verdict.SUCCEEDED and self._is_new(read_digest(outcome)):
            shard.digest = read_digest(outcome)
            shard.body = outcome.body
            self._in += 1
            self._decide(shard)
            return
        unsent = (
            isinstance(outcome, Failure) and outcome.kind is ErrorKind.CONNECT_FAILED
        )
        if unsent or verdict in NEVER_RAN:
            shard.runs -= 1
        self._retry(shard, now, unsent)

    def _is_new(self, digest: bytes) -> bool:
        return all(shard.digest != digest for shard in self._shards)

    def _retry(self, shard: Shard, now: float, unsent: bool) -> None:
        if shard.open:
            return
        if shard.sends == 1:
            self._send_again(shard, unsent)
            return
        pause_s = REJECTED_PAUSE_S * 2 ** (shard.sends - 2)
        if not self._may_send(shard) or now + pause_s >= self._schedule.end_at:
            self._lose(shard)
            return
        loop = asyncio.get_running_loop()
        self._timers.append(loop.call_later(pause_s, self._send_again, shard, unsent))

    def _send_again(self, shard: Shard, unsent: bool) -> None:
        now = self._context.now()
        if self._answer.done() or shard.lost:
            return
        if self._may_send(shard) and now < self._schedule.end_at:
            replica = self._choose(shard) or self._choose_again(shard)
            if self._send_extra(shard, replica, free=unsent):
                self._retries += 1
                return
        self._lose(shard)

    def _send_extra(self, shard: Shard, replica: Replica | None, free: bool) -> bool:
        # What never reached a replica is no extra arrival there.
        if replica is None:
            return False
        budget = self._context.budget
        if not free and not budget.try_spend(shard.service, self._context.now()):
            return False
        self._send(shard, replica)
        return True

    def _choose_again(self, shard: Shard) -> Replica | None:
        # All have been tried; those that rejected it may have room by now.
        return self._context.choose(self._route, shard.service, [])

    def _may_send(self, shard: Shard) -> bool:
        return shard.runs < self._route.attempts and shard.sends < REJECTED_LIMIT

    def _lose(self, shard: Shard) -> None:
        if not shard.lost:
            shard.lost = True
            self._decide(shard)

    def _decide(self, shard: Shard) -> None:
        self._undecided -= 1
        if self._undecided == 0:
            self._finish()
        elif self._in >= self._gather.min_shards and (
            self._context.now() >= self._schedule.partial_answer_at
        ):
            self._finish()
        elif self._in + self._undecided < self._gather.min_shards:
            self._finish()

    def _set_timers(self) -> None:
        loop = asyncio.get_running_loop()
        now = self._context.now()

        def at(when: float, call) -> None:
            self._timers.append(loop.call_later(max(0.0, when - now), call))

        schedule = self._schedule
        hedge_s = schedule.hedge_at - self._call.request.arrived_at
        at(schedule.hedge_at, self._hedge)
        at(schedule.hedge_at + (SECOND_HEDGE_FACTOR - 1) * hedge_s, self._hedge)
        at(schedule.partial_answer_at, self._cut)
        at(schedule.end_at, self._finish)

    def _hedge(self) -> None:
        for shard in self._shards:
            if shard.digest is not None or shard.lost or len(shard.open) != 1:
                continue
            if not self._may_send(shard):
                continue
            if self._send_extra(shard, self._choose(shard), free=False):
                self._hedges += 1

    def _cut(self) -> None:
        if self._in >= self._gather.min_shards:
            self._finish()

    def _finish(self) -> None:
        if self._answer.done():
            return
        self._answer.set_result(self._build())

    def _build(self) -> GatherResult | Refusal:
        parts = [shard for shard in self._shards if shard.digest is not None]
        missing = self._list_missing()
        if len(parts) < self._gather.min_shards or not parts:
            self._log("failed", "too few shards")
            kind = ErrorKind.TOO_FEW_SHARDS
            return refuse(self._context, self._call, self._route, kind, len(parts))
        body = merge_records((shard.body for shard in parts), self._gather.top)
        self._log("answered", "whole" if not missing else "without some shards")
        digests = tuple(shard.digest for shard in parts)
        return GatherResult(self._version, digests, missing, body)

    def _list_missing(self) -> tuple[str, ...]:
        return tuple(s.service for s in self._shards if s.digest is None)

    def _cancel_open(self) -> None:
        for shard in self._shards:
            for exchange in list(shard.open):
                exchange.cancel()
            shard.open.clear()

    def _log(self, outcome: str, why: str) -> None:
        context = self._context
        now = context.now()
        missing = self._list_missing()
        duration_s = now - self._call.request.arrived_at
        context.metrics.record_duration("gather", self._route.name, duration_s)
        context.metrics.increment("missing_shards", self._route.name, len(missing))
        context.metrics.increment("hedges", self._route.name, self._hedges)
        structlog.get_logger().info(
            "query",
            request=self._call.name,
            route=self._route.name,
            version=self._version,
            outcome=outcome,
            why=why,
            ms=round(duration_s * 1000, 1),
            left_ms=round((self._call.deadline - now) * 1000),
            shards_in=self._in,
            missing=missing,
            tried={shard.service: shard.tried for shard in self._shards},
            round_trip_ms=round(self._plan.round_trip_s * 1000, 2),
            hedges=self._hedges,
            retries=self._retries,
            hedge_ms=round(
                (self._schedule.hedge_at - self._call.request.arrived_at) * 1000, 1
            ),
        )
