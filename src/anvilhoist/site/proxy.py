"""A loopback proxy that harms the connections through it."""

from __future__ import annotations

import asyncio
import socket
import struct
from dataclasses import dataclass, field

RESET = struct.pack("ii", 1, 0)
DELAY_S = 0.15
MODES = ("pass", "delay", "reset", "silent", "one_way")


@dataclass(slots=True)
class Proxy:
    """Passes bytes between callers of one address and a server.

    Parameters
    ----------
    target : str
        Address of the server.
    """

    target: str
    address: str = ""
    mode: str = "pass"
    _server: asyncio.Server | None = None
    _open: set[asyncio.StreamWriter] = field(default_factory=set)

    async def listen(self, host: str) -> None:
        """Listen on a free port of a host."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def set_mode(self, mode: str) -> None:
        """Harm the connections from now on; `reset` also ends the open ones."""
        self.mode = mode
        if mode == "reset":
            for writer in list(self._open):
                _reset(writer)

    def close(self) -> None:
        """Stop to listen and end all connections."""
        self._server.close()
        for writer in list(self._open):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        if self.mode == "reset":
            _reset(writer)
            return
        host, _, port = self.target.partition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            _reset(writer)
            return
        self._open |= {writer, far_writer}
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pass(reader, far_writer, back=False))
                group.create_task(self._pass(far_reader, writer, back=True))
        except* OSError:
            pass
        finally:
            self._open -= {writer, far_writer}
            writer.transport.abort()
            far_writer.transport.abort()

    async def _pass(self, reader, writer, back: bool) -> None:
        while data := await reader.read(65536):
            if self.mode == "delay":
                await asyncio.sleep(DELAY_S)
            while self.mode == "silent" or (self.mode == "one_way" and back):
                await asyncio.sleep(0.05)
            writer.write(data)
            await writer.drain()
        raise ConnectionResetError


def _reset(writer: asyncio.StreamWriter) -> None:
    raw = writer.get_extra_info("socket")
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()
