"""Limits on what callers may send, and on the time that they may take."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ConnectionLimits:
    """Limits on the size of requests and on the wait for their bytes.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest head and body of a request, in bytes.
    header_s, idle_s : float
        Longest time without received bytes within a request, and between two
        requests, in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 262144
    header_s: float = 3.0
    idle_s: float = 15.0
