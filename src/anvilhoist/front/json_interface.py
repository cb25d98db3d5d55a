"""Start the server of the JSON interface beside the front process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..clock import read_boottime

if TYPE_CHECKING:
    from ..searches.serve import SearchServer
    from .process import Front


async def start_api_server(
    front: Front, address: str, address_keep_s: float, eviction_interval_s: float
) -> SearchServer:
    """Start the server of the JSON interface.

    Parameters
    ----------
    front : Front
        Parts of the front process.
    address : str
        IP address and port to listen on.
    address_keep_s : float
        Time for which callers are told to keep an address, in seconds.
    eviction_interval_s : float
        Time between two evictions of expired tickets, in seconds.
    """
    # Imported only here: the libraries of the JSON interface double the start time.
    from ..searches.api import SearchApi
    from ..searches.serve import SearchServer
    from ..searches.tickets import TicketRegistry

    tickets = TicketRegistry(front.settings.vm, front.incarnation, read_boottime)
    port = int(address.rpartition(":")[2])
    api = SearchApi(
        front.forwarder,
        front.members,
        front.make_heartbeat,
        tickets,
        port,
        address_keep_s,
    )
    front.timers.subscribe(eviction_interval_s, tickets.evict_expired)
    server = SearchServer(api)
    await server.listen(address)
    return server
