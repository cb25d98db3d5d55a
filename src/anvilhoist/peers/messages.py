"""Messages between VMs, in CBOR."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import cbor2
import msgspec
import structlog
from msgspec import Meta

from ..errors import ErrorKind, Failure
from ..upstreams.suspects import MAX_KEY
from ..validation import Address, Ipv4Text, NonNegative
from ..world.era import MAX_ERA, MAX_STORE_REVISION, join_revision
from ..world.model import (
    Change,
    Configuration,
    ConfigurationChanged,
    DataCentreChanged,
    ReplicaChanged,
    ReplicaEntry,
    ReplicaRemoved,
)

AGE_UNIT_S = 0.01  # unit of the ages in a heartbeat
MAX_REPORTED_ENDS = 10**6  # bound of a count of replicas
MAX_AGE_UNITS = 10**10  # three years; bound of an age

Ipv4Integer = Annotated[int, Meta(ge=0, lt=1 << 32)]
AgeUnits = Annotated[int, Meta(ge=0, le=MAX_AGE_UNITS)]
Era = Annotated[int, Meta(ge=0, le=MAX_ERA)]
StoreRevision = Annotated[int, Meta(ge=0, le=MAX_STORE_REVISION)]


class VmState(Enum):
    """State of a VM, as it tells others."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """Rate limit of one replica, as a VM knows it; sent without the fields' names.

    Attributes
    ----------
    instance, born_ms : str, int
        Id of the replica, and the time of its start as its entry names it.
    limit : float or None
        Requests per second that it accepts from all VMs together; None if it names no
        limit any more.
    age : int
        Time since it answered this, in units of `AGE_UNIT_S`.
    """

    instance: str
    born_ms: int
    limit: NonNegative | None
    age: AgeUnits


class SuspectReport(msgspec.Struct, frozen=True, array_like=True):
    """Request under which replicas ended, as a VM knows it.

    Attributes
    ----------
    key : int
        Digest of the request.
    ends, rounds : int
        Replicas that ended, and rounds of sends in which they did.
    age : int
        Time since the last of them ended, in units of `AGE_UNIT_S`.
    """

    key: Annotated[int, Meta(ge=0, le=MAX_KEY)]
    ends: Annotated[int, Meta(ge=0, le=MAX_REPORTED_ENDS)]
    rounds: Annotated[int, Meta(ge=0, le=MAX_REPORTED_ENDS)]
    age: AgeUnits


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a VM regularly tells other VMs about itself and those that it hears.

    Attributes
    ----------
    vm : str
        Name of the sender.
    incarnation : int
        Wall-clock time of the start of the sender's process, in ms; rises with each
        start unless the clock is set back.
    beat : int
        Increases with each heartbeat of one incarnation.
    host : str
        IP address of the sender.
    callers_address, peers_address : str
        IP address and port at which callers and other VMs connect to it.
    data_centre, region : str
        Location of the sender.
    state : VmState
        State of the sender; callers are sent to it only while it is ready.
    revision : int
        Store revision that the sender's view is at, within its era.
    heard : dict of int
        How long ago live VMs were heard, in units of `AGE_UNIT_S`, by IP address as
        an integer.
    asks : bool
        Whether the receiver should answer with a heartbeat of its own.
    limits : tuple of LimitReport
        Rate limits that replicas name; not all of them if there are many.
    suspects : tuple of SuspectReport
        Requests under which replicas ended lately; the newest if there are many.
    era : int
        Era of the store that the sender's view is at.
    """

    vm: str
    incarnation: int
    beat: int
    host: Ipv4Text
    callers_address: Address
    peers_address: Address
    data_centre: str
    region: str
    state: VmState
    revision: StoreRevision
    heard: dict[Ipv4Integer, AgeUnits]
    asks: bool = False
    limits: tuple[LimitReport, ...] = ()
    suspects: tuple[SuspectReport, ...] = ()
    era: Era = 0

    @property
    def view_revision(self) -> int:
        """Revision of the sender's view, comparable across eras."""
        return join_revision(self.era, self.revision)


class ChangeMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """One change; exactly one field is set, and `out` only with `data_centre`.

    Attributes
    ----------
    configuration : Configuration or None
        A configuration that was published.
    entry : ReplicaEntry or None
        A replica's entry that was written.
    gone : str or None
        Instance whose entry was removed.
    data_centre : str or None
        Data centre that was taken out of service, or brought back.
    out : bool
        Whether it was taken out of service.
    """

    configuration: Configuration | None = None
    entry: ReplicaEntry | None = None
    gone: str | None = None
    data_centre: str | None = None
    out: bool = False


class ViewMessage(msgspec.Struct, frozen=True):
    """What a VM has read from the store: everything, or the changes since a revision.

    Attributes
    ----------
    revision : int
        Store revision that the sender's view is at, within its era.
    changes : tuple of ChangeMessage
        Changes in the order in which they were made.
    age_s : float
        Time since the sender's view was known to match the store, in seconds.
    doubt_s : float
        Remaining time for which the sender keeps replicas without an entry, in
        seconds.
    confirmed : int
        Revision of that era up to which the sender knows that removed entries did not
        lapse in an outage.
    era : int
        Era of the store that the sender's view is at.
    """

    revision: StoreRevision
    changes: tuple[ChangeMessage, ...]
    age_s: NonNegative
    doubt_s: NonNegative = 0.0
    confirmed: StoreRevision = 0
    era: Era = 0

    @property
    def view_revision(self) -> int:
        """Revision of the sender's view, comparable across eras."""
        return join_revision(self.era, self.revision)

    @property
    def confirmed_revision(self) -> int:
        """Revision up to which removals are confirmed, or 0; comparable across eras."""
        return join_revision(self.era, self.confirmed) if self.confirmed else 0


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat for one datagram."""
    return cbor2.dumps(msgspec.to_builtins(heartbeat))


def decode_heartbeat(data: bytes) -> Heartbeat | Failure:
    """Decode a heartbeat, or return a failure that says why it is not one."""
    try:
        return msgspec.convert(cbor2.loads(data), Heartbeat)
    except msgspec.ValidationError as error:
        return Failure(ErrorKind.BAD_REQUEST, str(error))
    except (cbor2.CBORError, ValueError, TypeError, RecursionError) as error:
        return Failure(ErrorKind.BAD_REQUEST, f"not CBOR: {error}")


def encode_view(message: ViewMessage) -> bytes:
    """Encode what this VM has read from the store."""
    return cbor2.dumps(msgspec.to_builtins(message))


def decode_view(data: bytes) -> ViewMessage | None:
    """Decode what another VM has read; log bytes that are not valid and return None."""
    try:
        return msgspec.convert(cbor2.loads(data), ViewMessage)
    except (
        msgspec.ValidationError,
        cbor2.CBORError,
        ValueError,
        TypeError,
        RecursionError,
    ) as error:
        structlog.get_logger().warning("peer_answer_refused", problem=str(error)[:200])
        return None


def pack_change(change: Change) -> ChangeMessage:
    """Convert a change to a message."""
    match change:
        case ConfigurationChanged(configuration):
            return ChangeMessage(configuration=configuration)
        case ReplicaChanged(entry):
            return ChangeMessage(entry=entry)
        case ReplicaRemoved(instance):
            return ChangeMessage(gone=instance)
        case DataCentreChanged(data_centre, out):
            return ChangeMessage(data_centre=data_centre, out=out)


def unpack_change(message: ChangeMessage) -> Change | None:
    """Convert a message to a change, or return None if it holds none."""
    if message.configuration is not None:
        return ConfigurationChanged(message.configuration)
    if message.entry is not None:
        return ReplicaChanged(message.entry)
    if message.gone is not None:
        return ReplicaRemoved(message.gone)
    if message.data_centre is not None:
        return DataCentreChanged(message.data_centre, message.out)
    return None


def unpack_changes(message: ViewMessage) -> list[Change]:
    """Return the changes of a message in order, without those of unknown kinds."""
    found = (unpack_change(change) for change in message.changes)
    return [change for change in found if change is not None]
