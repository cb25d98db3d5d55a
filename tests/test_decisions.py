from __future__ import annotations

import pytest
from pytest_bdd import given, parsers, scenarios, then, when

from anvilhoist.searches.documents import CONFIG, DIRECTORY, VMS
from fakes import Cell, write_config, write_directory, write_vms

scenarios("features/decisions/control.feature")

SETTLED_S = 6.5
EFFECT_S = 3.0


@pytest.fixture
def changes() -> dict[str, float]:
    """When each subject was taken out or began to leave."""
    return {}


@given("a settled cell", target_fixture="cell")
def settled_cell() -> Cell:
    cell = Cell(seed=3)
    cell.run(SETTLED_S)
    return cell


@when(parsers.parse("{seconds:d} seconds go by"))
def go_by(cell: Cell, seconds: int):
    cell.run(seconds)


@when(parsers.parse("the reader of {vm} becomes stale"))
def stale_reader(cell: Cell, vm: str):
    cell.freeze_reader(vm)


@when("the readers of vm-1, vm-2 and vm-3 become stale")
def stale_readers(cell: Cell):
    for vm in ("vm-1", "vm-2", "vm-3"):
        cell.freeze_reader(vm)


@when(parsers.parse("{vm} is isolated"))
def isolate(cell: Cell, vm: str):
    cell.isolate(vm)


@when(parsers.parse("{first} and {second} are cut"))
def cut(cell: Cell, first: str, second: str):
    cell.cut(first, second)


@when("the network heals")
def heal(cell: Cell):
    cell.heal()


@when(parsers.parse("{vm} is killed"))
def kill(cell: Cell, vm: str):
    owner = vm.removeprefix("the owner of ")
    cell.kill(vm if owner == vm else cell.senders(owner)[0])


@when(parsers.parse("{vm} starts empty"))
def start_empty(cell: Cell, vm: str):
    cell.start(vm)


@when(parsers.parse("{vm} is paused"))
def pause(cell: Cell, vm: str):
    cell.nodes[vm].paused = True


@when(parsers.parse("{vm} goes on"))
def go_on(cell: Cell, vm: str):
    cell.nodes[vm].paused = False


@when(parsers.parse("the platform is down for {whom}"))
def platform_down(cell: Cell, whom: str):
    only, spared = whom.removesuffix(" alone"), whom.removeprefix("all but ")
    names = set(cell.nodes) - {spared} if only == whom else {only}
    cell.blind.update(names)


@when(parsers.parse("{vm} is listed as {state}"))
def list_vm(cell: Cell, vm: str, state: str):
    cell.publish(VMS, write_vms(**{vm.replace("-", "_"): state}))


@when("alvesta is taken out")
def take_out(cell: Cell, changes: dict[str, float]):
    changes["alvesta"] = cell.clock()
    cell.publish(CONFIG, write_config(out=("alvesta",)))


@when("alvesta is brought back")
def bring_back(cell: Cell):
    cell.publish(CONFIG, write_config())


@when("an invalid configuration comes")
def invalid(cell: Cell):
    cell.publish(CONFIG, write_config(deadline_ms=-1))


@when(parsers.parse("sorting-1/r0 is leaving"))
def leave(cell: Cell, changes: dict[str, float]):
    changes["sorting-1/r0"] = cell.clock()
    cell.publish(DIRECTORY, write_directory(leaving="sorting-1/r0"))


@then("no replica had two owners")
def one_owner(cell: Cell):
    assert cell.overlaps == []


@then("every replica has an owner")
def all_owned(cell: Cell):
    assert [name for name in cell.replicas() if not cell.senders(name)] == []


@then("at most half of the replicas have no owner")
def half_owned(cell: Cell):
    without = [name for name in cell.replicas() if not cell.senders(name)]
    assert 2 * len(without) <= len(cell.replicas())


@then(parsers.parse("nothing was sent to {subject} after 3 seconds"))
def nothing_sent(cell: Cell, changes: dict[str, float], subject: str):
    directory = next(iter(cell.nodes.values())).view.directory
    late = [
        (at, replica)
        for at, replica in cell.sent
        if at > changes[subject] + EFFECT_S
        and subject in (replica, directory.find_replica(replica).data_centre)
    ]
    assert late == []
    assert cell.sent


@then("no document went back")
def none_reverted(cell: Cell):
    assert cell.reverted == []


@then("every VM holds the newest documents")
def newest(cell: Cell):
    wanted = tuple(cell.published[key].revision for key in (CONFIG, VMS, DIRECTORY))
    assert {node.view.revisions for node in cell.nodes.values()} == {wanted}
