"""Ask another VM for what it has read from the store, and answer such questions."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from urllib.parse import parse_qs

import structlog

from ..errors import ErrorKind, Failure
from ..http.connect import open_connection, send_request
from ..http.exchange import Outcome, ServerConnection
from ..http.messages import Request, Response, encode_request
from ..world.source import HistoryGone
from ..world.view import View
from .messages import ViewMessage, decode_view, encode_view, pack_change

ALL_PATH = "/peers/view"
CHANGES_PATH = "/peers/changes"
ANSWER_LIMIT_S = 0.8  # s for one answer of a peer, beyond the wait it was asked for
CONNECT_TIMEOUT_S = 0.3  # s; a peer that was heard just now answers at once
LONGEST_WAIT_S = 5.0  # s for which a question may wait here


@dataclass(slots=True)
class PeerClient:
    """Asks one VM; carries one question at a time.

    Parameters
    ----------
    address : str
        IP number and port at which it answers other VMs.
    """

    address: str
    _connection: ServerConnection | None = None

    async def read_all(self) -> ViewMessage | Failure:
        """Ask for everything that it has read."""
        found = await self._ask(ALL_PATH, ANSWER_LIMIT_S)
        if isinstance(found, HistoryGone):
            return Failure(ErrorKind.PEER_LOST, "it keeps no history of everything")
        return found

    async def read_changes(
        self, after: int, wait_s: float
    ) -> ViewMessage | HistoryGone | Failure:
        """Ask for what changed after a revision, as soon as it has heard the store."""
        path = f"{CHANGES_PATH}?after={after}&wait_ms={int(wait_s * 1000)}"
        return await self._ask(path, wait_s + ANSWER_LIMIT_S)

    def close(self) -> None:
        """Give up the connection; the next question opens another."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _ask(
        self, path: str, limit_s: float
    ) -> ViewMessage | HistoryGone | Failure:
        try:
            async with asyncio.timeout(limit_s):
                outcome = await self._exchange(path)
        except OSError as error:
            outcome = Failure(ErrorKind.PEER_LOST, repr(error))
        if isinstance(outcome, Failure):
            self.close()
            return Failure(ErrorKind.PEER_LOST, outcome.detail)
        if outcome.status == 410:
            return HistoryGone()
        message = decode_view(outcome.body) if outcome.status == 200 else None
        return message or Failure(ErrorKind.PEER_LOST, f"status {outcome.status}")

    async def _exchange(self, path: str) -> Outcome:
        if self._connection is None or not self._connection.reusable:
            self.close()
            self._connection = await open_connection(self.address, CONNECT_TIMEOUT_S)
        headers = [(b"host", self.address.encode())]
        data = encode_request(b"GET", path.encode(), headers, b"")
        return await send_request(self._connection, data)


async def answer_peer(view: View, request: Request) -> Response:
    """Answer a VM that asks for what this one has read."""
    if request.path not in (ALL_PATH, CHANGES_PATH):
        return Response(404)
    if not view.has_configuration:
        return Response(503)
    if request.path == ALL_PATH:
        changes = view.take_snapshot().changes
    else:
        found = _read_question(request)
        if found is None:
            return Response(400)
        after, wait_s = found
        if after >= view.revision:
            await view.change_log.wait_for_sync(min(wait_s, LONGEST_WAIT_S))
        changes = view.change_log.list_since(after)
        if changes is None:
            return Response(410)
    message = ViewMessage(
        view.revision,
        tuple(pack_change(change) for change in changes),
        view.age_s,
        view.grace_left_s,
    )
    return Response(200, [], encode_view(message))


def _read_question(request: Request) -> tuple[int, float] | None:
    values = parse_qs(request.target.decode("latin-1").partition("?")[2])
    try:
        return int(values["after"][0]), int(values["wait_ms"][0]) / 1000
    except (KeyError, ValueError):
        structlog.get_logger().info(
            "peer_question_refused", target=request.target.decode("latin-1")[:80]
        )
        return None
