"""Send and receive heartbeats, one datagram each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random

import structlog

from ..errors import Failure
from .gossip import ANNOUNCE_S, choose_targets
from .members import Members
from .messages import Heartbeat, VmState, decode_heartbeat, encode_heartbeat

HEARTBEAT_PERIOD_S = 0.5  # s between two heartbeats

Describe = Callable[[bool], Heartbeat]


class HeartbeatEndpoint(asyncio.DatagramProtocol):
    """A datagram socket that tells other VMs of this one.

    Parameters
    ----------
    members : Members
        Takes what arrives.
    port : int
        Port that every VM listens on.
    describe : callable
        Gives this VM's next heartbeat, told whether it asks for an answer.
    random : Random
        Picks targets.
    """

    def __init__(self, members: Members, port: int, describe: Describe, random: Random):
        self._members = members
        self._port = port
        self._describe = describe
        self._random = random
        self._transport: asyncio.DatagramTransport | None = None
        self._state: VmState | None = None
        self._announce_until = 0.0

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
        self._members.record(found)
        if found.asks:
            self._send_to((found.host,), self._describe(False))

    def error_received(self, exc: OSError) -> None:
        """A peer that is down refuses datagrams; its silence says the same."""
        structlog.get_logger().debug("heartbeat_undelivered", problem=str(exc))

    def send(self, now: float = 0.0) -> None:
        """Send heartbeats to the VMs whose turn it is."""
        at = self._members.now()
        heartbeat = self._describe(False)
        if heartbeat.state is not self._state:
            self._state = heartbeat.state
            self._announce_until = at + ANNOUNCE_S
        announces = at < self._announce_until
        targets = choose_targets(self._members, announces, self._random)
        self._send_to(targets.notified - targets.probed, heartbeat)
        if targets.probed:
            self._send_to(targets.probed, self._describe(True))

    def _send_to(self, hosts: Iterable[str], heartbeat: Heartbeat) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        data = encode_heartbeat(heartbeat)
        for host in hosts:
            self._transport.sendto(data, (host, self._port))
