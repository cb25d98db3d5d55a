"""Answers of the store that are larger than what is read for one request."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import re
import socket
import threading
import tracemalloc
from dataclasses import dataclass, field

import pytest

from anvilhoist.http.exchange import MAX_RESPONSE_BODY_BYTES
from anvilhoist.http.limits import ConnectionLimits
from anvilhoist.http.messages import Request, Response
from anvilhoist.http.server import HttpServer
from anvilhoist.platform import names
from anvilhoist.platform.publish import (
    data_centre_out_key,
    encode_configuration,
    encode_replica,
    replica_key,
)
from anvilhoist.platform.store import StoreClient
from anvilhoist.site.store import StoreStandin
from anvilhoist.world.follow import StoreFollower
from anvilhoist.world.model import Configuration, ReplicaEntry, Route, Snapshot
from anvilhoist.world.view import View
from conftest import WORKER

VALUE_BYTES = 1 << 20  # `value-bytes` of the store
STORM_VERSIONS = 25
CONFIG_APPLY_S = 3.0
MAX_HELD_BYTES = 24 << 20  # docs/CAPACITY.md
ROUTES = 3500
PATIENCE_S = 60.0
_ports = itertools.count(24700)


def encode_version(version: int, size_bytes: int = VALUE_BYTES) -> bytes:
    """Return a configuration as the store may hold it, of any size that it allows."""
    route = Route(
        name="search",
        host="site.example",
        prefix=f"/v{version}/",
        repeatable=True,
        timeout_s=1.0,
        target_s=0.2,
        attempts=2,
        priority=0,
        services=(("shard", 1.0),),
        gather=None,
        regions=(),
    )
    value = encode_configuration(
        Configuration(version, (route,), {}, ConnectionLimits())
    )
    return value.ljust(size_bytes)


def encode_routes(version: int) -> bytes:
    """Return a configuration of `ROUTES` routes and `VALUE_BYTES` bytes."""
    fields = json.loads(encode_version(version, 0))
    (route,) = fields["routes"]
    pad = "x" * (VALUE_BYTES // ROUTES - len(json.dumps(route)) - 12)
    fields["routes"] = [
        route | {"name": f"{n}{pad}", "path-prefix": f"/{n}/"} for n in range(ROUTES)
    ]
    return json.dumps(fields).encode().ljust(VALUE_BYTES)


def put_replica(store: StoreStandin, number: int) -> None:
    name = f"i-{number:03}"
    entry = ReplicaEntry(name, "shard", f"10.0.0.1:{number + 1}", "vaxjo", 3)
    store.put(replica_key(name), encode_replica(entry))


def put_storm(store: StoreStandin) -> None:
    for version in range(2, STORM_VERSIONS + 2):
        store.put(names.CONFIGURATION_KEY, encode_version(version))


@dataclass
class CountedStore:
    """Stand-in of the store that notes which calls it gets."""

    store: StoreStandin = field(default_factory=StoreStandin)
    paths: list[str] = field(default_factory=list)
    refused: set[str] = field(default_factory=set)

    async def handle(self, request: Request) -> Response:
        self.paths.append(request.path)
        if request.path in self.refused:
            return Response(429)
        return await self.store.handle(request)


def run_scenario(scenario) -> None:
    async def run():
        counted = CountedStore()
        server = HttpServer("store", counted.handle)
        address = f"127.{221 + WORKER}.0.1:{next(_ports)}"
        await server.listen(address)
        client = StoreClient(address)
        counted.store.put(names.CONFIGURATION_KEY, encode_version(1))
        put_replica(counted.store, 1)
        try:
            await scenario(counted, counted.store, client)
        finally:
            client.close()
            server.stop_listening()

    asyncio.run(run())


def make_view(client: StoreClient) -> tuple[View, StoreFollower]:
    async def find_no_peer(revision):
        return None

    now = asyncio.get_running_loop().time
    view = View(now, lambda instance, entry: None)
    return view, StoreFollower(view, client, find_no_peer, now)


@pytest.mark.usefixtures("quiet_logs")
class TestWatch:
    def test_storm_of_large_configurations_is_followed_in_time(self):
        async def scenario(counted, store, client):
            view, follower = make_view(client)
            following = asyncio.create_task(follower.run())
            while not view.has_configuration:
                await asyncio.sleep(0.05)
            put_storm(store)
            async with asyncio.timeout(CONFIG_APPLY_S):
                while view.configuration.version <= STORM_VERSIONS:
                    await asyncio.sleep(0.05)
            following.cancel()
            assert not follower.store_lost

        run_scenario(scenario)

    def test_full_read_after_too_many_changes_drops_what_they_removed(self):
        async def scenario(counted, store, client):
            view, follower = make_view(client)
            put_replica(store, 2)
            store.put(data_centre_out_key("huye"), b"{}")
            assert await follower._sync(0.0)
            assert set(view.entries) == {"i-001", "i-002"}
            put_storm(store)
            store.put(replica_key("i-001"), None)
            store.put(data_centre_out_key("huye"), None)
            put_replica(store, 3)
            assert await follower._sync(0.0)
            assert set(view.entries) == {"i-002", "i-003"}
            assert not view.data_centres_out
            assert view.revision == store.revision

        run_scenario(scenario)

    def test_changes_are_watched_again_after_the_full_read(self):
        async def scenario(counted, store, client):
            view, follower = make_view(client)
            assert await follower._sync(0.0)
            put_storm(store)
            assert await follower._sync(0.0)
            put_replica(store, 2)
            counted.paths.clear()
            assert await follower._sync(0.0)
            assert set(view.entries) == {"i-001", "i-002"}
            assert counted.paths == [names.WATCH_PATH]

        run_scenario(scenario)

    def test_refused_full_read_fails_and_repeats_no_watch(self):
        async def scenario(counted, store, client):
            view, follower = make_view(client)
            assert await follower._sync(0.0)
            put_storm(store)
            counted.paths.clear()
            counted.refused = {names.RANGE_PATH}
            for _ in range(3):
                assert not await follower._sync(0.0)
                assert follower.store_lost
            assert counted.paths == [names.WATCH_PATH] + [names.RANGE_PATH] * 3
            counted.refused = set()
            assert await follower._sync(0.0)
            assert view.configuration.version == STORM_VERSIONS + 1
            assert not follower.store_lost
            assert counted.paths.count(names.WATCH_PATH) == 1

        run_scenario(scenario)

    @pytest.mark.parametrize("mode", ["busy", "flood"])
    def test_answer_that_fails_otherwise_is_no_reason_for_a_full_read(self, mode):
        async def scenario(counted, store, client):
            _, follower = make_view(client)
            assert await follower._sync(0.0)
            counted.paths.clear()
            store.mode = mode
            assert not await follower._sync(0.0)
            assert follower.store_lost
            assert counted.paths == [names.WATCH_PATH]

        run_scenario(scenario)


@pytest.fixture
def patience(monkeypatch):
    """Let calls take long: the store stand-in encodes 25 MB beside other processes."""
    for name in ("WATCH_TIMEOUT_MARGIN_S", "READ_TIMEOUT_S"):
        monkeypatch.setattr(f"anvilhoist.platform.store.{name}", PATIENCE_S)


@pytest.mark.usefixtures("quiet_logs", "patience")
class TestReadAll:
    def test_stale_pages_behind_too_many_changes_are_made_current(self):
        async def scenario(counted, store, client):
            store.stale_snapshot = (dict(store.items), store.revision)
            put_storm(store)
            store.put(replica_key("i-001"), None)
            found = await client.read_all()
            assert isinstance(found, Snapshot)
            assert found.revision == store.revision
            view, _ = make_view(client)
            view.replace(found)
            assert view.configuration.version == STORM_VERSIONS + 1
            assert not view.entries

        run_scenario(scenario)

    def test_many_values_of_the_largest_size_come_in_pages(self):
        async def scenario(counted, store, client):
            for number in range(8):
                store.put(f"other/{number}", b"\xff" * VALUE_BYTES)
            put_replica(store, 2)
            found = await client.read_all()
            assert isinstance(found, Snapshot)
            assert found.instances == {"i-001", "i-002"}
            assert counted.paths.count(names.RANGE_PATH) > 8

        run_scenario(scenario)


class ScriptedStore(threading.Thread):
    """Sends answers made beforehand, so that a trace counts the reader only.

    The last answer of a path is sent again and again.
    """

    def __init__(self, address: str, answers: dict[str, list[bytes]]) -> None:
        super().__init__(daemon=True)
        host, _, port = address.rpartition(":")
        self._answers = answers
        self._listener = socket.create_server((host, int(port)))

    def run(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            try:
                while request := connection.recv(4096):
                    path = re.match(rb"GET ([^? ]*)", request)[1].decode()
                    answers = self._answers[path]
                    data = answers.pop(0) if len(answers) > 1 else answers[0]
                    connection.sendall(data)
            except OSError:
                connection.close()


def encode_answer(fields: dict) -> bytes:
    body = json.dumps(fields).encode()
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


def make_item(key: str, value: bytes) -> dict:
    return {"key": key, "value": base64.b64encode(value).decode(), "revision": 9}


def make_configuration_item(version: int) -> dict:
    return make_item(names.CONFIGURATION_KEY, encode_routes(version))


def make_largest_page(has_more: bool) -> dict:
    """Return a page whose last item passes 1 MB, counted before the encoding."""
    control = "\x01"
    items = [make_item(f"{control * 196}{n:04}", b"\xff" * 2100) for n in range(499)]
    items.append(make_configuration_item(2))
    return {"items": items, "has-more": has_more, "at": 9}


@pytest.mark.usefixtures("quiet_logs")
class TestMemory:
    def test_largest_page_is_below_the_bound_of_a_body(self):
        page = json.dumps(make_largest_page(has_more=True))
        assert len(page) < MAX_RESPONSE_BODY_BYTES

    @pytest.mark.parametrize("events", [2, 25])
    def test_what_is_held_for_any_answer_is_bounded(self, events):
        batch = {"events": [make_configuration_item(2)] * events, "at": 9}
        pages = [make_largest_page(has_more=n < 3) for n in range(4)]
        answers = {
            names.WATCH_PATH: [encode_answer(batch)],
            names.RANGE_PATH: [encode_answer(page) for page in pages],
        }
        address = f"127.{221 + WORKER}.0.1:{next(_ports)}"
        ScriptedStore(address, answers).start()

        async def run() -> None:
            client = StoreClient(address)
            view, follower = make_view(client)
            follower._has_snapshot = True
            for _ in range(3):
                assert await follower._sync(0.0)
            client.close()
            assert len(view.configuration.routes) == ROUTES

        tracemalloc.start()
        try:
            asyncio.run(run())
            peak_bytes = tracemalloc.get_traced_memory()[1]
        finally:
            tracemalloc.stop()
        print(f"held at most: {peak_bytes} bytes")
        assert peak_bytes < MAX_HELD_BYTES
