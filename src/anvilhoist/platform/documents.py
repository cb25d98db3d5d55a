"""Decode what operators and replicas write to the store."""

from __future__ import annotations

import base64
import binascii
from functools import cache
from typing import Annotated, Literal

import structlog
from pydantic import BaseModel, ConfigDict, Field, TypeAdapter, ValidationError

from ..http.server import ConnectionLimits
from ..settings import describe
from ..world.model import (
    Change,
    Configuration,
    ConfigurationChanged,
    DataCentreOut,
    Gather,
    ReplicaChanged,
    ReplicaEntry,
    ReplicaGone,
    Route,
    Service,
)
from . import names

MS_PER_S = 1000.0


def _hyphens(name: str) -> str:
    return name.replace("_", "-")


class _Wire(BaseModel):
    model_config = ConfigDict(
        alias_generator=_hyphens, strict=True, extra="ignore", frozen=True
    )


class _Weighted(_Wire):
    backend: str
    weight: Annotated[float, Field(ge=0, allow_inf_nan=False)]


class _Route(_Wire):
    name: str
    hostname: str
    path_prefix: str
    # Says what may be repeated, not what kind of route it is.
    route_type: str = "non_idempotent"
    timeout_ms: Annotated[float, Field(gt=0, allow_inf_nan=False)]
    target_latency_ms: float | None = None
    max_attempts: Annotated[int, Field(ge=1)] = 1
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
    max_header_bytes: Annotated[int, Field(gt=0)] = 16384
    max_body_bytes: Annotated[int, Field(ge=0)] = 262144
    header_timeout_ms: Annotated[float, Field(gt=0)] = 3000
    idle_timeout_ms: Annotated[float, Field(gt=0)] = 15000


class _Configuration(_Wire):
    version: Annotated[int, Field(ge=0)]
    routes: list[_Route]
    backends: list[_Service] = []
    limits: _Limits = _Limits()


class _Replica(_Wire):
    backend: Annotated[str, Field(min_length=1)]
    address: Annotated[str, Field(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")]
    zone: str
    slots: Annotated[int, Field(ge=1)]
    state: Literal["ready", "draining"]
    # How much longer the replica stays cold; it isn't a time since its start.
    warmup_left_ms: Annotated[float, Field(allow_inf_nan=False)] = 0.0
    sequence: int = 0
    # Wall-clock ms of this start: the incarnation of an instance id.
    born: Annotated[int, Field(ge=0)] = 0


@cache
def _validator(model: type) -> TypeAdapter:
    return TypeAdapter(model)


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
        return DataCentreOut(key.removeprefix(names.DATA_CENTRE_OUT_KEYS), True)
    if key == names.CONFIGURATION_KEY:
        return _decode_configuration(value)
    return None


def decode_removal(key: str) -> Change | None:
    """Decode the removal of one item of the store."""
    if key.startswith(names.REPLICA_KEYS):
        return ReplicaGone(key.removeprefix(names.REPLICA_KEYS))
    if key.startswith(names.DATA_CENTRE_OUT_KEYS):
        return DataCentreOut(key.removeprefix(names.DATA_CENTRE_OUT_KEYS), False)
    return None


def _decode_replica(instance: str, value: str) -> Change:
    try:
        text = base64.b64decode(value, validate=True)
        found: _Replica = _validator(_Replica).validate_json(text)
    except (ValidationError, binascii.Error, ValueError) as error:
        structlog.get_logger().info(
            "entry_ignored", replica=instance, problem=_explain(error)
        )
        return ReplicaGone(instance)
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
        text = base64.b64decode(value, validate=True)
        found: _Configuration = _validator(_Configuration).validate_json(text)
    except (ValidationError, binascii.Error, ValueError) as error:
        structlog.get_logger().error(
            "configuration_refused", problem=_explain(error), kept="the last one"
        )
        return None
    return ConfigurationChanged(
        Configuration(
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


def _explain(error: Exception) -> str:
    if isinstance(error, ValidationError):
        return "; ".join(describe(error)[:3])
    return str(error)
