"""Encode what operators and replicas publish, for stand-ins of their store."""

from __future__ import annotations

import json
from typing import Any

from ..world.model import Configuration, ReplicaEntry, Route
from . import names

MS_PER_S = 1000


def replica_key(instance: str) -> str:
    """Key of a replica's entry."""
    return f"{names.REPLICA_KEYS}{instance}"


def data_centre_out_key(data_centre: str) -> str:
    """Key that takes a data centre out while it exists."""
    return f"{names.DATA_CENTRE_OUT_KEYS}{data_centre}"


def encode_replica(entry: ReplicaEntry) -> bytes:
    """Value of a replica's entry."""
    fields = {
        "backend": entry.service,
        "address": entry.address,
        "zone": entry.data_centre,
        "version": "v1",
        "slots": entry.slots,
        "state": "draining" if entry.draining else "ready",
        "warmup-left-ms": entry.cold_s * MS_PER_S,
        "sequence": entry.sequence,
        "born": entry.born_ms,
    }
    return json.dumps(fields).encode()


def encode_configuration(configuration: Configuration) -> bytes:
    """Value of the configuration."""
    limits = configuration.limits
    fields = {
        "version": configuration.version,
        "routes": [_encode_route(route) for route in configuration.routes],
        "backends": [
            {
                "name": service.name,
                "max-connections": service.max_connections,
                "warmup-per-s": service.cold_rate,
            }
            for service in configuration.services.values()
        ],
        "limits": {
            "max-header-bytes": limits.header_bytes,
            "max-body-bytes": limits.body_bytes,
            "header-timeout-ms": limits.header_s * MS_PER_S,
            "idle-timeout-ms": limits.idle_s * MS_PER_S,
        },
    }
    return json.dumps(fields).encode()


def _encode_route(route: Route) -> dict[str, Any]:
    fields: dict[str, Any] = {
        "name": route.name,
        "hostname": route.host,
        "path-prefix": route.prefix,
        "route-type": "idempotent" if route.repeatable else "non_idempotent",
        "timeout-ms": route.timeout_s * MS_PER_S,
        "target-latency-ms": route.target_s * MS_PER_S,
        "max-attempts": route.attempts,
        "priority": route.priority,
    }
    if route.gather is not None:
        fields["gather"] = list(route.gather.shards)
        fields["top-k"] = route.gather.top
        fields["min-shard-ratio"] = route.gather.least_share
    elif len(route.services) == 1:
        fields["backend"] = route.services[0][0]
    else:
        fields["traffic-split"] = [
            {"backend": name, "weight": weight} for name, weight in route.services
        ]
    return fields
