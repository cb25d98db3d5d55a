"""Requests and responses, and their bytes on a connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus

Headers = list[tuple[bytes, bytes]]

# RFC 9110, section 7.6.1: these concern one connection only.
CONNECTION_HEADERS = frozenset(
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

REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
BODILESS = (204, 304)


@dataclass(slots=True)
class Request:
    """A whole request as a caller sent it.

    Attributes
    ----------
    method, target : bytes
        As they stood in the request line.
    headers : list of tuple of bytes
        Names in lower case, in the order in which they came.
    body : bytes
        Whole body, without chunk framing.
    arrived_at : float
        Time at which its last byte was read, in seconds.
    keep_alive : bool
        Whether the caller wants to reuse the connection.
    read_round_trip : callable
        Time to the caller and back, in seconds; 0 where it is not known.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = b""
    arrived_at: float = 0.0
    keep_alive: bool = True
    read_round_trip: Callable[[], float] = float

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("latin-1")


@dataclass(slots=True)
class Response:
    """A whole response.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : list of tuple of bytes
        Headers other than those of the connection.
    body : bytes
        Whole body.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b""


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Value of the first header of a name (lower case), or None."""
    for key, value in headers:
        if key == name:
            return value
    return None


def strip_hop_by_hop_headers(headers: Headers, replaced: frozenset[bytes]) -> Headers:
    """Headers that may go to the next hop.

    Parameters
    ----------
    headers : list of tuple of bytes
        Names in lower case.
    replaced : frozenset of bytes
        Names that the sender sets itself.

    Returns
    -------
    list of tuple of bytes
        Neither `replaced`, nor those that concern only one connection.
    """
    named = find_header(headers, b"connection") or b""
    listed = {token.strip().lower() for token in named.split(b",")}
    return [
        (key, value)
        for key, value in headers
        if key not in CONNECTION_HEADERS and key not in replaced and key not in listed
    ]


def encode_response(response: Response, close: bool) -> bytes:
    """Bytes of a response, framed by its length."""
    reason = REASONS.get(response.status, b"Unknown")
    lines = [b"HTTP/1.1 %d %s" % (response.status, reason)]
    lines += [b"%s: %s" % header for header in response.headers]
    if response.status not in BODILESS:
        lines.append(b"Content-Length: %d" % len(response.body))
    if close:
        lines.append(b"Connection: close")
    return b"\r\n".join(lines) + b"\r\n\r\n" + response.body


def encode_request(
    method: bytes, target: bytes, headers: Headers, body: bytes
) -> bytes:
    """Bytes of a request, framed by its length."""
    lines = [b"%s %s HTTP/1.1" % (method, target)]
    lines += [b"%s: %s" % header for header in headers]
    if body or method in (b"POST", b"PUT", b"PATCH"):
        lines.append(b"content-length: %d" % len(body))
    return b"\r\n".join(lines) + b"\r\n\r\n" + body
