from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from anvilhoist.metrics import Window
from anvilhoist.searches.budget import Budget
from anvilhoist.searches.documents import Snapshot
from anvilhoist.searches.merge import Merger
from anvilhoist.searches.messages import (
    BookingReply,
    Frame,
    Handed,
    Hit,
    Published,
    SubReplies,
    SubReply,
    SyncReply,
    decode_frame,
    encode_frame,
)

SHARDS = ("s0", "s1", "s2", "s3")
PARTS = st.lists(
    st.tuples(st.sampled_from((*SHARDS, "other")), st.integers(1, 3), st.integers(0, 3))
)


class TestMerger:
    @given(PARTS)
    def test_covers_what_was_merged_and_names_the_rest(self, parts):
        merger = Merger("sorting", Snapshot(2, {name: "g" for name in SHARDS}))
        expected: dict[str, int] = {}
        for shard, version, count in parts:
            hits = tuple(Hit(f"{shard}:{n}", 1.0, "") for n in range(count))
            if merger.add_part(shard, version, hits):
                assert shard not in expected
                expected[shard] = count
        answer = merger.finish("r")
        assert answer.covered == len(expected)
        assert {item.shard for item in answer.missing} == set(SHARDS) - set(expected)
        assert len(answer.hits) == sum(expected.values())
        wanted = {s for s, version, _ in parts if version == 2 and s != "other"}
        assert set(expected) == wanted

    def test_a_shard_without_records_is_covered(self):
        merger = Merger("sorting", Snapshot(1, {"s0": "g", "s1": "g"}))
        merger.add_part("s0", 1, ())
        merger.note_reason("s1", "queue_full")
        answer = merger.finish("r")
        assert answer.covered == 1
        assert [(item.shard, item.reason) for item in answer.missing] == [
            ("s1", "queue_full")
        ]


class TestBudget:
    @given(st.lists(st.booleans(), max_size=300))
    def test_extra_work_stays_within_its_share(self, steps):
        budget = Budget(share=0.05, burst=20.0)
        first, extra = 0, 0
        for is_first in steps:
            if is_first:
                first += 1
                budget.earn(1)
            elif budget.spend():
                extra += 1
        assert extra <= 0.05 * first + 1e-9


class TestWindow:
    def test_gives_the_quantile_of_what_was_seen(self):
        window = Window(0.9)
        for number in range(1, 101):
            window.record(number / 1000)
        assert window.value is None
        window.rotate()
        assert 0.088 <= window.value <= 0.093

    def test_keeps_its_value_while_little_comes_in(self):
        window = Window(0.9)
        for _ in range(100):
            window.record(0.01)
        window.rotate()
        window.rotate()
        assert window.value is not None


class TestMessages:
    def test_every_nested_message_comes_back_as_it_was(self):
        reply = SubReply(1, "", "", "s0", 2, (Hit("k", 1.0, "t"),), 1, 3, 0.1)
        sync = SyncReply(
            "vm-1",
            5,
            (1, 2, 3),
            0.5,
            (Published("config", 1, "x"),),
            True,
            True,
            (Handed("g/r0", "a#1", 1.0),),
            False,
            ("vm-2",),
        )
        for body in (SubReplies((reply,)), sync, BookingReply("", "", "v")):
            frame = Frame(3, 4, body)
            assert decode_frame(encode_frame(frame)) == frame
