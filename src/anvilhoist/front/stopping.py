"""Decide how a process that was told to stop spends the time that it has.

Answers callers that still hold its address, and requests that are under way.
"""

from __future__ import annotations

from dataclasses import dataclass

KEPT_TIMES = 3.0  # times the time to keep an address, for callers that keep it longer
MARGIN_S = 0.5  # s between the last answer and the end that is forced
CLOSE_SHARE = 0.75  # of the time, after which no more connections are accepted


@dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """Times of a stop, on the clock of the process.

    Attributes
    ----------
    moved_at : float
        From when callers no longer use the address.
    close_at : float
        From when no more connections are accepted.
    end_at : float
        When the process ends, whatever is under way.
    """

    moved_at: float
    close_at: float
    end_at: float

    def should_close_idle(self, now: float) -> bool:
        """Whether connections without a request are to be closed."""
        return now >= self.moved_at

    def should_stop_listening(self, now: float) -> bool:
        """Whether no more connections are accepted."""
        return now >= self.close_at

    def may_exit(self, now: float, requests_in_flight: int) -> bool:
        """Whether the process may end.

        Parameters
        ----------
        now : float
            Time in seconds.
        requests_in_flight : int
            Requests that have been read and are not yet answered.
        """
        if now >= self.end_at:
            return True
        return now >= self.moved_at and requests_in_flight == 0


def plan_shutdown(now: float, stop_s: float, keep_s: float) -> ShutdownPlan:
    """Plan a stop.

    Parameters
    ----------
    now : float
        When it began, in seconds.
    stop_s : float
        Time until the process is killed, in seconds.
    keep_s : float
        Time for which callers keep an address, in seconds.
    """
    end_at = now + stop_s - MARGIN_S
    close_at = min(now + CLOSE_SHARE * stop_s, end_at)
    moved_at = min(now + KEPT_TIMES * keep_s, close_at)
    return ShutdownPlan(moved_at, close_at, end_at)
