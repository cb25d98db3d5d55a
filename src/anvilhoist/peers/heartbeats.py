"""Send and receive heartbeats, one datagram each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import structlog

from ..errors import Failure
from .members import Members
from .messages import Heartbeat, decode_heartbeat, encode_heartbeat

PERIOD_S = 0.5  # s between two heartbeats


class HeartbeatEndpoint(asyncio.DatagramProtocol):
    """A datagram socket that tells every known VM of this one.

    Parameters
    ----------
    members : Members
        Takes what arrives.
    port : int
        Port that every VM listens on.
    describe : callable
        Gives this VM's next heartbeat.
    """

    def __init__(self, members: Members, port: int, describe: Callable[[], Heartbeat]):
        self._members = members
        self._port = port
        self._describe = describe
        self._transport: asyncio.DatagramTransport | None = None

    async def listen(self, host: str) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, self._port))

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take over a heartbeat; other datagrams are logged and dropped."""
        found = decode_heartbeat(data)
        if isinstance(found, Failure):
            structlog.get_logger().warning(
                "heartbeat_refused", sender=addr[0], problem=found.detail
            )
            return
        self._members.take(found)

    def error_received(self, exc: OSError) -> None:
        """A peer that is down refuses datagrams; its silence says the same."""
        structlog.get_logger().debug("heartbeat_undelivered", problem=str(exc))

    def send(self, now: float = 0.0) -> None:
        """Send a heartbeat to every VM that may be there."""
        if self._transport is None or self._transport.is_closing():
            return
        data = encode_heartbeat(self._describe())
        for host in self._members.list_targets():
            self._transport.sendto(data, (host, self._port))
