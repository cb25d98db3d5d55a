"""Messages between VMs, in CBOR."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from enum import Enum
from functools import cache

import cbor2
import structlog
from pydantic import ConfigDict, TypeAdapter, ValidationError

from ..errors import Failure, Kind
from ..settings import describe
from ..world.model import Published


class State(Enum):
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
    state : State
        Whether callers should be sent to it.
    revision : int
        Revision of the store that its view is at.
    heard : tuple of str
        IP numbers of the VMs that it hears.
    """

    __pydantic_config__ = ConfigDict(extra="ignore")

    vm: str
    incarnation: int
    beat: int
    host: str
    callers_address: str
    peers_address: str
    data_centre: str
    region: str
    state: State
    revision: int
    heard: tuple[str, ...]


@cache
def _adapter(model: type) -> TypeAdapter:
    return TypeAdapter(model)


def encode_heartbeat(heartbeat: Heartbeat) -> bytes:
    """Bytes of a heartbeat, for one datagram."""
    fields = asdict(heartbeat)
    fields["state"] = heartbeat.state.value
    return cbor2.dumps(fields)


def decode_heartbeat(data: bytes) -> Heartbeat | Failure:
    """Read a heartbeat; bytes that are none give a failure."""
    try:
        return _adapter(Heartbeat).validate_python(cbor2.loads(data))
    except ValidationError as error:
        return Failure(Kind.BAD_REQUEST, "; ".join(describe(error)[:2]))
    except (cbor2.CBORError, ValueError, TypeError, RecursionError) as error:
        return Failure(Kind.BAD_REQUEST, f"not CBOR: {error}")


def encode_published(published: Published) -> bytes:
    """Bytes of all that a VM has read from the store."""
    return cbor2.dumps(_adapter(Published).dump_python(published, mode="json"))


def decode_published(data: bytes) -> Published | None:
    """Read what another VM has read; None, and a line in the log, if it is not that."""
    try:
        return _adapter(Published).validate_python(cbor2.loads(data))
    except (ValidationError, cbor2.CBORError, ValueError, TypeError) as error:
        structlog.get_logger().warning("peer_answer_refused", problem=str(error)[:200])
        return None
