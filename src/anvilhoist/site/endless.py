"""Answers without end, of a replica in trouble."""

from __future__ import annotations

import asyncio

from ..platform import names

BLOCK_BYTES = 0x10000  # written at a time

_STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
_CHUNKED = b"transfer-encoding: chunked\r\n\r\n"
_OTHER_ANSWER = _STATUS_LINE + b"%s: other\r\ncontent-length: 0\r\n\r\n"

# By fault: how an answer begins, after its status line and attempt id where the first
# item says so, and what is repeated.
_SHAPES: dict[str, tuple[bool, bytes, bytes]] = {
    "endless": (True, _CHUNKED, b"10000\r\n" + b"x" * 0x10000 + b"\r\n"),
    "endless_chunks": (True, _CHUNKED, b"1\r\nx\r\n"),
    "endless_extension": (True, _CHUNKED + b"1;", b"x"),
    "endless_trailers": (True, _CHUNKED + b"0\r\n", b"a:\r\n"),
    "endless_unframed": (True, b"\r\n", b"x"),
    "endless_value": (True, b"a: ", b"x"),
    "endless_head": (True, b"", b"a:\r\n"),
    "endless_interim": (False, b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "endless_others": (False, b"", _OTHER_ANSWER % names.ATTEMPT_ID),
    "endless_garbage": (False, b"", b"\x00\xff"),
    "endless_text": (False, _STATUS_LINE, b"no header\r\n"),
}
ENDLESS_FAULTS = tuple(_SHAPES)


async def write_endless(
    writer: asyncio.StreamWriter, attempt: bytes, fault: str
) -> bool:
    """Write an answer until the connection is lost; return False, as it is then.

    Parameters
    ----------
    writer : asyncio.StreamWriter
        The connection.
    attempt : bytes
        Attempt id of the request.
    fault : str
        One of `ENDLESS_FAULTS`.
    """
    names_attempt, begin, piece = _SHAPES[fault]
    if names_attempt:
        writer.write(b"%s%s: %s\r\n" % (_STATUS_LINE, names.ATTEMPT_ID, attempt))
    writer.write(begin)
    block = piece * max(1, BLOCK_BYTES // len(piece))
    while not writer.is_closing():
        writer.write(block)
        await writer.drain()
    return False
