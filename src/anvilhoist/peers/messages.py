"""Messages between VMs, in CBOR."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import Enum
from typing import Annotated

import cbor2
import msgspec
import structlog
from msgspec import Meta

from ..errors import ErrorKind, Failure
from ..world.model import (
    Change,
    Configuration,
    ConfigurationChanged,
    DataCentreChanged,
    ReplicaChanged,
    ReplicaEntry,
    ReplicaRemoved,
)

AGE_UNIT_S = 0.01  # s, of the ages in a heartbeat

IpNumber = Annotated[int, Meta(ge=0, lt=1 << 32)]
Age = Annotated[int, Meta(ge=0)]


class VmState(Enum):
    """What a VM says of its own service."""

    STARTING = "starting"
    READY = "ready"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """What a VM tells the others at each beat.

    Attributes
    ----------
    vm : str
        Name of the sender.
    incarnation : int
        Rises with each start of the sender's process, in ms of wall-clock time.
    beat : int
        Rises with each beat of one incarnation.
    host : str
        IP number of the sender.
    callers_address, peers_address : str
        Where callers and other VMs connect to it.
    data_centre, region : str
        Where it stands.
    state : VmState
        Whether callers should be sent to it.
    revision : int
        Revision of the store that its view is at.
    heard : dict of int
        Ages in `AGE_UNIT_S` of the last signs of life of VMs that it hears, by IP
        number as an integer.
    asks : bool
        Whether the receiver should answer with a heartbeat of its own.
    """

    vm: str
    incarnation: int
    beat: int
    host: str
    callers_address: str
    peers_address: str
    data_centre: str
    region: str
    state: VmState
    revision: int
    heard: dict[IpNumber, Age]
    asks: bool = False


class ChangeMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """One change; exactly one of the fields is set, `out` besides `data_centre`.

    Attributes
    ----------
    configuration : Configuration or None
        A configuration that was published.
    entry : ReplicaEntry or None
        A replica's entry that was written.
    gone : str or None
        Instance whose entry is gone.
    data_centre : str or None
        Data centre that was taken out, or back in.
    out : bool
        Whether it was taken out.
    """

    configuration: Configuration | None = None
    entry: ReplicaEntry | None = None
    gone: str | None = None
    data_centre: str | None = None
    out: bool = False


class ViewMessage(msgspec.Struct, frozen=True):
    """What a VM has read from the store: everything, or what changed.

    Attributes
    ----------
    revision : int
        Revision that the sender's view is at.
    changes : tuple of ChangeMessage
        In the order in which they were made.
    age_s : float
        Time since the sender's view was known to be the store's, in seconds.
    doubt_s : float
        How much longer entries may be missing that will return, in seconds.
    """

    revision: int
    changes: tuple[ChangeMessage, ...]
    age_s: float
    doubt_s: float = 0.0


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Bytes of a heartbeat, for one datagram."""
    fields = asdict(heartbeat)
    fields["state"] = heartbeat.state.value
    return cbor2.dumps(fields)


def decode_heartbeat(data: bytes) -> Heartbeat | Failure:
    """Read a heartbeat; bytes that are none give a failure."""
    try:
        return msgspec.convert(cbor2.loads(data), Heartbeat)
    except msgspec.ValidationError as error:
        return Failure(ErrorKind.BAD_REQUEST, str(error))
    except (cbor2.CBORError, ValueError, TypeError, RecursionError) as error:
        return Failure(ErrorKind.BAD_REQUEST, f"not CBOR: {error}")


def encode_view(message: ViewMessage) -> bytes:
    """Bytes of what a VM has read from the store."""
    return cbor2.dumps(msgspec.to_builtins(message))


def decode_view(data: bytes) -> ViewMessage | None:
    """Read what another VM has read; None, and a line in the log, if it is not that."""
    try:
        return msgspec.convert(cbor2.loads(data), ViewMessage)
    except (msgspec.ValidationError, cbor2.CBORError, ValueError, TypeError) as error:
        structlog.get_logger().warning("peer_answer_refused", problem=str(error)[:200])
        return None


def pack_change(change: Change) -> ChangeMessage:
    """Put a change into a message."""
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
    """Take a change out of a message; None if it holds none."""
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
    """Changes of a message, in their order; what is not known here is left out."""
    found = (unpack_change(change) for change in message.changes)
    return [change for change in found if change is not None]
