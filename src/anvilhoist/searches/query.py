"""One query at one pinned snapshot.

Its task sends one batch to each owner, then takes replies, lost links and timers
in the order in which they come.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

from ..errors import Failure, Kind
from .documents import Profile, Snapshot
from .link import Link, PeerUnreachedError
from .merge import Merger
from .messages import Cancel, Message, SubBatch, SubReplies, SubReply, SubRequest
from .routing import ProfileState, Routing
from .shards import LostLink, Shard, Try

RETRY_PAUSE_S = 0.005
ANSWER_MARGIN_S = 0.005
DETOURS_LIMIT = 4
HEDGE_AGAIN_S = 0.005

NOT_SENT = frozenset(
    {
        Kind.NOT_OWNER,
        Kind.NOT_READY,
        Kind.VIEW_STALE,
        Kind.OUT_OF_SERVICE,
        Kind.QUEUE_FULL,
        Kind.QUEUE_EXPIRED,
        Kind.SHUTTING_DOWN,
        Kind.CONNECT_FAILED,
    }
)
OWNER_CHANGES = frozenset({Kind.NOT_OWNER, Kind.NOT_READY, Kind.VIEW_STALE})
WORTH_WAITING = OWNER_CHANGES | {Kind.OUT_OF_SERVICE, Kind.SHUTTING_DOWN}


@dataclass(slots=True)
class Query:
    """One run of a search at one pinned snapshot.

    Parameters
    ----------
    deadline : float
        Clock reading at which the answer has to be there, in seconds.
    """

    routing: Routing
    request_id: str
    profile_name: str
    profile: Profile
    state: ProfileState
    text: str
    snapshot: Snapshot
    deadline: float
    merger: Merger = field(init=False)
    _shards: dict[str, Shard] = field(default_factory=dict)
    _tries: dict[int, Try] = field(default_factory=dict)
    _events: deque[SubReply | LostLink] = field(default_factory=deque)
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _exchanges: list[tuple[Link, int]] = field(default_factory=list)
    _next_number: int = 0

    def __post_init__(self):
        self.merger = Merger(self.profile.target, self.snapshot)

    async def run(self) -> Merger:
        """Ask every shard and merge what comes in time."""
        self._open_shards()
        self.state.hedges.earn(len(self._shards))
        self.state.retries.earn(len(self._shards))
        self._send([shard for shard in self._shards.values()], "first try")
        try:
            while not self._is_done():
                await self._wait()
                self._take_events()
                self._act_on_time()
        finally:
            self._close()
        return self.merger

    @property
    def found_gone(self) -> bool:
        """Whether a shard is missing because its snapshot is gone."""
        return any(
            shard.gone and not self.merger.has_part(shard.name)
            for shard in self._shards.values()
        )

    def _open_shards(self) -> None:
        directory = self.routing.view.directory
        for name, group_name in self.snapshot.shards.items():
            group = directory.groups.get(group_name)
            members = () if group is None else group.replicas
            replicas = tuple(f"{group_name}/{member}" for member in members)
            self._shards[name] = Shard(name, replicas)

    def _is_done(self) -> bool:
        if self.merger.is_complete:
            return True
        if self.routing.now() >= self.deadline:
            return True
        return all(
            shard.failed or self.merger.has_part(shard.name)
            for shard in self._shards.values()
        )

    async def _wait(self) -> None:
        if self._events:
            return
        timeout = max(self._next_time() - self.routing.now(), 0.0)
        self._wake.clear()
        handle = asyncio.get_running_loop().call_later(timeout, self._wake.set)
        try:
            await self._wake.wait()
        finally:
            handle.cancel()

    def _next_time(self) -> float:
        soonest = self.deadline
        hedge_after = self._hedge_after()
        for shard in self._shards.values():
            if shard.failed or self.merger.has_part(shard.name):
                continue
            if shard.retry_at is not None:
                soonest = min(soonest, shard.retry_at)
            elif hedge_after is not None and not shard.hedged and shard.tries:
                soonest = min(soonest, shard.hedge_time(hedge_after))
        return soonest

    def _hedge_after(self) -> float | None:
        return self.state.window.value if self.profile.hedge else None

    def _take_events(self) -> None:
        while self._events:
            event = self._events.popleft()
            if isinstance(event, LostLink):
                self._take_loss(event)
            else:
                self._take_reply(event)

    def _take_reply(self, reply: SubReply) -> None:
        sent = self._tries.get(reply.number)
        if sent is None:
            self.routing.metrics.count("late_replies")
            return
        self._finish_try(sent)
        shard = self._shards[sent.shard]
        error = reply.error
        if error is not None:
            self.routing.balancer.note_hint(sent.replica, reply.load, reply.limit)
            self._take_failure(shard, sent, Failure(error, reply.detail))
            return
        elapsed = self.routing.now() - sent.sent_at
        self.state.window.record(elapsed)
        self.routing.balancer.note_answer(
            sent.replica, elapsed, reply.load, reply.limit
        )
        if self.merger.add_part(reply.shard, reply.version, reply.hits):
            self._cancel_others(shard)

    def _take_loss(self, lost: LostLink) -> None:
        for sent in list(self._tries.values()):
            if sent.link is lost.link and sent.exchange == lost.exchange:
                self._finish_try(sent)
                failure = Failure(Kind.PEER_LOST, "the link to its owner broke")
                self._take_failure(self._shards[sent.shard], sent, failure)

    def _take_failure(self, shard: Shard, sent: Try, failure: Failure) -> None:
        if self.merger.has_part(shard.name):
            return
        self.routing.metrics.count("sub_failures", failure.kind.value)
        self.routing.balancer.avoid(sent.replica)
        self.merger.note_reason(shard.name, failure.kind.value)
        if failure.kind is Kind.SNAPSHOT_GONE:
            shard.gone.add(sent.replica)
        if shard.tries:
            return
        self._try_again(shard, sent, failure)

    def _try_again(self, shard: Shard, sent: Try, failure: Failure) -> None:
        shard.failures.add(failure.kind)
        if failure.kind in OWNER_CHANGES and shard.detours < DETOURS_LIMIT:
            if self.routing.take_detour(sent.replica, sent.link):
                shard.detours += 1
                shard.tried.discard(sent.replica)
        left = self._choices(shard, shard.tried)
        is_free = failure.kind in NOT_SENT or failure.kind is Kind.SNAPSHOT_GONE
        if left and (is_free or self._may_retry()):
            self._send([shard], f"again after {failure.kind.value}")
            return
        if shard.failures & WORTH_WAITING or not self._choices(shard, set()):
            self._pause(shard)
            return
        shard.failed = True

    def _may_retry(self) -> bool:
        allowed = self.state.retries.spend()
        name = "retries" if allowed else "retries_denied"
        self.routing.metrics.count(name, self.profile_name)
        return allowed

    def _act_on_time(self) -> None:
        now = self.routing.now()
        waiting = [
            shard
            for shard in self._shards.values()
            if shard.retry_at is not None and now >= shard.retry_at
        ]
        if waiting:
            self._send(waiting, "again after a pause")
        self._hedge(now)

    def _hedge(self, now: float) -> None:
        after = self._hedge_after()
        if after is None:
            return
        late = [
            shard
            for shard in self._shards.values()
            if shard.tries
            and not shard.hedged
            and now >= shard.hedge_time(after)
            and not self.merger.has_part(shard.name)
        ]
        chosen = []
        for shard in late:
            if not self._choices(shard, shard.tried):
                shard.hedged = True
                continue
            if not self.state.hedges.spend():
                shard.hedge_not_before = now + HEDGE_AGAIN_S
                self.routing.metrics.count("hedges_denied", self.profile_name)
                continue
            shard.hedged = True
            chosen.append(shard)
        if chosen:
            self.routing.metrics.count("hedges", self.profile_name, len(chosen))
            self._send(chosen, "hedge")

    def _choices(self, shard: Shard, excluded: set[str]) -> list[str]:
        return [
            replica
            for replica in shard.replicas
            if replica not in excluded
            and replica not in shard.gone
            and self.routing.may_use(replica)
            and self.routing.find_link(replica) is not None
        ]

    def _send(self, shards: list[Shard], reason: str) -> None:
        batches: dict[str, list[tuple[Shard, str]]] = {}
        chosen = []
        for shard in shards:
            shard.retry_at = None
            replica = self._choose(self._choices(shard, shard.tried))
            if replica is None:
                self._postpone(shard)
                continue
            shard.tried.add(replica)
            link = self.routing.find_link(replica)
            batches.setdefault(link.address, []).append((shard, replica))
            chosen.append(f"{shard.name}={replica}")
            self.routing.balancer.note_sent(replica)
        if chosen:
            self.routing.log.decide("route", " ".join(chosen), reason, self.request_id)
        for address, items in batches.items():
            self._send_batch(self.routing.links.get(address), items)

    def _choose(self, replicas: list[str]) -> str | None:
        if self.profile.choice == "round_robin":
            return self.routing.balancer.take_turns(replicas)
        return self.routing.balancer.choose(replicas)

    def _postpone(self, shard: Shard) -> None:
        if shard.gone and not self._choices(shard, set()):
            shard.failed = True
            return
        self.merger.note_reason(shard.name, "no replica can be used now")
        self._pause(shard)

    def _pause(self, shard: Shard) -> None:
        """Try all replicas of a shard again in a moment."""
        shard.tried.clear()
        shard.failures.clear()
        shard.retry_at = self.routing.now() + RETRY_PAUSE_S

    def _send_batch(self, link: Link, items: list[tuple[Shard, str]]) -> None:
        now = self.routing.now()
        budget_s = max(self.deadline - now - ANSWER_MARGIN_S, 0.0)
        tries = []
        for shard, replica in items:
            self._next_number += 1
            sent = Try(self._next_number, shard.name, replica, now, link, 0)
            tries.append(sent)
            shard.tries.append(sent)
            self._tries[sent.number] = sent
        requests = tuple(
            SubRequest(sent.number, sent.shard, sent.replica, budget_s)
            for sent in tries
        )
        batch = SubBatch(
            self.request_id,
            self.profile_name,
            self.profile.target,
            self.snapshot.version,
            self.text,
            requests,
        )
        self._begin(link, batch, tries)

    def _begin(self, link: Link, batch: SubBatch, tries: list[Try]) -> None:
        lost = LostLink(0, link)

        def lose() -> None:
            self._push(LostLink(tries[0].exchange, link))

        try:
            exchange = link.begin(batch, self._receive, lose)
        except PeerUnreachedError:
            self._push(lost)
            return
        self.routing.metrics.count("sub_requests", self.profile_name, len(tries))
        for sent in tries:
            sent.exchange = exchange
        self._exchanges.append((link, exchange))

    def _receive(self, message: Message) -> None:
        if isinstance(message, SubReplies):
            self._events.extend(message.items)
            self._wake.set()

    def _push(self, event: LostLink) -> None:
        self._events.append(event)
        self._wake.set()

    def _finish_try(self, sent: Try) -> None:
        del self._tries[sent.number]
        self._shards[sent.shard].tries.remove(sent)
        self.routing.balancer.note_done(sent.replica)

    def _cancel_others(self, shard: Shard) -> None:
        for sent in list(shard.tries):
            self._cancel(sent)

    def _cancel(self, sent: Try) -> None:
        self.state.window.record(self.routing.now() - sent.sent_at)
        self._finish_try(sent)
        sent.link.send(sent.exchange, Cancel((sent.number,)))

    def _close(self) -> None:
        for sent in list(self._tries.values()):
            self._cancel(sent)
        for link, exchange in self._exchanges:
            link.end(exchange)
