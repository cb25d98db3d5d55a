"""Write responses to a client, and know what it has not read yet."""

from __future__ import annotations

import asyncio

from .messages import JOINED_BODY_BYTES, Response, encode_response_head


class ResponseWriter:
    """Writer of the responses on one connection.

    Parameters
    ----------
    transport : asyncio.Transport
        Transport of the connection, whose protocol calls `pause` and `resume`.

    Attributes
    ----------
    held_bytes : int
        Size of the responses that the client has not read completely.
    """

    def __init__(self, transport: asyncio.Transport):
        self._transport = transport
        # `pause` is called whenever a response is not sent at once.
        transport.set_write_buffer_limits(0)
        self._writable: asyncio.Future | None = None
        self._unsent_bytes = 0  # at the last call of `write` or `has_progressed`
        self.held_bytes = 0

    @property
    def is_blocked(self) -> bool:
        """Whether the client does not read as fast as responses are written."""
        return self._writable is not None

    def pause(self) -> None:
        """Note that a response is not sent completely."""
        self._writable = asyncio.get_running_loop().create_future()

    def resume(self) -> None:
        """Note that all responses are sent."""
        if self._writable is not None and not self._writable.done():
            self._writable.set_result(None)
        self._writable = None
        self.held_bytes = 0

    async def wait(self) -> None:
        """Wait until all responses are sent."""
        if self._writable is not None:
            await self._writable

    def write(self, response: Response, close: bool) -> None:
        """Write a response; `close` announces that the connection ends with it."""
        head = encode_response_head(response, close)
        if len(response.body) <= JOINED_BODY_BYTES:
            self._transport.write(head + response.body)
        else:
            self._transport.writelines((head, response.body))
        if self._writable is not None:
            self.held_bytes += len(head) + len(response.body)
            self._unsent_bytes = self._transport.get_write_buffer_size()

    def has_progressed(self) -> bool:
        """Return whether the client has read anything since the last call."""
        before, self._unsent_bytes = (
            self._unsent_bytes,
            self._transport.get_write_buffer_size(),
        )
        return self._unsent_bytes < before
