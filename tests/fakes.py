"""Small fakes at the interfaces, driven by a clock that tests advance."""

from __future__ import annotations

from dataclasses import dataclass, field

import numpy as np

from anvilhoist.clock import TimerService
from anvilhoist.metrics import Metrics
from anvilhoist.searches.decisions import DecisionLog
from anvilhoist.searches.dispatch import URGENT_WAIT_S
from anvilhoist.searches.documents import CONFIG, DIRECTORY, KEYS, VMS
from anvilhoist.searches.membership import SYNC_PERIOD_S, Membership
from anvilhoist.searches.messages import Handed, Published, Sync, SyncReply
from anvilhoist.searches.ownership import Ownership
from anvilhoist.searches.replicas import Replicas
from anvilhoist.searches.view import View

STEP_S = 0.05
LONGEST_WORK_S = 2.0
CENTRES = ("vaxjo", "alvesta", "ljungby", "vaxjo")


@dataclass(slots=True)
class FakeClock:
    """A clock that stands still until a test moves it."""

    at: float = 1000.0

    def __call__(self) -> float:
        return self.at


def write_config(out: tuple[str, ...] = (), deadline_ms: int = 500) -> str:
    centres = "".join(
        f'[data_centres.{name}]\nstate = "{"out" if name in out else "in"}"\n'
        for name in sorted(set(CENTRES))
    )
    return (
        centres
        + '[profiles.lookup]\nkind = "search"\ntarget = "sorting"\n'
        + f"deadline_ms = {deadline_ms}\n"
        + '[services.belt]\nprofile = "lookup"\n'
    )


def write_vms(count: int = 4, **states: str) -> str:
    return "".join(
        f"[vms.vm-{number}]\n"
        f'data_centre = "{CENTRES[(number - 1) % 4]}"\n'
        f'entry = "10.0.0.{number}:80"\n'
        f'dispatch = "10.0.0.{number}:81"\n'
        f'state = "{states.get(f"vm_{number}", "live")}"\n'
        for number in range(1, count + 1)
    )


def write_directory(groups: int = 4, leaving: str = "", version: int = 1) -> str:
    text = ""
    for group in range(groups):
        text += f"[groups.sorting-{group}]\nslots = 3\nconnections = 30\n"
        for ordinal in range(2):
            name = f"sorting-{group}/r{ordinal}"
            state = "leaving" if name == leaving else "serving"
            text += (
                f"[groups.sorting-{group}.replicas.r{ordinal}]\n"
                f'address = "10.1.{group}.{ordinal}:80"\n'
                f'data_centre = "{CENTRES[(group + ordinal) % 3]}"\n'
                f'ordinal = {ordinal}\nstate = "{state}"\n'
            )
    text += f"[[indexes.sorting]]\nversion = {version}\n[indexes.sorting.shards]\n"
    text += "".join(f's{group} = "sorting-{group}"\n' for group in range(groups))
    return text


@dataclass(slots=True)
class Node:
    """The deciding parts of one dispatch process."""

    vm: str
    clock: FakeClock
    incarnation: int
    paused: bool = False
    timers: TimerService = field(init=False)
    view: View = field(init=False)
    membership: Membership = field(init=False)
    ownership: Ownership = field(init=False)
    replicas: Replicas = field(init=False)
    newest: tuple[int, ...] = (0, 0, 0)
    busy_until: dict[str, float] = field(default_factory=dict)
    decisions: list[tuple[str, str, str]] = field(default_factory=list)

    def __post_init__(self):
        self.timers = TimerService(self.clock)
        self.view = View(self.clock)
        self.membership = Membership(self.vm, self.view, self.clock)
        self.ownership = Ownership(
            self.vm, self.view, self.membership, self.clock, self._tell
        )
        log = DecisionLog(self.vm, "dispatch", self.clock)
        self.replicas = Replicas(
            "vaxjo",
            self.vm,
            self.view,
            self.membership,
            self.ownership,
            log,
            Metrics(self.vm, "dispatch"),
            self.clock,
        )
        self.view.listen(lambda _key: self.ownership.refresh())
        self.timers.subscribe(STEP_S, self.ownership.settle)
        self.timers.subscribe_jump(lambda _gap: self.membership.void())

    def _tell(self, replica: str, event: str, reason: str) -> None:
        self.decisions.append((replica, event, reason))

    def may_send(self, replica: str) -> bool:
        return self.replicas.check(replica) is None

    def at_work(self, replica: str) -> int:
        return int(self.clock() < self.busy_until.get(replica, 0.0))

    def ask(self) -> Sync:
        return Sync(
            self.vm, "dispatch", self.incarnation, self.view.revisions, draining=False
        )

    def answer(self, sync: Sync) -> SyncReply:
        superseded = self.membership.note_incarnation(
            sync.vm, sync.role, sync.incarnation
        )
        given = self.ownership.hand_over(sync, self.at_work)
        return SyncReply(
            vm=self.vm,
            incarnation=self.incarnation,
            revisions=self.view.revisions,
            platform_age_s=self.view.platform_age(),
            documents=self.view.newer_than(sync.revisions),
            joined=self.membership.has_joined(),
            current=self.membership.is_current(),
            handed=tuple(Handed(name, "", -1.0) for name in given),
            superseded=superseded,
            draining_entries=(),
        )

    def hear(self, reply: SyncReply, asked_at: float) -> None:
        for published in reply.documents:
            self.view.offer(published)
        self.membership.record(reply, asked_at)
        self.ownership.take_over(reply)

    def read_platform(self, published: dict[str, Published]) -> None:
        for key in KEYS:
            self.view.offer(published[key])
            if published[key].revision >= self.view.revision(key):
                self.view.confirm_platform(key, self.clock())


@dataclass(slots=True)
class Cell:
    """Nodes that ask each other, a platform they read, and cuts between them."""

    count: int = 4
    seed: int = 1
    clock: FakeClock = field(default_factory=FakeClock)
    nodes: dict[str, Node] = field(default_factory=dict)
    published: dict[str, Published] = field(default_factory=dict)
    stale: dict[str, dict[str, Published]] = field(default_factory=dict)
    blind: set[str] = field(default_factory=set)
    cuts: set[frozenset[str]] = field(default_factory=set)
    dead: set[str] = field(default_factory=set)
    sent: list[tuple[float, str]] = field(default_factory=list)
    reverted: list[str] = field(default_factory=list)
    overlaps: list[str] = field(default_factory=list)
    in_flight: dict[str, dict[tuple[str, int], float]] = field(default_factory=dict)
    random: np.random.Generator = field(init=False)
    _starts: int = 0

    def __post_init__(self):
        self.random = np.random.default_rng(self.seed)
        self.publish(CONFIG, write_config())
        self.publish(VMS, write_vms(self.count))
        self.publish(DIRECTORY, write_directory())
        for number in range(1, self.count + 1):
            self.start(f"vm-{number}")

    def publish(self, key: str, text: str) -> int:
        before = self.published.get(key)
        revision = 1 if before is None else before.revision + 1
        self.published[key] = Published(key, revision, text)
        return revision

    def start(self, vm: str) -> None:
        """Start a node with empty memory, in place of any at its slot."""
        self._starts += 1
        self.dead.discard(vm)
        self.nodes[vm] = Node(vm, self.clock, self._starts)

    def kill(self, vm: str) -> None:
        self.dead.add(vm)

    def freeze_reader(self, vm: str) -> None:
        """Show one node the platform as it is now, whatever comes later."""
        self.stale[vm] = dict(self.published)

    def cut(self, first: str, second: str) -> None:
        self.cuts.add(frozenset((first, second)))

    def isolate(self, vm: str) -> None:
        for other in self.nodes:
            if other != vm:
                self.cut(vm, other)

    def heal(self) -> None:
        self.cuts.clear()

    def run(self, seconds: float) -> None:
        """Let time pass; nodes ask, read, decide and send as much as they may."""
        for _ in range(round(seconds / STEP_S)):
            self.clock.at += STEP_S
            self._step()

    def senders(self, replica: str) -> list[str]:
        return [name for name in self._awake() if self.nodes[name].may_send(replica)]

    def replicas(self) -> list[str]:
        return [
            f"sorting-{group}/r{ordinal}" for group in range(4) for ordinal in (0, 1)
        ]

    def _awake(self) -> list[str]:
        return [
            name
            for name, node in self.nodes.items()
            if name not in self.dead and not node.paused
        ]

    def _step(self) -> None:
        names = self._awake()
        for name in names:
            self.nodes[name].timers.tick()
        for name in names:
            if name not in self.blind and self.random.random() < 0.3:
                self.nodes[name].read_platform(self.stale.get(name, self.published))
            for other in names:
                if other != name and self._asks_now(name):
                    self._exchange(name, other)
        self._send(names)
        self._note_reverts(names)

    def _note_reverts(self, names: list[str]) -> None:
        for name in names:
            node = self.nodes[name]
            before = node.newest
            node.newest = node.view.revisions
            if not node.view.covers(before):
                self.reverted.append(f"{name}: {before} to {node.newest}")

    def _asks_now(self, name: str) -> bool:
        if self.nodes[name].ownership.has_young_wait(URGENT_WAIT_S):
            return True
        return self.random.random() < STEP_S / SYNC_PERIOD_S

    def _exchange(self, name: str, other: str) -> None:
        if frozenset((name, other)) in self.cuts:
            return
        node, peer = self.nodes[name], self.nodes[other]
        node.hear(peer.answer(node.ask()), self.clock())

    def _send(self, names: list[str]) -> None:
        """Start work wherever a node may, and note work of two nodes at once."""
        for replica in self.replicas():
            running = self.in_flight.setdefault(replica, {})
            for name in names:
                node = self.nodes[name]
                if node.may_send(replica):
                    self.sent.append((self.clock(), replica))
                    until = self.clock() + self.random.uniform(0.0, LONGEST_WORK_S)
                    node.busy_until[replica] = max(
                        until, node.busy_until.get(replica, 0.0)
                    )
                    running[(name, node.incarnation)] = node.busy_until[replica]
            self._note_overlap(replica, running)

    def _note_overlap(
        self, replica: str, running: dict[tuple[str, int], float]
    ) -> None:
        now = self.clock()
        for key, until in list(running.items()):
            if until <= now:
                del running[key]
        if len(running) > 1:
            who = ", ".join(f"{vm}#{start}" for vm, start in sorted(running))
            self.overlaps.append(f"{now:.2f} {replica}: {who}")
