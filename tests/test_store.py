"""The client of the users' store, against a stand-in of the store."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Awaitable, Callable

import pytest
import structlog

from anvilhoist.errors import ErrorKind
from anvilhoist.http.server import HttpServer
from anvilhoist.platform import names
from anvilhoist.platform.publish import (
    data_centre_out_key,
    encode_replica,
    replica_key,
)
from anvilhoist.platform.store import StoreClient
from anvilhoist.site.store import PAGE_ITEMS, StoreStandin
from anvilhoist.world.model import (
    Change,
    DataCentreChanged,
    ReplicaChanged,
    ReplicaEntry,
    Snapshot,
)
from anvilhoist.world.view import View
from conftest import WORKER

_ports = itertools.count(24100)

Scenario = Callable[[StoreStandin, StoreClient], Awaitable[None]]


def make_entry(number: int) -> ReplicaEntry:
    return ReplicaEntry(f"i-{number:03}", "shard", f"10.0.0.1:{number + 1}", "vaxjo", 3)


def put_replica(store: StoreStandin, number: int) -> None:
    entry = make_entry(number)
    store.put(replica_key(entry.instance), encode_replica(entry))


def run_scenario(scenario: Scenario) -> None:
    async def run():
        store = StoreStandin()
        server = HttpServer("store", store.handle)
        address = f"127.{221 + WORKER}.0.1:{next(_ports)}"
        await server.listen(address)
        client = StoreClient(address)
        try:
            await scenario(store, client)
        finally:
            client.close()
            server.stop_listening()

    asyncio.run(run())


def build_view(snapshot: Snapshot) -> View:
    view = View(lambda: 0.0, lambda instance, entry: None)
    view.replace(snapshot)
    return view


class TestReadAll:
    def test_every_page(self):
        async def scenario(store, client):
            for number in range(2 * PAGE_ITEMS + 1):
                put_replica(store, number)
            snapshot = await client.read_all()
            assert snapshot.revision == store.revision
            assert len(build_view(snapshot).entries) == 2 * PAGE_ITEMS + 1

        run_scenario(scenario)

    @pytest.mark.parametrize("compacted", [False, True])
    def test_pages_that_are_old_are_made_current(self, compacted):
        async def scenario(store, client):
            put_replica(store, 1)
            put_replica(store, 2)
            store.put(data_centre_out_key("huye"), b"{}")
            store.stale_snapshot = (dict(store.items), store.revision)
            store.put(replica_key("i-001"), None)
            store.put(data_centre_out_key("huye"), None)
            put_replica(store, 3)
            if compacted:
                store.history.clear()
                store.compacted_revision = store.revision
            snapshot = await client.read_all()
            view = build_view(snapshot)
            assert snapshot.revision == store.revision
            assert set(view.entries) == {"i-002", "i-003"}
            assert not view.data_centres_out

        run_scenario(scenario)

    def test_what_a_view_held_before_is_dropped(self):
        async def scenario(store, client):
            view = View(lambda: 0.0, lambda instance, entry: None)
            old: list[Change] = [
                ReplicaChanged(make_entry(9)),
                DataCentreChanged("huye", True),
            ]
            view.apply(1, old)
            put_replica(store, 1)
            view.replace(await client.read_all())
            assert set(view.entries) == {"i-001"}
            assert not view.data_centres_out

        run_scenario(scenario)


class TestEra:
    def test_rise_is_logged_and_kept(self):
        async def scenario(store, client):
            await client.read_all()
            store.restore()
            with structlog.testing.capture_logs() as lines:
                await client.read_all()
            assert client.era == 1
            assert {"event": "store_era", "era": 1, "before": 0} in [
                {key: line.get(key) for key in ("event", "era", "before")}
                for line in lines
            ]

        run_scenario(scenario)

    @pytest.mark.parametrize(
        "odd", [b"", b"x", b"-1", b"1.5", b"32768", b"9" * 5000, "\u00b2".encode()]
    )
    def test_odd_era_leaves_it_as_it_was(self, odd):
        async def scenario(store, client):
            store.era = 3
            await client.read_all()
            client._note_era([(names.STORE_ERA, odd)])
            client._note_era([])
            assert client.era == 3

        run_scenario(scenario)


class TestLostConnection:
    def test_kind_of_a_watch_that_is_cut(self):
        # Guards against a cut watch that can't be told from a store that is away.
        async def cut(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.transport.abort()

        async def run():
            host, port = f"127.{221 + WORKER}.0.1", next(_ports)
            server = await asyncio.start_server(cut, host, port)
            client = StoreClient(f"{host}:{port}")
            found = await client.watch(0, 1.0)
            server.close()
            return found

        assert asyncio.run(run()).kind is ErrorKind.CONNECTION_LOST


class TestProbe:
    def test_answers_whether_the_store_serves(self):
        async def scenario(store, client):
            found = []
            for mode in ("serve", "busy", "silent", "serve"):
                store.mode = mode
                found.append(await client.probe())
            assert found == [True, False, False, True]
            assert (client.probe_count, client.call_count) == (4, 0)

        run_scenario(scenario)

    def test_runs_beside_a_watch(self):
        # Guards against a probe that waits for the watch, or takes its connection.
        async def scenario(store, client):
            put_replica(store, 1)
            watch = asyncio.ensure_future(client.watch(store.revision, 5.0))
            await asyncio.sleep(0.1)
            assert await client.probe()
            put_replica(store, 2)
            assert len((await watch).changes) == 1

        run_scenario(scenario)

    def test_store_that_accepts_nothing(self):
        client = StoreClient(f"127.{221 + WORKER}.0.1:{next(_ports)}")
        assert not asyncio.run(client.probe())
