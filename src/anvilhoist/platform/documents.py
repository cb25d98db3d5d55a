"""Decode what operators and replicas write to the store."""

from __future__ import annotations

import base64
import binascii
from typing import Annotated, Literal

import msgspec
import structlog
from msgspec import Meta, Struct

from ..http.server import ConnectionLimits
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
LARGEST = 1e15  # of any number, which keeps out what is not finite


Finite = Annotated[float, Meta(ge=-LARGEST, le=LARGEST)]
NotNegative = Annotated[float, Meta(ge=0, le=LARGEST)]
Positive = Annotated[float, Meta(gt=0, le=LARGEST)]


class _Wire(Struct, rename="kebab", frozen=True):
    pass


class _Weighted(_Wire):
    backend: str
    weight: NotNegative


class _Route(_Wire):
    name: str
    hostname: str
    path_prefix: str
    timeout_ms: Positive
    # Says what may be repeated, not what kind of route it is.
    route_type: str = "non_idempotent"
    target_latency_ms: float | None = None
    max_attempts: Annotated[int, Meta(ge=1)] = 1
    priority: int = 0
    backend: str | None = None
    traffic_split: list[_Weighted] | None = None
    gather: list[str] | None = None
    top_k: int = 0
    min_shard_ratio: float = 1.0
    allowed_regions: list[str] | None = None


class _Service(_Wire):
    name: str
    max_connections: int = 1024
    warmup_per_s: float = 0.0


class _Limits(_Wire):
    max_header_bytes: Annotated[int, Meta(gt=0)] = 16384
    max_body_bytes: Annotated[int, Meta(ge=0)] = 262144
    header_timeout_ms: Positive = 3000
    idle_timeout_ms: Positive = 15000


class _Configuration(_Wire):
    version: Annotated[int, Meta(ge=0)]
    routes: list[_Route]
    backends: list[_Service] = []
    limits: _Limits = _Limits()


class _Replica(_Wire):
    backend: Annotated[str, Meta(min_length=1)]
    address: Annotated[str, Meta(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")]
    zone: str
    slots: Annotated[int, Meta(ge=1)]
    state: Literal["ready", "draining"]
    # How much longer the replica stays cold; it isn't a time since its start.
    warmup_left_ms: Finite = 0.0
    sequence: int = 0
    # Wall-clock ms of this start: the incarnation of an instance id.
    born: Annotated[int, Meta(ge=0)] = 0


def decode_item(key: str, value: str) -> Change | None:
    """Decode one item of the store.

    Parameters
    ----------
    key : str
        Key of the item.
    value : str
        Its value in base64.

    Returns
    -------
    Change or None
        None for keys that mean nothing here, and for a configuration that is
        not valid: the last one stays in force.
    """
    if key.startswith(names.REPLICA_KEYS):
        return _decode_replica(key.removeprefix(names.REPLICA_KEYS), value)
    if key.startswith(names.DATA_CENTRE_OUT_KEYS):
        return DataCentreChanged(key.removeprefix(names.DATA_CENTRE_OUT_KEYS), True)
    if key == names.CONFIGURATION_KEY:
        return _decode_configuration(value)
    return None


def decode_removal(key: str) -> Change | None:
    """Decode the removal of one item of the store."""
    if key.startswith(names.REPLICA_KEYS):
        return ReplicaRemoved(key.removeprefix(names.REPLICA_KEYS))
    if key.startswith(names.DATA_CENTRE_OUT_KEYS):
        return DataCentreChanged(key.removeprefix(names.DATA_CENTRE_OUT_KEYS), False)
    return None


def _decode_replica(instance: str, value: str) -> Change:
    try:
        text = base64.b64decode(value, validate=True)
        found = msgspec.json.decode(text, type=_Replica)
    except (msgspec.DecodeError, binascii.Error, ValueError) as error:
        structlog.get_logger().info(
            "entry_ignored", replica=instance, problem=str(error)
        )
        return ReplicaRemoved(instance)
    return ReplicaChanged(
        ReplicaEntry(
            instance=instance,
            service=found.backend,
            address=found.address,
            data_centre=found.zone,
            slots=found.slots,
            draining=found.state == "draining",
            born_ms=found.born,
            cold_s=max(0.0, found.warmup_left_ms) / MS_PER_S,
            sequence=found.sequence,
        )
    )


def _decode_configuration(value: str) -> Change | None:
    try:
        found = parse_configuration(base64.b64decode(value, validate=True))
    except (msgspec.DecodeError, binascii.Error, ValueError) as error:
        structlog.get_logger().error(
            "configuration_refused", problem=str(error), kept="the last one"
        )
        return None
    return ConfigurationChanged(found)


def parse_configuration(text: bytes) -> Configuration:
    """Read a configuration as operators publish it.

    Raises
    ------
    msgspec.DecodeError
        If it is not valid.
    """
    found = msgspec.json.decode(text, type=_Configuration)
    return Configuration(
        version=found.version,
        routes=tuple(_translate_route(route) for route in found.routes),
        services={
            service.name: Service(
                service.name, service.max_connections, service.warmup_per_s
            )
            for service in found.backends
        },
        limits=ConnectionLimits(
            found.limits.max_header_bytes,
            found.limits.max_body_bytes,
            found.limits.header_timeout_ms / MS_PER_S,
            found.limits.idle_timeout_ms / MS_PER_S,
        ),
    )


def _translate_route(found: _Route) -> Route:
    gather = None
    if found.gather:
        gather = Gather(tuple(found.gather), found.top_k, found.min_shard_ratio)
    services = tuple((part.backend, part.weight) for part in found.traffic_split or ())
    if not services and found.backend is not None:
        services = ((found.backend, 1.0),)
    timeout_s = found.timeout_ms / MS_PER_S
    target_ms = found.target_latency_ms
    return Route(
        name=found.name,
        host=found.hostname,
        prefix=found.path_prefix,
        repeatable=found.route_type == "idempotent",
        timeout_s=timeout_s,
        target_s=target_ms / MS_PER_S if target_ms else timeout_s,
        attempts=found.max_attempts,
        priority=found.priority,
        services=services,
        gather=gather,
        regions=tuple(found.allowed_regions or ()),
    )
