"""What is in force on each VM, as operators see it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import aiohttp
import msgspec

from ..front.report import STATUS_PATH, VmStatus

READ_LIMIT_S = 2.0  # s for the answer of one VM


@dataclass(slots=True)
class FleetStatus:
    """Status of every VM that could be read.

    Attributes
    ----------
    found : list of VmStatus
        Of the VMs that answered, by name.
    read_errors : dict of str
        Why the others could not be read, by VM.
    """

    found: list[VmStatus] = field(default_factory=list)
    read_errors: dict[str, str] = field(default_factory=dict)


async def fetch_fleet_status(via: str) -> FleetStatus:
    """Read the status of one VM and of all that it knows.

    Parameters
    ----------
    via : str
        Metrics address of any VM.
    """
    fleet = FleetStatus()
    port = via.rpartition(":")[2]
    timeout = aiohttp.ClientTimeout(total=READ_LIMIT_S)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        await _read_into(fleet, session, via, via)
        if fleet.found:
            peers = fleet.found[0].peers
            await asyncio.gather(
                *(
                    _read_into(fleet, session, vm, f"{host}:{port}")
                    for vm, host in peers.items()
                )
            )
    fleet.found.sort(key=lambda status: status.vm)
    return fleet


def format_fleet_status(fleet: FleetStatus) -> list[str]:
    """Describe the fleet in lines of text."""
    lines = [_format_status(status) for status in fleet.found]
    lines += [f"{vm}: not read, {why}" for vm, why in sorted(fleet.read_errors.items())]
    return lines


async def _read_into(
    fleet: FleetStatus, session: aiohttp.ClientSession, vm: str, address: str
) -> None:
    try:
        async with session.get(f"http://{address}{STATUS_PATH}") as reply:
            fleet.found.append(msgspec.json.decode(await reply.read(), type=VmStatus))
    except (aiohttp.ClientError, TimeoutError, msgspec.DecodeError) as error:
        fleet.read_errors[vm] = f"{address}: {type(error).__name__}"


def _format_status(status: VmStatus) -> str:
    age = "never" if status.view_age_s is None else f"{status.view_age_s:.1f} s ago"
    reads = "the store" if status.reads_store else "relays"
    out = f"; out: {', '.join(status.out)}" if status.out else ""
    beliefs = ", ".join(f"{count} {kind}" for kind, count in status.beliefs.items())
    return (
        f"{status.vm} ({status.data_centre}): {status.state}, "
        f"configuration {status.version}, confirmed {age} through {reads}{out}; "
        f"replicas: {beliefs or 'none'}; {len(status.peers)} peers"
    )
