from __future__ import annotations

from anvilhoist.searches.documents import Group, Replica, Vm, Vms
from anvilhoist.searches.placement import choose_owners, rank_vms

CENTRES = ("vaxjo", "alvesta", "ljungby", "vaxjo")


def make_vms(**states: str) -> Vms:
    return Vms(
        {
            f"vm-{number}": Vm(
                centre,
                f"10.0.0.{number}:80",
                f"10.0.0.{number}:81",
                state=states.get(f"vm_{number}", "live"),
            )
            for number, centre in enumerate(CENTRES, start=1)
        }
    )


def make_group(count: int = 2) -> Group:
    replicas = {
        f"r{ordinal}": Replica(f"10.1.0.{ordinal + 1}:80", "vaxjo", ordinal)
        for ordinal in range(count)
    }
    return Group(3, 30, replicas)


class TestOwners:
    def test_replicas_of_a_group_have_owners_in_different_data_centres(self):
        vms = make_vms()
        for number in range(50):
            name = f"sorting-{number}"
            owners = choose_owners(vms, name, make_group())
            centres = {vms.vms[owner].data_centre for owner in owners.values()}
            assert len(centres) == 2, name

    def test_only_the_replicas_of_a_vm_that_is_gone_move(self):
        before, after = make_vms(), make_vms(vm_2="gone")
        for number in range(50):
            name = f"sorting-{number}"
            old = choose_owners(before, name, make_group())
            new = choose_owners(after, name, make_group())
            moved = {replica for replica in old if old[replica] != new[replica]}
            assert moved == {key for key, owner in old.items() if owner == "vm-2"}
            assert "vm-2" not in new.values()

    def test_no_owner_where_no_vm_is_live(self):
        vms = make_vms(vm_1="gone", vm_2="gone", vm_3="leaving", vm_4="gone")
        assert choose_owners(vms, "sorting-1", make_group()) == {}

    def test_rank_holds_every_vm_once(self):
        assert sorted(rank_vms(make_vms(), "g")) == ["vm-1", "vm-2", "vm-3", "vm-4"]
