"""One replica: its published entry, its health and its connections."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from ..errors import ErrorKind, Failure, has_failed_with
from ..http.connect import open_connection
from ..http.exchange import ServerConnection
from ..http.replies import Outcome, Reply, ServerRequest
from ..tasks import start_task
from ..world.model import ReplicaEntry
from .health import PROBE_INTERVAL_S, Health
from .quota import ReplicaQuota
from .warmup import WarmupLimiter

CONNECT_TIMEOUT_S = 0.8  # below the server's own limit of 1 s for a new connection
END_CHECK_TIMEOUT_S = 0.3  # to connect to a replica whose connection was lost
IDLE_TIMEOUT_S = 4.0  # an idle connection is not reused after this time
# An idle connection is given up this long before the server's keep-alive timeout.
KEEP_ALIVE_MARGIN_S = 0.7


class Exchange:
    """One request to one replica; ends once, by an outcome or by `cancel`.

    Attributes
    ----------
    instance : str
        Instance that the request is sent to.
    sent_at : float
        When it was sent, in seconds.
    health_key : int
        Key of the request in the replica's `Health`.
    done : bool
        Whether it has ended.
    """

    __slots__ = ("_on_cancel", "done", "health_key", "instance", "sent_at")

    def __init__(self, instance: str, sent_at: float, health_key: int):
        self.instance = instance
        self.sent_at = sent_at
        self.health_key = health_key
        self.done = False
        self._on_cancel: Callable[[], None] | None = None

    def cancel(self) -> None:
        """Give the request up, unless it has ended.

        The replica sees the connection close.
        """
        if not self.done and self._on_cancel is not None:
            self._on_cancel()


@dataclass(slots=True)
class ReplicaWishes:
    """What a replica has asked for in answers, from its start on.

    Attributes
    ----------
    leaving : bool
        Whether it has said that it leaves.
    quiet_until : float
        Time up to which it wants no requests from this VM, in seconds.
    """

    leaving: bool = False
    quiet_until: float = 0.0


@dataclass(slots=True)
class Replica:
    """A replica of a service, with this VM's connections to it.

    Parameters
    ----------
    entry : ReplicaEntry
        Entry that the replica published last.
    now : callable
        Clock, in seconds.
    get_connection_limit : callable
        Number of connections that this VM may hold to it.
    warmup_limiter : WarmupLimiter
        Limits the rate of requests while it is cold.
    quota : ReplicaQuota
        Limits the rate of requests while it names a limit.

    Attributes
    ----------
    health : Health
        Health estimates from this VM's requests and from reported loads.
    retired : bool
        Whether it gets no more requests, because it was removed or replaced, or another
        instance has its address.
    wishes : ReplicaWishes
        What it has asked for in answers.
    connection_count, connections_opened : int
        Connections that are open or being opened, and all attempts to open one.
    """

    entry: ReplicaEntry
    now: Callable[[], float]
    get_connection_limit: Callable[[], int]
    warmup_limiter: WarmupLimiter
    quota: ReplicaQuota = field(default_factory=ReplicaQuota)
    health: Health = field(default_factory=Health)
    retired: bool = False
    wishes: ReplicaWishes = field(default_factory=ReplicaWishes)
    connection_count: int = 0
    connections_opened: int = 0
    _idle_connections: list[ServerConnection] = field(default_factory=list)
    _connect_tasks: set[asyncio.Task] = field(default_factory=set)
    _end_listeners: list[Callable[[], None]] = field(default_factory=list)

    @property
    def accepts_requests(self) -> bool:
        """Whether it may get requests: it neither leaves nor wants none for a while."""
        if self.retired or self.wishes.leaving or self.entry.draining:
            return False
        quiet_until = self.wishes.quiet_until
        return not quiet_until or self.now() >= quiet_until

    def is_usable(self, now: float) -> bool:
        """Return whether it may get a request now and is expected to answer it."""
        return (
            self.accepts_requests
            and not self.health.is_unresponsive(now)
            and self.warmup_limiter.admits(now)
            and self.quota.admits(now)
            and self._has_connection_capacity()
        )

    def can_probe(self, now: float, interval_s: float = PROBE_INTERVAL_S) -> bool:
        """Return whether it is unresponsive and may get a probe now.

        `interval_s` is the shortest time between two probes, in seconds.
        """
        return (
            self.accepts_requests
            and self.health.is_unresponsive(now)
            and self.health.is_probe_due(now, interval_s)
            and self.warmup_limiter.admits(now)
            and self.quota.admits(now)
            and self._has_connection_capacity()
        )

    def send(
        self,
        request: ServerRequest,
        typical_s: float,
        new_connection: bool,
        on_outcome: Callable[[Exchange, Outcome], None],
    ) -> Exchange:
        """Send a request on an idle connection or, failing that, a new one.

        Parameters
        ----------
        request : ServerRequest
            The request.
        typical_s : float
            Typical duration of such a request, in seconds.
        new_connection : bool
            Always use a new connection, on which no response to an earlier request
            can arrive.
        on_outcome : callable
            Called once with the outcome, unless the exchange is cancelled first.
        """
        now = self.now()
        if self.health.is_unresponsive(now):
            self.health.probed_at = now
        self.warmup_limiter.record_sent(now)
        self.quota.record_sent(now)
        exchange = Exchange(
            self.entry.instance, now, self.health.start_request(now, typical_s)
        )
        connection = None if new_connection else self._take_idle_connection(now)
        if connection is not None:
            self._send_on_connection(connection, exchange, request, on_outcome)
            return exchange
        task = asyncio.get_running_loop().create_task(
            self._connect_and_send(exchange, request, on_outcome)
        )
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

        def cancel() -> None:
            self._finish_exchange(exchange, answered=False, failed=False)
            task.cancel()

        exchange._on_cancel = cancel
        return exchange

    def take_wishes(self, former: Replica) -> None:
        """Keep to what the same replica asks for, also in answers that are due still.

        They are shared with the object that stood for it before its entry was missing.
        """
        self.quota = former.quota
        self.wishes = former.wishes

    def check_end(self, on_ended: Callable[[], None]) -> None:
        """Call a function if the replica has ended, that is, accepts no connection.

        A connection may also be lost because something between resets it.
        """
        self._end_listeners.append(on_ended)
        if len(self._end_listeners) == 1:
            start_task("end check", self._check_end())

    async def _check_end(self) -> None:
        ended = False
        try:
            self._return_to_pool(await self._connect(END_CHECK_TIMEOUT_S))
        except OSError:
            ended = True
        listeners, self._end_listeners = self._end_listeners, []
        for on_ended in listeners if ended else ():
            on_ended()

    def retire(self) -> None:
        """Send it no more requests; those in flight run to their end."""
        self.retired = True
        self.close_idle_connections()

    def close_idle_connections(self) -> None:
        """Close all connections that carry no request."""
        for connection in list(self._idle_connections):
            connection.abort()
        self._idle_connections.clear()

    def close_stale_connections(self, now: float) -> None:
        """Close the connections that have been idle for too long."""
        for connection in list(self._idle_connections):
            if not self._is_within_idle_limit(connection, now):
                self._idle_connections.remove(connection)
                connection.abort()

    async def _connect(self, timeout_s: float) -> ServerConnection:
        """Open a connection, which counts from its beginning to its close."""
        self.connection_count += 1
        self.connections_opened += 1
        try:
            return await open_connection(
                self.entry.address, timeout_s, self._on_connection_closed
            )
        except (OSError, asyncio.CancelledError):
            self.connection_count -= 1
            raise

    async def _connect_and_send(
        self,
        exchange: Exchange,
        request: ServerRequest,
        on_outcome: Callable[[Exchange, Outcome], None],
    ) -> None:
        try:
            connection = await self._connect(CONNECT_TIMEOUT_S)
        except OSError as error:
            if exchange.done:
                return
            timed_out = isinstance(error, TimeoutError)
            self._finish_exchange(exchange, answered=not timed_out, failed=True)
            on_outcome(exchange, Failure(ErrorKind.CONNECT_FAILED, repr(error)))
            return
        if exchange.done:
            self._return_to_pool(connection)
            return
        self._send_on_connection(connection, exchange, request, on_outcome)

    def _send_on_connection(
        self,
        connection: ServerConnection,
        exchange: Exchange,
        request: ServerRequest,
        on_outcome: Callable[[Exchange, Outcome], None],
    ) -> None:
        def finish(outcome: Outcome) -> None:
            # A response that was given up says nothing against the replica.
            given_up = has_failed_with(outcome, ErrorKind.MEMORY_SHORT)
            answered = given_up or isinstance(outcome, Reply)
            failed = not answered or (not given_up and outcome.status >= 500)
            self._finish_exchange(exchange, answered, failed)
            self._return_to_pool(connection)
            on_outcome(exchange, outcome)

        def cancel() -> None:
            self._finish_exchange(exchange, answered=False, failed=False)
            connection.abort()

        exchange._on_cancel = cancel
        connection.send(request, finish)

    def _finish_exchange(
        self, exchange: Exchange, answered: bool, failed: bool
    ) -> None:
        exchange.done = True
        exchange._on_cancel = None
        self.health.finish_request(exchange.health_key, self.now(), answered, failed)

    def _return_to_pool(self, connection: ServerConnection) -> None:
        if not connection.reusable:
            return
        if not self.accepts_requests:
            connection.abort()
            return
        connection.idle_since = self.now()
        self._idle_connections.append(connection)

    def _take_idle_connection(self, now: float) -> ServerConnection | None:
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if connection.reusable and self._is_within_idle_limit(connection, now):
                return connection
            connection.abort()
        return None

    def _is_within_idle_limit(self, connection: ServerConnection, now: float) -> bool:
        limit_s = IDLE_TIMEOUT_S
        if connection.keep_alive_timeout_s is not None:
            limit_s = min(
                limit_s, connection.keep_alive_timeout_s - KEEP_ALIVE_MARGIN_S
            )
        return now - connection.idle_since < limit_s

    def _on_connection_closed(self, connection: ServerConnection) -> None:
        self.connection_count -= 1
        if connection in self._idle_connections:
            self._idle_connections.remove(connection)

    def _has_connection_capacity(self) -> bool:
        return (
            bool(self._idle_connections)
            or self.connection_count < self.get_connection_limit()
        )
