"""What one replica may bear at this moment, and the bounded queue before it.

All work on a replica passes its gate at its one owner: first tries, hedges and
retries alike. A replica counts as cold until it has answered for as long as its
ramp without a sign of a fresh start.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from ..errors import Failure, Kind
from .documents import Group

IDLE_TRUST_S = 0.5
SLOW_FACTOR = 4.0
SLOW_IN_A_ROW = 3
LATENCY_WEIGHT = 0.05

Tell = Callable[[str, str], None]


@dataclass(slots=True)
class _Waiter:
    deadline: float
    granted: asyncio.Future[Result[None, Failure]]


@dataclass(slots=True)
class Gate:
    """Slots, cold-start ramp and queue of one replica.

    Parameters
    ----------
    group : Group
        What a replica of this group can bear.
    now : callable
        Clock, in seconds.
    check : callable
        Failure that forbids work on the replica right now, or None.
    tell : callable
        Called with event and reason when the replica turns cold or warm.
    """

    group: Group
    now: Callable[[], float]
    check: Callable[[], Failure | None]
    tell: Tell
    at_work: int = 0
    begun: int = 0
    peak: int = 0
    _queue: deque[_Waiter] = field(default_factory=deque)
    _warm: bool = False
    _first_success_at: float | None = None
    _last_success_at: float | None = None
    _incarnation: str = ""
    _typical_s: float = 0.0
    _slow: int = 0

    @property
    def load(self) -> int:
        """Sub-requests at work and waiting."""
        return self.at_work + len(self._queue)

    @property
    def is_warm(self) -> bool:
        """Whether the replica counts as warm."""
        return self._warm

    @property
    def limit(self) -> int:
        """Most sub-requests at work right now.

        A warm replica that was idle may have restarted unseen; until it answers
        again it gets no more than a cold one.
        """
        if not self._warm or self._is_idle():
            return self.group.cold_slots
        return self.group.slots

    async def enter(self, deadline: float, queue_bound: int) -> Result[None, Failure]:
        """Wait for a slot.

        Parameters
        ----------
        deadline : float
            Clock reading after which the slot is of no use.
        queue_bound : int
            Most sub-requests waiting.

        Returns
        -------
        Result
            Ok once a slot is taken; `leave` has to follow.
        """
        refusal = self._refusal(deadline)
        if refusal is not None:
            return Error(refusal)
        if self.at_work < self.limit and not self._queue:
            self._take()
            return Ok(None)
        if len(self._queue) >= queue_bound:
            return Error(Failure(Kind.QUEUE_FULL, f"{len(self._queue)} waiting"))
        return await self._wait(deadline)

    def begin(self) -> Failure | None:
        """Count work whose first byte goes out now, unless the limit fell.

        Returns
        -------
        Failure or None
            Why nothing may be sent.
        """
        if self.begun >= self.limit:
            return Failure(Kind.QUEUE_FULL, "the replica turned cold meanwhile")
        self.begun += 1
        return None

    def leave(self, has_begun: bool) -> None:
        """Give a slot back and pass it on.

        Parameters
        ----------
        has_begun : bool
            Whether anything was sent.
        """
        self.at_work -= 1
        self.begun -= has_begun
        self.pump()

    def pump(self) -> None:
        """Grant slots to waiters, and drop those that may not or can't run."""
        while self._queue:
            waiter = self._queue[0]
            if waiter.granted.done():
                self._queue.popleft()
                continue
            refusal = self._refusal(waiter.deadline)
            if refusal is None and self.at_work >= self.limit:
                return
            self._queue.popleft()
            if refusal is not None:
                waiter.granted.set_result(Error(refusal))
                continue
            self._take()
            waiter.granted.set_result(Ok(None))

    def note_success(self, incarnation: str, says_cold: bool, service_s: float) -> None:
        """Take an answer as evidence.

        Parameters
        ----------
        incarnation : str
            The upstream's own name for its run.
        says_cold : bool
            Its report. Only a report of "cold" is believed.
        service_s : float
            Time that the answer took, in seconds.
        """
        now = self.now()
        if incarnation != self._incarnation:
            self._incarnation = incarnation
            self.note_cold("a fresh incarnation answered")
        elif says_cold:
            self.note_cold("the upstream reports a cold start")
        elif self._is_slow(service_s):
            self.note_cold("answers turned slow")
        self._last_success_at = now
        if self._first_success_at is None:
            self._first_success_at = now
        ramp_s = self.group.ramp_ms / 1000
        if not self._warm and now - self._first_success_at >= ramp_s:
            self._warm = True
            self.tell("warm", f"no fault for {ramp_s:.3f} s")

    def note_unproven(self) -> None:
        """Trust in no more than a cold replica until the known run answers."""
        self._last_success_at = None

    def adopt(self, incarnation: str, ramp_age_s: float) -> None:
        """Take over what an earlier owner knew of the replica's run.

        It counts from the first answer on, if that is of the same run.

        Parameters
        ----------
        ramp_age_s : float
            Time for which the run has answered without a fault, in seconds;
            negative if it has not.
        """
        if ramp_age_s < 0 or self._first_success_at is not None:
            return
        self._incarnation = incarnation
        self._first_success_at = self.now() - ramp_age_s

    @property
    def incarnation(self) -> str:
        """The upstream's run as it was last seen."""
        return self._incarnation

    @property
    def ramp_age_s(self) -> float:
        """Time since the run first answered, in seconds; negative if never."""
        if self._first_success_at is None:
            return -1.0
        return self.now() - self._first_success_at

    def note_cold(self, reason: str) -> None:
        """Treat the replica as cold from now on."""
        if self._warm or self._first_success_at is not None:
            self.tell("cold", reason)
        self._warm = False
        self._first_success_at = None
        self._slow = 0

    def _is_idle(self) -> bool:
        last = self._last_success_at
        return last is None or self.now() - last > IDLE_TRUST_S

    def _is_slow(self, service_s: float) -> bool:
        typical = self._typical_s
        if typical and service_s > SLOW_FACTOR * typical:
            self._slow += 1
            return self._slow >= SLOW_IN_A_ROW
        self._slow = 0
        self._typical_s = (
            typical + LATENCY_WEIGHT * (service_s - typical) if typical else service_s
        )
        return False

    def _refusal(self, deadline: float) -> Failure | None:
        if self.now() >= deadline:
            return _expired()
        return self.check()

    def _take(self) -> None:
        self.at_work += 1
        self.peak = max(self.peak, self.at_work)

    async def _wait(self, deadline: float) -> Result[None, Failure]:
        loop = asyncio.get_running_loop()
        waiter = _Waiter(deadline, loop.create_future())
        self._queue.append(waiter)
        delay = max(deadline - self.now(), 0.0)
        timer = loop.call_later(delay, self._expire, waiter)
        try:
            return await waiter.granted
        except asyncio.CancelledError:
            self._forget(waiter)
            raise
        finally:
            timer.cancel()

    def _expire(self, waiter: _Waiter) -> None:
        if waiter.granted.done():
            return
        waiter.granted.set_result(Error(_expired()))
        self._queue.remove(waiter)

    def _forget(self, waiter: _Waiter) -> None:
        granted = waiter.granted
        if granted.done() and not granted.cancelled() and granted.result().is_ok():
            self.leave(has_begun=False)
        elif waiter in self._queue:
            self._queue.remove(waiter)


def _expired() -> Failure:
    return Failure(Kind.QUEUE_EXPIRED, "its deadline passed before it was sent")
