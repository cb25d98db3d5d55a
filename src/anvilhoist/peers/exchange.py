"""Ask another VM for what it has read from the store."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

import structlog

from ..errors import Failure, Kind
from ..http.connect import open_connection
from ..http.exchange import Outcome, Reply
from ..http.messages import Request, Response, encode_request
from ..world.model import Published
from ..world.view import View
from .members import Members
from .messages import Heartbeat, decode_published, encode_published

PATH = "/peers/published"
ASK_LIMIT_S = 0.8  # s for one answer of a peer
CONNECT_LIMIT_S = 0.3  # s; a peer that was heard just now answers at once


@dataclass(slots=True)
class PeerReader:
    """Reads from the VM whose view is the newest.

    Parameters
    ----------
    members : Members
        The other VMs.
    """

    members: Members

    async def ask(self, revision: int) -> Published | None:
        """Ask for all that is published, if a peer knows more than `revision`."""
        heard = set(self.members.list_heard())
        newer = [
            heartbeat
            for heartbeat in self.members.list_known()
            if heartbeat.host in heard and heartbeat.revision > revision
        ]
        if not newer:
            return None
        return await self._ask_one(max(newer, key=lambda beat: beat.revision))

    async def _ask_one(self, peer: Heartbeat) -> Published | None:
        try:
            async with asyncio.timeout(ASK_LIMIT_S):
                outcome = await _exchange(peer.peers_address)
        except OSError as error:
            outcome = Failure(Kind.PEER_LOST, repr(error))
        if isinstance(outcome, Reply) and outcome.status == 200:
            return decode_published(outcome.body)
        structlog.get_logger().info(
            "peer_unread", peer=peer.vm, found=str(outcome)[:80]
        )
        return None


async def _exchange(address: str) -> Outcome:
    connection = await open_connection(address, CONNECT_LIMIT_S)
    done: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()

    def deliver(outcome: Outcome) -> None:
        if not done.done():
            done.set_result(outcome)

    headers = [(b"host", address.encode())]
    data = encode_request(b"GET", PATH.encode(), headers, b"")
    connection.send(data, lambda status, headers: True, deliver)
    try:
        return await done
    finally:
        connection.abort()


async def answer_peer(view: View, request: Request) -> Response:
    """Answer a VM that asks for what this one has read."""
    if request.path != PATH:
        return Response(404)
    if not view.known:
        return Response(503)
    return Response(200, [], encode_published(view.list_published()))
