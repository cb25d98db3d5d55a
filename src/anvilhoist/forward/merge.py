"""Merge the records of parts."""

from __future__ import annotations

from collections.abc import Iterable

RECORD_BYTES = 16


def cut_records(body: bytes) -> list[bytes]:
    """Whole records of a part; a shorter remainder is none."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Greatest records of all parts, greatest first.

    Parameters
    ----------
    bodies : iterable of bytes
        Records of 16 bytes in any order.
    top : int
        Number of records to keep; equal ones all count.
    """
    records = [record for body in bodies for record in cut_records(body)]
    records.sort(reverse=True)
    return b"".join(records[:top])
