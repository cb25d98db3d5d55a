"""Tell callers which addresses to use."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from .peers.members import Members
from .peers.messages import Heartbeat, VmState

MIN_ADDRESSES = 2  # addresses, so that a caller has another where one fails
MAX_ADDRESSES = 64  # addresses that a caller reads


@dataclass(slots=True)
class AddressDirectory:
    """Chooses addresses for callers.

    Answers load that should stay within a data centre as long as it has VMs, and be
    spread over all of them where they are more than an answer names.

    Parameters
    ----------
    members : Members
        The other VMs.
    random : Random
        Picks some of many.
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
            This VM.
        region, data_centre : str
            Where the caller stands.
        """
        ready = self.members.list_ready()
        if own.state is VmState.READY:
            ready.append(own)
        near = [vm for vm in ready if vm.data_centre == data_centre]
        if len(near) < MIN_ADDRESSES:
            near = [vm for vm in ready if vm.region == region] or ready
        addresses = sorted(vm.callers_address for vm in near)
        if len(addresses) > MAX_ADDRESSES:
            return self.random.sample(addresses, MAX_ADDRESSES)
        return addresses
