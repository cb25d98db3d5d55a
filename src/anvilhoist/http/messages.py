"""Requests and responses, and their encoding as HTTP/1.1."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]

# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
OPTIONAL_WHITE_SPACE = b" \t"
JOINED_BODY_BYTES = 16 << 10  # a body up to this size is sent together with its head
BODILESS_STATUSES = (204, 304)


def ignore_held_bytes(held_bytes: int) -> None:
    """Count nothing, for a request that no client made the process hold."""


@dataclass(slots=True)
class Request:
    """A complete request, as received by a server.

    Attributes
    ----------
    method, target : bytes
        As in the request line.
    headers : list of tuple of bytes
        Names in lower case, in the order received.
    body : bytes
        Complete body, without chunked framing.
    arrived_at : float
        Time at which the last byte was read, in seconds.
    keep_alive : bool
        Whether the client wants to reuse the connection.
    read_round_trip : callable
        Function that returns the round-trip time to the client in seconds, or 0
        if it is unknown.
    held_bytes : int
        Estimate of the memory that the request takes, in bytes.
    hold : callable
        Counts memory, in bytes, that is held for the request until it is answered.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    arrived_at: float = 0.0
    keep_alive: bool = True
    read_round_trip: Callable[[], float] = float
    held_bytes: int = 0
    hold: Callable[[int], None] = ignore_held_bytes

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(slots=True)
class Response:
    """A complete response.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : list of tuple of bytes
        Headers other than Content-Length and Connection, which the encoder adds.
    body : bytes
        Complete body.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


def make_header(name: bytes, value: bytes) -> tuple[bytes, bytes]:
    """Return a header as it was received: its name in lower case, its value trimmed.

    White space around a value is no part of it (RFC 9110, section 5.5).
    """
    return name.lower(), value.strip(OPTIONAL_WHITE_SPACE)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header called `name` (lower case), or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def has_foreign_coding(headers: Headers) -> bool:
    """Return whether a body comes in a transfer coding other than `chunked`."""
    return any(
        key == b"transfer-encoding" and value.strip().lower() != b"chunked"
        for key, value in headers
    )


def parse_keep_alive_timeout(headers: Headers) -> float | None:
    """Return the timeout of the Keep-Alive header in seconds, or None without one."""
    value = find_header(headers, b"keep-alive") or b""
    _, _, seconds = value.partition(b"timeout=")
    digits = seconds.split(b",")[0].strip()
    return float(digits) if digits.isdigit() else None


def strip_hop_by_hop_headers(headers: Headers, replaced: frozenset[bytes]) -> Headers:
    """Select the headers that may be forwarded to the next hop.

    Parameters
    ----------
    headers : list of tuple of bytes
        Names in lower case.
    replaced : frozenset of bytes
        Lower-case names of headers that the forwarding code sets itself.

    Returns
    -------
    list of tuple of bytes
        Headers that are neither in `replaced`, nor hop-by-hop, nor named by the
        Connection headers.
    """
    connection_options = {
        token.strip().lower()
        for key, value in headers
        if key == b"connection"
        for token in value.split(b",")
    }
    return [
        (key, value)
        for key, value in headers
        if key not in HOP_BY_HOP_HEADERS
        and key not in replaced
        and key not in connection_options
    ]


def encode_response_head(response: Response, close: bool) -> bytes:
    """Encode all but the body; `close` announces that the connection ends with it."""
    reason = REASON_PHRASES.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %s" % (response.status, reason)]
    lines += [b"%s: %s" % header for header in response.headers]
    if response.status not in BODILESS_STATUSES:
        lines.append(b"Content-Length: %d" % len(response.body))
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_request_head(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Encode all but the body, with its length if it has one or the method needs it.

    Requests with the methods POST, PUT and PATCH always have a Content-Length.
    """
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [b"%s: %s" % header for header in headers]
    if body or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n"


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Encode a request; see `encode_request_head`."""
    return encode_request_head(method, target, headers, body) + body
