"""One replica: its entry, beliefs about it, and its connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ..errors import ErrorKind, Failure
from ..http.connect import open_connection
from ..http.exchange import Outcome, Reply, ResponseMatcher, ServerConnection
from ..world.model import ReplicaEntry
from .health import Health
from .warmup import WarmupLimiter

CONNECT_TIMEOUT_S = 0.8  # s; the peer's own limit for a new connection is a second
IDLE_LIMIT_S = 4.0  # s after which an idle connection isn't trusted any more
KEEP_ALIVE_MARGIN_S = 0.7  # s before the server's own idle limit


class Exchange:
    """One request to one replica; ends once, by an outcome or by `cancel`."""

    __slots__ = ("_cancel", "done", "instance", "key", "sent_at")

    def __init__(self, instance: str, sent_at: float, key: int):
        self.instance = instance
        self.sent_at = sent_at
        self.key = key
        self.done = False
        self._cancel: Callable[[], None] | None = None

    def cancel(self) -> None:
        """Give the request up; the replica sees its connection close."""
        if not self.done and self._cancel is not None:
            self._cancel()


@dataclass(slots=True)
class Replica:
    """A replica in use.

    Parameters
    ----------
    entry : ReplicaEntry
        What it said of itself last.
    now : callable
        Clock, in seconds.
    read_share : callable
        Connections that this VM may hold to it.
    warmup_limiter : WarmupLimiter
        Bounds the requests that it gets while it is cold.
    """

    entry: ReplicaEntry
    now: Callable[[], float]
    read_share: Callable[[], int]
    warmup_limiter: WarmupLimiter
    health: Health = field(default_factory=Health)
    gone: bool = False
    connection_count: int = 0
    connections_opened: int = 0
    _idle: list[ServerConnection] = field(default_factory=list)
    _tasks: set[asyncio.Task] = field(default_factory=set)

    @property
    def listed(self) -> bool:
        """Whether it may get requests at all."""
        return not (self.gone or self.entry.draining)

    def usable(self, now: float) -> bool:
        """Whether it can be expected to answer a request."""
        return (
            self.listed
            and not self.health.is_unresponsive(now)
            and self.warmup_limiter.admits(now)
            and self._has_room()
        )

    def can_probe(self, now: float) -> bool:
        """Whether it is dark and due for a request that finds out."""
        return (
            self.listed
            and self.health.is_unresponsive(now)
            and self.health.may_probe(now)
            and self.warmup_limiter.admits(now)
            and self._has_room()
        )

    def send(
        self,
        data: bytes,
        matches: ResponseMatcher,
        usual_s: float,
        fresh: bool,
        on_done: Callable[[Exchange, Outcome], None],
    ) -> Exchange:
        """Send a request.

        Parameters
        ----------
        data : bytes
            The request's bytes.
        matches : callable
            Tells whether a response is this request's.
        usual_s : float
            Usual duration of such a request, in seconds.
        fresh : bool
            Use a new connection, on which nothing older can arrive.
        on_done : callable
            Told of the outcome, unless the exchange is cancelled before.
        """
        now = self.now()
        if self.health.is_unresponsive(now):
            self.health.probed_at = now
        self.warmup_limiter.record_sent(now)
        exchange = Exchange(
            self.entry.instance, now, self.health.start_request(now, usual_s)
        )
        connection = None if fresh else self._take_idle(now)
        if connection is not None:
            self._send_on(connection, exchange, data, matches, on_done)
            return exchange
        task = asyncio.get_running_loop().create_task(
            self._connect(exchange, data, matches, on_done)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

        def cancel() -> None:
            self._end(exchange, answered=False, failed=False)
            task.cancel()

        exchange._cancel = cancel
        return exchange

    def retire(self) -> None:
        """Use it no more; what is under way ends by itself."""
        self.gone = True
        self.close_idle()

    def close_idle(self) -> None:
        """Close the connections that carry no request."""
        for connection in list(self._idle):
            connection.abort()
        self._idle.clear()

    def check(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        for connection in list(self._idle):
            if not self._fresh_enough(connection, now):
                self._idle.remove(connection)
                connection.abort()

    async def _connect(
        self,
        exchange: Exchange,
        data: bytes,
        matches: ResponseMatcher,
        on_done: Callable[[Exchange, Outcome], None],
    ) -> None:
        self.connection_count += 1
        self.connections_opened += 1
        try:
            connection = await open_connection(
                self.entry.address, CONNECT_TIMEOUT_S, self._forget
            )
        except OSError as error:
            self.connection_count -= 1
            if exchange.done:
                return
            timed_out = isinstance(error, TimeoutError)
            self._end(exchange, answered=not timed_out, failed=True)
            on_done(exchange, Failure(ErrorKind.CONNECT_FAILED, repr(error)))
            return
        except asyncio.CancelledError:
            self.connection_count -= 1
            raise
        if exchange.done:
            self._keep(connection)
            return
        self._send_on(connection, exchange, data, matches, on_done)

    def _send_on(
        self,
        connection: ServerConnection,
        exchange: Exchange,
        data: bytes,
        matches: ResponseMatcher,
        on_done: Callable[[Exchange, Outcome], None],
    ) -> None:
        def finish(outcome: Outcome) -> None:
            answered = isinstance(outcome, Reply)
            failed = not answered or outcome.status >= 500
            self._end(exchange, answered, failed)
            self._keep(connection)
            on_done(exchange, outcome)

        def cancel() -> None:
            self._end(exchange, answered=False, failed=False)
            connection.abort()

        exchange._cancel = cancel
        connection.send(data, matches, finish)

    def _end(self, exchange: Exchange, answered: bool, failed: bool) -> None:
        exchange.done = True
        self.health.finish_request(exchange.key, self.now(), answered, failed)

    def _keep(self, connection: ServerConnection) -> None:
        if not connection.reusable:
            return
        if not self.listed:
            connection.abort()
            return
        connection.idle_since = self.now()
        self._idle.append(connection)

    def _take_idle(self, now: float) -> ServerConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable and self._fresh_enough(connection, now):
                return connection
            connection.abort()
        return None

    def _fresh_enough(self, connection: ServerConnection, now: float) -> bool:
        limit_s = IDLE_LIMIT_S
        if connection.keep_alive_timeout_s is not None:
            limit_s = min(
                limit_s, connection.keep_alive_timeout_s - KEEP_ALIVE_MARGIN_S
            )
        return now - connection.idle_since < limit_s

    def _forget(self, connection: ServerConnection) -> None:
        self.connection_count -= 1
        if connection in self._idle:
            self._idle.remove(connection)

    def _has_room(self) -> bool:
        return bool(self._idle) or self.connection_count < self.read_share()
