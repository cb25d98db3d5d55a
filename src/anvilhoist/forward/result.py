"""Results of forwarded requests, independent of their encoding."""

from __future__ import annotations

from dataclasses import dataclass

from ..errors import ErrorKind
from ..http.replies import Reply


@dataclass(frozen=True, slots=True)
class GatherResult:
    """Merged answers of the shards of a query.

    Attributes
    ----------
    version : int
        Version of the configuration whose shards were queried.
    digests : tuple of bytes
        Digest of each shard's part that was received.
    missing : tuple of str
        Services of the shards whose parts are missing.
    body : bytes
        The greatest records of the parts, 16 bytes each, in descending order.
    """

    version: int
    digests: tuple[bytes, ...]
    missing: tuple[str, ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Refusal:
    """A request that ended without a result.

    Attributes
    ----------
    kind : ErrorKind
        Why there is no result; its `ErrorResponse` tells whether the request ran.
    retry_after_s : float or None
        Delay before the caller may retry, in seconds; None if a retry can't help or
        is unsafe.
    """

    kind: ErrorKind
    retry_after_s: float | None = None


ForwardResult = GatherResult | Reply | Refusal
