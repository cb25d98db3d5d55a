"""Open connections to servers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .exchange import Outcome, ServerConnection
from .messages import Headers


def _ignore(connection: ServerConnection) -> None:
    return


async def open_connection(
    address: str,
    limit_s: float,
    on_closed: Callable[[ServerConnection], None] = _ignore,
) -> ServerConnection:
    """Open a connection to a server.

    Parameters
    ----------
    address : str
        IP number and port.
    limit_s : float
        Longest time to wait, in seconds.
    on_closed : callable
        Told when the connection has ended.

    Raises
    ------
    OSError
        If the server can't be reached in time; a timeout is one of these.
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(limit_s):
        _, connection = await loop.create_connection(
            lambda: ServerConnection(on_closed), host, int(port)
        )
    return connection


async def send_request(connection: ServerConnection, data: bytes) -> Outcome:
    """Send a request and wait for its outcome; whatever comes belongs to it.

    Parameters
    ----------
    connection : ServerConnection
        A connection without a request.
    data : bytes
        The request's bytes.
    """
    done: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()

    def deliver(outcome: Outcome) -> None:
        if not done.done():
            done.set_result(outcome)

    connection.send(data, _accept, deliver)
    return await done


def _accept(status: int, headers: Headers) -> bool:
    return True
