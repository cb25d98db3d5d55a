"""What a replica answers, so that anybody can tell whose answer it is."""

from __future__ import annotations

import xxhash

RECORDS = 8  # records of a part


def make_records(service: str, attempt: bytes) -> bytes:
    """Records of a service for one attempt of a caller, in no order."""
    return b"".join(
        xxhash.xxh128_digest(b"%s/%s/%d" % (service.encode(), attempt, number))
        for number in range(RECORDS)
    )


def make_digest(service: str, attempt: bytes) -> bytes:
    """Digest of a service's answer to one attempt."""
    body = make_records(service, attempt)
    return xxhash.xxh64_hexdigest(service.encode() + attempt + body).encode()


def find_merge_error(
    services: tuple[str, ...],
    attempt: bytes,
    digests: list[bytes],
    body: bytes,
    top: int,
) -> str | None:
    """Find what is wrong with a merged answer.

    Parameters
    ----------
    services : tuple of str
        All services of the query.
    attempt : bytes
        Id of the caller's attempt.
    digests : list of bytes
        Digests that the answer names.
    body : bytes
        Records of the answer.
    top : int
        Number of records asked for.

    Returns
    -------
    str or None
        What is wrong, or None.
    """
    owners = {make_digest(name, attempt): name for name in services}
    if not digests:
        return "no part is named"
    if len(set(digests)) != len(digests):
        return "a part is named twice"
    if any(digest not in owners for digest in digests):
        return "a digest is no answer to this request"
    parts = b"".join(make_records(owners[digest], attempt) for digest in digests)
    records = sorted(parts[at : at + 16] for at in range(0, len(parts), 16))
    if body != b"".join(reversed(records[-top:])):
        return "the records are not the greatest of the parts"
    return None
