"""State of a connection as the kernel knows it: round-trip time, kind of close."""

from __future__ import annotations

import socket
import struct

TCP_INFO_BYTES = 72  # `struct tcp_info` of the kernel up to the end of `tcpi_rtt`
TCPI_RTT_OFFSET_BYTES = 68  # offset of `tcpi_rtt`, which is in microseconds
# A round-trip time this long comes from a fault, not from the network path, and
# counts as unknown.
MAX_ROUND_TRIP_S = 0.5
TCP_CLOSE_WAIT = 8  # TCP_INFO state of a connection that received a FIN


def read_round_trip(connection: socket.socket) -> float:
    """Return the kernel's round-trip estimate of a socket in s, or 0 if unknown."""
    try:
        info = connection.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
        )
    except OSError:
        return 0.0
    if len(info) < TCP_INFO_BYTES:
        return 0.0
    (microseconds,) = struct.unpack_from("I", info, TCPI_RTT_OFFSET_BYTES)
    seconds = microseconds / 1e6
    return seconds if seconds < MAX_ROUND_TRIP_S else 0.0


def closed_gracefully(connection: socket.socket) -> bool:
    """Return whether the peer closed a connection rather than reset it.

    An event loop may report the end of the stream in both cases, so the TCP state
    decides.
    """
    try:
        info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return False
    return info[0] == TCP_CLOSE_WAIT
