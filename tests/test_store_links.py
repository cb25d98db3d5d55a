"""When a VM whose link to the store was cut knows again what is removed."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from unittest.mock import Mock

import pytest

from anvilhoist.http.messages import Request
from anvilhoist.platform.publish import encode_replica, replica_key
from anvilhoist.platform.store import StoreClient
from anvilhoist.site.store import StoreStandin
from anvilhoist.world.follow import StoreFollower
from anvilhoist.world.model import ReplicaEntry
from anvilhoist.world.view import View
from virtual_time import run_in_virtual_time

CONTACT_S = 4.0  # time after the end of a cut after which the VM is in touch
CHECK_INTERVAL_S = 0.1  # of the timer that ends grace periods
CUT_S = 5.0
PEER_TIMEOUT_S = 0.3  # a peer behind the same cut is given up after this
RETRANSMIT_S = 1.0  # after which the kernel sends a first packet again
ENTRY = ReplicaEntry("i-1", "shard", "10.0.0.1:80", "vaxjo", 3, born_ms=5)


@dataclass(slots=True)
class Link:
    """Link of a VM to the store; a cut drops packets.

    Attributes
    ----------
    late_s : float
        Time until an answer has been read, as on a slow VM, in seconds.
    """

    store: StoreStandin = field(default_factory=StoreStandin)
    is_cut: bool = False
    late_s: float = 0.0

    async def connect(self, make_protocol, host, port):
        if self.is_cut:
            await asyncio.sleep(RETRANSMIT_S)
        if self.is_cut:
            await asyncio.sleep(3 * RETRANSMIT_S)
        await asyncio.sleep(self.late_s)
        protocol, transport = make_protocol(), Mock()
        transport.write = lambda data: asyncio.ensure_future(
            self._answer(protocol, transport, data)
        )
        transport.is_aborted = False
        transport.abort = lambda: setattr(transport, "is_aborted", True)
        transport.close = transport.abort
        protocol.connection_made(transport)
        return transport, protocol

    async def _answer(self, protocol, transport, data: bytes) -> None:
        if self.is_cut:
            return
        response = await self.store.handle(Request(b"GET", data.split()[1], []))
        await asyncio.sleep(self.late_s)
        if self.is_cut or transport.is_aborted:
            return
        lines = [b"HTTP/1.1 %d Status" % response.status]
        lines += [b"%s: %s" % header for header in response.headers]
        lines.append(b"content-length: %d\r\n\r\n" % len(response.body))
        protocol.data_received(b"\r\n".join(lines) + response.body)


async def start_vm(link: Link) -> tuple[View, asyncio.Task]:
    """Start a VM that follows the store; wait until it does."""
    loop = asyncio.get_running_loop()
    loop.create_connection = link.connect
    link.store.put(replica_key(ENTRY.instance), encode_replica(ENTRY))
    view = View(loop.time, lambda instance, entry: None)

    async def ask_peer(revision):
        if link.is_cut:
            await asyncio.sleep(PEER_TIMEOUT_S)
        return None

    client = StoreClient("10.0.0.9:1")
    follower = StoreFollower(view, client, ask_peer, loop.time, probe=client.probe)
    task = loop.create_task(follower.run())
    await asyncio.sleep(3.0)
    assert ENTRY.instance in view.entries
    return view, task


async def measure_use(view: View) -> float:
    """Return for how long a replica is used, in seconds."""
    loop = asyncio.get_running_loop()
    start = loop.time()
    while ENTRY.instance in view.entries:
        await asyncio.sleep(CHECK_INTERVAL_S)
        view.drop_missing(loop.time())
    return loop.time() - start


class TestCutLink:
    @pytest.mark.parametrize("late_s", [0.0, 0.2, 0.3])
    @pytest.mark.parametrize("phase", range(20))
    def test_removed_replica_is_dropped_before_the_vm_is_in_touch(self, phase, late_s):
        # Guards against an attempt to connect that outlasts the cut of the link.
        async def act():
            link = Link(late_s=late_s)
            view, task = await start_vm(link)
            link.is_cut = True
            await asyncio.sleep(CUT_S + phase * CHECK_INTERVAL_S)
            link.store.put(replica_key(ENTRY.instance), None)
            link.is_cut = False
            use_s = await measure_use(view)
            task.cancel()
            return use_s

        assert run_in_virtual_time(act()) <= CONTACT_S
