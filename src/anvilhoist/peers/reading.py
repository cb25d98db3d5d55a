"""Read through other VMs, and from any of them while the store can't be read."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import structlog

from ..errors import Failure
from ..world.model import Snapshot
from ..world.source import HistoryGone
from ..world.view import View
from .exchange import PeerClient
from .members import Members
from .messages import Heartbeat, ViewMessage, VmState, unpack_changes
from .relays import STORE_READERS, choose_relays

RELAY_INDEXES = range(STORE_READERS)
# How long a relay may wait for changes; a paused relay is detected after this.
CHANGES_WAIT_S = 1.0
ROLE_CHECK_INTERVAL_S = 0.2  # between two checks whether this VM reads through others
RELAY_RETRY_S = 0.3  # after a failed request to a relay


@dataclass(slots=True)
class PeerReader:
    """Reads published state from other VMs.

    Parameters
    ----------
    members : Members
        The other VMs.
    view : View
        Receives what they have read.
    """

    members: Members
    view: View
    _relays: tuple[str, ...] = ()
    _lost_relays: set[str] = field(default_factory=set)

    @property
    def reads_store(self) -> bool:
        """Whether this VM reads the store itself: it has no relay, or none answers."""
        return self._lost_relays.issuperset(self._relays)

    def update_relays(self, now: float = 0.0) -> None:
        """Choose the relays anew; `now` is passed by timers and not used."""
        near = [
            heartbeat.host
            for heartbeat in self.members.list_in_data_centre()
            if heartbeat.state is VmState.READY
        ]
        relays = choose_relays(self.members.host, near)
        if relays == self._relays:
            return
        self._relays = relays
        structlog.get_logger().info(
            "reads_through", relays=relays or "the store", near=len(near)
        )

    async def follow_relay(self, index: int) -> None:
        """Read through the relay of an index below `STORE_READERS`, until cancelled.

        Relays are read concurrently, so that one that is cut off, paused or behind
        delays nothing. Nothing is read until there are such a relay and a
        configuration.
        """
        client: PeerClient | None = None
        while True:
            relay = self._find_relay(index)
            if relay is None or not self.view.has_configuration:
                await asyncio.sleep(ROLE_CHECK_INTERVAL_S)
                continue
            if client is None or client.address != relay.peers_address:
                if client is not None:
                    client.close()
                client = PeerClient(relay.peers_address)
            if not await self._read_changes(client, relay):
                await asyncio.sleep(RELAY_RETRY_S)

    async def fetch_newer(self, revision: int) -> Snapshot | None:
        """Return a peer's snapshot if a live peer is past `revision`, else None.

        The peer with the newest revision is asked; None is also returned if it does
        not answer.
        """
        alive = set(self.members.list_alive_hosts())
        newer = [
            heartbeat
            for heartbeat in self.members.list_recent()
            if heartbeat.host in alive and heartbeat.view_revision > revision
        ]
        if not newer:
            return None
        peer = max(newer, key=lambda heartbeat: heartbeat.view_revision)
        client = PeerClient(peer.peers_address)
        found = await client.read_all()
        client.close()
        if isinstance(found, Failure):
            structlog.get_logger().info(
                "peer_unread", peer=peer.vm, problem=found.detail[:80]
            )
            return None
        return _unpack_snapshot(found)

    async def _read_changes(self, client: PeerClient, relay: Heartbeat) -> bool:
        found = await client.read_changes(self.view.revision, CHANGES_WAIT_S)
        if isinstance(found, HistoryGone):
            found = await client.read_all()
            if isinstance(found, ViewMessage):
                self.view.replace(_unpack_snapshot(found))
        elif isinstance(found, ViewMessage):
            self.view.extend_grace_period(found.doubt_s)
            self.view.apply(found.view_revision, unpack_changes(found), found.age_s)
            self.view.confirm_removals(found.confirmed_revision)
        self._log_relay(relay, found)
        return isinstance(found, ViewMessage)

    def _find_relay(self, index: int) -> Heartbeat | None:
        if index >= len(self._relays):
            return None
        host = self._relays[index]
        near = self.members.list_in_data_centre()
        return next((found for found in near if found.host == host), None)

    def _log_relay(self, relay: Heartbeat, found: ViewMessage | Failure) -> None:
        if isinstance(found, Failure) and relay.host not in self._lost_relays:
            self._lost_relays.add(relay.host)
            structlog.get_logger().info(
                "relay_lost", relay=relay.vm, problem=found.detail[:80]
            )
        elif isinstance(found, ViewMessage) and relay.host in self._lost_relays:
            self._lost_relays.discard(relay.host)
            structlog.get_logger().info("relay_regained", relay=relay.vm)


def _unpack_snapshot(message: ViewMessage) -> Snapshot:
    return Snapshot(
        message.view_revision,
        unpack_changes(message),
        message.age_s,
        message.doubt_s,
        message.confirmed_revision,
    )
