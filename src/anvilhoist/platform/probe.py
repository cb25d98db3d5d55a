"""Ask the users' store for a sign of life, on a connection of its own."""

from __future__ import annotations

import asyncio
from urllib.parse import urlencode

from ..errors import Failure
from ..http.connect import open_connection, send_request
from ..http.messages import encode_request
from . import names

PROBE_TIMEOUT_S = 0.8  # to connect and be answered, also on a VM that is slow
# Few and short items; stale ones cost a tenth of a call and don't count to its rate.
_QUERY = {"path-prefix": names.DATA_CENTRE_OUT_KEY_PREFIX, "stale-ok": "1"}


async def probe_store(address: str) -> bool:
    """Return whether the store answers a cheap read on a new connection.

    Parameters
    ----------
    address : str
        IP address and port of the store.
    """
    target = f"{names.RANGE_PATH}?{urlencode(_QUERY)}".encode()
    data = encode_request(b"GET", target, [(b"host", address.encode())], b"")
    connection = None
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_S):
            connection = await open_connection(address, PROBE_TIMEOUT_S)
            reply = await send_request(connection, data)
    except OSError:
        return False
    finally:
        if connection is not None:
            connection.abort()
    return not isinstance(reply, Failure) and reply.status == 200
