"""Choose which VMs read the store, and through which VMs the others read.

The price and the rate of calls to the store must grow more slowly than the fleet, so
only a few VMs read it. A relay may itself read through others; every chain of relays
ends at store readers. Every VM computes its own relays from the VMs that it hears;
there is no election. Where two VMs hear different sets of VMs, a VM may read the store
without need, or read through a VM that does not read it.
"""

from __future__ import annotations

from collections.abc import Sequence

from .members import rank_hosts

# VMs of a data centre that read the store; two, as one may be cut off or paused.
STORE_READERS = 2
# VMs that read through the same pair of relays; bounds the traffic of the pair.
READERS_PER_RELAY_PAIR = 16
RANKING_KEY = "store"  # key of the rendezvous hashes that order the VMs


def choose_relays(host: str, peers: Sequence[str]) -> tuple[str, ...]:
    """Choose the VMs that a VM reads through.

    Parameters
    ----------
    host : str
        IP address of the VM.
    peers : sequence of str
        IP addresses of the other VMs of its data centre that are ready.

    Returns
    -------
    tuple of str
        IP addresses of its relays; empty if the VM reads the store itself.
    """
    ranked = rank_hosts([host, *peers], RANKING_KEY)
    rank = ranked.index(host)
    if rank < STORE_READERS:
        return ()
    first = STORE_READERS * ((rank - STORE_READERS) // READERS_PER_RELAY_PAIR)
    return tuple(ranked[first : first + STORE_READERS])
