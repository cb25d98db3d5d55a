"""A loopback proxy that injects faults into the connections through it."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass, field

# SO_LINGER with a time of 0 s: closing sends RST instead of FIN.
LINGER_ZERO = struct.pack("ii", 1, 0)
CHUNK_DELAY_S = 0.15  # Delay of each chunk of up to 64 KiB, in both directions.
MODES = ("pass", "delay", "reset", "silent", "one_way")


@dataclass(slots=True)
class Proxy:
    """Forwards bytes between clients and a server.

    The modes are `pass`; `delay`, which delays each chunk; `reset`, which resets open
    and new connections; and `silent` and `one_way`, which hold back all bytes, or only
    those from the server, until the mode changes.

    Parameters
    ----------
    target : str
        Address of the server.
    address : str
        Address of the proxy, set by `listen`.
    mode : str
        One of `MODES`.
    """

    target: str
    address: str = ""
    mode: str = "pass"
    _server: asyncio.Server | None = None
    _open_writers: set[asyncio.StreamWriter] = field(default_factory=set)

    async def listen(self, host: str) -> None:
        """Listen on a free port of an IP address."""
        self._server = await asyncio.start_server(self._handle_connection, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def set_mode(self, mode: str) -> None:
        """Set the mode of all connections; `reset` resets the open ones at once."""
        self.mode = mode
        if mode == "reset":
            for writer in list(self._open_writers):
                _reset_connection(writer)

    def close(self) -> None:
        """Stop listening and abort all connections."""
        self._server.close()
        for writer in list(self._open_writers):
            writer.transport.abort()

    async def _handle_connection(self, reader, writer) -> None:
        if self.mode == "reset":
            _reset_connection(writer)
            return
        host, _, port = self.target.partition(":")
        try:
            server_reader, server_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            _reset_connection(writer)
            return
        self._open_writers |= {writer, server_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._copy(reader, server_writer, from_server=False))
                group.create_task(self._copy(server_reader, writer, from_server=True))
        except* OSError:
            pass
        finally:
            self._open_writers -= {writer, server_writer}
            writer.transport.abort()
            server_writer.transport.abort()

    async def _copy(self, reader, writer, from_server: bool) -> None:
        while data := await reader.read(65536):
            if self.mode == "delay":
                await asyncio.sleep(CHUNK_DELAY_S)
            while self.mode == "silent" or (self.mode == "one_way" and from_server):
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
        # The exception makes the task group cancel the other direction too.
        raise ConnectionResetError


def _reset_connection(writer: asyncio.StreamWriter) -> None:
    connection_socket = writer.get_extra_info("socket")
    connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()
