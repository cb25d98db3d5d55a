"""Malformed input from the store, other VMs, callers and replicas changes nothing."""

from __future__ import annotations

import asyncio
import base64
import itertools
import json
import math
from random import Random

import cbor2
import pytest
from hypothesis import given
from hypothesis import strategies as st

from anvilhoist.errors import Failure
from anvilhoist.http.exchange import Reply
from anvilhoist.http.messages import Request, Response
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
from anvilhoist.upstreams.registry import ReplicaRegistry
from anvilhoist.world.model import ReplicaChanged, ReplicaEntry, Snapshot
from anvilhoist.world.source import ChangeBatch
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


def run_client(body: bytes, call):
    """Return the outcome of a call of a client whose store answers with `body`."""

    async def answer(request: Request) -> Response:
        return Response(200, [], body)

    async def run():
        server = HttpServer("store", answer)
        address = f"127.{221 + WORKER}.0.1:{next(_ports)}"
        await server.listen(address)
        client = StoreClient(address)
        try:
            return await call(client)
        finally:
            client.close()
            server.stop_listening()

    return asyncio.run(run())


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
