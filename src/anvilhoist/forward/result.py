"""What comes of a request, in the project's terms; each edge encodes it."""

from __future__ import annotations

from dataclasses import dataclass

from ..errors import ErrorKind
from ..http.exchange import Reply


@dataclass(frozen=True, slots=True)
class GatherResult:
    """Merged parts of a query over many shards.

    Attributes
    ----------
    version : int
        Configuration whose shards were asked.
    digests : tuple of bytes
        One for each part that is in.
    missing : tuple of str
        Services of the shards that are left out.
    body : bytes
        The greatest records of the parts, 16 bytes each, falling.
    """

    version: int
    digests: tuple[bytes, ...]
    missing: tuple[str, ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Refusal:
    """No result.

    Attributes
    ----------
    kind : ErrorKind
        Why; its answer tells whether the request ran.
    retry_after_s : float or None
        When the caller may come back, in seconds, where that says something.
    """

    kind: ErrorKind
    retry_after_s: float | None = None


ForwardResult = GatherResult | Reply | Refusal
