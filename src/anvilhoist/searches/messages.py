"""Typed messages between processes of the tier, and their CBOR form.

A message travels as a CBOR array: its tag, then its fields in order. Fields
that hold messages themselves travel as arrays of fields without a tag.
"""

from __future__ import annotations

from dataclasses import dataclass, fields
from operator import attrgetter
from typing import Any

import cbor2

from ..errors import Kind


@dataclass(frozen=True, slots=True)
class Published:
    """A document as the platform published it."""

    key: str
    revision: int
    text: str


@dataclass(frozen=True, slots=True)
class Handed:
    """A replica that changes its owner, with nothing at work on it.

    Attributes
    ----------
    incarnation : str
        The upstream's run as the old owner knew it.
    ramp_age_s : float
        Time for which that run has answered without a fault, in seconds;
        negative if it has not.
    """

    replica: str
    incarnation: str
    ramp_age_s: float


@dataclass(frozen=True, slots=True)
class Sync:
    """Asks a peer for newer documents and tells it the sender's revisions.

    Attributes
    ----------
    vm : str
        Slot of the sender.
    role : str
        Binary of the sender: "entry" or "dispatch".
    incarnation : int
        Grows with each start of a process at the slot.
    revisions : tuple of int
        Revision held of each document, in the order of ``documents.KEYS``.
    """

    vm: str
    role: str
    incarnation: int
    revisions: tuple[int, ...]
    draining: bool


@dataclass(frozen=True, slots=True)
class SyncReply:
    """Answer to `Sync`.

    Attributes
    ----------
    revisions : tuple of int
        Revisions that the answering process holds, the sent documents included.
    platform_age_s : float
        Seconds since the platform last confirmed these, negative if never.
    documents : tuple of Published
        Documents newer than the asker's.
    joined : bool
        Whether the answering process has heard enough of its cell to confirm.
    current : bool
        Whether the answering process may act on its view.
    handed : tuple of Handed
        Replicas that the answering process held until now and gives to the asker.
    superseded : bool
        Whether a newer incarnation at the asker's slot is known.
    draining_entries : tuple of str
        VMs whose entry process is shutting down.
    """

    vm: str
    incarnation: int
    revisions: tuple[int, ...]
    platform_age_s: float
    documents: tuple[Published, ...]
    joined: bool
    current: bool
    handed: tuple[Handed, ...]
    superseded: bool
    draining_entries: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class SubRequest:
    """One shard asked of one replica."""

    number: int
    shard: str
    replica: str
    budget_s: float


@dataclass(frozen=True, slots=True)
class SubBatch:
    """Sub-requests of one query for replicas of one dispatch process."""

    request_id: str
    profile: str
    index: str
    version: int
    query: str
    items: tuple[SubRequest, ...]


@dataclass(frozen=True, slots=True)
class Hit:
    """One record found in a shard."""

    key: str
    score: float
    text: str


@dataclass(frozen=True, slots=True)
class SubReply:
    """Outcome of one sub-request.

    Attributes
    ----------
    kind : str
        Empty for a part, otherwise the name of the error kind.
    shard, version
        As the upstream stated them in its own answer.
    load : int
        Sub-requests at work and waiting at the replica.
    limit : int
        Most sub-requests that the dispatch process puts to work there now.
    service_s : float
        Time from grant to answer, in seconds; 0 if none was sent.
    """

    number: int
    kind: str
    detail: str
    shard: str
    version: int
    hits: tuple[Hit, ...]
    load: int
    limit: int
    service_s: float

    @property
    def error(self) -> Kind | None:
        """Kind of error, or None for a part."""
        return Kind(self.kind) if self.kind else None


@dataclass(frozen=True, slots=True)
class SubReplies:
    """Outcomes that were ready together."""

    items: tuple[SubReply, ...]


@dataclass(frozen=True, slots=True)
class Cancel:
    """Sub-requests whose answer is no longer wanted."""

    numbers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class TicketAsk:
    """Asks for a single-use ticket for one booking."""

    request_id: str
    profile: str


@dataclass(frozen=True, slots=True)
class Book:
    """Runs the booking of a ticket, or tells its outcome if it was spent."""

    request_id: str
    profile: str
    ticket: str
    payload: str
    budget_s: float


@dataclass(frozen=True, slots=True)
class OutcomeAsk:
    """Asks for the outcome of a ticket without running anything."""

    request_id: str
    ticket: str


@dataclass(frozen=True, slots=True)
class BookingReply:
    """Ticket, outcome or error of a booking.

    Attributes
    ----------
    kind : str
        Empty where `value` holds, otherwise the name of the error kind.
    value : str
        The ticket, or the upstream's confirmation.
    """

    kind: str
    detail: str
    value: str


@dataclass(frozen=True, slots=True)
class Frame:
    """A message with the identity of the exchange that it belongs to.

    Attributes
    ----------
    incarnation : int
        Incarnation of the process that began the exchange.
    number : int
        Number of the exchange within that incarnation.
    """

    incarnation: int
    number: int
    body: Message


Message = (
    Sync
    | SyncReply
    | SubBatch
    | SubReplies
    | Cancel
    | TicketAsk
    | Book
    | OutcomeAsk
    | BookingReply
)

_TAGS: dict[int, type] = {
    1: Sync,
    2: SyncReply,
    3: SubBatch,
    4: SubReplies,
    5: Cancel,
    6: TicketAsk,
    7: Book,
    8: OutcomeAsk,
    9: BookingReply,
}
_TAG_OF = {cls: tag for tag, cls in _TAGS.items()}
_NESTED: dict[type, dict[str, type]] = {
    SyncReply: {"documents": Published, "handed": Handed},
    SubBatch: {"items": SubRequest},
    SubReplies: {"items": SubReply},
    SubReply: {"hits": Hit},
}
_CLASSES = (*_TAGS.values(), Published, Handed, SubRequest, SubReply, Hit)
_NAMES = {cls: tuple(item.name for item in fields(cls)) for cls in _CLASSES}
_READ = {cls: attrgetter(*names) for cls, names in _NAMES.items() if len(names) > 1}


class DecodeError(Exception):
    """A frame that is not a known message."""


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as CBOR."""
    body = frame.body
    content = _to_list(body)
    return cbor2.dumps([frame.incarnation, frame.number, _TAG_OF[type(body)], content])


def decode_frame(data: bytes) -> Frame:
    """Decode a frame.

    Raises
    ------
    DecodeError
        If the bytes are no frame of ours.
    """
    try:
        incarnation, number, tag, content = cbor2.loads(data)
        return Frame(incarnation, number, _from_list(_TAGS[tag], content))
    except (cbor2.CBORDecodeError, TypeError, ValueError, KeyError) as error:
        raise DecodeError(f"not a message: {error}") from None


def _to_list(message: Any) -> list[Any]:
    cls = type(message)
    read = _READ.get(cls)
    if read is None:
        values = [getattr(message, name) for name in _NAMES[cls]]
    else:
        values = list(read(message))
    nested = _NESTED.get(cls)
    if nested is None:
        return values
    for position, name in enumerate(_NAMES[cls]):
        if name in nested:
            values[position] = [_to_list(item) for item in values[position]]
    return values


def _from_list(cls: type, content: list[Any]) -> Any:
    names = _NAMES[cls]
    if len(content) != len(names):
        raise ValueError(f"{cls.__name__} has {len(names)} fields")
    nested = _NESTED.get(cls, {})
    values = [
        _read_field(nested.get(name), value)
        for name, value in zip(names, content, strict=True)
    ]
    return cls(*values)


def _read_field(item_class: type | None, value: Any) -> Any:
    if item_class is not None:
        return tuple(_from_list(item_class, item) for item in value)
    return tuple(value) if isinstance(value, list) else value
