"""Choice of the VM addresses that callers are given."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from .peers.members import Members
from .peers.messages import Heartbeat, VmState

# Fewest ready VMs of a data centre for its callers to be given only those. With two, a
# caller has another address when one fails.
MIN_ADDRESSES = 2
MAX_ADDRESSES = 64  # callers read no more addresses of an answer than this


@dataclass(slots=True)
class AddressDirectory:
    """Chooses the addresses that a caller connects to.

    To keep load within a data centre, a caller is given VMs of its own data centre
    while at least `MIN_ADDRESSES` of them are ready, else those of its region, else
    all. If there are more than an answer holds, each answer is a random sample, which
    spreads the load over all of them.

    Parameters
    ----------
    members : Members
        The other VMs.
    random : Random
        Draws the sample.
    """

    members: Members
    random: Random = field(default_factory=Random)

    def list_addresses(
        self, own: Heartbeat, region: str, data_centre: str
    ) -> list[str]:
        """Choose addresses for a caller.

        Parameters
        ----------
        own : Heartbeat
            Heartbeat of this VM, which `members` does not include.
        region, data_centre : str
            Location of the caller.

        Returns
        -------
        list of str
            At most `MAX_ADDRESSES` addresses; empty if no VM is ready.
        """
        ready = self.members.list_ready()
        if own.state is VmState.READY:
            ready.append(own)
        chosen = [vm for vm in ready if vm.data_centre == data_centre]
        if len(chosen) < MIN_ADDRESSES:
            chosen = [vm for vm in ready if vm.region == region] or ready
        addresses = sorted(vm.callers_address for vm in chosen)
        if len(addresses) > MAX_ADDRESSES:
            return self.random.sample(addresses, MAX_ADDRESSES)
        return addresses
