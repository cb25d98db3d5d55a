"""State of a query at one of its shards."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..errors import ErrorKind, has_failed_with
from ..http.replies import Outcome
from ..upstreams.replica import Exchange, Replica
from .call import NOT_EXECUTED_VERDICTS, Verdict


@dataclass(slots=True)
class ShardState:
    """Progress of a query at one shard.

    Attributes
    ----------
    service : str
        Service that holds the shard.
    attempts : int
        Sends that were or may have been executed.
    sends : int
        All sends.
    tried : list of str
        Instances that the query was sent to.
    pending : dict
        Exchanges without an outcome yet, and their replicas.
    probe : Exchange or None
        Extra probe of an unresponsive replica without an outcome yet; nothing waits for
        it.
    digest, body : bytes
        Digest and body of the shard's part; the digest is None until it is received.
    abandoned : bool
        Whether nothing more is sent to the shard and its part is not awaited.
    limited : bool
        Whether a replica was passed over because its rate limit was spent.
    """

    service: str
    attempts: int = 0
    sends: int = 0
    tried: list[str] = field(default_factory=list)
    pending: dict[Exchange, Replica] = field(default_factory=dict)
    probe: Exchange | None = None
    digest: bytes | None = None
    body: bytes = b""
    abandoned: bool = False
    limited: bool = False

    def uncount_unexecuted(self, outcome: Outcome, verdict: Verdict) -> bool:
        """Take back an attempt that no replica executed; return if none was reached."""
        unsent = has_failed_with(outcome, ErrorKind.CONNECT_FAILED)
        if unsent or verdict in NOT_EXECUTED_VERDICTS:
            self.attempts -= 1
        return unsent
