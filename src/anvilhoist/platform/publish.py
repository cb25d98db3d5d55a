"""Encode what operators and replicas publish, for stand-ins of their store."""

from __future__ import annotations

import base64
import json
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

from ..http.messages import Request, Response
from ..world.model import Configuration, ReplicaEntry, Route
from . import names

MS_PER_S = 1000

StoreItem = tuple[str, bytes | None, int]


@dataclass(frozen=True, slots=True)
class StoreQuery:
    """What a call asks a store for.

    Attributes
    ----------
    prefix : str
        Beginning of the keys.
    after : str
        Key or revision after which to begin.
    wait_s : float
        How long a watch may wait, in seconds.
    allow_stale : bool
        Whether an old answer will do.
    """

    prefix: str
    after: str
    wait_s: float
    allow_stale: bool = False


def parse_store_query(request: Request) -> StoreQuery:
    """Read what a call asks for."""
    text = request.target.decode().partition("?")[2]
    found = {key: values[0] for key, values in parse_qs(text, True).items()}
    wait_s = int(found.get("wait-ms", "0")) / MS_PER_S
    return StoreQuery(
        found.get("path-prefix", ""),
        found.get("after", ""),
        wait_s,
        found.get("stale-ok") == "1",
    )


def encode_items(items: Iterable[StoreItem], more: bool, revision: int) -> Response:
    """Page of items; each is a key, a value and the revision of its last change."""
    fields = {
        "items": [_encode_item(item) for item in items],
        "has-more": more,
        "at": revision,
    }
    return Response(200, [], json.dumps(fields).encode())


def encode_events(items: Iterable[StoreItem], revision: int) -> Response:
    """Changes up to a revision; a value of None stands for a removal."""
    fields = {"events": [_encode_item(item) for item in items], "at": revision}
    return Response(200, [], json.dumps(fields).encode())


def make_resolve_target(host: str, region: str, data_centre: str) -> str:
    """Target of a caller that asks where to connect."""
    return f"{names.RESOLVE_PATH}?name={host}&region={region}&zone={data_centre}"


def decode_addresses(body: bytes) -> tuple[list[str], float]:
    """Addresses that a caller was told, and how long to keep them, in seconds."""
    found = json.loads(body)
    return found["addrs"], found["ttl_s"]


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


def _encode_item(item: StoreItem) -> dict[str, Any]:
    key, value, revision = item
    if value is None:
        return {"key": key, "revision": revision, "deleted": True}
    return {
        "key": key,
        "revision": revision,
        "value": base64.b64encode(value).decode(),
    }
