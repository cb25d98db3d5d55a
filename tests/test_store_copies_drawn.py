"""Drawn steps of a store, its replicas and a view that follows it, with copies."""

from __future__ import annotations

from dataclasses import replace
from random import Random

import pytest

from anvilhoist.world.era import get_era, get_store_revision, join_revision
from anvilhoist.world.model import (
    Change,
    ReplicaChanged,
    ReplicaEntry,
    ReplicaRemoved,
    Snapshot,
)
from anvilhoist.world.view import View
from test_store_copies import make_configuration, make_entry

SEEDS = 300
STEPS = 60
MOMENT_S = 0.25  # between two reads of the view
LAPSE_S = 3.6  # after the store's return, for the entry of a replica that is gone
SETTLE_S = 20.0
FIRST_REVISION = 100
STEP_KINDS = ("start", "start", "drain", "leave", "restart", "copy_store", "restore")


class Model:
    """A store and its replicas, and a view that reads the store every moment."""

    def __init__(self, seed: int, full_reads: int, most_eras: int):
        self.random = Random(seed)
        self.kinds = [*STEP_KINDS, *["full"] * full_reads, *["time"] * 6]
        self.most_eras = most_eras
        self.now = 100.0
        self.era, self.revision, self.oldest = 0, FIRST_REVISION, FIRST_REVISION
        self.items: dict[str, ReplicaEntry] = {}
        self.history: list[tuple[int, Change]] = []
        self.copy = ({}, FIRST_REVISION)
        self.alive: dict[str, ReplicaEntry] = {}
        self.lapses: dict[str, float] = {}
        self.seen: set[tuple[str, int]] = set()
        self.known_gone: set[tuple[str, int]] = set()
        self.view = View(lambda: self.now, lambda instance, entry: None)
        self.view.apply(FIRST_REVISION, [make_configuration(7)])

    def step(self) -> None:
        kind = self.random.choice(self.kinds)
        if kind in ("drain", "leave", "restart"):
            if self.alive:
                name = self.random.choice(sorted(self.alive))
                getattr(self, kind)(self.alive[name])
            return
        getattr(self, kind)()

    def start(self) -> None:
        number = self.random.randrange(1, 6)
        if f"i-{number}" not in self.alive:
            self.now += 0.01
            self.enter(make_entry(number, 1, born_ms=int(self.now * 1000)))

    def drain(self, entry: ReplicaEntry) -> None:
        self.enter(replace(entry, draining=True, sequence=entry.sequence + 1))

    def leave(self, entry: ReplicaEntry) -> None:
        del self.alive[entry.instance]
        self.remove(entry.instance)

    def restart(self, entry: ReplicaEntry) -> None:
        self.pass_time(1.25)
        born_ms = int(self.now * 1000)
        self.enter(replace(entry, draining=False, sequence=1, born_ms=born_ms))

    def copy_store(self) -> None:
        self.copy = (dict(self.items), self.revision)

    def restore(self) -> None:
        if self.era == self.most_eras:
            return
        self.era += 1
        items, self.revision = self.copy
        self.items, self.oldest, self.history = dict(items), self.revision, []
        if self.random.random() < 0.5:
            self.write_again()
        gone = self.items.keys() - self.alive.keys()
        self.lapses.update(dict.fromkeys(gone, self.now + LAPSE_S))

    def full(self) -> None:
        changes = [ReplicaChanged(entry) for entry in self.items.values()]
        revision = join_revision(self.era, self.revision)
        self.view.replace(Snapshot(revision, [make_configuration(7), *changes]))
        self.note_sync()

    def time(self) -> None:
        self.pass_time(self.random.choice([0.25, 0.5, 1.0]))

    def enter(self, entry: ReplicaEntry) -> None:
        self.alive[entry.instance] = entry
        self.lapses.pop(entry.instance, None)
        self.put(entry)

    def put(self, entry: ReplicaEntry) -> None:
        self.revision += 1
        self.items[entry.instance] = entry
        self.history.append((self.revision, ReplicaChanged(entry)))

    def remove(self, instance: str) -> None:
        if self.items.pop(instance, None) is not None:
            self.revision += 1
            self.history.append((self.revision, ReplicaRemoved(instance)))

    def write_again(self) -> None:
        for name, entry in self.alive.items():
            stored = self.items.get(name)
            if stored is None or describe(stored) != describe(entry):
                self.put(entry)

    def pass_time(self, seconds: float) -> None:
        for _ in range(round(seconds / MOMENT_S)):
            self.now += MOMENT_S
            self.write_again()
            self.drop_lapsed()
            self.view.drop_missing(self.now)
            self.check()
            self.follow()

    def drop_lapsed(self) -> None:
        for name, at in list(self.lapses.items()):
            if at <= self.now:
                del self.lapses[name]
                if name not in self.alive:
                    self.remove(name)

    def follow(self) -> None:
        known = get_store_revision(self.view.revision)
        if get_era(self.view.revision) != self.era or known < self.oldest:
            self.full()
            return
        changes = [change for revision, change in self.history if revision > known]
        self.view.apply(join_revision(self.era, self.revision), changes)
        self.note_sync()

    def note_sync(self) -> None:
        used = list_starts(self.view.entries)
        said = list_starts(self.items) | list_starts(self.alive)
        self.known_gone |= self.seen - used - said
        self.seen |= used
        self.check()

    def check(self) -> None:
        assert not self.known_gone & list_starts(self.view.entries)


def describe(entry: ReplicaEntry) -> tuple:
    return entry.address, entry.born_ms, entry.draining


def list_starts(entries: dict[str, ReplicaEntry]) -> set[tuple[str, int]]:
    return {(name, entry.born_ms) for name, entry in entries.items()}


@pytest.mark.usefixtures("quiet_logs")
class TestDrawnSteps:
    @pytest.mark.parametrize("full_reads", [0, 2])
    @pytest.mark.parametrize("most_eras", [1, 5])
    def test_what_is_known_to_be_gone_stays_out_and_all_else_is_followed(
        self, full_reads, most_eras
    ):
        for seed in range(SEEDS):
            model = Model(seed, full_reads, most_eras)
            for _ in range(STEPS):
                model.step()
            model.pass_time(SETTLE_S)
            used = {name: describe(e) for name, e in model.view.entries.items()}
            assert used == {name: describe(e) for name, e in model.items.items()}, seed
