"""Request what another VM has read from the store, and answer such requests."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from urllib.parse import parse_qs, urlencode

import structlog

from ..errors import ErrorKind, Failure
from ..http.connect import open_connection, send_request
from ..http.exchange import ServerConnection
from ..http.messages import Request, Response, encode_request
from ..http.replies import Outcome
from ..world.era import get_era, get_store_revision, join_revision
from ..world.source import HistoryGone
from ..world.view import View
from .messages import ViewMessage, decode_view, encode_view, pack_change

VIEW_PATH = "/peers/view"
CHANGES_PATH = "/peers/changes"
RESPONSE_TIMEOUT_S = 0.8  # added to the wait that the peer is asked for
CONNECT_TIMEOUT_S = 0.3  # short, as a peer that was just heard answers at once
MAX_WAIT_S = 5.0  # bounds the wait that a peer may ask for


@dataclass(slots=True)
class PeerClient:
    """Client of one VM; it carries one request at a time.

    Parameters
    ----------
    address : str
        IP address and port at which the VM answers other VMs.
    """

    address: str
    _connection: ServerConnection | None = None

    async def read_all(self) -> ViewMessage | Failure:
        """Request everything that the VM has read."""
        found = await self._request(VIEW_PATH, RESPONSE_TIMEOUT_S)
        if isinstance(found, HistoryGone):
            return Failure(ErrorKind.PEER_LOST, "unexpected status 410 for a full view")
        return found

    async def read_changes(
        self, after: int, wait_s: float
    ) -> ViewMessage | HistoryGone | Failure:
        """Request the changes after a revision.

        The VM answers at once if it has any; otherwise at its next sync, or after
        `wait_s` seconds. Return `HistoryGone` if it no longer keeps the changes.
        """
        query = urlencode(
            {
                "after": get_store_revision(after),
                "era": get_era(after),
                "wait_ms": int(wait_s * 1000),
            }
        )
        path = f"{CHANGES_PATH}?{query}"
        return await self._request(path, wait_s + RESPONSE_TIMEOUT_S)

    def close(self) -> None:
        """Close the connection; the next request opens another."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _request(
        self, path: str, timeout_s: float
    ) -> ViewMessage | HistoryGone | Failure:
        try:
            async with asyncio.timeout(timeout_s):
                outcome = await self._send(path)
        except OSError as error:
            outcome = Failure(ErrorKind.PEER_LOST, repr(error))
        if isinstance(outcome, Failure):
            self.close()
            return Failure(ErrorKind.PEER_LOST, outcome.detail)
        if outcome.status == 410:
            return HistoryGone()
        message = decode_view(outcome.body) if outcome.status == 200 else None
        return message or Failure(
            ErrorKind.PEER_LOST, f"status {outcome.status}, no valid view"
        )

    async def _send(self, path: str) -> Outcome:
        if self._connection is None or not self._connection.reusable:
            self.close()
            self._connection = await open_connection(self.address, CONNECT_TIMEOUT_S)
        headers = [(b"host", self.address.encode())]
        data = encode_request(b"GET", path.encode(), headers, b"")
        return await send_request(self._connection, data)


async def answer_peer(view: View, request: Request) -> Response:
    """Answer another VM's request for what this one has read.

    The status is 503 until a configuration is in force, and 410 if changes are asked
    for that are no longer kept.
    """
    if request.path not in (VIEW_PATH, CHANGES_PATH):
        return Response(404)
    if not view.has_configuration:
        return Response(503)
    if request.path == VIEW_PATH:
        changes = view.take_snapshot().changes
    else:
        found = _parse_changes_query(request, get_era(view.revision))
        if found is None:
            return Response(400)
        after, wait_s = found
        if after >= view.revision:
            await view.change_log.wait_for_sync(min(wait_s, MAX_WAIT_S))
        changes = view.change_log.list_since(after)
        if changes is None:
            return Response(410)
    era = get_era(view.revision)
    confirms = get_era(view.confirmed_revision) == era
    message = ViewMessage(
        get_store_revision(view.revision),
        tuple(pack_change(change) for change in changes),
        view.age_s,
        view.grace_left_s,
        get_store_revision(view.confirmed_revision) if confirms else 0,
        era,
    )
    return Response(200, [], encode_view(message))


def _parse_changes_query(request: Request, era: int) -> tuple[int, float] | None:
    """Return the revision and the longest wait in seconds, or None if malformed.

    A VM that names no era is taken to be in this one.
    """
    values = parse_qs(request.target.decode("latin-1").partition("?")[2])
    try:
        era = int(values.get("era", [era])[0])
        after = join_revision(era, int(values["after"][0]))
        return after, int(values["wait_ms"][0]) / 1000
    except (KeyError, ValueError):
        structlog.get_logger().info(
            "peer_question_refused", target=request.target.decode("latin-1")[:80]
        )
        return None
