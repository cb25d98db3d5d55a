"""What entry and dispatch processes have in common, and how they run."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import ClassVar

from ..clock import TimerService
from ..metrics import Metrics
from ..process import ClosableServer, close_server, wait_for_stop
from ..settings import ProcessSettings
from ..tasks import start_task
from .decisions import DecisionLog, configure_logs
from .documents import KEYS
from .link import new_incarnation
from .membership import Membership
from .messages import SyncReply
from .platform import PlatformClient
from .sync import Links, Synchroniser
from .view import View


@dataclass(slots=True)
class Node:
    """State that every process of the tier has.

    Parameters
    ----------
    settings : ProcessSettings
        Settings of the process.
    now : callable
        Clock, in seconds.
    """

    role: ClassVar[str]
    watches_platform: ClassVar[bool]

    settings: ProcessSettings
    now: Callable[[], float]
    view: View = field(init=False)
    membership: Membership = field(init=False)
    log: DecisionLog = field(init=False)
    metrics: Metrics = field(init=False)
    links: Links = field(init=False)
    platform: PlatformClient = field(init=False)
    synchroniser: Synchroniser = field(init=False)

    def __post_init__(self):
        settings, now = self.settings, self.now
        self.view = View(now)
        self.membership = Membership(settings.vm, self.view, now)
        self.log = DecisionLog(settings.vm, self.role, now)
        self.metrics = Metrics(settings.vm, self.role)
        self.links = Links(new_incarnation(), settings.host)
        self.platform = PlatformClient(settings.platform, settings.host, now)
        self.synchroniser = Synchroniser(
            settings,
            self.role,
            self.watches_platform,
            self.view,
            self.membership,
            self.links,
            self.platform,
            self.log,
            self.metrics,
            now,
            self.take_sync_reply,
            self.is_urgent,
        )

        self._watch_view()

    def _watch_view(self) -> None:
        """Show revision and age of each document, and the platform's word."""
        view = self.view
        for key in KEYS:
            self.metrics.watch(f"{key}_revision", partial(view.revision, key))
            self.metrics.watch(f"{key}_age_seconds", partial(view.age, key))
        self.metrics.watch("platform_age_seconds", view.platform_age)

    def take_sync_reply(self, reply: SyncReply) -> None:
        """Take a peer's answer, once its documents are taken in."""

    def is_urgent(self) -> bool:
        """Whether peers are to be asked at the short period."""
        return False

    def on_jump(self, gap: float) -> None:
        """Trust nothing that was confirmed before a pause, and ask anew at once."""
        self.membership.void()
        self.synchroniser.hurry()
        self.metrics.count("pauses")
        self.log.decide("pause", self.settings.vm, f"paused for {gap:.3f} s")

    async def drain(self) -> None:
        """End service without cutting what is in progress."""

    async def close(self) -> None:
        """Close links and connections."""
        await self.links.stop()
        await self.platform.close()


async def run_node(
    node: Node, timers: TimerService, serve: Callable[[], Awaitable[ClosableServer]]
) -> int:
    """Run a process until it is told to stop.

    Parameters
    ----------
    serve : callable
        Opens the process's server.

    Returns
    -------
    int
        Exit code.
    """
    configure_logs()
    timers.subscribe_jump(node.on_jump)
    ticking = start_task(timers.run())
    server = await serve()
    node.synchroniser.start()
    vm = node.settings.vm
    node.log.decide("start", vm, f"listening on {node.settings.listen}")
    signal_name = await wait_for_stop()
    node.log.decide("drain", vm, f"asked to stop by {signal_name}")
    node.synchroniser.draining = True
    await node.drain()
    node.log.decide("stop", vm, "drained")
    await node.synchroniser.stop()
    await close_server(server)
    await node.close()
    ticking.cancel()
    return 0
