"""Sub-requests of entry processes: running, gathering replies, cancelling."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Error

from ..errors import Failure, Kind
from ..metrics import Metrics
from ..tasks import start_task
from .link import Reply
from .messages import Cancel, SubBatch, SubReplies, SubReply, SubRequest
from .replicas import Replicas, Served, Station
from .upstream import Attempt, Part, SearchAsk

GATHER_S = 0.001
LOAD_HINT_NONE = 0


@dataclass(slots=True)
class _ReplyBuffer:
    """Gathers the replies of one exchange that are ready together."""

    reply: Reply
    _ready: list[SubReply] = field(default_factory=list)

    def put(self, item: SubReply) -> None:
        if not self._ready:
            asyncio.get_running_loop().call_later(GATHER_S, self._flush)
        self._ready.append(item)

    def _flush(self) -> None:
        items, self._ready = tuple(self._ready), []
        self.reply(SubReplies(items))


@dataclass(slots=True)
class _Running:
    """One sub-request in progress."""

    task: asyncio.Task
    station: Station | None = None
    attempt: Attempt | None = None


Exchange = tuple[int, int]


@dataclass(slots=True)
class SubRequests:
    """Sub-requests in progress at one dispatch process.

    Parameters
    ----------
    replicas : Replicas
        Where they are put to work.
    now : callable
        Clock, in seconds.
    """

    replicas: Replicas
    metrics: Metrics
    now: Callable[[], float]
    _running: dict[Exchange, dict[int, _Running]] = field(default_factory=dict)

    @property
    def is_busy(self) -> bool:
        """Whether any is in progress."""
        return bool(self._running)

    def start(self, exchange: Exchange, batch: SubBatch, reply: Reply) -> None:
        """Start the sub-requests of a batch."""
        buffer = _ReplyBuffer(reply)
        running = self._running.setdefault(exchange, {})
        for item in batch.items:
            task = start_task(self._run_sub(exchange, batch, item, buffer))
            running[item.number] = _Running(task)

    async def _run_sub(
        self,
        exchange: Exchange,
        batch: SubBatch,
        item: SubRequest,
        buffer: _ReplyBuffer,
    ) -> None:
        try:
            served = await self._serve_sub(exchange, batch, item)
            buffer.put(self._to_sub_reply(batch, item, served))
        finally:
            self._forget(exchange, item.number)

    async def _serve_sub(
        self, exchange: Exchange, batch: SubBatch, item: SubRequest
    ) -> Served:
        deadline = self.now() + item.budget_s
        station = self.replicas.find(item.replica)
        if station is None:
            return Served(Error(Failure(Kind.NOT_OWNER, item.replica)), 0.0)

        def started(attempt: Attempt) -> None:
            running = self._running[exchange][item.number]
            running.station = station
            running.attempt = attempt

        bound = self.replicas.queue_bound(batch.profile)
        ask = SearchAsk(batch.index, batch.version, item.shard, batch.query)
        return await self.replicas.search(station, ask, deadline, bound, started)

    def _to_sub_reply(
        self, batch: SubBatch, item: SubRequest, served: Served
    ) -> SubReply:
        station = self.replicas.find(item.replica)
        load = LOAD_HINT_NONE if station is None else station.gate.load
        limit = LOAD_HINT_NONE if station is None else station.gate.limit
        result = served.result
        if result.is_ok() and not _is_asked_for(batch, item, result.ok):
            self.metrics.count("crossed_answers")
            result = Error(Failure(Kind.UPSTREAM_FAILED, "another answer came back"))
        kind = detail = ""
        shard, version, hits = item.shard, 0, ()
        if result.is_error():
            kind, detail = result.error.kind.value, result.error.detail
        else:
            part = result.ok
            shard, version, hits = part.shard, part.version, part.to_hits()
        return SubReply(
            item.number,
            kind,
            detail,
            shard,
            version,
            hits,
            load,
            limit,
            served.service_s,
        )

    def _forget(self, exchange: Exchange, number: int) -> None:
        running = self._running[exchange]
        del running[number]
        if not running:
            del self._running[exchange]

    def cancel(self, exchange: Exchange, cancel: Cancel) -> None:
        """End sub-requests whose answer is no longer wanted."""
        running = self._running.get(exchange, {})
        for number in cancel.numbers:
            item = running.get(number)
            if item is None:
                continue
            self.metrics.count("cancelled")
            if item.attempt is None:
                item.task.cancel()
            else:
                start_task(item.station.client.cancel(item.attempt.name))


def _is_asked_for(batch: SubBatch, item: SubRequest, part: Part) -> bool:
    return part.version == batch.version and part.shard == item.shard
