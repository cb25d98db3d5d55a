"""Decide which VMs get the next heartbeat.

Answers fleets of any size: in a small one everybody hears everybody, in a large one
each VM sends a constant number, and signs of life spread by being mentioned.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from .members import FEW, Members

NEAR_TARGETS = 3  # VMs of the own data centre that get one heartbeat
FAR_TARGETS = 1  # VMs of other data centres that get one heartbeat
LOST_TARGETS = 1  # lost VMs that get one heartbeat, so that partitions heal
ASKED_AT_ONCE = 32  # VMs that are asked to tell of themselves with one heartbeat
ANNOUNCE_S = 1.2  # s for which a change of this VM's own state is told to everybody


@dataclass(frozen=True, slots=True)
class Targets:
    """Where one heartbeat goes.

    Attributes
    ----------
    notified : frozenset of str
        IP numbers of VMs that know this one or need not answer.
    probed : frozenset of str
        IP numbers of VMs that are asked to answer with a heartbeat of their own.
    """

    notified: frozenset[str]
    probed: frozenset[str]


def choose_targets(members: Members, announces: bool, random: Random) -> Targets:
    """Choose where the next heartbeat goes.

    Parameters
    ----------
    members : Members
        The other VMs.
    announces : bool
        Whether this VM's own state has just changed.
    random : Random
        Picks some of many.
    """
    unconfirmed = _pick(members.list_unconfirmed(), ASKED_AT_ONCE, random)
    lost = _pick(members.list_lost(), LOST_TARGETS, random)
    recent = {heartbeat.host for heartbeat in members.list_recent()}
    if announces or len(recent) <= FEW:
        notified = recent
    else:
        near = {heartbeat.host for heartbeat in members.list_near()}
        notified = _pick(near, NEAR_TARGETS, random)
        notified |= _pick(recent - near, FAR_TARGETS, random)
    return Targets(frozenset(notified), frozenset(unconfirmed | lost))


def _pick(hosts: Iterable[str], count: int, random: Random) -> set[str]:
    found = sorted(hosts)
    return set(random.sample(found, min(count, len(found))))
