"""Which VM owns which replica, from the published list of VMs alone.

Replicas of one group prefer different VMs, in different data centres where there
are some, so that losing one VM or one data centre leaves every shard a replica.
Only the replicas of a VM that is not live move.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import xxhash

from .documents import Directory, Group, Vms


def score(*parts: str) -> int:
    """Hash parts into a rank for rendezvous hashing."""
    return xxhash.xxh3_64_intdigest("\x00".join(parts).encode())


def choose_cell(vms: Vms, group: str) -> str:
    """Cell that owns the replicas of a group."""
    cells = sorted({vm.cell for vm in vms.vms.values()})
    return max(cells, key=lambda cell: score("cell", cell, group))


def rank_vms(vms: Vms, group: str) -> tuple[str, ...]:
    """Slots of the group's cell, best first, alternating data centres."""
    cell = choose_cell(vms, group)
    names = [name for name, vm in vms.vms.items() if vm.cell == cell]
    names.sort(key=lambda name: score("owner", name, group), reverse=True)
    ranked: list[str] = []
    while names:
        seen = {vms.vms[name].data_centre for name in ranked}
        fresh = (name for name in names if vms.vms[name].data_centre not in seen)
        best = next(fresh, names[0])
        names.remove(best)
        ranked.append(best)
    return tuple(ranked)


def choose_owners(vms: Vms, name: str, group: Group) -> dict[str, str]:
    """Owner of each replica of a group.

    Parameters
    ----------
    vms : Vms
        List of VMs.
    name : str
        Name of the group.
    group : Group
        The group, whose replicas' ordinals decide their preferred VM.

    Returns
    -------
    dict of str to str
        Slot by full replica name; empty where no VM is live.
    """
    ranked = rank_vms(vms, name)
    fallback = next(
        (vm for vm in reversed(ranked) if vms.vms[vm].state == "live"), None
    )
    if fallback is None:
        return {}
    owners = {}
    for replica_name, replica in group.replicas.items():
        preferred = ranked[replica.ordinal % len(ranked)]
        is_live = vms.vms[preferred].state == "live"
        owners[f"{name}/{replica_name}"] = preferred if is_live else fallback
    return owners


def choose_watchers(vms: Vms, data_centre: str, count: int) -> tuple[str, ...]:
    """VMs of a data centre that watch the platform on behalf of the others."""
    names = [
        name
        for name, vm in vms.vms.items()
        if vm.data_centre == data_centre and vm.state == "live"
    ]
    names.sort(key=lambda name: score("watch", name), reverse=True)
    return tuple(names[:count])


@dataclass(slots=True)
class Placement:
    """Owners under one pair of documents, worked out once.

    Parameters
    ----------
    vms : Vms
        List of VMs.
    directory : Directory
        Groups and their replicas.
    """

    vms: Vms
    directory: Directory
    _owners: dict[str, str] = field(default_factory=dict)

    def __post_init__(self):
        for name, group in self.directory.groups.items():
            self._owners.update(choose_owners(self.vms, name, group))

    def matches(self, vms: Vms, directory: Directory) -> bool:
        """Whether it was worked out from these very documents."""
        return self.vms is vms and self.directory is directory

    def owner(self, replica: str) -> str | None:
        """Slot that owns a replica."""
        return self._owners.get(replica)

    def owned_by(self, vm: str) -> frozenset[str]:
        """Full names of the replicas that a slot owns."""
        return frozenset(
            replica for replica, owner in self._owners.items() if owner == vm
        )
