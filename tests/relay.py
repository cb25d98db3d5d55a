"""A small relay before each dispatch process, through which tests cut links."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass(slots=True)
class Relay:
    """Forwards connections to one target, but for sources that are cut off.

    A cut swallows bytes and leaves the connection open, as a lost network does.
    """

    host: str
    port: int
    target_port: int
    cut_sources: set[str] = field(default_factory=set)
    _writers: dict[asyncio.StreamWriter, str] = field(default_factory=dict)
    _server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._run, self.host, self.port)

    async def stop(self) -> None:
        self._server.close()
        self._abort(set(self._writers.values()))

    def cut(self, source: str) -> None:
        self.cut_sources.add(source)

    def heal(self) -> None:
        """Forward again; connections that lost bytes are closed."""
        self._abort(self.cut_sources)
        self.cut_sources = set()

    def _abort(self, sources: set[str]) -> None:
        for writer, source in list(self._writers.items()):
            if source in sources:
                writer.transport.abort()

    async def _run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        source = writer.get_extra_info("peername")[0]
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.host, self.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        self._writers[writer] = source
        try:
            tasks = [
                asyncio.create_task(self._copy(source, reader, far_writer)),
                asyncio.create_task(self._copy(source, far_reader, writer)),
            ]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            for task in tasks:
                task.cancel()
        finally:
            del self._writers[writer]
            writer.transport.abort()
            far_writer.transport.abort()

    async def _copy(
        self, source: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                if source not in self.cut_sources:
                    writer.write(data)
                    await writer.drain()
        except OSError:
            return
