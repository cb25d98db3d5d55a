"""Answers of the stand-in replicas, derived from the service and the attempt.

Callers compute them too, and so can tell which service and attempt an answer is for.
"""

from __future__ import annotations

import xxhash

RECORDS_PER_ANSWER = 8


def make_records(service: str, attempt: bytes) -> bytes:
    """Return the 16-byte records of a service for one attempt, unsorted."""
    return b"".join(
        xxhash.xxh128_digest(b"%s/%s/%d" % (service.encode(), attempt, number))
        for number in range(RECORDS_PER_ANSWER)
    )


def make_digest(service: str, attempt: bytes) -> bytes:
    """Return the digest of a service's answer to one attempt."""
    body = make_records(service, attempt)
    return xxhash.xxh64_hexdigest(service.encode() + attempt + body).encode()


def find_merge_error(
    services: tuple[str, ...],
    attempt: bytes,
    digests: list[bytes],
    body: bytes,
    top: int,
) -> str | None:
    """Check a merged answer against the answers of its shards.

    Parameters
    ----------
    services : tuple of str
        Services of all shards of the query.
    attempt : bytes
        Id of the caller's attempt.
    digests : list of bytes
        Digests that the answer lists, one for each shard in it.
    body : bytes
        Records of the answer.
    top : int
        Number of records asked for.

    Returns
    -------
    str or None
        First error found; None if the answer is right.
    """
    owners = {make_digest(name, attempt): name for name in services}
    if not digests:
        return "no part digest is listed"
    if len(set(digests)) != len(digests):
        return "a part digest is listed twice"
    if any(digest not in owners for digest in digests):
        return "a digest belongs to no answer to this request"
    parts = b"".join(make_records(owners[digest], attempt) for digest in digests)
    records = sorted(parts[start : start + 16] for start in range(0, len(parts), 16))
    if body != b"".join(reversed(records[-top:])):
        return "the records are not the top records of the listed parts"
    return None
