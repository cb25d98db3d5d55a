from __future__ import annotations

import json
import signal

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from anvilhoist.bench.checker import CHECKS
from runner import FleetRunner

pytestmark = pytest.mark.process

scenarios("features/processes")

COLD_EXCUSE_S = 0.2


@pytest.fixture
def notes() -> dict:
    """What the steps of one scenario remember."""
    return {"ticket": "", "replies": []}


def issuer_of(notes: dict) -> str:
    """Slot of the VM that issued the ticket."""
    return notes["ticket"].rsplit(".", 2)[0]


@given("a running fleet")
def running_fleet(fleet: FleetRunner, request: pytest.FixtureRequest):
    fleet.restore()
    request.addfinalizer(fleet.stop_load)


@given(parsers.parse("{rate:d} searches a second"))
def searches(fleet: FleetRunner, rate: int):
    fleet.start_searches(rate)


@given(parsers.parse("{rate:d} searches a second with a deadline of {deadline:d} ms"))
def searches_with_deadline(fleet: FleetRunner, rate: int, deadline: int):
    fleet.start_searches(rate, deadline_ms=deadline)


@given(parsers.parse("{rate:d} bookings a second, each sent twice"))
def bookings(fleet: FleetRunner, rate: int):
    fleet.start_bookings(rate)


@given(parsers.parse("stragglers are {share:d} of 100 answers"))
def stragglers(fleet: FleetRunner, share: int):
    fleet.tell_upstreams("tune", straggler_share=str(share / 100))


@when(parsers.parse("{seconds:d} seconds pass"))
def pass_time(fleet: FleetRunner, seconds: int):
    fleet.wait(seconds)


@when(parsers.parse("version {version:d} is published with another shard map"))
def publish_version(fleet: FleetRunner, version: int):
    fleet.versions = (*fleet.versions, version)
    fleet.publish_directory()


@when(parsers.parse("version {version:d} is gone"))
def version_gone(fleet: FleetRunner, version: int):
    fleet.tell_upstreams("gone", version=str(version))


@when(parsers.parse('the replica "{name}" is killed'))
def kill_replica(fleet: FleetRunner, name: str):
    fleet.tell_replica("stop", name)


@when("every booking replica is killed")
def kill_booking_replicas(fleet: FleetRunner):
    for name in fleet.fleet.plan.replicas:
        if name.startswith("remelting"):
            fleet.tell_replica("stop", name)


@when(parsers.parse('the replica "{name}" is leaving'))
def replica_leaves(fleet: FleetRunner, name: str):
    fleet.set_leaving(name)


@when("all upstreams restart")
def restart_upstreams(fleet: FleetRunner):
    fleet.tell_upstreams("restart")


@when("all upstreams turn cold quietly")
def turn_cold(fleet: FleetRunner):
    fleet.tell_upstreams("restart", quiet="1")


@when("upstreams lose their answers to bookings")
def lose_answers(fleet: FleetRunner):
    fleet.tell_upstreams("tune", lose_answers="1")


@when(parsers.parse('the process "{name}" gets SIGKILL'))
def kill_process(fleet: FleetRunner, name: str):
    fleet.end(name, signal.SIGKILL)


@when(parsers.parse('the process "{name}" gets SIGSTOP'))
def stop_process(fleet: FleetRunner, name: str):
    fleet.signal(name, signal.SIGSTOP)


@when(parsers.parse('the process "{name}" gets SIGCONT'))
def continue_process(fleet: FleetRunner, name: str):
    fleet.signal(name, signal.SIGCONT)


@when(parsers.parse('the process "{name}" gets SIGTERM and ends with 0'))
def end_process(fleet: FleetRunner, name: str):
    assert fleet.end(name, signal.SIGTERM) == 0


@when(parsers.parse('the process "{name}" starts again'))
def start_process(fleet: FleetRunner, name: str):
    fleet.start_process(name)


@when(parsers.parse("the list names {vm} as {state}"))
def set_vm(fleet: FleetRunner, vm: str, state: str):
    fleet.set_vm(vm, state)


@when(parsers.parse("vm-{number:d} is cut off"))
def cut_off(fleet: FleetRunner, number: int):
    fleet.isolate(number - 1)


@when("the cuts are healed")
def heal(fleet: FleetRunner):
    fleet.heal()


@when(parsers.parse("the platform is {mode} for {names}"))
def platform_mode(fleet: FleetRunner, mode: str, names: str):
    vms = fleet.fleet.plan.vm_names if names == "all" else tuple(names.split(", "))
    fleet.set_platform(mode, vms)


@when(parsers.parse("the operators take {centre} out"))
def take_out(fleet: FleetRunner, centre: str):
    fleet.take_out(centre)


@when(parsers.parse("the operators bring {centre} back"))
def bring_back(fleet: FleetRunner, centre: str):
    fleet.bring_back(centre)


@when("all data centres are taken out")
def take_all_out(fleet: FleetRunner):
    for centre in fleet.topology.data_centres:
        fleet.take_out(centre)


@when("a configuration is published")
def publish(fleet: FleetRunner):
    fleet.publish_config()


@when("an invalid configuration is published")
def publish_invalid(fleet: FleetRunner):
    fleet.publish("config", "profiles = 3", valid=False)


@when("a ticket is issued")
def issue(fleet: FleetRunner, notes: dict):
    notes["ticket"] = fleet.ticket()


@when("a booking is sent")
def book(fleet: FleetRunner, notes: dict):
    notes["ticket"] = fleet.ticket()
    notes["replies"].append(fleet.book(notes["ticket"]))


@when("the booking of the ticket is sent")
def book_ticket(fleet: FleetRunner, notes: dict):
    notes["replies"].append(fleet.book(notes["ticket"]))


@when(parsers.parse("the booking of the ticket is sent within {deadline:d} ms"))
def book_with_deadline(fleet: FleetRunner, notes: dict, deadline: int):
    notes["replies"].append(fleet.book(notes["ticket"], deadline_ms=deadline))


@when("the same booking is sent again through every entry VM")
def book_again(fleet: FleetRunner, notes: dict):
    for address in fleet.fleet.plan.entry_addresses:
        notes["replies"].append(fleet.book_at(address, notes["ticket"]))


@when("the booking of the ticket is sent through every VM but the issuer's")
def book_elsewhere(fleet: FleetRunner, notes: dict):
    own = fleet.entry(fleet.fleet.plan.vm_names.index(issuer_of(notes)))
    for address in set(fleet.fleet.plan.entry_addresses) - {own}:
        notes["replies"].append(fleet.book_at(address, notes["ticket"]))


@when("the booking of the ticket is sent through the issuer's VM")
def book_at_issuer(fleet: FleetRunner, notes: dict):
    own = fleet.entry(fleet.fleet.plan.vm_names.index(issuer_of(notes)))
    notes["replies"].append(fleet.book_at(own, notes["ticket"]))


@when(parsers.parse("the issuer gets {name}"))
def signal_issuer(fleet: FleetRunner, notes: dict, name: str):
    issuer = issuer_of(notes)
    fleet.signal(f"{issuer}-dispatch", signal.Signals[name])


@when("the issuer is killed and starts again")
def restart_issuer(fleet: FleetRunner, notes: dict):
    issuer = issuer_of(notes)
    fleet.end(f"{issuer}-dispatch", signal.SIGKILL)
    fleet.start_process(f"{issuer}-dispatch")
    fleet.wait_ready()


@when("the issuer is cut off")
def cut_issuer(fleet: FleetRunner, notes: dict):
    issuer = issuer_of(notes)
    fleet.isolate(fleet.fleet.plan.vm_names.index(issuer))


@then(parsers.parse("point {point:d} holds"))
def point_holds(fleet: FleetRunner, point: int):
    fleet.stop_load()
    found = CHECKS[point](fleet.take_record())
    assert found == [], found[:5]


@then("no replica got more than its slots")
def within_slots(fleet: FleetRunner):
    fleet.stop_load()
    slots = {item["replica"]: item["slots"] for item in fleet.read_stats()}
    over = [
        item
        for item in fleet.take_record().arrivals
        if item.at_work > slots[item.replica]
    ]
    assert over == []


@then(
    parsers.parse(
        "each replica got work over its cold bound for at most {seconds:f} seconds"
    )
)
def cold_excuse(fleet: FleetRunner, seconds: float):
    times: dict[str, list[float]] = {}
    for item in fleet.take_record().arrivals:
        if item.at_work > item.bound:
            times.setdefault(item.replica, []).append(item.at_s)
    spans = {name: max(found) - min(found) for name, found in times.items()}
    assert all(span <= seconds for span in spans.values()), spans


@then("every search since the start was answered in full")
def all_answered(fleet: FleetRunner):
    fleet.stop_load()
    bad = [
        (call.request_id, call.status, json.dumps(call.body)[:200])
        for call in fleet.record.calls
        if call.status != 200 or call.body["coverage"]["missing"]
    ]
    assert fleet.record.calls
    assert bad == [], (len(bad), len(fleet.record.calls), bad[:5])


@then(parsers.parse("answers came from versions {first:d} and {second:d}"))
def versions_seen(fleet: FleetRunner, first: int, second: int):
    seen = {call.body["snapshot"]["version"] for call in fleet.record.calls}
    assert seen == {first, second}


@then("the last search names a missing shard")
def last_names_missing(fleet: FleetRunner):
    assert fleet.record.calls[-1].body["coverage"]["missing"]


@then("no search was cut")
def no_cut(fleet: FleetRunner):
    assert [call for call in fleet.record.calls if call.status == 0] == []


@then("the newest valid configuration is in force everywhere")
def newest_in_force(fleet: FleetRunner):
    newest = max(
        change.revision
        for change in fleet.record.changes
        if change.what == "publish" and change.subject == "config"
    )
    assert set(fleet.read_revisions("config").values()) == {newest}


@then("no reply says that it was not run")
def none_says_not_run(notes: dict):
    assert [reply for reply in notes["replies"] if reply.body.get("ran") == "no"] == []


@then("the reply says that it was not run")
def says_not_run(notes: dict):
    assert notes["replies"][-1].body.get("ran") == "no", notes["replies"]


@then(parsers.parse("the booking ran {times:d} times"))
def ran_times(fleet: FleetRunner, notes: dict, times: int):
    assert fleet.bookings_run().get(notes["ticket"], 0) == times


@then("the booking ran at most once")
def ran_at_most_once(fleet: FleetRunner, notes: dict):
    assert fleet.bookings_run().get(notes["ticket"], 0) <= 1
