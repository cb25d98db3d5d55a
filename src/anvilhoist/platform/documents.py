"""Decode what operators and replicas write to the store."""

from __future__ import annotations

import base64
import binascii
import re
from typing import Annotated, Literal

import msgspec
import structlog
from msgspec import Meta, Struct

from ..http.limits import ConnectionLimits
from ..validation import (
    Address,
    Finite,
    NonNegative,
    NonNegativeWhole,
    Positive,
    PositiveWhole,
    Share,
    WholeNumber,
)
from ..world.model import (
    Change,
    Configuration,
    ConfigurationChanged,
    DataCentreChanged,
    Gather,
    ReplicaChanged,
    ReplicaEntry,
    ReplicaRemoved,
    Route,
    Service,
)
from . import names

MS_PER_S = 1000.0
MAX_RECORDS = 1_000_000  # bound of the records in the answer of a gather query
MAX_SLOTS = 1_000_000  # bound of the requests that a replica runs at once

# Names that come from keys go into headers and messages as they are.
_NAME = re.compile(r"[^\x00-\x1f\x7f\ud800-\udfff]+")

# What decoding of a value that another writer left may raise.
UNREADABLE_ERRORS = (
    msgspec.DecodeError,
    binascii.Error,
    ValueError,
    TypeError,
    RecursionError,
)


class _WireStruct(Struct, rename="kebab", frozen=True):
    """Base of the store's documents; their keys are the field names in kebab case."""


class _WeightedBackend(_WireStruct):
    backend: str
    weight: NonNegative


class _Route(_WireStruct):
    name: str
    hostname: str
    path_prefix: str
    timeout_ms: Positive
    # Despite its name, it says only whether a request may run more than once.
    route_type: str = "non_idempotent"
    target_latency_ms: NonNegative | None = None
    max_attempts: PositiveWhole = 1
    priority: WholeNumber = 0
    backend: str | None = None
    traffic_split: list[_WeightedBackend] | None = None
    gather: list[str] | None = None
    top_k: Annotated[int, Meta(ge=0, le=MAX_RECORDS)] = 0
    min_shard_ratio: Share = 1.0
    allowed_regions: list[str] | None = None


class _Service(_WireStruct):
    name: str
    max_connections: WholeNumber = 1024
    warmup_per_s: NonNegative = 0.0


class _Limits(_WireStruct):
    max_header_bytes: PositiveWhole = 16384
    max_body_bytes: NonNegativeWhole = 262144
    header_timeout_ms: Positive = 3000
    idle_timeout_ms: Positive = 15000


class _Configuration(_WireStruct):
    version: NonNegativeWhole
    routes: list[_Route]
    backends: list[_Service] = []
    limits: _Limits = _Limits()


class _Replica(_WireStruct):
    """A replica's entry. No field has a default: another writer may leave one out."""

    backend: Annotated[str, Meta(min_length=1)]
    address: Address
    zone: str
    version: str
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    # Time for which the replica is still cold, not the time since its start.
    warmup_left_ms: Finite
    sequence: WholeNumber
    # Wall-clock time of this start in ms; tells incarnations of an instance id apart.
    born: NonNegativeWhole


def decode_item(key: str, value: object) -> Change | None:
    """Decode an item of the store.

    Parameters
    ----------
    key : str
        Key of the item.
    value : object
        Value of the item, which should be text in base64.

    Returns
    -------
    Change or None
        A replica's entry that is not valid counts as removed. None for a
        configuration that is not valid, so that the last valid one stays in force,
        and for keys that the tier does not use.
    """
    instance = _read_name(key, names.REPLICA_KEY_PREFIX)
    if instance is not None:
        return _decode_replica(instance, value)
    data_centre = _read_name(key, names.DATA_CENTRE_OUT_KEY_PREFIX)
    if data_centre is not None:
        return DataCentreChanged(data_centre, True)
    if key == names.CONFIGURATION_KEY:
        return _decode_configuration(value)
    return None


def decode_removal(key: str) -> Change | None:
    """Decode the removal of an item of the store.

    Return None for any other key than a replica's or a data centre's: a configuration
    that is removed stays in force.
    """
    instance = _read_name(key, names.REPLICA_KEY_PREFIX)
    if instance is not None:
        return ReplicaRemoved(instance)
    data_centre = _read_name(key, names.DATA_CENTRE_OUT_KEY_PREFIX)
    if data_centre is not None:
        return DataCentreChanged(data_centre, False)
    return None


def _read_name(key: str, prefix: str) -> str | None:
    """Return the name after the prefix of a key, or None if it has none to use."""
    if not key.startswith(prefix):
        return None
    name = key.removeprefix(prefix)
    if _NAME.fullmatch(name):
        return name
    structlog.get_logger().warning("item_ignored", problem=f"key {key!r}"[:80])
    return None


def _decode_replica(instance: str, value: object) -> Change:
    try:
        document = base64.b64decode(value, validate=True)
        replica = msgspec.json.decode(document, type=_Replica)
    except UNREADABLE_ERRORS as error:
        structlog.get_logger().info(
            "entry_ignored", replica=instance, problem=str(error)
        )
        return ReplicaRemoved(instance)
    return ReplicaChanged(
        ReplicaEntry(
            instance=instance,
            service=replica.backend,
            address=replica.address,
            data_centre=replica.zone,
            slots=replica.slots,
            draining=replica.state == "draining",
            born_ms=replica.born,
            cold_s=max(0.0, replica.warmup_left_ms) / MS_PER_S,
            sequence=replica.sequence,
        )
    )


def _decode_configuration(value: object) -> Change | None:
    try:
        configuration = parse_configuration(base64.b64decode(value, validate=True))
    except UNREADABLE_ERRORS as error:
        structlog.get_logger().error(
            "configuration_refused", problem=str(error), kept="last valid"
        )
        return None
    return ConfigurationChanged(configuration)


def parse_configuration(document: bytes) -> Configuration:
    """Parse a configuration as operators publish it.

    Parameters
    ----------
    document : bytes
        Configuration in JSON.

    Raises
    ------
    msgspec.DecodeError
        If it is not valid.
    """
    decoded = msgspec.json.decode(document, type=_Configuration)
    return Configuration(
        version=decoded.version,
        routes=tuple(_translate_route(route) for route in decoded.routes),
        services={
            service.name: Service(
                service.name, service.max_connections, service.warmup_per_s
            )
            for service in decoded.backends
        },
        limits=ConnectionLimits(
            decoded.limits.max_header_bytes,
            decoded.limits.max_body_bytes,
            decoded.limits.header_timeout_ms / MS_PER_S,
            decoded.limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def _translate_route(route: _Route) -> Route:
    gather = None
    if route.gather:
        gather = Gather(tuple(route.gather), route.top_k, route.min_shard_ratio)
    services = tuple(
        (split.backend, split.weight) for split in route.traffic_split or ()
    )
    if not services and route.backend is not None:
        services = ((route.backend, 1.0),)
    timeout_s = route.timeout_ms / MS_PER_S
    target_ms = route.target_latency_ms
    return Route(
        name=route.name,
        host=route.hostname,
        prefix=route.path_prefix,
        repeatable=route.route_type == "idempotent",
        timeout_s=timeout_s,
        target_s=target_ms / MS_PER_S if target_ms else timeout_s,
        attempts=route.max_attempts,
        priority=route.priority,
        services=services,
        gather=gather,
        regions=tuple(route.allowed_regions or ()),
    )
