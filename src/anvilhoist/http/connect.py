"""Open client connections and send single requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from .client_budget import ClientBudget
from .exchange import ServerConnection
from .messages import Headers
from .replies import Outcome, ResponseOrigin, ServerRequest


def _ignore_close(connection: ServerConnection) -> None:
    return


async def open_connection(
    address: str,
    timeout_s: float,
    on_closed: Callable[[ServerConnection], None] = _ignore_close,
) -> ServerConnection:
    """Open a connection to a server.

    Parameters
    ----------
    address : str
        IP address and port.
    timeout_s : float
        Longest time to wait for the connection, in seconds.
    on_closed : callable
        Called once with the connection, when it has been closed or lost.

    Raises
    ------
    OSError
        If the connection fails, or is not established within `timeout_s`
        (`TimeoutError`).
    """
    host, _, port = address.rpartition(":")
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        _, connection = await loop.create_connection(
            lambda: ServerConnection(on_closed), host, int(port)
        )
    return connection


async def open_first_connection(
    address: str, timeout_s: float, interval_s: float
) -> ServerConnection:
    """Open a connection by the first of several attempts that is established.

    A first packet that is lost is sent again by the kernel only after a second.

    Parameters
    ----------
    address : str
        IP address and port.
    timeout_s : float
        Longest time to wait for a connection, in seconds.
    interval_s : float
        Time after which an attempt that is pending is followed by another, in seconds.

    Raises
    ------
    OSError
        If an attempt fails, or none is established within `timeout_s`
        (`TimeoutError`).
    """
    attempts: list[asyncio.Task[ServerConnection]] = []
    try:
        async with asyncio.timeout(timeout_s):
            while not any(attempt.done() for attempt in attempts):
                connecting = open_connection(address, timeout_s)
                attempts.append(asyncio.ensure_future(connecting))
                await asyncio.wait(
                    attempts,
                    timeout=interval_s,
                    return_when=asyncio.FIRST_COMPLETED,
                )
        first = next(attempt for attempt in attempts if attempt.done())
        attempts.remove(first)
        return first.result()
    finally:
        for attempt in attempts:
            attempt.add_done_callback(_discard_connection)
            attempt.cancel()


def _discard_connection(attempt: asyncio.Task[ServerConnection]) -> None:
    if not attempt.cancelled() and attempt.exception() is None:
        attempt.result().abort()


async def send_request(
    connection: ServerConnection, data: bytes, budget: ClientBudget | None = None
) -> Outcome:
    """Send a request and wait for its outcome, without a time limit.

    Any final response on the connection is taken as the response to this request.

    Parameters
    ----------
    connection : ServerConnection
        A connection that carries no request.
    data : bytes
        The request's bytes.
    budget : ClientBudget or None
        Counts what is received for the request; None if no client is the cause of it.

    Returns
    -------
    Reply or Failure
        The response whatever its status, or the reason why there is none.
    """
    future: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()

    def set_outcome(outcome: Outcome) -> None:
        if not future.done():
            future.set_result(outcome)

    connection.send(ServerRequest(data, _read_no_origin, budget=budget), set_outcome)
    return await future


def _read_no_origin(headers: Headers) -> ResponseOrigin:
    return ResponseOrigin.UNNAMED
