from __future__ import annotations

import numpy as np
import pytest

from anvilhoist.searches.documents import CONFIG, VMS
from anvilhoist.searches.membership import TAKEOVER_WAIT_S
from fakes import Cell, write_config, write_vms

SETTLED_S = TAKEOVER_WAIT_S + 1.5
STATES = ("live", "live", "leaving", "gone")


def make_settled(seed: int = 1, count: int = 4) -> Cell:
    cell = Cell(count=count, seed=seed)
    cell.run(SETTLED_S)
    return cell


class TestOneOwner:
    def test_each_replica_has_one_sender_once_the_fleet_has_settled(self):
        cell = make_settled()
        assert all(len(cell.senders(replica)) == 1 for replica in cell.replicas())
        assert cell.overlaps == []

    def test_a_leaving_vm_hands_over_before_the_wait_is_over(self):
        cell = make_settled()
        cell.publish(VMS, write_vms(vm_2="leaving"))
        cell.run(3.0)
        assert all(len(cell.senders(replica)) == 1 for replica in cell.replicas())
        assert all("vm-2" not in cell.senders(replica) for replica in cell.replicas())
        assert cell.overlaps == []

    def test_an_owner_that_was_stopped_and_wakes_late_sends_nothing(self):
        cell = make_settled()
        owned = cell.nodes["vm-3"].ownership.held
        assert owned
        cell.nodes["vm-3"].paused = True
        cell.publish(VMS, write_vms(vm_3="gone"))
        cell.run(SETTLED_S)
        cell.nodes["vm-3"].paused = False
        assert all("vm-3" not in cell.senders(replica) for replica in owned)
        cell.run(SETTLED_S)
        assert cell.overlaps == []

    def test_an_owner_cut_off_stops_before_another_begins(self):
        cell = make_settled()
        owned = cell.nodes["vm-4"].ownership.held
        cell.isolate("vm-4")
        cell.blind.add("vm-4")
        cell.publish(VMS, write_vms(vm_4="gone"))
        cell.run(2 * SETTLED_S)
        for replica in owned:
            (sender,) = cell.senders(replica)
            assert sender != "vm-4"
        assert cell.overlaps == []

    def test_an_owner_replaced_by_an_empty_vm_waits(self):
        cell = make_settled()
        owned = cell.nodes["vm-2"].ownership.held
        cell.kill("vm-2")
        cell.run(0.2)
        cell.start("vm-2")
        cell.run(TAKEOVER_WAIT_S - 0.5)
        assert all(cell.senders(replica) == [] for replica in owned)
        cell.run(2.0)
        assert all(cell.senders(replica) == ["vm-2"] for replica in owned)
        assert cell.overlaps == []

    def test_a_stale_reader_that_is_cut_off_too_stops(self):
        cell = make_settled()
        cell.freeze_reader("vm-2")
        cell.isolate("vm-2")
        cell.publish(VMS, write_vms(vm_2="gone"))
        cell.run(2 * SETTLED_S)
        assert all("vm-2" not in cell.senders(replica) for replica in cell.replicas())
        assert cell.overlaps == []

    def test_service_goes_on_with_the_platform_down_and_one_vm_lost(self):
        cell = make_settled()
        cell.blind.update(cell.nodes)
        lost = cell.nodes["vm-2"].ownership.held
        cell.kill("vm-2")
        cell.run(60.0)
        for replica in set(cell.replicas()) - lost:
            assert len(cell.senders(replica)) == 1

    def test_half_of_the_fleet_goes_on_with_the_platform_and_stops_without(self):
        cell = make_settled()
        cell.kill("vm-1")
        cell.kill("vm-4")
        cell.run(3.0)
        held = cell.nodes["vm-2"].ownership.held
        assert all(cell.senders(replica) == ["vm-2"] for replica in held)
        cell.blind.update(cell.nodes)
        cell.run(3.0)
        assert all(cell.senders(replica) == [] for replica in cell.replicas())

    def test_a_process_that_a_newer_incarnation_replaced_stops(self):
        cell = make_settled()
        old = cell.nodes["vm-1"]
        cell.start("vm-1")
        cell.run(1.0)
        cell.nodes["old"] = old
        cell.run(3.0)
        assert old.membership.superseded
        assert not any(old.ownership.may_send(replica) for replica in cell.replicas())

    def test_an_owner_that_missed_a_list_claims_anew(self):
        cell = make_settled()
        cell.nodes["vm-3"].paused = True
        cell.publish(VMS, write_vms(vm_3="gone"))
        cell.run(SETTLED_S)
        cell.publish(VMS, write_vms())
        cell.run(0.5)
        cell.nodes["vm-3"].paused = False
        cell.run(2 * SETTLED_S)
        assert all(len(cell.senders(replica)) == 1 for replica in cell.replicas())
        assert cell.overlaps == []

    def test_a_leaving_owner_that_the_new_one_cannot_reach_stops_in_time(self):
        cell = make_settled()
        cell.cut("vm-2", "vm-1")
        cell.cut("vm-2", "vm-4")
        cell.publish(VMS, write_vms(vm_2="leaving"))
        cell.run(2 * SETTLED_S)
        assert all(len(cell.senders(replica)) == 1 for replica in cell.replicas())
        assert cell.overlaps == []

    def test_an_empty_vm_confirms_nothing_that_its_predecessor_gave_up(self):
        cell = make_settled()
        cell.freeze_reader("vm-1")
        cell.nodes["vm-1"].paused = True
        cell.publish(VMS, write_vms(vm_1="gone"))
        cell.run(SETTLED_S)
        cell.isolate("vm-1")
        cell.cuts.discard(frozenset(("vm-1", "vm-2")))
        cell.cut("vm-2", "vm-3")
        cell.cut("vm-2", "vm-4")
        cell.blind.add("vm-2")
        cell.start("vm-2")
        cell.nodes["vm-1"].paused = False
        cell.run(SETTLED_S)
        assert cell.overlaps == []

    @pytest.mark.parametrize("count", [1, 2, 3])
    def test_a_small_fleet_owns_everything_once(self, count):
        cell = make_settled(count=count)
        assert all(len(cell.senders(replica)) == 1 for replica in cell.replicas())
        assert cell.overlaps == []


class TestRandomFaults:
    """Random cuts, kills, pauses, stale readers and lists, one at a time or in
    pairs; never two nodes' work on one replica."""

    @pytest.mark.parametrize("seed", range(60))
    def test_never_two_owners(self, seed: int):
        cell = make_settled(seed)
        random = np.random.default_rng(seed + 1000)
        for _ in range(14):
            self._disturb(cell, random)
            cell.run(float(random.uniform(0.1, 4.0)))
            assert cell.overlaps == [], cell.overlaps[:3]

    def _disturb(self, cell: Cell, random: np.random.Generator) -> None:
        vm = f"vm-{random.integers(1, 5)}"
        match int(random.integers(9)):
            case 0:
                cell.isolate(vm)
            case 1:
                cell.cut(vm, f"vm-{random.integers(1, 5)}")
            case 2:
                cell.heal()
            case 3:
                node = cell.nodes[vm]
                node.paused = not node.paused
            case 4:
                cell.kill(vm)
                cell.run(0.3)
                cell.start(vm)
            case 5:
                if vm in cell.blind:
                    cell.blind.discard(vm)
                else:
                    cell.blind.add(vm)
            case 6:
                cell.freeze_reader(vm)
            case 7:
                cell.stale.clear()
            case 8:
                state = STATES[random.integers(4)]
                cell.publish(VMS, write_vms(**{vm.replace("-", "_"): state}))
                cell.publish(CONFIG, write_config())
