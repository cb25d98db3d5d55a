"""Merge the records that the shards of a query return."""

from __future__ import annotations

from collections.abc import Iterable

RECORD_BYTES = 16


def split_records(body: bytes) -> list[bytes]:
    """Split a body into records; an incomplete record at its end is dropped."""
    end = len(body) - len(body) % RECORD_BYTES
    return [body[at : at + RECORD_BYTES] for at in range(0, end, RECORD_BYTES)]


def merge_records(bodies: Iterable[bytes], top: int) -> bytes:
    """Return the greatest records of all bodies, in descending order.

    Parameters
    ----------
    bodies : iterable of bytes
        Records of 16 bytes in any order.
    top : int
        Number of records to keep. Duplicates are kept and each counts.
    """
    records = [record for body in bodies for record in split_records(body)]
    records.sort(reverse=True)
    return b"".join(records[:top])
