"""Settings of the front process."""

from __future__ import annotations

import os
import tomllib
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from ..errors import SettingsError
from ..validation import (
    Address,
    Ipv4Text,
    NonNegative,
    Positive,
    format_validation_error,
)

SETTINGS_VARIABLE = "ANVILHOIST_SETTINGS"
Port = Annotated[int, Meta(gt=0, lt=65536)]


class Listen(Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses that the process listens on.

    Attributes
    ----------
    callers, readiness, peers : str
        For callers' requests, for readiness checks, and for requests of other VMs.
    directory : str or None
        For callers that ask which addresses to connect to; None: not served.
    searches : str or None
        For callers of the JSON interface; None: not served.
    """

    callers: Address
    readiness: Address
    peers: Address
    directory: Address | None = None
    searches: Address | None = None


class Bounds(Struct, frozen=True, forbid_unknown_fields=True):
    """Limits that operators set.

    Attributes
    ----------
    retry_ratio : float
        Retries and hedges that a service may get for each request in a window.
    retry_allowance : float
        Retries and hedges that a service may get in a window on top of those, from all
        VMs together.
    retry_window_s : float
        Length of the sliding window, in seconds.
    stop_s : float
        Time between SIGTERM and SIGKILL, in seconds.
    address_keep_s : float
        Longest time for which callers are told to keep an address, in seconds.
    """

    retry_ratio: NonNegative = 0.2
    retry_allowance: NonNegative = 50.0
    retry_window_s: Positive = 10.0
    stop_s: Positive = 6.0
    address_keep_s: Positive = 5.0


class Limits(Struct, frozen=True, forbid_unknown_fields=True):
    """What the VM gives the process.

    Attributes
    ----------
    memory_mb : float
        Memory, in MiB. A quarter of it may be held for clients.
    descriptors : float or None
        Open descriptors; None for the limit that the process finds. Half of them may
        be clients' connections.
    """

    memory_mb: Positive = 256.0
    descriptors: Positive | None = None


class FrontSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of the front process on one VM.

    Attributes
    ----------
    vm, host, data_centre, region : str
        Name, IP address, data centre and region of the VM.
    store : str
        IP address and port of the store.
    listen : Listen
        Addresses to listen on.
    peers_port, metrics_port : int
        Ports for heartbeats and for metrics, the same on every VM.
    seeds : tuple of str
        Addresses at which other VMs may be found; only the IP addresses are used.
    bounds : Bounds
        Limits that operators set.
    limits : Limits
        What the VM gives the process.
    data_centres : dict of str
        Region of each data centre.
    """

    vm: Annotated[str, Meta(min_length=1)]
    host: Ipv4Text
    data_centre: str
    region: str
    store: Address
    listen: Listen
    peers_port: Port
    metrics_port: Port
    seeds: tuple[Address, ...] = ()
    bounds: Bounds = Bounds()
    limits: Limits = Limits()
    data_centres: dict[str, str] = {}

    @property
    def seed_hosts(self) -> tuple[str, ...]:
        """IP addresses of the seeds."""
        return tuple(seed.rpartition(":")[0] for seed in self.seeds)


def read_front_settings(path: str | None) -> FrontSettings:
    """Read and validate the settings file.

    Parameters
    ----------
    path : str or None
        Path of the file; None for the one that ANVILHOIST_SETTINGS names.

    Raises
    ------
    SettingsError
        If no file is named, or the file can't be read or is not valid.
    """
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            "--settings", (f"missing, and {SETTINGS_VARIABLE} is not set",)
        )
    try:
        with open(path, "rb") as file:
            table = tomllib.load(file)
        return msgspec.convert(table, FrontSettings)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(path, (f"not valid TOML: {error}",)) from None
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path, (f"cannot be read: {error}",)) from None
    except msgspec.ValidationError as error:
        raise SettingsError(path, (format_validation_error(str(error)),)) from None
