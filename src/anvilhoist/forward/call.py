"""A caller's request with its id and deadline, and the verdict on a response."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from ..http.messages import Request
from ..upstreams.suspects import compute_request_key


@dataclass(slots=True)
class CallProgress:
    """What has happened to a call so far.

    Attributes
    ----------
    survived : bool
        Whether a replica has executed the request and answered.
    """

    survived: bool = False


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request.

    Attributes
    ----------
    request : Request
        The HTTP request as received, or as built for the JSON interface.
    attempt_id : bytes
        Id of this attempt of the request.
    host : str
        Host that the caller named, without a port.
    deadline : float
        Time on the clock of the process until which the caller waits, in seconds.
    progress : CallProgress
        What has happened to it so far.
    """

    request: Request
    attempt_id: bytes
    host: str
    deadline: float
    progress: CallProgress = field(default_factory=CallProgress, compare=False)

    @property
    def attempt_id_text(self) -> str:
        """Attempt id as text, for the logs."""
        return self.attempt_id.decode("latin-1")

    @property
    def key(self) -> int:
        """Digest of the request that other attempts of it have, at all VMs."""
        request = self.request
        return compute_request_key(
            request.method, self.host, request.target, request.body
        )

    @property
    def local_key(self) -> int:
        """Hash of the request, as `key`; it is cheaper and holds in this process."""
        request = self.request
        return hash((request.method, self.host, request.target, request.body))


class Verdict(Enum):
    """What a replica's response means for the request.

    Attributes
    ----------
    SUCCEEDED
        The response is a complete result.
    FAILED
        The response reports an error, or anything else that is not a success. The
        request may have run.
    NOT_EXECUTED
        The replica rejected the request without executing it.
    MISDIRECTED
        Another instance has the replica's address; it did not execute the request.
    UNUSABLE
        There is no response, or one that can't be used. The request may have run.
    """

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    NOT_EXECUTED = "not_executed"
    MISDIRECTED = "misdirected"
    UNUSABLE = "unusable"


NOT_EXECUTED_VERDICTS = (Verdict.NOT_EXECUTED, Verdict.MISDIRECTED)
