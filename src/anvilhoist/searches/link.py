"""WebSocket links between processes of the tier.

One task per peer on the connecting side and one per connection on the serving
side. An exchange is known by the incarnation of the process that began it and a
number; frames of other incarnations are dropped and counted.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from websockets.asyncio.client import connect
from websockets.asyncio.server import Server, ServerConnection, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake
from websockets.http11 import Request

from ..tasks import end_tasks, start_task
from .messages import DecodeError, Frame, Message, decode_frame, encode_frame

MESSAGE_LIMIT_BYTES = 8 * 1024 * 1024
QUEUE_LIMIT_FRAMES = 256
RECONNECT_S = 0.2
OPEN_TIMEOUT_S = 2.0

_CONNECTION_ERRORS = (OSError, InvalidHandshake, ConnectionClosed, TimeoutError)


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Plain answer to an operator's request on the same port."""

    status: int
    text: str


Receive = Callable[[Message], None]
Reply = Callable[[Message], None]
Handle = Callable[[Frame, Reply], None]
Respond = Callable[[str], HttpAnswer | None]


def new_incarnation() -> int:
    """Number for this start of the process; later starts get higher ones."""
    return time.time_ns()


class PeerLostError(Exception):
    """The link to the peer is down; whether it read the message is unknown."""


class PeerUnreachedError(Exception):
    """The link was down before anything was sent."""


@dataclass(slots=True)
class Traffic:
    """Payload bytes of all links of a process, both ways."""

    sent_bytes: int = 0
    received_bytes: int = 0


@dataclass(slots=True)
class Outbox:
    """Frames waiting for one connection, sent in order by one task."""

    send: Callable[[bytes], Awaitable[None]]
    traffic: Traffic
    _frames: asyncio.Queue[Frame] = field(
        default_factory=lambda: asyncio.Queue(QUEUE_LIMIT_FRAMES * 16)
    )

    def put(self, frame: Frame) -> None:
        """Queue a frame.

        Raises
        ------
        PeerUnreachedError
            If the connection doesn't keep up and the bounded queue is full.
        """
        try:
            self._frames.put_nowait(frame)
        except asyncio.QueueFull:
            raise PeerUnreachedError("the link's queue is full") from None

    async def run(self) -> None:
        """Send frames until the connection closes."""
        while True:
            frame = await self._frames.get()
            try:
                data = encode_frame(frame)
                self.traffic.sent_bytes += len(data)
                await self.send(data)
            except ConnectionClosed:
                return


@dataclass(slots=True)
class Link:
    """Link to one peer, kept up by one task.

    Parameters
    ----------
    address : str
        IP number and port of the peer.
    incarnation : int
        Incarnation of this process.
    source : str
        IP number of this process, which connections come from.
    """

    address: str
    incarnation: int
    source: str
    traffic: Traffic
    dropped: int = 0
    _next_number: int = 0
    _outbox: Outbox | None = None
    _receivers: dict[int, Receive] = field(default_factory=dict)
    _losers: dict[int, Callable[[], None]] = field(default_factory=dict)
    _task: asyncio.Task | None = None

    @property
    def is_up(self) -> bool:
        """Whether the connection stands."""
        return self._outbox is not None

    def start(self) -> None:
        """Start the task that keeps the link up."""
        self._task = start_task(self._run())

    async def stop(self) -> None:
        """End the link."""
        if self._task is None:
            return
        await end_tasks([self._task])

    def begin(self, body: Message, receive: Receive, lose: Callable[[], None]) -> int:
        """Send a message whose replies go to `receive`.

        Parameters
        ----------
        body : Message
            First message of the exchange.
        receive : callable
            Called with each reply.
        lose : callable
            Called once if the link breaks before `end`.

        Returns
        -------
        int
            Number of the exchange.

        Raises
        ------
        PeerUnreachedError
            If the link is down; nothing was sent.
        """
        if self._outbox is None:
            raise PeerUnreachedError(self.address)
        self._next_number += 1
        number = self._next_number
        self._outbox.put(Frame(self.incarnation, number, body))
        self._receivers[number] = receive
        self._losers[number] = lose
        return number

    def send(self, number: int, body: Message) -> None:
        """Send a further message of an exchange; nothing if the link is down."""
        if self._outbox is None or number not in self._receivers:
            return
        self._outbox.put(Frame(self.incarnation, number, body))

    def end(self, number: int) -> None:
        """Forget an exchange; later replies to it are dropped and counted."""
        self._receivers.pop(number, None)
        self._losers.pop(number, None)

    async def ask(self, body: Message, timeout: float) -> Message:
        """Send a message and wait for its one reply.

        Raises
        ------
        PeerUnreachedError
            If nothing was sent.
        PeerLostError
            If the link broke or no reply came within `timeout` seconds.
        """
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Message] = loop.create_future()

        def receive(reply: Message) -> None:
            if not future.done():
                future.set_result(reply)

        def lose() -> None:
            if not future.done():
                future.set_exception(PeerLostError(self.address))

        number = self.begin(body, receive, lose)
        try:
            async with asyncio.timeout(timeout):
                return await future
        except TimeoutError:
            raise PeerLostError(
                f"{self.address}: no reply in {timeout:.3f} s"
            ) from None
        finally:
            self.end(number)

    async def _run(self) -> None:
        while True:
            try:
                await self._connect_once()
            except _CONNECTION_ERRORS:
                pass
            finally:
                self._break()
            await asyncio.sleep(RECONNECT_S)

    async def _connect_once(self) -> None:
        async with connect(
            f"ws://{self.address}/",
            compression=None,
            max_size=MESSAGE_LIMIT_BYTES,
            max_queue=QUEUE_LIMIT_FRAMES,
            open_timeout=OPEN_TIMEOUT_S,
            ping_interval=None,
            proxy=None,
            local_addr=(self.source, 0),
        ) as connection:
            outbox = Outbox(connection.send, self.traffic)
            sender = start_task(outbox.run())
            self._outbox = outbox
            try:
                async for data in connection:
                    self._read(data)
            finally:
                sender.cancel()

    def _read(self, data: bytes | str) -> None:
        self.traffic.received_bytes += len(data)
        try:
            frame = decode_frame(data)
        except DecodeError:
            self.dropped += 1
            return
        receive = self._receivers.get(frame.number)
        if frame.incarnation != self.incarnation or receive is None:
            self.dropped += 1
            return
        receive(frame.body)

    def _break(self) -> None:
        self._outbox = None
        losers = list(self._losers.values())
        self._losers.clear()
        self._receivers.clear()
        for lose in losers:
            lose()


async def serve_links(
    host: str, port: int, handle: Handle, respond: Respond, traffic: Traffic
) -> Server:
    """Serve links of other processes.

    Parameters
    ----------
    host : str
        IP number.
    port : int
        Port.
    handle : callable
        Called with each frame and a function that replies to it. The function
        drops the reply if the connection is gone.
    respond : callable
        Gives the answer to a plain HTTP request for a path, or None where the
        request opens a link.
    traffic : Traffic
        Counts what goes over the connections.

    Returns
    -------
    Server
        Listening server.
    """

    async def run_connection(connection: ServerConnection) -> None:
        outbox = Outbox(connection.send, traffic)
        sender = start_task(outbox.run())
        try:
            async for data in connection:
                traffic.received_bytes += len(data)
                frame = decode_frame(data)
                handle(frame, _make_reply(outbox, frame))
        except (ConnectionClosed, DecodeError):
            pass
        finally:
            sender.cancel()

    def answer_plain(connection: ServerConnection, request: Request):
        answer = respond(request.path)
        if answer is None:
            return None
        return connection.respond(answer.status, answer.text)

    return await serve(
        run_connection,
        host,
        port,
        process_request=answer_plain,
        compression=None,
        max_size=MESSAGE_LIMIT_BYTES,
        max_queue=QUEUE_LIMIT_FRAMES,
        ping_interval=None,
    )


def _make_reply(outbox: Outbox, frame: Frame) -> Reply:
    def reply(body: Message) -> None:
        try:
            outbox.put(Frame(frame.incarnation, frame.number, body))
        except PeerUnreachedError:
            pass

    return reply
