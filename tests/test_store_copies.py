"""A store that comes back from a copy: its revisions are given out again."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st

from anvilhoist.errors import Failure
from anvilhoist.http.limits import ConnectionLimits
from anvilhoist.http.messages import Request
from anvilhoist.peers.exchange import CHANGES_PATH, answer_peer
from anvilhoist.peers.messages import ViewMessage, decode_view, pack_change
from anvilhoist.peers.reading import _unpack_snapshot
from anvilhoist.site.store import PAGE_ITEMS, StoreStandin
from anvilhoist.world.doubts import COPY_DOUBT_S
from anvilhoist.world.era import (
    MAX_ERA,
    MAX_STORE_REVISION,
    format_revision,
    get_era,
    get_store_revision,
    join_revision,
)
from anvilhoist.world.follow import LOWER_ERA_READS, StoreFollower
from anvilhoist.world.model import (
    Configuration,
    ConfigurationChanged,
    DataCentreChanged,
    ReplicaChanged,
    ReplicaEntry,
    ReplicaRemoved,
    Snapshot,
)
from anvilhoist.world.source import ChangeBatch, HistoryGone
from anvilhoist.world.view import RETURN_GRACE_S, View
from test_store import put_replica, run_scenario


class Clock:
    def __init__(self):
        self.seconds = 100.0

    def __call__(self) -> float:
        return self.seconds


@pytest.fixture
def clock() -> Clock:
    return Clock()


@pytest.fixture
def view(clock, quiet_logs) -> View:
    """A view in era 0, at revision 50 of the store, with three replicas."""
    view = View(clock, lambda instance, entry: None)
    entries = [ReplicaChanged(make_entry(number)) for number in (1, 2, 3)]
    view.apply(50, [make_configuration(7), *entries])
    return view


def make_entry(number: int, sequence: int = 10, **fields) -> ReplicaEntry:
    values = {"address": f"10.0.0.1:{number}", "born_ms": 1000} | fields
    return ReplicaEntry(
        f"i-{number}",
        "shard",
        data_centre="vaxjo",
        slots=3,
        sequence=sequence,
        **values,
    )


def make_configuration(version: int) -> ConfigurationChanged:
    return ConfigurationChanged(Configuration(version, (), {}, ConnectionLimits()))


def make_changes(*numbers: int) -> list[ReplicaChanged]:
    return [ReplicaChanged(make_entry(number)) for number in numbers]


def make_copy(*changes, era: int = 1, revision: int = 20) -> Snapshot:
    return Snapshot(join_revision(era, revision), list(changes))


def make_full_copy(*changes) -> Snapshot:
    return make_copy(*(ReplicaChanged(make_entry(n)) for n in (1, 2, 3)), *changes)


class TestRevision:
    @given(
        st.tuples(st.integers(0, MAX_ERA), st.integers(0, MAX_STORE_REVISION)),
        st.tuples(st.integers(0, MAX_ERA), st.integers(0, MAX_STORE_REVISION)),
    )
    def test_order_is_that_of_era_and_revision(self, one, other):
        joined, joined_other = join_revision(*one), join_revision(*other)
        assert (joined < joined_other) == (one < other)
        assert (get_era(joined), get_store_revision(joined)) == one

    @pytest.mark.parametrize(
        ("era", "revision"), [(-1, 1), (1, -1), (MAX_ERA + 1, 1), (0, 2**63)]
    )
    def test_out_of_range(self, era, revision):
        with pytest.raises(ValueError, match="out of range"):
            join_revision(era, revision)

    def test_logs_show_the_store_s_own(self):
        assert format_revision(7) == 7
        assert format_revision(join_revision(2, 7)) == "2:7"


class TestStoreClient:
    """Revisions of two eras are never taken for each other."""

    def test_watch_from_before_the_copy(self):
        async def scenario(store, client):
            put_replica(store, 1)
            store.copy = (dict(store.items), store.revision)
            put_replica(store, 2)
            known = await client.read_all()
            store.restore()
            assert isinstance(await client.watch(known.revision, 0.0), HistoryGone)
            found = await client.read_all()
            assert get_store_revision(found.revision) < known.revision < found.revision

        run_scenario(scenario)

    def test_watch_from_a_revision_that_was_given_out_again(self):
        async def scenario(store, client):
            put_replica(store, 1)
            known = await client.read_all()
            store.copy = ({}, known.revision - 1)
            store.restore()
            put_replica(store, 2)
            put_replica(store, 3)
            assert isinstance(await client.watch(known.revision, 0.0), HistoryGone)
            found = await client.read_all()
            entries = {change.entry.instance for change in found.changes}
            assert entries == {"i-002", "i-003"}

        run_scenario(scenario)

    def test_watch_goes_on_in_the_new_era(self):
        async def scenario(store, client):
            store.restore()
            known = await client.read_all()
            put_replica(store, 1)
            found = await client.watch(known.revision, 0.0)
            assert isinstance(found, ChangeBatch)
            assert get_era(found.revision) == 1
            assert len(found.changes) == 1

        run_scenario(scenario)

    def test_stale_pages_are_not_read_after_the_copy(self):
        async def scenario(store, client):
            put_replica(store, 1)
            known = await client.read_all()
            store.restore()
            put_replica(store, 2)
            store.stale_snapshot = ({}, 1)
            assert isinstance(await client.watch(known.revision, 0.0), HistoryGone)
            found = await client.read_all()
            assert [change.entry.instance for change in found.changes] == ["i-002"]

        run_scenario(scenario)

    def test_pages_of_two_eras_are_no_snapshot(self, monkeypatch):
        read_page = StoreStandin._range

        def read_page_and_restore(store, query):
            store.era += 1
            return read_page(store, query)

        async def scenario(store, client):
            for number in range(PAGE_ITEMS + 1):
                put_replica(store, number)
            assert isinstance(await client.read_all(), Failure)

        monkeypatch.setattr(StoreStandin, "_range", read_page_and_restore)
        run_scenario(scenario)

    def test_stale_pages_that_name_an_era_first_are_not_used(self):
        """A process that has just started may read pages older than the copy."""

        async def scenario(store, client):
            put_replica(store, 1)
            stale = (dict(store.items), store.revision)
            store.restore()
            put_replica(store, 2)
            put_replica(store, 3)
            store.stale_snapshot = stale
            entries = {c.entry.instance for c in (await client.read_all()).changes}
            assert entries == {"i-002", "i-003"}

        run_scenario(scenario)


class TestView:
    def test_a_copy_at_a_lower_revision_is_followed(self, view):
        view.replace(make_full_copy(ReplicaChanged(make_entry(4))))
        assert set(view.entries) == {"i-1", "i-2", "i-3", "i-4"}
        revision = join_revision(1, 21)
        view.apply(revision, [ReplicaChanged(make_entry(5))])
        assert "i-5" in view.entries
        assert view.revision == revision

    def test_what_comes_from_the_era_before_is_ignored(self, view, clock):
        view.replace(make_full_copy())
        clock.seconds += 5.0
        view.apply(60, [ReplicaChanged(make_entry(6))])
        view.replace(Snapshot(70, [ReplicaChanged(make_entry(7))]))
        assert set(view.entries) == {"i-1", "i-2", "i-3"}
        assert view.age_s == 5.0

    def test_an_older_configuration_is_not_used(self, view):
        view.replace(make_full_copy(make_configuration(6)))
        assert view.configuration.version == 7
        view.apply(join_revision(1, 21), [make_configuration(9)])
        assert view.configuration.version == 9

    def test_a_replica_that_the_copy_lacks_is_kept_until_it_is_back(self, view, clock):
        view.replace(make_copy(ReplicaChanged(make_entry(1))))
        assert set(view.entries) == {"i-1", "i-2", "i-3"}
        view.apply(join_revision(1, 21), [ReplicaChanged(make_entry(2, 11))])
        clock.seconds += RETURN_GRACE_S
        view.drop_missing(clock())
        assert set(view.entries) == {"i-1", "i-2"}

    def test_a_removal_that_the_copy_undoes_stays(self, view, clock):
        view.apply(51, [ReplicaRemoved("i-3")])
        view.replace(make_full_copy())
        assert set(view.entries) == {"i-1", "i-2"}
        clock.seconds += COPY_DOUBT_S - 0.1
        view.drop_missing(clock())
        assert set(view.entries) == {"i-1", "i-2"}
        view.apply(join_revision(1, 21), [ReplicaRemoved("i-3")])
        clock.seconds += 0.2
        view.drop_missing(clock())
        assert set(view.entries) == {"i-1", "i-2"}

    def test_a_replica_that_is_not_removed_again_is_used_in_the_end(self, view, clock):
        view.apply(51, [ReplicaRemoved("i-3")])
        view.replace(make_full_copy())
        clock.seconds += COPY_DOUBT_S
        view.drop_missing(clock())
        assert set(view.entries) == {"i-1", "i-2"}
        view.apply(view.revision, [])
        view.drop_missing(clock())
        assert set(view.entries) == {"i-1", "i-2", "i-3"}

    def test_a_removed_replica_that_is_written_again_is_used_at_once(self, view):
        view.apply(51, [ReplicaRemoved("i-3")])
        view.replace(make_full_copy())
        view.apply(join_revision(1, 21), [ReplicaChanged(make_entry(3))])
        assert "i-3" in view.entries

    def test_a_later_start_of_a_removed_replica_is_used_at_once(self, view):
        view.apply(51, [ReplicaRemoved("i-3")])
        view.replace(make_copy(ReplicaChanged(make_entry(3, 1, born_ms=2000))))
        assert "i-3" in view.entries

    @pytest.mark.parametrize(
        "known",
        [
            make_entry(3, 12, draining=True),
            make_entry(3, 10, draining=True),
            make_entry(3, 1, born_ms=2000, address="10.0.0.2:9"),
        ],
    )
    def test_an_entry_that_is_older_than_the_known_one_is_not_used(self, view, known):
        view.apply(51, [ReplicaChanged(known)])
        view.replace(make_full_copy())
        assert view.entries["i-3"] == known

    def test_a_second_full_read_brings_nothing_older_either(self, view, clock):
        """Two relays are read, or the history is gone twice."""
        draining = make_entry(3, 12, draining=True)
        view.apply(51, [ReplicaChanged(draining), ReplicaRemoved("i-2")])
        view.replace(make_full_copy())
        clock.seconds += 2.0
        view.replace(make_full_copy())
        assert view.entries["i-3"] == draining
        assert "i-2" not in view.entries

    def test_a_data_centre_stays_out_until_it_is_taken_out_again(self, view, clock):
        view.apply(51, [DataCentreChanged("vaxjo", True)])
        view.replace(make_full_copy())
        assert view.data_centres_out == {"vaxjo"}
        view.apply(join_revision(1, 21), [DataCentreChanged("vaxjo", True)])
        clock.seconds += 60.0
        view.drop_missing(clock())
        assert view.data_centres_out == {"vaxjo"}

    def test_a_data_centre_that_nobody_takes_out_again_is_back(self, view, clock):
        view.apply(51, [DataCentreChanged("vaxjo", True)])
        view.replace(make_full_copy())
        clock.seconds += COPY_DOUBT_S
        view.apply(view.revision, [])
        view.drop_missing(clock())
        assert not view.data_centres_out

    def test_two_copies_one_after_the_other(self, view, clock):
        view.replace(make_copy(ReplicaChanged(make_entry(1)), era=1))
        clock.seconds += 1.0
        view.replace(make_copy(ReplicaChanged(make_entry(1)), era=2, revision=5))
        assert set(view.entries) == {"i-1", "i-2", "i-3"}
        clock.seconds += RETURN_GRACE_S
        view.drop_missing(clock())
        assert set(view.entries) == {"i-1"}

    def test_a_snapshot_for_others_says_what_the_copy_says(self, view):
        view.apply(51, [ReplicaRemoved("i-3"), DataCentreChanged("vaxjo", True)])
        view.replace(make_full_copy())
        changes = view.take_snapshot().changes
        assert {c.entry.instance for c in changes if isinstance(c, ReplicaChanged)} == {
            "i-1",
            "i-2",
            "i-3",
        }
        assert not [c for c in changes if isinstance(c, DataCentreChanged)]

    def test_returned_entry_that_a_second_full_read_lacks_stays_out(self, view, clock):
        view.apply(51, [ReplicaRemoved("i-3")])
        view.replace(make_full_copy())
        clock.seconds += 4.0
        view.replace(
            make_copy(*make_changes(1, 2), revision=25)
        )  # removed again meanwhile
        told = view.take_snapshot().instances
        clock.seconds += 2.0
        view.drop_missing(clock())
        assert "i-3" not in view.entries
        assert "i-3" not in told

    def test_removal_that_two_copies_undo_stays(self, view, clock):
        view.apply(51, [ReplicaRemoved("i-3")])
        view.replace(make_full_copy())
        clock.seconds += 1.0
        view.apply(join_revision(1, 21), [ReplicaRemoved("i-3")])  # removed again
        clock.seconds += 1.0
        view.replace(make_copy(*make_changes(1, 2, 3), era=2))
        assert "i-3" not in view.entries

    def test_entry_missing_before_a_second_copy_gets_the_whole_grace(self, view, clock):
        view.replace(make_copy(*make_changes(1), era=1))
        clock.seconds += 2.0
        view.replace(make_copy(*make_changes(1), era=2, revision=5))
        clock.seconds += 1.0  # within two seconds of the second return
        view.drop_missing(clock())
        assert set(view.entries) == {"i-1", "i-2", "i-3"}

    def test_an_earlier_start_that_is_not_corrected_is_used_in_the_end(
        self, view, clock
    ):
        """Its clock was set back, and it wrote while the store was away."""
        again = make_entry(3, 1, born_ms=500, address="10.0.0.2:9")
        view.replace(make_copy(*make_changes(1, 2), ReplicaChanged(again)))
        for _ in range(10):
            clock.seconds += 1.0
            view.apply(view.revision, [])
            view.drop_missing(clock())
        assert view.entries["i-3"].address == "10.0.0.2:9"

    def test_data_centre_brought_back_before_the_copy_is_not_all_out(self, view, clock):
        """The copy holds vaxjo's evacuation, that of ljungby came after it."""
        view.apply(51, [DataCentreChanged("vaxjo", True)])
        view.apply(52, [DataCentreChanged("vaxjo", False)])
        view.apply(53, [DataCentreChanged("ljungby", True)])
        view.replace(make_full_copy(DataCentreChanged("vaxjo", True)))
        assert view.data_centres_out != {"vaxjo", "ljungby"}

    @pytest.mark.parametrize("late_s", [2.0, 2.5, 4.5])
    def test_data_centre_taken_out_again_late_was_out_all_along(
        self, view, clock, late_s
    ):
        view.apply(51, [DataCentreChanged("vaxjo", True)])
        view.replace(make_full_copy())
        clock.seconds += late_s
        view.drop_missing(clock())
        assert view.data_centres_out == {"vaxjo"}

    def test_long_outage_does_not_forget_removals(self, view, clock):
        view.apply(51, [ReplicaRemoved("i-3")])
        clock.seconds += 61.0
        view.drop_missing(clock())
        view.replace(make_full_copy())
        assert "i-3" not in view.entries

    def test_unconfirmed_peer_view_of_new_era_confirms_nothing(self, view, clock):
        view.extend_grace_period(2.0)
        view.apply(51, [ReplicaRemoved("i-3")])
        assert "i-3" in view.entries
        message = ViewMessage(
            20, tuple(pack_change(c) for c in make_changes(1, 2)), 0.0, 2.0, 0, 1
        )
        view.replace(_unpack_snapshot(message))
        assert "i-3" in view.entries


class TestFollower:
    def test_relay_moves_the_view_during_an_own_watch(self, view, clock):
        """A VM that reads through relays asks the store itself; a relay is faster."""

        class Source:
            async def read_all(self):
                return Failure

            async def watch(self, after, wait_s):
                clock.seconds += 0.05
                view.replace(make_copy(*make_changes(1)))  # from the relay
                return HistoryGone()  # era 1 answered, era 0 asked

        async def run():
            async def fetch(revision):
                return None

            follower = StoreFollower(
                view, Source(), fetch, clock, reads_store=lambda: False
            )
            follower._has_snapshot = True
            follower._started_at = follower._in_contact_since = clock() - 60.0
            follower._store_answered_at = clock() - 60.0
            follower.store_lost = True
            view.synced_at = clock() - 3.0
            await follower._sync(0.0)

        asyncio.run(run())
        assert set(view.entries) == {"i-1", "i-2", "i-3"}

    def test_missing_entries_are_not_confirmed_gone_at_once(self, view, clock):
        """A copy may come without an outage that the VM has seen."""

        answers = [ChangeBatch(50, []), HistoryGone(), make_copy()]

        class Source:
            async def read_all(self):
                return answers.pop(0)

            async def watch(self, after, wait_s):
                return answers.pop(0)

        async def run():
            async def fetch(revision):
                return None

            follower = StoreFollower(view, Source(), fetch, clock)
            follower._has_snapshot = True
            for _ in range(3):
                clock.seconds += 0.5
                await follower._sync(0.0)

        view.confirmed_revision = 50
        asyncio.run(run())
        assert set(view.entries) == {"i-1", "i-2", "i-3"}
        clock.seconds += RETURN_GRACE_S
        view.drop_missing(clock())
        assert not view.entries

    def test_an_era_that_was_named_wrongly_is_left(self, view, clock):
        """One wrong answer must not keep a VM from the store for good."""
        wrong = make_full_copy()
        wrong.revision = join_revision(MAX_ERA, 20)
        view.replace(wrong)
        right = Snapshot(60, [*make_full_copy().changes, make_configuration(8)])

        class Source:
            async def read_all(self):
                return right

            async def watch(self, after, wait_s):
                return HistoryGone()

        async def run():
            follower = StoreFollower(view, Source(), None, clock)
            for _ in range(2 * LOWER_ERA_READS):
                clock.seconds += 0.3
                await follower._sync(0.0)

        asyncio.run(run())
        assert view.revision == 60
        assert view.configuration.version == 8
        assert set(view.entries) == {"i-1", "i-2", "i-3"}


class TestRelay:
    """A VM that reads through another one, in the same era or not."""

    def ask(self, relay: View, query: str):
        target = f"{CHANGES_PATH}?{query}&wait_ms=0".encode()
        response = asyncio.run(answer_peer(relay, Request(b"GET", target, [])))
        return response.status, decode_view(response.body) if response.body else None

    def test_reader_of_the_era_before_reads_in_full(self, view):
        view.replace(make_full_copy())
        assert self.ask(view, "after=50&era=0") == (410, None)

    def test_relay_of_the_era_before_tells_nothing(self, view):
        status, message = self.ask(view, "after=20&era=1")
        assert (status, message.changes) == (200, ())
        assert message.view_revision == 50

    def test_reader_that_names_no_era_is_taken_to_be_in_this_one(self, view):
        view.replace(make_full_copy())
        view.apply(join_revision(1, 21), [ReplicaChanged(make_entry(4))])
        status, message = self.ask(view, "after=20")
        assert (status, len(message.changes)) == (200, 1)
        assert message.view_revision == join_revision(1, 21)

    def test_confirmed_removals_of_the_era_before_are_not_told(self, view):
        view.confirm_removals(50)
        assert self.ask(view, "after=50&era=0")[1].confirmed_revision == 50
        view.replace(make_full_copy())
        message = self.ask(view, "after=20&era=1")[1]
        assert get_store_revision(message.confirmed_revision) == 0
