"""Message bodies of the JSON interface, and between VMs about tickets."""

from __future__ import annotations

import uuid
from dataclasses import dataclass
from typing import Annotated

from msgspec import Meta, Struct

DEADLINE_MAX_MS = 30_000
DEADLINE_DEFAULT_MS = 2_000

RequestId = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^[\w.:-]+$")]
Text = Annotated[str, Meta(max_length=100_000)]
DeadlineMs = Annotated[int, Meta(ge=1, le=DEADLINE_MAX_MS)]


def new_request_id() -> str:
    """Return a random id, for a request whose caller gave none."""
    return uuid.uuid4().hex


class SearchCall(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a search.

    Attributes
    ----------
    service : str
        Name of the route to search.
    query : str
        Text to search for, appended to the route's path prefix.
    request_id : str or None
        Id used in the answer and in log lines; a random one if None.
    deadline_ms : int or None
        Time for which the caller waits, in milliseconds; `DEADLINE_DEFAULT_MS` if
        None.
    """

    service: str
    query: Text
    request_id: RequestId | None = None
    deadline_ms: DeadlineMs | None = None


class TicketCall(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request for a ticket."""

    service: str
    request_id: RequestId | None = None


class BookingCall(Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a booking; VMs pass it unchanged to the issuer of its ticket."""

    service: str
    ticket: str
    payload: Text
    request_id: RequestId | None = None
    deadline_ms: DeadlineMs | None = None


class IssuerAnswer(Struct, frozen=True):
    """Answer of a ticket's issuer to another VM.

    Attributes
    ----------
    value : str or None
        Confirmation of the upstream, or None after a failure.
    kind, detail : str
        Kind and detail of the failure, if there is no confirmation.
    """

    value: str | None = None
    kind: str = ""
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Addresses:
    """Addresses that a caller may use, for `keep_s` seconds."""

    addresses: tuple[str, ...]
    keep_s: float


@dataclass(frozen=True, slots=True)
class SearchAnswer:
    """Answer to a search.

    Attributes
    ----------
    request_id : str
        Id of the search.
    index : str
        Name of the service that was searched.
    version : int
        Version of the configuration whose shards were queried; the same for every
        part of the answer.
    shards : int
        Number of shards in that configuration.
    missing : tuple of str
        Services of the shards that are not covered.
    hits : tuple of str
        Records in hexadecimal, in descending order.
    """

    request_id: str
    index: str
    version: int
    shards: int
    missing: tuple[str, ...]
    hits: tuple[str, ...]

    @property
    def covered(self) -> int:
        """Number of shards that are covered."""
        return self.shards - len(self.missing)
