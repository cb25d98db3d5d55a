"""Turns of the event loop in which input from outside is parsed."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

SLICE_BYTES = 4096  # parsed at a time for one connection
TURN_BYTES = 4 * SLICE_BYTES  # parsed in one turn of the event loop, for all of them
# Below this, what a turn may parse is renewed in the next one.
RENEWED_BYTES = TURN_BYTES // 2
# Slices of new messages that go before one slice of a message that goes on.
NEW_PER_CONTINUED = 4


class InputParser(Protocol):
    """A connection with input that waits to be parsed."""

    @property
    def can_parse(self) -> bool:
        """Whether there is input that may be parsed now."""

    def parse_slice(self, size_bytes: int) -> int:
        """Parse some input and return its cost, in bytes of the costliest input."""


@dataclass(slots=True)
class ParseQueue:
    """Connections with input that waits to be parsed, served in turn.

    Input may cost a thousand times its usual processor time, for example in chunks of
    one byte. So a turn of the event loop parses a bounded number of bytes, in slices,
    and new messages go before those that have had a slice already.
    """

    _new: deque[InputParser] = field(default_factory=deque)
    _continued: deque[InputParser] = field(default_factory=deque)
    _waiting: set[InputParser] = field(default_factory=set)
    _bytes_left: int = TURN_BYTES
    _new_in_a_row: int = 0
    _is_turn_scheduled: bool = False

    @property
    def is_busy(self) -> bool:
        """Whether any input waits for a later turn."""
        return bool(self._waiting)

    def has_room_for(self, size_bytes: int) -> bool:
        """Return whether input may be parsed at once and charged afterwards.

        This is a cheaper `submit` for input that fits in one slice.
        """
        return size_bytes <= SLICE_BYTES and self._bytes_left > 0 and not self._waiting

    def charge(self, cost_bytes: int) -> None:
        """Count input that was parsed at once."""
        self._bytes_left -= cost_bytes
        if self._bytes_left < RENEWED_BYTES:
            self._schedule_turn()

    def submit(self, connection: InputParser, is_new: bool) -> None:
        """Parse a connection's input, now or in a later turn.

        Parameters
        ----------
        connection : InputParser
            The connection; if it waits already, it keeps its place.
        is_new : bool
            Whether its input begins a message and fits in a slice, and no request
            before it is unanswered.
        """
        if connection in self._waiting:
            return
        if not self._waiting and self._bytes_left > 0:
            self._parse_slice(connection)
        elif connection.can_parse:
            self._wait(connection, self._new if is_new else self._continued)
        if self._waiting or self._bytes_left < RENEWED_BYTES:
            self._schedule_turn()

    def _parse_slice(self, connection: InputParser) -> None:
        if connection.can_parse:
            self._bytes_left -= connection.parse_slice(SLICE_BYTES)
        if connection.can_parse:
            self._wait(connection, self._continued)

    def _wait(self, connection: InputParser, queue: deque[InputParser]) -> None:
        self._waiting.add(connection)
        queue.append(connection)

    def _schedule_turn(self) -> None:
        if not self._is_turn_scheduled:
            self._is_turn_scheduled = True
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _take_next(self) -> InputParser:
        may_take_new = self._new_in_a_row < NEW_PER_CONTINUED or not self._continued
        is_new = bool(self._new) and may_take_new
        self._new_in_a_row = self._new_in_a_row + 1 if is_new else 0
        connection = (self._new if is_new else self._continued).popleft()
        self._waiting.discard(connection)
        return connection

    def _begin_turn(self) -> None:
        self._bytes_left = TURN_BYTES
        self._is_turn_scheduled = False
        try:
            while self._waiting and self._bytes_left > 0:
                self._parse_slice(self._take_next())
        finally:
            # An unexpected error in one connection must not stop the others.
            if self._waiting:
                self._schedule_turn()
