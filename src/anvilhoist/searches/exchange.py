"""Requests to the VM that issued a ticket."""

from __future__ import annotations

import asyncio

import msgspec
from expression import Error, Ok, Result

from ..errors import ErrorKind, Failure
from ..http.client_budget import ClientBudget
from ..http.connect import open_connection, send_request
from ..http.messages import encode_request
from ..http.replies import Outcome, Reply
from ..peers.exchange import CONNECT_TIMEOUT_S
from ..peers.members import Members
from .messages import DEADLINE_DEFAULT_MS, BookingCall, IssuerAnswer

TICKETS_PATH = "/peers/tickets"
ISSUER_ANSWER_MARGIN_S = 0.3  # wait for the issuer beyond the booking's deadline


async def ask_issuer(
    members: Members,
    vm: str,
    call_or_ticket: BookingCall | str,
    budget: ClientBudget,
) -> Result[str, Failure]:
    """Ask the issuer of a ticket to run its booking, or for its outcome.

    Only the issuer knows whether the ticket was used before. Therefore no failure to
    reach it, not even a refused connection, is reported as "not run".

    Parameters
    ----------
    members : Members
        The other VMs.
    vm : str
        Name of the VM that issued the ticket.
    call_or_ticket : BookingCall or str
        The booking, or the ticket whose outcome is requested.
    budget : ClientBudget
        Counts what is received, as a client is the cause of it.

    Returns
    -------
    Result
        The upstream's confirmation of the booking, or the failure.
    """
    recent = {heartbeat.vm: heartbeat for heartbeat in members.list_recent()}
    if vm not in recent:
        return Error(
            Failure(
                ErrorKind.TICKET_LOST, "no recent heartbeat from the ticket's issuer"
            )
        )
    deadline_ms = (
        call_or_ticket.deadline_ms if isinstance(call_or_ticket, BookingCall) else None
    )
    timeout_s = (deadline_ms or DEADLINE_DEFAULT_MS) / 1000 + ISSUER_ANSWER_MARGIN_S
    try:
        async with asyncio.timeout(timeout_s):
            outcome = await _send_to_issuer(
                recent[vm].peers_address, call_or_ticket, budget
            )
    except OSError as error:
        return Error(
            Failure(ErrorKind.OUTCOME_UNKNOWN, f"issuer {vm}: {type(error).__name__}")
        )
    return _parse_answer(outcome, vm)


async def _send_to_issuer(
    address: str, call_or_ticket: BookingCall | str, budget: ClientBudget
) -> Outcome:
    connection = await open_connection(address, CONNECT_TIMEOUT_S)
    headers = [(b"host", address.encode())]
    body = msgspec.json.encode(call_or_ticket)
    try:
        data = encode_request(b"POST", TICKETS_PATH.encode(), headers, body)
        return await send_request(connection, data, budget)
    finally:
        connection.abort()


def _parse_answer(outcome: Outcome, vm: str) -> Result[str, Failure]:
    if not isinstance(outcome, Reply):
        return Error(
            Failure(ErrorKind.OUTCOME_UNKNOWN, f"issuer {vm}: {outcome.detail}")
        )
    if outcome.status != 200:
        return Error(
            Failure(ErrorKind.OUTCOME_UNKNOWN, f"issuer {vm}: status {outcome.status}")
        )
    try:
        answer = msgspec.json.decode(outcome.body, type=IssuerAnswer)
        if answer.value is not None:
            return Ok(answer.value)
        return Error(Failure(ErrorKind(answer.kind), answer.detail))
    except ValueError as error:
        return Error(Failure(ErrorKind.OUTCOME_UNKNOWN, f"issuer {vm}: {error}"))
