"""Choose which VMs get the next heartbeat.

In a small fleet, every VM sends to every other one. In a large fleet, each VM sends a
constant number, and liveness spreads by gossip: a heartbeat names VMs that its sender
has heard.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from .members import MAX_FULL_MESH_PEERS, Members

# Receivers of one heartbeat in a large fleet: live VMs of the own data centre, and some
# of the other VMs heard recently, which are mostly those of other data centres.
TARGETS_IN_DATA_CENTRE = 3
OTHER_TARGETS = 1
MAX_LOST_TARGETS = 1  # lost VMs probed with each heartbeat, so that partitions heal
# Unconfirmed VMs probed with each heartbeat: seeds that are not alive, and VMs that
# only others hear.
MAX_UNCONFIRMED_TARGETS = 32
# How long a change of this VM's own state is sent to every VM heard recently.
ANNOUNCE_DURATION_S = 1.2


@dataclass(frozen=True, slots=True)
class Targets:
    """Receivers of one heartbeat.

    Attributes
    ----------
    notified : frozenset of str
        IP addresses of VMs that need not answer.
    probed : frozenset of str
        IP addresses of VMs that are asked to answer with a heartbeat of their own.
    """

    notified: frozenset[str]
    probed: frozenset[str]


def choose_targets(members: Members, announces_state: bool, random: Random) -> Targets:
    """Choose the receivers of the next heartbeat.

    Parameters
    ----------
    members : Members
        The other VMs.
    announces_state : bool
        Whether to send to every VM heard recently, as this VM's own state has just
        changed.
    random : Random
        Selects among the candidates if there are too many for one heartbeat.
    """
    unconfirmed = _sample(members.list_unconfirmed(), MAX_UNCONFIRMED_TARGETS, random)
    lost = _sample(members.list_lost(), MAX_LOST_TARGETS, random)
    recent = {heartbeat.host for heartbeat in members.list_recent()}
    if announces_state or len(recent) <= MAX_FULL_MESH_PEERS:
        notified = recent
    else:
        near = {heartbeat.host for heartbeat in members.list_in_data_centre()}
        notified = _sample(near, TARGETS_IN_DATA_CENTRE, random)
        notified |= _sample(recent - near, OTHER_TARGETS, random)
    return Targets(frozenset(notified), frozenset(unconfirmed | lost))


def _sample(hosts: Iterable[str], count: int, random: Random) -> set[str]:
    found = sorted(hosts)
    return set(random.sample(found, min(count, len(found))))
