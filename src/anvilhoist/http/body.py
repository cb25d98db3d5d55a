"""Body of a message that is being received."""

from __future__ import annotations

PIECE_BYTES = 4096  # smaller pieces are joined up to this size


class Body:
    """Body that is being received, in pieces.

    One buffer that grows would be copied again and again, and leave holes of all sizes
    in the process's memory.

    Attributes
    ----------
    size_bytes : int
        Size of what has been received.
    """

    __slots__ = ("_pieces", "_small", "size_bytes")

    def __init__(self) -> None:
        self.size_bytes = 0
        self._pieces: list[bytes] = []
        self._small: bytearray | None = None

    def add(self, data: bytes) -> None:
        """Add received bytes."""
        self.size_bytes += len(data)
        if self._small is None:
            if not self._pieces or len(data) >= PIECE_BYTES:
                self._pieces.append(data)
                return
            self._small = bytearray()
        self._small += data
        if len(self._small) >= PIECE_BYTES:
            self._pieces.append(bytes(self._small))
            self._small = None

    def join(self) -> bytes:
        """Return all that was received."""
        if self._small is not None:
            return b"".join((*self._pieces, self._small))
        if len(self._pieces) == 1:
            return self._pieces[0]
        return b"".join(self._pieces)
