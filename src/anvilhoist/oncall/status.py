"""Status of all VMs of the fleet, for operators."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import aiohttp
import msgspec

from ..front.report import STATUS_PATH, VmStatus

READ_TIMEOUT_S = 2.0  # for the complete response of one VM


@dataclass(slots=True)
class FleetStatus:
    """Status of every VM that could be read.

    Attributes
    ----------
    statuses : list of VmStatus
        Status of each VM that answered, sorted by name.
    read_errors : dict of str
        Reason why a status could not be read, by VM. The key is the address if the
        first VM did not answer, since its name is then unknown.
    """

    statuses: list[VmStatus] = field(default_factory=list)
    read_errors: dict[str, str] = field(default_factory=dict)


async def fetch_fleet_status(via: str) -> FleetStatus:
    """Read the status of one VM and of all its peers.

    Parameters
    ----------
    via : str
        Metrics address of any VM. Its peers are asked on the same port.
    """
    fleet = FleetStatus()
    port = via.rpartition(":")[2]
    timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        await _fetch_vm_status(fleet, session, via, via)
        if fleet.statuses:
            peers = fleet.statuses[0].peers
            await asyncio.gather(
                *(
                    _fetch_vm_status(fleet, session, vm, f"{host}:{port}")
                    for vm, host in peers.items()
                )
            )
    fleet.statuses.sort(key=lambda status: status.vm)
    return fleet


def format_fleet_status(fleet: FleetStatus) -> list[str]:
    """Return one line for each VM, first those whose status was read."""
    lines = [_format_status(status) for status in fleet.statuses]
    lines += [f"{vm}: not read, {why}" for vm, why in sorted(fleet.read_errors.items())]
    return lines


async def _fetch_vm_status(
    fleet: FleetStatus, session: aiohttp.ClientSession, vm: str, address: str
) -> None:
    try:
        async with session.get(f"http://{address}{STATUS_PATH}") as response:
            fleet.statuses.append(
                msgspec.json.decode(await response.read(), type=VmStatus)
            )
    except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
        fleet.read_errors[vm] = f"{address}: {type(error).__name__}"


def _format_status(status: VmStatus) -> str:
    age = "never" if status.view_age_s is None else f"{status.view_age_s:.1f} s ago"
    source = "the store" if status.reads_store else "relays"
    outages = f"; out: {', '.join(status.out)}" if status.out else ""
    replicas = ", ".join(
        f"{count} {belief}" for belief, count in status.beliefs.items()
    )
    return (
        f"{status.vm} ({status.data_centre}): {status.state}, "
        f"configuration {status.version}, confirmed {age} through {source}{outages}; "
        f"replicas: {replicas or 'none'}; {len(status.peers)} peers; "
        f"code {status.code or 'unknown'} on {status.machine or 'unknown'}"
    )
