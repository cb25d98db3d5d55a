"""Plan a graceful shutdown within the time between SIGTERM and SIGKILL.

The process keeps serving callers that still use its address, and completes requests in
flight.
"""

from __future__ import annotations

from dataclasses import dataclass

# Some callers keep an address for longer than they are told, so a leaving VM serves for
# this many times as long, or until it stops listening if that is sooner.
ADDRESS_KEEP_FACTOR = 3.0
KILL_MARGIN_S = 0.5  # between the latest exit and SIGKILL
LISTEN_SHARE = 0.75  # of the time until SIGKILL, in which connections are accepted


@dataclass(frozen=True, slots=True)
class ShutdownPlan:
    """Times of a graceful shutdown, in seconds on the clock of the process.

    Attributes
    ----------
    callers_moved_at : float
        Time from which callers are taken to use other VMs.
    stop_listening_at : float
        Time from which no more connections are accepted.
    exit_at : float
        Time at which the process exits, even with requests in flight.
    """

    callers_moved_at: float
    stop_listening_at: float
    exit_at: float

    def should_close_idle(self, now: float) -> bool:
        """Return whether to close idle connections."""
        return now >= self.callers_moved_at

    def should_stop_listening(self, now: float) -> bool:
        """Return whether to accept no more connections."""
        return now >= self.stop_listening_at

    def may_exit(self, now: float, requests_in_flight: int) -> bool:
        """Return whether the process may exit.

        It may once callers have moved and no request is in flight, and from `exit_at`
        in any case.

        Parameters
        ----------
        now : float
            Time in seconds.
        requests_in_flight : int
            Requests that have been read and are not yet answered.
        """
        if now >= self.exit_at:
            return True
        return now >= self.callers_moved_at and requests_in_flight == 0


def plan_shutdown(now: float, stop_s: float, address_keep_s: float) -> ShutdownPlan:
    """Plan a graceful shutdown that begins now.

    Parameters
    ----------
    now : float
        Time in seconds.
    stop_s : float
        Time until SIGKILL, in seconds.
    address_keep_s : float
        Time for which callers are told to keep an address, in seconds.
    """
    exit_at = now + stop_s - KILL_MARGIN_S
    stop_listening_at = min(now + LISTEN_SHARE * stop_s, exit_at)
    callers_moved_at = min(
        now + ADDRESS_KEEP_FACTOR * address_keep_s, stop_listening_at
    )
    return ShutdownPlan(callers_moved_at, stop_listening_at, exit_at)
