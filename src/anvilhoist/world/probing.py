"""Signs of life that the store gives beside a call that waits for its answer."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

# A probe that is unanswered for so long is followed by another; either may be answered.
PROBE_INTERVAL_S = 0.3

ProbeStore = Callable[[], Awaitable[bool]]


@dataclass(frozen=True, slots=True)
class SignOfLife:
    """Answer to a probe: at some time between the two times the store lived.

    Attributes
    ----------
    asked_at, answered_at : float
        When the probe was sent and its answer was read, in seconds.
    """

    asked_at: float
    answered_at: float


async def probe_beside(
    call: asyncio.Future,
    probe: ProbeStore,
    now: Callable[[], float],
    until: float,
) -> SignOfLife | None:
    """Probe the store until a probe or the call is answered.

    Parameters
    ----------
    call : asyncio.Future
        The call that waits; no probe is made once it has ended.
    probe : callable
        Coroutine function that returns whether the store answers on a new connection.
    now : callable
        Clock, in seconds, by which signs of life are dated.
    until : float
        Time on the event loop's clock at which to give up, in seconds.

    Returns
    -------
    SignOfLife or None
        None if no probe was answered, or none was needed.
    """
    loop = asyncio.get_running_loop()
    sign: asyncio.Future[SignOfLife] = loop.create_future()

    async def ask() -> None:
        asked_at = now()
        if await probe() and not sign.done():
            sign.set_result(SignOfLife(asked_at, now()))

    probes: list[asyncio.Task] = []
    try:
        left_s = until - loop.time()
        while not (call.done() or sign.done()) and left_s > 0:
            probes.append(loop.create_task(ask()))
            await asyncio.wait(
                {call, sign},
                timeout=min(PROBE_INTERVAL_S, left_s),
                return_when=asyncio.FIRST_COMPLETED,
            )
            left_s -= PROBE_INTERVAL_S
        return sign.result() if sign.done() else None
    finally:
        for task in probes:
            task.cancel()


def find_longest_gap(
    contact_at: float, signs: Sequence[SignOfLife | None], now: float
) -> float:
    """Return the longest time for which the store may have been away, in seconds.

    Parameters
    ----------
    contact_at : float
        When the store was last known to live.
    signs : sequence of SignOfLife or None
        What was heard of it since, in order of time.
    now : float
        Current time.
    """
    gaps_s = []
    for sign in signs:
        if sign is not None:
            gaps_s.append(sign.answered_at - contact_at)
            contact_at = sign.asked_at
    return max([*gaps_s, now - contact_at])
