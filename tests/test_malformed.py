"""Malformed input from the store, other VMs, callers and replicas changes nothing."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import math
from dataclasses import replace
from random import Random

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from anvilhoist.errors import Failure
from anvilhoist.http.messages import Request, Response
from anvilhoist.http.replies import Reply
from anvilhoist.http.server import HttpServer
from anvilhoist.peers.heartbeats import HeartbeatEndpoint
from anvilhoist.peers.limits import apply_limit_reports, collect_limit_reports
from anvilhoist.peers.members import Members
from anvilhoist.peers.messages import (
    Heartbeat,
    ViewMessage,
    VmState,
    decode_heartbeat,
    decode_view,
    encode_heartbeat,
    encode_view,
    pack_change,
)
from anvilhoist.platform.documents import decode_item, decode_removal
from anvilhoist.platform.edge import (
    MAX_WAIT_S,
    classify_reply,
    parse_call,
    parse_rate_limit,
    parse_server_load,
)
from anvilhoist.platform.publish import encode_replica, replica_key
from anvilhoist.platform.store import StoreClient
from anvilhoist.upstreams.choice import estimate_cost
from anvilhoist.upstreams.registry import ReplicaRegistry
from anvilhoist.world.model import (
    ReplicaChanged,
    ReplicaEntry,
    ReplicaRemoved,
    Snapshot,
)
from anvilhoist.world.source import ChangeBatch
from anvilhoist.world.view import View
from conftest import WORKER

_ports = itertools.count(24300)

ENTRY = ReplicaEntry("i-1", "shard", "10.0.0.1:80", "vaxjo", 3)
ITEM = {
    "key": replica_key("i-1"),
    "value": base64.b64encode(encode_replica(ENTRY)).decode(),
}
HEARTBEAT = Heartbeat(
    "front-1", 1, 1, "10.0.0.2", "10.0.0.2:81", "10.0.0.2:82", "vaxjo", "smaland",
    VmState.READY, 7, {1: 2},
)  # fmt: skip
BAD_ELEMENTS = [
    None, 7, "text", [], {}, {"key": 7}, {"key": "servers/i-2"},
    {"key": "servers/i-2", "value": 7}, {"key": ["servers/i-2"], "deleted": True},
]  # fmt: skip

scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8)
)
trees = st.recursive(
    scalars,
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(st.text(max_size=8), children, max_size=4)
    ),
    max_leaves=12,
)


def run_client(answer, call):
    """Return the outcome of a call; the store answers with these bytes or function."""

    async def answer_bytes(request: Request) -> Response:
        return Response(200, [], answer)

    async def run():
        server = HttpServer("store", answer if callable(answer) else answer_bytes)
        address = f"127.{221 + WORKER}.0.1:{next(_ports)}"
        await server.listen(address)
        client = StoreClient(address)
        try:
            return await call(client)
        finally:
            client.close()
            server.stop_listening()

    return asyncio.run(run())


def run_client_of_pages(pages: list[dict], call):
    """Return the outcome of a call; the store's answers are these, the last forever."""
    left = list(pages)

    async def answer(request: Request) -> Response:
        page = left.pop(0) if len(left) > 1 else left[0]
        return Response(200, [], json.dumps(page).encode())

    return run_client(answer, call)


def list_entries(found: ChangeBatch | Snapshot) -> list[ReplicaEntry]:
    return [c.entry for c in found.changes if isinstance(c, ReplicaChanged)]


class TestStoreAnswers:
    @pytest.mark.parametrize("bad", BAD_ELEMENTS, ids=repr)
    def test_bad_event_is_skipped(self, bad):
        body = json.dumps({"at": 9, "events": [bad, ITEM]}).encode()
        found = run_client(body, lambda client: client.watch(1, 0.0))
        assert found.revision == 9
        assert list_entries(found) == [ENTRY]

    @pytest.mark.parametrize("bad", BAD_ELEMENTS, ids=repr)
    def test_bad_item_is_skipped(self, bad):
        body = json.dumps({"at": 9, "items": [bad, ITEM], "events": []}).encode()
        found = run_client(body, StoreClient.read_all)
        assert list_entries(found) == [ENTRY]

    @pytest.mark.parametrize(
        "body",
        [
            b"[" * 100_000,
            b"7",
            b"null",
            b"[]",
            b'{"at":"x","events":[]}',
            b'{"at":1e999,"events":[]}',
            b'{"at":9,"events":7}',
            b'{"at":9}',
            b"\xff\xfe",
        ],
        ids=lambda body: repr(body[:24]),
    )
    def test_unreadable_answer_is_a_failure(self, body):
        assert isinstance(
            run_client(body, lambda client: client.watch(1, 0.0)), Failure
        )
        assert isinstance(run_client(body, StoreClient.read_all), Failure)

    @given(st.text(max_size=20), trees)
    def test_any_item(self, suffix, document):
        value = base64.b64encode(json.dumps(document, default=repr).encode()).decode()
        for key in ("op/config", f"servers/{suffix}", f"op/evacuate/{suffix}", suffix):
            decode_item(key, value)
            decode_item(key, suffix)
            decode_removal(key)

    @given(
        st.sampled_from(["version", "routes", "backends", "limits"]),
        trees,
    )
    def test_any_field_of_a_configuration(self, field, value):
        document = {"version": 1, "routes": [], "backends": [], "limits": {}}
        document[field] = value
        encoded = base64.b64encode(json.dumps(document, default=repr).encode())
        decode_item("op/config", encoded.decode())

    @pytest.mark.parametrize(
        "address", ["10.0.0.1:99999", "10.0.0.1:0", "999.0.0.1:80", "1.2.3.4.5:80"]
    )
    def test_entry_with_an_impossible_address_counts_as_removed(self, address):
        entry = ReplicaEntry("i-1", "shard", address, "vaxjo", 3)
        value = base64.b64encode(encode_replica(entry)).decode()
        assert not isinstance(decode_item(replica_key("i-1"), value), ReplicaChanged)

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("target-latency-ms", -5),
            ("target-latency-ms", 1e300),
            ("min-shard-ratio", -1),
            ("min-shard-ratio", 1.5),
            ("top-k", -1),
            ("top-k", 10**12),
        ],
    )
    def test_configuration_with_an_impossible_number_is_refused(self, field, value):
        route = {
            "name": "r", "hostname": "h", "path-prefix": "/", "timeout-ms": 100,
            "gather": ["a"], field: value,
        }  # fmt: skip
        document = json.dumps({"version": 1, "routes": [route]}).encode()
        assert decode_item("op/config", base64.b64encode(document).decode()) is None


class TestOddEntries:
    """One entry that another writer left among those of the replicas."""

    DOCUMENT = encode_replica(ENTRY).decode()

    @classmethod
    def make_document(cls, field: str, text: str) -> bytes:
        """Return the document of an entry with a field whose value is this text."""
        document = {**json.loads(cls.DOCUMENT), field: "@"}
        return json.dumps(document).replace('"@"', text).encode()

    @staticmethod
    def decode(document: bytes, key: str = "i-odd"):
        return decode_item(replica_key(key), base64.b64encode(document).decode())

    @pytest.mark.parametrize(
        ("field", "text"),
        [
            ("slots", "9" * 309),
            ("slots", "9" * 19),
            ("slots", "9" * 4301),
            ("slots", "-1"),
            ("slots", "1e400"),
            ("born", "9" * 309),
            ("born", "9" * 4301),
            ("sequence", "9" * 309),
            ("warmup-left-ms", "1e308"),
            ("warmup-left-ms", "9" * 400),
            ("address", '"10.0.0.1:65536"'),
            ("address", '"10.0.0.1:99999999999999999999"'),
            ("address", '"10.0.0.1:-1"'),
            ("slots", "[" * 100_000 + "]" * 100_000),
            ("more", "[" * 100_000 + "]" * 100_000),
            ("more", '{"a":' * 100_000),
        ],
        ids=lambda text: text[:16],
    )
    def test_names_no_replica(self, field, text):
        # Guards against a number that makes every choice in its service fail.
        assert not isinstance(
            self.decode(self.make_document(field, text)), ReplicaChanged
        )

    @pytest.mark.parametrize("field", sorted(json.loads(DOCUMENT)))
    @pytest.mark.parametrize("value", ["missing", None, [], {}])
    def test_field_that_is_missing_or_of_another_type(self, field, value):
        # Guards against a default for what the writer of an entry did not say.
        document = {**json.loads(self.DOCUMENT), field: value}
        if value == "missing":
            del document[field]
        change = self.decode(json.dumps(document).encode())
        assert change == ReplicaRemoved("i-odd")

    def test_number_for_the_version_names_no_replica(self):
        assert self.decode(self.make_document("version", "1")) == ReplicaRemoved(
            "i-odd"
        )

    def test_each_field_that_the_page_lists_is_written(self):
        # Guards against a stand-in whose entries would name no replica.
        listed = {
            "backend", "address", "zone", "version", "slots", "state",
            "warmup-left-ms", "sequence", "born",
        }  # fmt: skip
        assert set(json.loads(self.DOCUMENT)) == listed

    @pytest.mark.parametrize("opening", ["[", '{"a":'])
    def test_nesting_of_a_whole_document_is_refused(self, opening):
        found = self.decode((opening * 150_000).encode())
        assert not isinstance(found, ReplicaChanged)

    @pytest.mark.parametrize(
        "name", ["", "i\r\nx-other: 1", "i\x00", "i\x7f", "\ud800", "i-\udfff"]
    )
    def test_key_that_fits_no_header_or_message_names_nothing(self, name):
        # Guards against headers and messages that such a name would break.
        value = base64.b64encode(self.DOCUMENT.encode()).decode()
        for key in (replica_key(name), f"op/evacuate/{name}"):
            assert decode_item(key, value) is None
            assert decode_removal(key) is None

    def test_page_whose_last_key_is_no_text_is_read_on(self):
        # Guards against a full read that ends at such a key.
        odd = {"key": "servers/\ud800", "value": "AA=="}
        pages = [
            {"at": 9, "items": [odd], "has-more": True},
            {"at": 9, "items": [ITEM], "events": []},
        ]

        async def read(client):
            return await client.read_all()

        found = run_client_of_pages(pages, read)
        assert list_entries(found) == [ENTRY]

    def test_change_that_fails_keeps_no_other_from_being_applied(self):
        # Guards against one change that stops all that follow it.
        def refuse_odd(instance, entry):
            if instance == "i-odd":
                raise OverflowError("int too large to convert to float")

        view = View(lambda: 0.0, refuse_odd)
        odd = replace(ENTRY, instance="i-odd")
        other = replace(ENTRY, instance="i-2")
        for revision in (5, 6):
            changes = [ReplicaChanged(ENTRY), ReplicaChanged(odd)]
            view.apply(revision, [*changes, ReplicaChanged(other)])
            view.replace(Snapshot(revision, [*changes, ReplicaChanged(other)]))
        assert view.revision == 6
        assert {"i-1", "i-2"} <= set(view.entries)

    @given(
        st.sampled_from(sorted(json.loads(encode_replica(ENTRY)))),
        trees | st.integers().map(lambda n: n * 10**300),
    )
    def test_entry_that_is_taken_can_be_rated_and_passed_on(self, field, value):
        document = {**json.loads(self.DOCUMENT), field: value}
        change = self.decode(json.dumps(document, default=repr).encode())
        if not isinstance(change, ReplicaChanged):
            return
        registry = ReplicaRegistry(
            lambda: 0.0, lambda _: None, lambda: 4, lambda _: True
        )
        view = View(lambda: 0.0, registry.update)
        view.apply(1, [change])
        for replica in registry.by_instance.values():
            assert math.isfinite(estimate_cost(replica, "vaxjo", 0.0))
        changes = tuple(map(pack_change, view.take_snapshot().changes))
        assert decode_view(encode_view(ViewMessage(1, changes, 0.0))) is not None


class TestHeartbeats:
    def make_members(self) -> Members:
        return Members("10.0.0.1", (), lambda: 100.0, "vaxjo")

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("host", "no address"),
            ("host", ""),
            ("host", "::1"),
            ("callers_address", "10.0.0.2"),
            ("callers_address", "10.0.0.2:99999"),
            ("peers_address", "nowhere:82"),
            ("heard", {1: -1}),
            ("heard", {1: 10**400}),
            ("heard", {1 << 40: 1}),
            ("revision", "x"),
            ("state", "gone"),
        ],
    )
    def test_bad_field_is_refused(self, field, value):
        fields = cbor2.loads(encode_heartbeat(HEARTBEAT))
        fields[field] = value
        assert isinstance(decode_heartbeat(cbor2.dumps(fields)), Failure)

    @given(st.sampled_from(list(Heartbeat.__dataclass_fields__)), trees)
    def test_any_field(self, field, value):
        fields = cbor2.loads(encode_heartbeat(HEARTBEAT))
        fields[field] = value
        found = decode_heartbeat(cbor2.dumps(fields))
        members = self.make_members()
        if isinstance(found, Heartbeat):
            members.record(found)
        members.expire_silent(100.0)
        members.sample_liveness_ages(Random(1))

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["i-1", "i-2"]),
                st.integers(-1, 1),
                st.none() | st.floats(),
                st.integers(-1, 1 << 62),
            ),
            max_size=4,
        )
    )
    def test_any_limits(self, limits):
        fields = cbor2.loads(encode_heartbeat(HEARTBEAT)) | {"limits": limits}
        found = decode_heartbeat(cbor2.dumps(fields))
        replicas = ReplicaRegistry(
            lambda: 100.0, lambda name: None, lambda: 1, lambda instance: True
        )
        replicas.update("i-1", ENTRY)
        if isinstance(found, Heartbeat):
            apply_limit_reports(replicas, found.limits, 100.0)
        quota = replicas.by_instance["i-1"].quota
        assert quota.limit >= 0
        quota.admits(100.0)
        collect_limit_reports(replicas, 100.0, Random(1))

    @given(st.binary(max_size=200))
    def test_any_bytes(self, data):
        decode_heartbeat(data)
        decode_view(data)

    def test_answer_goes_to_the_sender_only(self):
        sent = []

        class Transport:
            def is_closing(self) -> bool:
                return False

            def sendto(self, data: bytes, address: tuple[str, int]) -> None:
                sent.append(address)

        endpoint = HeartbeatEndpoint(
            self.make_members(), 7000, lambda asks: HEARTBEAT, Random(1)
        )
        endpoint.connection_made(Transport())
        fields = cbor2.loads(encode_heartbeat(HEARTBEAT)) | {"asks": True}
        data = cbor2.dumps(fields)
        endpoint.datagram_received(data, ("10.0.0.9", 7000))
        assert sent == []
        endpoint.datagram_received(data, (HEARTBEAT.host, 7000))
        assert sent == [(HEARTBEAT.host, 7000)]


class TestViews:
    @pytest.mark.parametrize("age_s", [math.nan, -1.0, -math.inf])
    def test_impossible_age_is_refused(self, age_s):
        assert decode_view(encode_view(ViewMessage(1, (), age_s))) is None

    def test_deep_nesting_is_refused(self):
        assert decode_view(b"\x81" * 100_000) is None

    @given(st.sampled_from(["revision", "changes", "age_s", "doubt_s"]), trees)
    def test_any_field(self, field, value):
        fields = {"revision": 1, "changes": [], "age_s": 0.0, "doubt_s": 0.0}
        decode_view(cbor2.dumps(fields | {field: value}))


class TestHeaders:
    @pytest.mark.parametrize(
        ("value", "wait_s"),
        [
            (b"400", 0.4),
            (b"nan", MAX_WAIT_S),
            (b"-nan", MAX_WAIT_S),
            (b"inf", MAX_WAIT_S),
            (b"1e400", MAX_WAIT_S),
            (b"-5", 0.0),
            (b"", MAX_WAIT_S),
        ],
    )
    def test_deadline(self, value, wait_s):
        headers = [(b"x-attempt-id", b"a"), (b"x-deadline-ms", value)]
        call = parse_call(Request(b"GET", b"/", headers, arrived_at=10.0))
        assert call.deadline == pytest.approx(10.0 + wait_s)

    @given(st.binary(max_size=30), st.binary(max_size=30))
    def test_any_value(self, name_value, other):
        headers = [
            (b"x-attempt-id", b"a" + name_value),
            (b"x-deadline-ms", other),
            (b"host", name_value),
            (b"connection", other),
        ]
        call = parse_call(Request(b"GET", b"/", headers, arrived_at=10.0))
        assert 10.0 <= call.deadline <= 10.0 + MAX_WAIT_S
        replica_headers = [
            (b"x-server-load", other),
            (b"x-not-executed", name_value),
            (b"x-response-signature", other),
            (b"server-limit", other),
        ]
        classify_reply(Reply(200, replica_headers, b""), call)
        load = parse_server_load(replica_headers)
        assert load is None or load >= 0
        limit = parse_rate_limit(replica_headers)
        assert limit is None or limit >= 0
