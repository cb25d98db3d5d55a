"""Send and receive heartbeats, one datagram each."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from random import Random

import structlog

from ..errors import ErrorKind, Failure
from .gossip import ANNOUNCE_DURATION_S, choose_targets
from .members import Members
from .messages import (
    Heartbeat,
    VmState,
    decode_heartbeat,
    encode_heartbeat,
)

HEARTBEAT_PERIOD_S = 0.5

MakeHeartbeat = Callable[[bool], Heartbeat]
ApplyReports = Callable[[Heartbeat], None]


class HeartbeatEndpoint(asyncio.DatagramProtocol):
    """Datagram socket that exchanges heartbeats with other VMs.

    Parameters
    ----------
    members : Members
        Records the heartbeats that arrive.
    port : int
        Port that every VM listens on.
    make_heartbeat : callable
        Returns this VM's next heartbeat; its argument is whether the heartbeat asks
        for an answer.
    random : Random
        Selects the receivers.
    apply_reports : callable
        Records what a heartbeat of another VM reports of replicas and requests.
    """

    def __init__(
        self,
        members: Members,
        port: int,
        make_heartbeat: MakeHeartbeat,
        random: Random,
        apply_reports: ApplyReports = lambda heartbeat: None,
    ):
        self._members = members
        self._port = port
        self._make_heartbeat = make_heartbeat
        self._random = random
        self._apply_reports = apply_reports
        self._transport: asyncio.DatagramTransport | None = None
        self._announced_state: VmState | None = None
        self._announce_until = 0.0

    async def listen(self, host: str) -> None:
        """Bind the socket."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, local_addr=(host, self._port))

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Keep the transport for sending."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Record a heartbeat; other datagrams are logged and dropped."""
        found = decode_heartbeat(data)
        if isinstance(found, Heartbeat) and found.host != addr[0]:
            found = Failure(ErrorKind.BAD_REQUEST, f"sent for {found.host}")
        if isinstance(found, Failure):
            structlog.get_logger().warning(
                "heartbeat_refused", sender=addr[0], problem=found.detail
            )
            return
        self._members.record(found)
        self._apply_reports(found)
        if found.asks:
            self._send_to((found.host,), self._make_heartbeat(False))

    def error_received(self, exc: OSError) -> None:
        """Log a datagram that was refused.

        Nothing else is done: a peer that is down is detected by its silence.
        """
        structlog.get_logger().debug("heartbeat_undelivered", problem=str(exc))

    def send(self, now: float = 0.0) -> None:
        """Send the heartbeats of one period; `now` is passed by timers and not used."""
        sent_at = self._members.now()
        heartbeat = self._make_heartbeat(False)
        if heartbeat.state is not self._announced_state:
            self._announced_state = heartbeat.state
            self._announce_until = sent_at + ANNOUNCE_DURATION_S
        announces_state = sent_at < self._announce_until
        targets = choose_targets(self._members, announces_state, self._random)
        self._send_to(targets.notified - targets.probed, heartbeat)
        if targets.probed:
            self._send_to(targets.probed, self._make_heartbeat(True))

    def _send_to(self, hosts: Iterable[str], heartbeat: Heartbeat) -> None:
        if self._transport is None or self._transport.is_closing():
            return
        data = encode_heartbeat(heartbeat)
        for host in hosts:
            self._transport.sendto(data, (host, self._port))
