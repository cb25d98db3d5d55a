"""Encode and decode the platform's side of the wire, for stand-ins of the platform."""

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

# Key, value (None: removed) and revision of the last change.
StoreItem = tuple[str, bytes | None, int]


@dataclass(frozen=True, slots=True)
class StoreQuery:
    """Query of a call that reads or watches the store.

    Attributes
    ----------
    prefix : str
        Prefix of the keys that are asked for.
    after : str
        Key after which a read begins, or revision after which a watch does.
    wait_s : float
        How long a watch may wait for a change, in seconds.
    allow_stale : bool
        Whether a read may return a stale state.
    """

    prefix: str
    after: str
    wait_s: float
    allow_stale: bool = False


def parse_store_query(request: Request) -> StoreQuery:
    """Parse the query of a call that reads or watches the store."""
    query = request.target.decode().partition("?")[2]
    arguments = {key: values[0] for key, values in parse_qs(query, True).items()}
    wait_s = int(arguments.get("wait-ms", "0")) / MS_PER_S
    return StoreQuery(
        arguments.get("path-prefix", ""),
        arguments.get("after", ""),
        wait_s,
        arguments.get("stale-ok") == "1",
    )


def encode_items(items: Iterable[StoreItem], has_more: bool, revision: int) -> Response:
    """Encode one page of items, read at a revision."""
    fields = {
        "items": [_encode_item(item) for item in items],
        "has-more": has_more,
        "at": revision,
    }
    return Response(200, [], json.dumps(fields).encode())


def encode_events(items: Iterable[StoreItem], revision: int) -> Response:
    """Encode the changes up to a revision."""
    fields = {"events": [_encode_item(item) for item in items], "at": revision}
    return Response(200, [], json.dumps(fields).encode())


def make_resolve_target(host: str, region: str, data_centre: str) -> str:
    """Return the request target with which a caller asks for addresses."""
    return f"{names.RESOLVE_PATH}?name={host}&region={region}&zone={data_centre}"


def decode_addresses(body: bytes) -> tuple[list[str], float]:
    """Decode the addresses for a caller, and how long to keep them, in seconds."""
    document = json.loads(body)
    return document["addrs"], document["ttl_s"]


def replica_key(instance: str) -> str:
    """Return the key of a replica's entry."""
    return f"{names.REPLICA_KEY_PREFIX}{instance}"


def data_centre_out_key(data_centre: str) -> str:
    """Return the key that takes a data centre out of service while it exists."""
    return f"{names.DATA_CENTRE_OUT_KEY_PREFIX}{data_centre}"


def encode_replica(entry: ReplicaEntry) -> bytes:
    """Encode a replica's entry as the value of its key."""
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
    """Encode a configuration as the value of its key."""
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
