"""Settings of the process that serves callers."""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from typing import Annotated

from pydantic import Field

from ..errors import SettingsError
from ..settings import BORDER, Address, read_document

VARIABLE = "ANVILHOIST_SETTINGS"

Host = Annotated[str, Field(pattern=r"^[0-9.]{7,15}$")]
Port = Annotated[int, Field(gt=0, lt=65536)]
Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]


@dataclass(frozen=True, slots=True)
class Listen:
    """Addresses that the process listens on.

    Attributes
    ----------
    callers, readiness, peers : str
        For callers' requests, for status calls, and for other VMs.
    directory : str or None
        For callers that ask where to connect.
    """

    __pydantic_config__ = BORDER

    callers: Address
    readiness: Address
    peers: Address
    directory: Address | None = None


@dataclass(frozen=True, slots=True)
class Bounds:
    """What operators bound.

    Attributes
    ----------
    retry_ratio, retry_allowance, retry_window_s : float
        Extra arrivals at a service: for each request, and besides, in a window.
    stop_s : float
        Time between SIGTERM and SIGKILL, in seconds.
    address_keep_s : float
        Longest time for which callers keep an address, in seconds.
    """

    __pydantic_config__ = BORDER

    retry_ratio: Annotated[float, Field(ge=0)] = 0.2
    retry_allowance: Annotated[float, Field(ge=0)] = 50.0
    retry_window_s: Positive = 10.0
    stop_s: Positive = 6.0
    address_keep_s: Positive = 5.0


@dataclass(frozen=True, slots=True)
class FrontSettings:
    """Settings of one process on one VM.

    Attributes
    ----------
    vm, host, data_centre, region : str
        Name, IP number and place of the VM.
    store : str
        Address of the store.
    listen : Listen
        Addresses to listen on.
    peers_port, metrics_port : int
        Ports for heartbeats and for metrics, the same on every VM.
    seeds : tuple of str
        Addresses at which other VMs may be found.
    bounds : Bounds
        What operators bound.
    data_centres : dict of str
        Region of each data centre.
    """

    __pydantic_config__ = BORDER

    vm: Annotated[str, Field(min_length=1)]
    host: Host
    data_centre: str
    region: str
    store: Address
    listen: Listen
    peers_port: Port
    metrics_port: Port
    seeds: tuple[Address, ...] = ()
    bounds: Bounds = Bounds()
    data_centres: dict[str, str] = field(default_factory=dict)

    @property
    def seed_hosts(self) -> tuple[str, ...]:
        """IP numbers of the seeds."""
        return tuple(seed.rpartition(":")[0] for seed in self.seeds)


def read_front_settings(path: str | None) -> FrontSettings:
    """Read the settings file, named here or by the environment.

    Raises
    ------
    SettingsError
        If no file is named, or it can't be read or is not valid.
    """
    path = path or os.environ.get(VARIABLE)
    if not path:
        raise SettingsError("--settings", (f"missing, and {VARIABLE} is not set",))
    return read_document(path, FrontSettings)
