"""Translate callers' requests, replicas' responses, and the answers to both."""

from __future__ import annotations

import json
from collections.abc import Iterable
from urllib.parse import parse_qs

from ..forward.call import Call, Verdict
from ..http.exchange import Reply, ResponseMatcher
from ..http.messages import (
    Headers,
    Request,
    Response,
    encode_request,
    find_header,
    strip_hop_by_hop_headers,
)
from . import names

MS_PER_S = 1000.0
LEAST_DEADLINE_MS = 1
LONGEST_DEADLINE_S = 3600.0  # s; for callers that name no deadline or a wild one

_SET_HERE = frozenset(
    (names.DEADLINE_MS, names.TARGET_INSTANCE, b"content-length", b"expect")
)
_SET_ON_ANSWER = frozenset((b"content-length",))


def parse_call(request: Request) -> Call | None:
    """Read a caller's request; None if it bears no id."""
    attempt = find_header(request.headers, names.REQUEST_ID)
    if not attempt:
        return None
    host = (find_header(request.headers, b"host") or b"").decode("latin-1")
    wait_s = LONGEST_DEADLINE_S
    value = find_header(request.headers, names.DEADLINE_MS)
    try:
        if value is not None:
            wait_s = min(wait_s, max(0.0, float(value) / MS_PER_S))
    except ValueError:
        wait_s = LONGEST_DEADLINE_S
    return Call(request, attempt, host.partition(":")[0], request.arrived_at + wait_s)


def make_call(
    method: bytes,
    host: str,
    target: str,
    attempt: str,
    body: bytes,
    now: float,
    wait_s: float,
) -> Call:
    """Call for a request that came over an interface of our own.

    Parameters
    ----------
    method : bytes
        Method towards the replicas.
    host, target : str
        Host and path of the route that it runs on.
    attempt : str
        Id of the request.
    body : bytes
        Body towards the replicas.
    now, wait_s : float
        When it came, and how long its caller waits, in seconds.
    """
    headers = [(b"host", host.encode()), (names.REQUEST_ID, attempt.encode())]
    request = Request(method, target.encode(), headers, body, now)
    return Call(request, attempt.encode(), host, now + wait_s)


def prepare_headers(call: Call) -> Headers:
    """Headers that every replica gets alike, whichever it is."""
    return strip_hop_by_hop_headers(call.request.headers, _SET_HERE)


def encode_replica_request(
    call: Call, headers: Headers, instance: str, left_s: float
) -> bytes:
    """Bytes of a request to one replica.

    Parameters
    ----------
    call : Call
        The caller's request.
    headers : list of tuple of bytes
        From `prepare_headers`.
    instance : str
        The only replica that may run it.
    left_s : float
        Time that is left, in seconds.
    """
    left_ms = max(LEAST_DEADLINE_MS, int(left_s * MS_PER_S))
    own = [
        (names.DEADLINE_MS, b"%d" % left_ms),
        (names.TARGET_INSTANCE, instance.encode()),
    ]
    request = call.request
    return encode_request(request.method, request.target, headers + own, request.body)


def make_response_matcher(call: Call) -> ResponseMatcher:
    """Tell whether a response belongs to a call; the id in it decides."""

    def matches(status: int, headers: Headers) -> bool:
        echoed = find_header(headers, names.REQUEST_ID)
        return echoed is None or echoed == call.id

    return matches


def classify_reply(reply: Reply, call: Call) -> Verdict:
    """What a replica's response means for the request."""
    headers = reply.headers
    if find_header(headers, names.CONTENT_ENCODING) is not None:
        return Verdict.UNUSABLE
    if reply.status == 421:
        return Verdict.MISDIRECTED
    if find_header(headers, names.NOT_EXECUTED) is not None:
        return Verdict.NOT_RUN
    if 200 <= reply.status < 300:
        whole = find_header(headers, names.DIGEST) is not None
        return Verdict.SUCCEEDED if whole else Verdict.UNUSABLE
    return Verdict.FAILED


def read_digest(reply: Reply) -> bytes:
    """Digest of a replica's body."""
    return find_header(reply.headers, names.DIGEST) or b""


def parse_server_load(headers: Headers) -> int | None:
    """Requests that run and wait at a replica, if it told."""
    value = find_header(headers, names.SERVER_LOAD)
    if value is None:
        return None
    numbers = value.split(b",")
    try:
        return int(numbers[0]) + int(numbers[1])
    except (ValueError, IndexError):
        return None


def build_forwarded_response(reply: Reply) -> Response:
    """A replica's own response, unchanged, for the caller."""
    return Response(
        reply.status,
        strip_hop_by_hop_headers(reply.headers, _SET_ON_ANSWER),
        reply.body,
    )


def encode_gather_response(
    call: Call, digests: Iterable[bytes], missing: int, body: bytes
) -> Response:
    """Answer to a query over many shards."""
    return Response(
        200,
        [
            (names.REQUEST_ID, call.id),
            (names.PART_DIGESTS, b", ".join(digests)),
            (names.MISSING_PARTS, b"%d" % missing),
        ],
        body,
    )


def encode_error_response(status: int, retry_after_s: float | None) -> Response:
    """Answer without a result."""
    headers: Headers = []
    if retry_after_s is not None:
        headers.append((names.RETRY_AFTER, b"%.2f" % retry_after_s))
    return Response(status, headers)


def parse_resolve_request(request: Request) -> tuple[str, str] | None:
    """Region and data centre of a caller that asks where to connect."""
    path, _, query = request.target.decode("latin-1").partition("?")
    if path != names.RESOLVE_PATH:
        return None
    values = parse_qs(query)
    return values.get("region", [""])[0], values.get("zone", [""])[0]


def encode_addresses(addresses: list[str], keep_s: float) -> Response:
    """Answer to a caller that asks where to connect."""
    body = json.dumps({"addrs": addresses, "ttl_s": keep_s}).encode()
    return Response(200, [(b"content-type", b"application/json")], body)


def is_readiness_request(request: Request) -> bool:
    """Whether a request asks if this process is ready."""
    return request.path == names.READINESS_PATH
