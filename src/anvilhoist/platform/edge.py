"""Translate requests and responses of callers and replicas to and from the wire."""

from __future__ import annotations

import json
import math
import re
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs

from ..forward.call import Call, Verdict
from ..http.messages import (
    Headers,
    Request,
    Response,
    encode_request_head,
    find_header,
    strip_hop_by_hop_headers,
)
from ..http.replies import OriginReader, Reply, ResponseOrigin
from . import names

MS_PER_S = 1000.0
MIN_DEADLINE_MS = 1  # least deadline that is sent to a replica
# Longest wait of a caller, and the wait of one that gives no valid deadline.
MAX_WAIT_S = 3600.0

# Longest time for which a replica may ask to get no requests.
MAX_QUIET_S = 3600.0
# A limit above this many requests per second limits nothing.
MAX_RATE_LIMIT = 1e6

# Headers of a caller's request that are set anew or dropped in requests to replicas.
_UNFORWARDED_REQUEST_HEADERS = frozenset(
    (names.DEADLINE_MS, names.TARGET_INSTANCE, b"content-length", b"expect")
)
# How many requests run and wait; no replica has room for a number of more digits.
_LOAD = re.compile(rb" *([0-9]{1,9}) *, *([0-9]{1,9}) *(,.*)?")
_DECIMAL = re.compile(rb"[0-9]+(\.[0-9]*)?")
_UNFORWARDED_RESPONSE_HEADERS = frozenset((b"content-length",))


def parse_call(request: Request) -> Call | None:
    """Parse a caller's request; return None if it has no attempt id."""
    attempt_id = find_header(request.headers, names.ATTEMPT_ID)
    if not attempt_id:
        return None
    host = (find_header(request.headers, b"host") or b"").decode("latin-1")
    wait_s = MAX_WAIT_S
    deadline_ms = find_header(request.headers, names.DEADLINE_MS)
    try:
        if deadline_ms is not None:
            wait_s = float(deadline_ms) / MS_PER_S
    except ValueError:
        wait_s = MAX_WAIT_S
    if math.isnan(wait_s):
        wait_s = MAX_WAIT_S
    wait_s = min(MAX_WAIT_S, max(0.0, wait_s))
    return Call(
        request, attempt_id, host.partition(":")[0], request.arrived_at + wait_s
    )


def make_call(
    method: bytes,
    host: str,
    target: str,
    attempt_id: str,
    body: bytes,
    now: float,
    wait_s: float,
    hold: Callable[[int], None],
) -> Call:
    """Build the call for a request that came over the JSON interface.

    Parameters
    ----------
    method : bytes
        Method of the requests to replicas.
    host, target : str
        Host and path of the route that it runs on.
    attempt_id : str
        Id of the attempt.
    body : bytes
        Body of the requests to replicas.
    now, wait_s : float
        Time of its arrival, and how long its caller waits, in seconds.
    hold : callable
        Counts memory, in bytes, that is held for the call until it ends.
    """
    headers = [(b"host", host.encode()), (names.ATTEMPT_ID, attempt_id.encode())]
    request = Request(method, target.encode(), headers, body, now, hold=hold)
    return Call(request, attempt_id.encode(), host, now + wait_s)


def prepare_headers(call: Call) -> Headers:
    """Return the caller's headers that are forwarded to every replica."""
    return strip_hop_by_hop_headers(call.request.headers, _UNFORWARDED_REQUEST_HEADERS)


def encode_replica_request_head(
    call: Call, headers: Headers, instance: str, left_s: float
) -> bytes:
    """Encode a request to one replica, without its body.

    Parameters
    ----------
    call : Call
        The caller's request.
    headers : list of tuple of bytes
        Headers from `prepare_headers`.
    instance : str
        Id of the only replica that may run it.
    left_s : float
        Time left for the response, in seconds.
    """
    left_ms = max(MIN_DEADLINE_MS, int(left_s * MS_PER_S))
    replica_headers = [
        (names.DEADLINE_MS, b"%d" % left_ms),
        (names.TARGET_INSTANCE, instance.encode()),
    ]
    request = call.request
    return encode_request_head(
        request.method, request.target, headers + replica_headers, request.body
    )


def make_origin_reader(call: Call) -> OriginReader:
    """Return a function that tells which attempt a response is to, by the id in it."""

    def read_origin(headers: Headers) -> ResponseOrigin:
        echoed = {value for name, value in headers if name == names.ATTEMPT_ID}
        if not echoed:
            return ResponseOrigin.UNNAMED
        if echoed == {call.attempt_id}:
            return ResponseOrigin.THIS_REQUEST
        return ResponseOrigin.OTHER_REQUEST

    return read_origin


def classify_reply(reply: Reply, call: Call) -> Verdict:
    """Classify a replica's response.

    Only a 2xx with a digest and without a content encoding is a success.
    """
    headers = reply.headers
    if find_header(headers, names.CONTENT_ENCODING) is not None:
        return Verdict.UNUSABLE
    if reply.status == 421:
        return Verdict.MISDIRECTED
    if find_header(headers, names.NOT_EXECUTED) is not None:
        return Verdict.NOT_EXECUTED
    if 200 <= reply.status < 300:
        has_digest = find_header(headers, names.DIGEST) is not None
        return Verdict.SUCCEEDED if has_digest else Verdict.UNUSABLE
    return Verdict.FAILED


def read_digest(reply: Reply) -> bytes:
    """Return the digest of a replica's body; empty if the response has none."""
    return find_header(reply.headers, names.DIGEST) or b""


def parse_server_load(headers: Headers) -> int | None:
    """Return how many requests run or wait at a replica; None if it does not tell."""
    counts = _LOAD.fullmatch(find_header(headers, names.SERVER_LOAD) or b"")
    return int(counts[1]) + int(counts[2]) if counts else None


def parse_rate_limit(headers: Headers) -> float | None:
    """Return the rate that a replica accepts from all VMs, in requests per second.

    It is infinite if the replica names none or an enormous one, and None if the value
    is not a decimal number.
    """
    value = find_header(headers, names.RATE_LIMIT)
    if value is None:
        return math.inf
    if not _DECIMAL.fullmatch(value):
        return None
    limit = float(value)
    return limit if limit <= MAX_RATE_LIMIT else math.inf


def is_leaving(headers: Headers) -> bool:
    """Return whether a replica says that it leaves."""
    return find_header(headers, names.LEAVING) == b"1"


def parse_quiet_time(reply: Reply) -> float:
    """Return for how long a replica wants no requests, in seconds.

    It is 0 unless the replica turns a request away with status 503 and a decimal
    number of seconds.
    """
    if reply.status != 503:
        return 0.0
    value = find_header(reply.headers, names.RETRY_AFTER)
    if value is None or not _DECIMAL.fullmatch(value):
        return 0.0
    return min(MAX_QUIET_S, float(value))


def build_forwarded_response(reply: Reply) -> Response:
    """Build the caller's response: a replica's without its hop-by-hop headers."""
    return Response(
        reply.status,
        strip_hop_by_hop_headers(reply.headers, _UNFORWARDED_RESPONSE_HEADERS),
        reply.body,
    )


def encode_gather_response(
    call: Call, digests: Iterable[bytes], missing: int, body: bytes
) -> Response:
    """Encode the response to a query over many shards.

    Parameters
    ----------
    call : Call
        The caller's request.
    digests : iterable of bytes
        Digests of the shards' parts that are in the body.
    missing : int
        Number of shards whose part is missing.
    body : bytes
        Merged parts.
    """
    return Response(
        200,
        [
            (names.ATTEMPT_ID, call.attempt_id),
            (names.PART_DIGESTS, b", ".join(digests)),
            (names.MISSING_PARTS, b"%d" % missing),
        ],
        body,
    )


def encode_error_response(status: int, retry_after_s: float | None) -> Response:
    """Encode a response without a body, with a retry-after header if one is given."""
    headers: Headers = []
    if retry_after_s is not None:
        headers.append((names.RETRY_AFTER, b"%.2f" % retry_after_s))
    return Response(status, headers)


def parse_resolve_request(request: Request) -> tuple[str, str] | None:
    """Return the region and data centre of a caller that asks for addresses.

    Either is empty if the caller does not name it. Return None for another path.
    """
    path, _, query = request.target.decode("latin-1").partition("?")
    if path != names.RESOLVE_PATH:
        return None
    values = parse_qs(query)
    return values.get("region", [""])[0], values.get("zone", [""])[0]


def encode_addresses(addresses: list[str], ttl_s: float) -> Response:
    """Encode the addresses for a caller, which keeps them for `ttl_s` seconds."""
    body = json.dumps({"addrs": addresses, "ttl_s": ttl_s}).encode()
    return Response(200, [(b"content-type", b"application/json")], body)


def is_readiness_request(request: Request) -> bool:
    """Return whether a request is a readiness check."""
    return request.path == names.READINESS_PATH
