"""Read requests from the bytes that a client sends, within the limits."""

from __future__ import annotations

from collections.abc import Callable

import httptools

from ..clock import read_boottime
from .body import Body
from .client_budget import HEADER_BYTES, REQUEST_BYTES
from .limits import ConnectionLimits
from .messages import (
    Headers,
    Request,
    find_header,
    has_foreign_coding,
    make_header,
)

HEADER_FRAMING_BYTES = 4  # ": " and CRLF of a header line
# Headers that say where a body ends.
BODY_FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class RequestReader:
    """Reader of the requests of one connection, in order.

    Offers to upgrade the connection are ignored, and `CONNECT` is refused: what is
    received is HTTP/1.1 to the end.

    Parameters
    ----------
    read_limits : callable
        Function that returns the limits in force.
    on_begin : callable
        Called when a request begins.
    on_request : callable
        Called with each complete request.
    on_refused : callable
        Called once with the status of the response, if a request is malformed or
        exceeds a limit; nothing more is read then.

    Attributes
    ----------
    ended : bool
        Whether nothing more is read.
    is_reading_head, is_reading_body : bool
        Which part of a request is being read, if any.
    head_bytes : int
        Bytes of the head that is being read or, later, its size.
    continue_due : bool
        Whether the request being read waits for `100 Continue`.
    """

    def __init__(
        self,
        read_limits: Callable[[], ConnectionLimits],
        on_begin: Callable[[], None],
        on_request: Callable[[Request], None],
        on_refused: Callable[[int], None],
    ):
        self._read_limits = read_limits
        self._on_begin = on_begin
        self._on_request = on_request
        self._on_refused = on_refused
        self._parser: httptools.HttpRequestParser | None = httptools.HttpRequestParser(
            self
        )
        self._requests_read = 0
        self.ended = False
        self.is_reading_head = False
        self._reset_request()

    @property
    def is_reading(self) -> bool:
        """Whether a request is being read."""
        return self.is_reading_head or self.is_reading_body

    @property
    def body_bytes_due(self) -> int:
        """Bytes of a body of known length that are still to come; 0 if unknown."""
        if not self.is_reading_body:
            return 0
        return max(0, self._content_length - self._body.size_bytes)

    @property
    def held_bytes(self) -> int:
        """Estimate of the memory of the request that is being read."""
        headers_bytes = self.head_bytes + len(self._headers) * HEADER_BYTES
        return REQUEST_BYTES + headers_bytes + self._body.size_bytes

    def feed(self, data: bytes) -> None:
        """Parse received bytes; a malformed request is refused with status 400."""
        was_in_body, body_bytes = self.is_reading_body, self._body.size_bytes
        requests_read = self._requests_read
        if not was_in_body:
            self.head_bytes += len(data)
        try:
            self._parse(data)
        except httptools.HttpParserError:
            self.refuse(400)
        if not self.is_reading_body:
            self._check_head_size()
            return
        self._check_body_size(self._body.size_bytes)
        if was_in_body and requests_read == self._requests_read:
            self._check_framing(len(data), self._body.size_bytes - body_bytes)

    def refuse(self, status: int) -> None:
        """Read nothing more, and report the status of the response."""
        if not self.ended:
            self.end()
            self._on_refused(status)

    def end(self) -> None:
        """Read nothing more, and drop the request that is being read."""
        self.ended = True
        self.is_reading_head = False
        self._reset_request()

    def close(self) -> None:
        """End, and let go of the parser, which refers to the reader."""
        self.end()
        self._parser = None
        self._on_begin = self._on_request = self._on_refused = None

    def on_message_begin(self) -> None:
        """Start a request, unless its head has been read."""
        if self.is_reading_body:
            return
        self.is_reading_head = True
        self._on_begin()

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        if not self.is_reading_body:
            self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header; trailers are dropped."""
        if not self.is_reading_body:
            self._headers.append(make_header(name, value))
            self._header_line_bytes += len(name) + len(value) + HEADER_FRAMING_BYTES

    def on_headers_complete(self) -> None:
        """Check the method, the size of the head and that of the body, if known."""
        if self.is_reading_body:
            return
        self.is_reading_head = False
        self.is_reading_body = True
        # The bytes counted so far may include some of the body, so the size of the
        # head is computed from its parts.
        self.head_bytes = len(self._url) + self._header_line_bytes
        self._check_head_size()
        # What is behind the head of `CONNECT` need not be HTTP.
        is_tunnel = self._parser.get_method() == b"CONNECT"
        if is_tunnel or has_foreign_coding(self._headers):
            self.refuse(501)
        content_length = find_header(self._headers, b"content-length") or b""
        if content_length.isdigit():
            self._content_length = int(content_length)
            self._check_body_size(self._content_length)
        expected = find_header(self._headers, b"expect") or b""
        self.continue_due = expected.lower() == b"100-continue"

    def on_body(self, body: bytes) -> None:
        """Collect the body; its size is checked after each piece of the input."""
        if not self.ended:
            self._body.add(body)

    def on_message_complete(self) -> None:
        """Report the complete request, unless only its head has been read."""
        if self._parser.should_upgrade():
            return
        self._check_body_size(self._body.size_bytes)
        if self.ended:
            return
        self._requests_read += 1
        request = Request(
            self._parser.get_method(),
            self._url,
            self._headers,
            self._body.join(),
            read_boottime(),
            self._parser.should_keep_alive(),
            held_bytes=self.held_bytes,
        )
        self._reset_request()
        self._on_request(request)

    def _parse(self, data: bytes) -> None:
        """Parse received bytes to the end, past offers to upgrade the connection."""
        while not self.ended:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as offer:
                (head_end,) = offer.args
            data = data[head_end:]
            self._parse_without_offer()

    def _parse_without_offer(self) -> None:
        """Go on with a parser that knows the request that is being read, not its offer.

        The parser that met the offer takes what follows the head for another protocol.
        """
        if self.ended:
            return
        lines = [b"%s / HTTP/1.1" % self._parser.get_method()]
        lines += [
            b"%s: %s" % header
            for header in self._headers
            if header[0] in BODY_FRAMING_HEADERS
        ]
        if not self._parser.should_keep_alive():
            lines.append(b"connection: close")
        self._parser = httptools.HttpRequestParser(self)
        self._parser.feed_data(b"\r\n".join(lines) + b"\r\n\r\n")

    def _check_head_size(self) -> None:
        if self.head_bytes > self._read_limits().header_bytes:
            self.refuse(431)

    def _check_body_size(self, size_bytes: int) -> None:
        if size_bytes > self._read_limits().body_bytes:
            self.refuse(413)

    def _check_framing(self, data_bytes: int, body_bytes: int) -> None:
        """Refuse a body whose chunk extensions or trailers exceed the limit of heads.

        They are dropped, but a client may send them without end.
        """
        self._framing_bytes = 0 if body_bytes else self._framing_bytes + data_bytes
        if self._framing_bytes > self._read_limits().header_bytes:
            self.refuse(431)

    def _reset_request(self) -> None:
        self._url = b""
        self._headers: Headers = []
        self._header_line_bytes = 0  # with the white space around values
        self._body = Body()
        self.is_reading_body = False
        self.continue_due = False
        self.head_bytes = 0
        self._content_length = 0
        self._framing_bytes = 0
