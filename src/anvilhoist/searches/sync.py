"""Keeps a process's view: a few watch the platform, everyone asks its peers.

One task watches each document at the platform and one task asks each peer. A
peer that answers is also a relay: it sends what is newer than the asker's view.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

import numpy as np

from ..metrics import Metrics
from ..settings import ProcessSettings
from ..tasks import end_tasks, start_task
from .decisions import DecisionLog
from .documents import KEYS
from .link import Link, PeerLostError, PeerUnreachedError, Traffic
from .membership import SYNC_PERIOD_S, Membership, list_cell
from .messages import Handed, Sync, SyncReply
from .placement import choose_watchers, score
from .platform import PlatformClient, Reading
from .view import View

SYNC_TIMEOUT_S = 0.5
URGENT_PERIOD_S = 0.03
WATCH_RETRY_S = 0.5
FALLBACK_AFTER_S = 3.0
FALLBACK_PERIOD_S = 5.0
WATCHERS_IN_DATA_CENTRE = 2
RELAYS_IN_OTHER_CELLS = 2
MATES_OF_ENTRY = 2


@dataclass(slots=True)
class Links:
    """Links to peers by address, made once and shared.

    Parameters
    ----------
    incarnation : int
        Incarnation of this process.
    source : str
        IP number of this process, which connections come from.
    """

    incarnation: int
    source: str
    traffic: Traffic = field(default_factory=Traffic)
    _links: dict[str, Link] = field(default_factory=dict)

    def get(self, address: str) -> Link:
        """Link to an address, started if it is new."""
        link = self._links.get(address)
        if link is None:
            link = Link(address, self.incarnation, self.source, self.traffic)
            link.start()
            self._links[address] = link
        return link

    @property
    def dropped(self) -> int:
        """Late or crossed frames that were dropped."""
        return sum(link.dropped for link in self._links.values())

    async def retain(self, addresses: set[str]) -> None:
        """Stop the links to all other addresses."""
        gone = set(self._links) - addresses
        links = [self._links.pop(address) for address in gone]
        await asyncio.gather(*(link.stop() for link in links))

    async def stop(self) -> None:
        """Stop all links."""
        await self.retain(set())


@dataclass(slots=True)
class Synchroniser:
    """Tasks that keep the view of one process.

    Parameters
    ----------
    settings : ProcessSettings
        Settings of the process.
    role : str
        Binary: "entry" or "dispatch".
    watches : bool
        Whether this process may watch the platform.
    take_reply : callable
        Called with each peer's answer once its documents are taken in.
    is_urgent : callable
        Whether peers are to be asked at the short period.
    """

    settings: ProcessSettings
    role: str
    watches: bool
    view: View
    membership: Membership
    links: Links
    platform: PlatformClient
    log: DecisionLog
    metrics: Metrics
    now: Callable[[], float]
    take_reply: Callable[[SyncReply], None]
    is_urgent: Callable[[], bool]
    draining: bool = False
    _hurry: asyncio.Event = field(default_factory=asyncio.Event)
    _peers: dict[str, asyncio.Task] = field(default_factory=dict)
    _tasks: list[asyncio.Task] = field(default_factory=list)
    _random: np.random.Generator = field(default_factory=np.random.default_rng)

    def __post_init__(self):
        self.view.listen(self._on_document)

    def start(self) -> None:
        """Start the tasks."""
        self._tasks = [start_task(self._keep_peers())]
        if self.watches:
            self._tasks += [start_task(self._watch(key)) for key in KEYS]

    async def stop(self) -> None:
        """Cancel the tasks."""
        tasks = [*self._tasks, *self._peers.values()]
        await end_tasks(tasks)

    def answer(
        self, sync: Sync, handed: tuple[Handed, ...], current: bool
    ) -> SyncReply:
        """Answer a peer and remember what it said of itself."""
        superseded = self.membership.note_incarnation(
            sync.vm, sync.role, sync.incarnation
        )
        if sync.draining and sync.role == "entry":
            self.membership.note_draining(sync.vm)
        config = self.view.config
        keep_s = 0.0 if config is None else config.keep_address_s
        return SyncReply(
            vm=self.settings.vm,
            incarnation=self.links.incarnation,
            revisions=self.view.revisions,
            platform_age_s=self.view.platform_age(),
            documents=self.view.newer_than(sync.revisions),
            joined=self.membership.has_joined(),
            current=current,
            handed=handed,
            superseded=superseded,
            draining_entries=self.membership.draining_directly(keep_s),
        )

    def hurry(self) -> None:
        """Ask the peers now, as their view seems to be newer."""
        self._hurry.set()
        self._hurry.clear()

    def choose_peers(self) -> set[str]:
        """Dispatch addresses that this process asks."""
        vms = self.view.vms
        if vms is None:
            return set(self.settings.peers)
        own = vms.vms.get(self.settings.vm)
        if own is None:
            return {vm.dispatch for vm in list(vms.vms.values())[:4]}
        mates = set(list_cell(vms, own.cell)) - {self.settings.vm}
        if self.role == "entry":
            names = {self.settings.vm, *self._choose_some(mates, MATES_OF_ENTRY)}
        else:
            strangers = set(vms.vms) - mates - {self.settings.vm}
            names = mates | self._choose_some(strangers, RELAYS_IN_OTHER_CELLS)
        return {vms.vms[name].dispatch for name in names}

    def _choose_some(self, names: set[str], count: int) -> set[str]:
        def rank(name: str) -> int:
            return score("relay", self.settings.vm, name)

        return set(sorted(names, key=rank)[:count])

    async def _keep_peers(self) -> None:
        while True:
            wanted = self.choose_peers()
            for address in set(self._peers) - wanted:
                self._peers.pop(address).cancel()
            for address in wanted - set(self._peers):
                self._peers[address] = start_task(self._ask_peer(address))
            await asyncio.sleep(SYNC_PERIOD_S)

    async def _ask_peer(self, address: str) -> None:
        link = self.links.get(address)
        while True:
            await self._sync_once(link)
            await self._pause()

    async def _pause(self) -> None:
        """Wait for the next time to ask; a hurry ends the wait early."""
        await asyncio.sleep(URGENT_PERIOD_S)
        if self.is_urgent():
            return
        rest_s = SYNC_PERIOD_S * self._random.uniform(0.8, 1.0) - URGENT_PERIOD_S
        try:
            async with asyncio.timeout(rest_s):
                await self._hurry.wait()
        except TimeoutError:
            return

    async def _sync_once(self, link: Link) -> None:
        asked_at = self.now()
        sync = Sync(
            self.settings.vm,
            self.role,
            self.links.incarnation,
            self.view.revisions,
            self.draining,
        )
        try:
            reply = await link.ask(sync, SYNC_TIMEOUT_S)
        except (PeerLostError, PeerUnreachedError):
            return
        if not isinstance(reply, SyncReply):
            return
        for published in reply.documents:
            self.view.offer(published)
        self.membership.record(reply, asked_at)
        self.take_reply(reply)

    async def _watch(self, key: str) -> None:
        while True:
            wait_s = self._watch_wait()
            if wait_s is None:
                await asyncio.sleep(WATCH_RETRY_S)
                continue
            after = self.view.newest_seen(key)
            result = await self.platform.read(key, after, wait_s)
            self.metrics.count("platform_calls", key)
            if result.is_error():
                self.metrics.count("platform_failures", key)
                await asyncio.sleep(WATCH_RETRY_S * self._random.uniform(0.5, 1.5))
                continue
            self._take_reading(key, result.ok)
            if not self._is_watcher():
                await asyncio.sleep(FALLBACK_PERIOD_S * self._random.uniform(0.8, 1.2))

    def _take_reading(self, key: str, reading: Reading) -> None:
        if reading.published is not None:
            self.view.offer(reading.published)
        if reading.revision < self.view.revision(key):
            self.metrics.count("platform_stale_reads", key)
            return
        self.view.confirm_platform(key, reading.held_at)

    def _watch_wait(self) -> float | None:
        if self._is_watcher():
            return self.settings.watch_wait_s
        at = self.view.platform_confirmed_at
        if at is None or self.now() - at > FALLBACK_AFTER_S:
            return 0.0
        return None

    def _is_watcher(self) -> bool:
        vms = self.view.vms
        if vms is None or self.settings.vm not in vms.vms:
            return False
        own = vms.vms[self.settings.vm]
        chosen = choose_watchers(vms, own.data_centre, WATCHERS_IN_DATA_CENTRE)
        return self.settings.vm in chosen

    def _on_document(self, key: str) -> None:
        refused = [item for item in self.view.rejections if item.key == key]
        if refused:
            detail = "; ".join(refused[0].problems)
            self.metrics.count("documents_refused", key)
            self.log.decide("refuse", f"{key}@{refused[0].revision}", detail)
            return
        self.metrics.count("documents_accepted", key)
        self.log.decide("accept", f"{key}@{self.view.revision(key)}", "newest, valid")
