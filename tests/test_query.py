from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field, replace

import numpy as np
import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from anvilhoist.clock import read_boottime
from anvilhoist.metrics import Metrics
from anvilhoist.searches.balance import Balancer
from anvilhoist.searches.decisions import DecisionLog
from anvilhoist.searches.documents import CONFIG, DIRECTORY, VMS, Profile
from anvilhoist.searches.messages import Hit, Published, SubBatch, SubReplies, SubReply
from anvilhoist.searches.routing import Routing
from anvilhoist.searches.search import run_search
from anvilhoist.searches.view import View
from fakes import write_config, write_directory, write_vms

scenarios("features/decisions/queries.feature")

DEADLINE_S = 0.4
LATE_S = 0.05


@dataclass(slots=True)
class FakeLink:
    """A link whose far end behaves as each replica is told to."""

    behaviour: dict[str, str]
    address: str = "fake"
    is_up: bool = True
    sent: list[str] = field(default_factory=list)
    later: Callable[[], object] = lambda: None

    def get(self, _address: str) -> FakeLink:
        return self

    def begin(self, batch: SubBatch, receive, lose) -> int:
        loop = asyncio.get_running_loop()
        self.later()
        for item in batch.items:
            self.sent.append(item.replica)
            told = self.behaviour.get(item.replica, self.behaviour.get("all", ""))
            if told.startswith("once "):
                del self.behaviour[item.replica]
                told = told.removeprefix("once ")
            if told == "is silent if asked first":
                group = item.replica.partition("/")[0]
                is_first = [name.partition("/")[0] for name in self.sent].count(group)
                told = "stays silent" if is_first == 1 else ""
            if told == "loses its link":
                loop.call_soon(lose)
            elif told != "stays silent":
                reply = self._reply(batch, item, told)
                delay = LATE_S if "late" in told else 0.001
                loop.call_later(delay, receive, SubReplies((reply,)))
        return len(self.sent)

    def send(self, _number, _body) -> None: ...

    def end(self, _number) -> None: ...

    def _reply(self, batch: SubBatch, item, told: str) -> SubReply:
        kind, version = "", batch.version
        if told.startswith("says version 2 is gone"):
            kind = "snapshot_gone" if batch.version == 2 else ""
        elif told.startswith("says "):
            kind = told.removeprefix("says ")
        elif "version 2" in told:
            version = 2
        hits = () if kind else (Hit(f"{item.shard}:q", 1.0, ""),)
        return SubReply(item.number, kind, "", item.shard, version, hits, 1, 3, 0.01)


@dataclass(slots=True)
class Bench:
    """One routing over a fake link."""

    link: FakeLink
    routing: Routing
    profile: Profile

    def run(self):
        async def run():
            deadline = read_boottime() + DEADLINE_S
            return await run_search(
                self.routing, "r", "lookup", self.profile, "q", deadline
            )

        return asyncio.run(run()).ok


@pytest.fixture
def bench() -> Bench:
    view = View(read_boottime)
    view.offer(Published(CONFIG, 1, write_config()))
    view.offer(Published(VMS, 1, write_vms()))
    view.offer(Published(DIRECTORY, 1, write_directory()))
    link = FakeLink({})
    routing = Routing(
        view,
        link,
        Balancer(read_boottime, np.random.default_rng(1)),
        DecisionLog("vm-1", "entry", read_boottime),
        Metrics("vm-1", "entry"),
        read_boottime,
        lambda: None,
    )
    profile = Profile("search", "sorting", 400, coverage_floor=0.0, retry_budget=1.0)
    return Bench(link, routing, profile)


@given("a query over 4 shards")
def query(bench: Bench):
    assert len(bench.routing.view.directory.indexes["sorting"][0].shards) == 4


@given("snapshot 2 is listed too")
def snapshot_2(bench: Bench):
    shards = "".join(f's{group} = "sorting-{group}"\n' for group in range(4))
    more = f"[[indexes.sorting]]\nversion = 2\n[indexes.sorting.shards]\n{shards}"
    bench.routing.view.offer(Published(DIRECTORY, 2, write_directory() + more))


@given("hedges go out after 10 ms")
def hedges(bench: Bench):
    state = bench.routing.profile_state("lookup", bench.profile)
    for _ in range(100):
        state.window.record(0.01)
    state.window.rotate()
    state.hedges.earn(1000)


@given(parsers.parse("the hedge budget is earned after {delay:d} ms"))
def earned_later(bench: Bench, delay: int):
    state = bench.routing.profile_state("lookup", bench.profile)
    while state.hedges.spend():
        pass
    bench.link.later = lambda: asyncio.get_running_loop().call_later(
        delay / 1000, state.hedges.earn, 1000
    )


@given("no retry is allowed")
def no_retry(bench: Bench):
    bench.profile = replace(bench.profile, retry_budget=0.0)


@when("every replica says that version 2 is gone")
def all_gone(bench: Bench):
    bench.link.behaviour["all"] = "says version 2 is gone"


@when(parsers.re(r"(?P<replica>sorting-\d/r\d) (?P<told>.+)"))
def behave(bench: Bench, replica: str, told: str):
    bench.link.behaviour[replica] = told


@then(
    parsers.parse("the answer covers {count:d} shards of version {version:d}"),
    target_fixture="answer",
)
def covers(bench: Bench, count: int, version: int):
    answer = bench.run()
    assert (answer.covered, answer.version) == (count, version)
    assert len(answer.hits) == count
    return answer


@then(parsers.parse("{shard} is missing"))
def missing(answer, shard: str):
    (found,) = answer.missing
    assert found.shard == shard
    assert found.reason


@then("each shard is merged once")
def merged_once(answer):
    keys = [hit.key for hit in answer.hits]
    assert len(set(keys)) == len(keys)


@then(parsers.parse("at most {count:d} hedge went out"))
def hedge_count(bench: Bench, count: int):
    assert bench.routing.metrics.read("hedges", "lookup") <= count
