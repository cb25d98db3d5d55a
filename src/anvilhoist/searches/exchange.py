"""Ask the VM that issued a ticket."""

from __future__ import annotations

import asyncio

import msgspec
from expression import Error, Ok, Result

from ..errors import ErrorKind, Failure
from ..http.connect import open_connection, send_request
from ..http.exchange import Outcome, Reply
from ..http.messages import encode_request
from ..peers.exchange import CONNECT_TIMEOUT_S
from ..peers.members import Members
from .messages import DEADLINE_DEFAULT_MS, BookingCall, IssuerAnswer

PATH = "/peers/tickets"
ANSWER_SLACK_S = 0.3  # s beyond the booking's own time


async def ask_issuer(
    members: Members, vm: str, asked: BookingCall | str
) -> Result[str, Failure]:
    """Ask the issuer of a ticket to run its booking, or for its outcome.

    Whether the ticket was used before, only its issuer knows. So nothing that is
    known here is a reason to say that it was not run.

    Parameters
    ----------
    members : Members
        The other VMs.
    vm : str
        Name of the issuer.
    asked : BookingCall or str
        The booking, or the ticket whose outcome is asked for.
    """
    recent = {heartbeat.vm: heartbeat for heartbeat in members.list_recent()}
    if vm not in recent:
        return Error(Failure(ErrorKind.TICKET_LOST, "its issuer is not heard"))
    wait_ms = asked.deadline_ms if isinstance(asked, BookingCall) else None
    limit_s = (wait_ms or DEADLINE_DEFAULT_MS) / 1000 + ANSWER_SLACK_S
    try:
        async with asyncio.timeout(limit_s):
            outcome = await _exchange(recent[vm].peers_address, asked)
    except OSError as error:
        return Error(
            Failure(ErrorKind.OUTCOME_UNKNOWN, f"{vm}: {type(error).__name__}")
        )
    return _read(outcome, vm)


async def _exchange(address: str, asked: BookingCall | str) -> Outcome:
    connection = await open_connection(address, CONNECT_TIMEOUT_S)
    headers = [(b"host", address.encode())]
    body = msgspec.json.encode(asked)
    try:
        data = encode_request(b"POST", PATH.encode(), headers, body)
        return await send_request(connection, data)
    finally:
        connection.abort()


def _read(outcome: Outcome, vm: str) -> Result[str, Failure]:
    if not isinstance(outcome, Reply):
        return Error(Failure(ErrorKind.OUTCOME_UNKNOWN, f"{vm}: {outcome.detail}"))
    if outcome.status != 200:
        return Error(
            Failure(ErrorKind.OUTCOME_UNKNOWN, f"{vm}: status {outcome.status}")
        )
    try:
        answer = msgspec.json.decode(outcome.body, type=IssuerAnswer)
        if answer.value is not None:
            return Ok(answer.value)
        return Error(Failure(ErrorKind(answer.kind), answer.detail))
    except ValueError as error:
        return Error(Failure(ErrorKind.OUTCOME_UNKNOWN, f"{vm}: {error}"))
