"""A caller's request in the project's terms, and what replicas make of it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from ..http.messages import Request


@dataclass(frozen=True, slots=True)
class Call:
    """A caller's request.

    Attributes
    ----------
    request : Request
        As it came.
    id : bytes
        Id of this attempt of the caller.
    host : str
        Host that the caller named, without a port.
    deadline : float
        Time until which the caller waits, in seconds.
    """

    request: Request
    id: bytes
    host: str
    deadline: float

    @property
    def name(self) -> str:
        """Id for the logs."""
        return self.id.decode("latin-1")


class Verdict(Enum):
    """What a replica's response means for the request."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    UNUSABLE = "unusable"


NEVER_RAN = (Verdict.NOT_RUN, Verdict.MISDIRECTED)
