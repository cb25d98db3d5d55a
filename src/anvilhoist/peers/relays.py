"""Decide which VMs read the store, and through whom the others read.

Answers the price and the rate of the store's calls, which grow more slowly than the
fleet. Every VM works its place out from whom it hears; nobody is elected. Where two
views differ, a VM reads the store that need not, or reads through one that does not.
"""

from __future__ import annotations

from collections.abc import Sequence

from .members import rank_hosts

STORE_READERS = 2  # VMs of a data centre that read the store; one may be cut or paused
# VMs that read through the same pair, a bound on its traffic.
READERS_PER_RELAY_PAIR = 16
RANKING_KEY = "store"  # of the rendezvous hashes that order the VMs


def choose_relays(host: str, near: Sequence[str]) -> tuple[str, ...]:
    """Choose the VMs that a VM reads through.

    Parameters
    ----------
    host : str
        IP number of the VM.
    near : sequence of str
        IP numbers of the other VMs of its data centre that serve.

    Returns
    -------
    tuple of str
        Empty where the VM reads the store itself.
    """
    ranked = rank_hosts([host, *near], RANKING_KEY)
    rank = ranked.index(host)
    if rank < STORE_READERS:
        return ()
    first = STORE_READERS * ((rank - STORE_READERS) // READERS_PER_RELAY_PAIR)
    return tuple(ranked[first : first + STORE_READERS])
