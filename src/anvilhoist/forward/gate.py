"""Hold back sends of a query that may end the replicas that run it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from ..errors import ErrorKind, has_failed_with
from ..http.replies import Outcome
from ..upstreams.replica import Exchange
from .call import Verdict

# Sends beyond the first ones that a query may have open until a replica answers it.
# Each may end the last replica of its shard, which other queries need.
MAX_UNPROVEN_SENDS = 1


class SendGate:
    """Decides which sends of a query may go before any replica has answered it.

    A query that ends every replica that runs it looks like this: connections are lost
    and nothing answers. Its further sends are held until one of a few has answered.

    Attributes
    ----------
    proven : bool
        Whether a replica has answered, so that nothing is held any more.
    lost : int
        Connections that were lost while a replica may have run the query, until one
        has answered.
    held : deque of callable
        Sends that wait for an answer.
    """

    def __init__(self) -> None:
        self.proven = False
        self.lost = 0
        self._unproven: set[Exchange] = set()
        self._lost_unproven = 0
        self.held: deque[Callable[[], None]] = deque()

    @property
    def is_fatal(self) -> bool:
        """Whether all sends that were risked have ended their replicas as well."""
        return not self.proven and bool(self._lost_unproven) and not self._unproven

    def admits(self) -> bool:
        """Return whether a send may go now."""
        return self.proven or len(self._unproven) < MAX_UNPROVEN_SENDS

    def hold(self, send: Callable[[], None]) -> None:
        """Keep a send until a replica has answered."""
        self.held.append(send)

    def watch(self, exchange: Exchange) -> None:
        """Note a send that was admitted before any replica has answered."""
        if not self.proven:
            self._unproven.add(exchange)

    def record_outcome(
        self, exchange: Exchange, outcome: Outcome, verdict: Verdict
    ) -> None:
        """Note the outcome of any send of the query."""
        if self.proven and not self._unproven:
            return
        if verdict in (Verdict.SUCCEEDED, Verdict.FAILED):
            self.proven = True
        lost = has_failed_with(outcome, ErrorKind.CONNECTION_LOST)
        self.lost += lost
        if exchange in self._unproven:
            self._unproven.discard(exchange)
            self._lost_unproven += lost

    def take_admitted(self) -> Callable[[], None] | None:
        """Return a held send that may go now, or None."""
        if self.held and self.admits():
            return self.held.popleft()
        return None
