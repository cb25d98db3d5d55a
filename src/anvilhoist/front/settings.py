"""Settings of the process that serves callers."""

from __future__ import annotations

import os
import tomllib
from typing import Annotated

import msgspec
from msgspec import Meta, Struct

from ..errors import SettingsError
from ..validation import format_validation_error

VARIABLE = "ANVILHOIST_SETTINGS"
LARGEST = 1e9  # of any number, which keeps out what is not finite
Address = Annotated[str, Meta(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")]
Host = Annotated[str, Meta(pattern=r"^[0-9.]{7,15}$")]
Port = Annotated[int, Meta(gt=0, lt=65536)]
Positive = Annotated[float, Meta(gt=0, le=LARGEST)]
NotNegative = Annotated[float, Meta(ge=0, le=LARGEST)]


class Listen(Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses that the process listens on.

    Attributes
    ----------
    callers, readiness, peers : str
        For callers' requests, for status calls, and for other VMs.
    directory : str or None
        For callers that ask where to connect.
    searches : str or None
        For callers of the tier's own interface.
    """

    callers: Address
    readiness: Address
    peers: Address
    directory: Address | None = None
    searches: Address | None = None


class Bounds(Struct, frozen=True, forbid_unknown_fields=True):
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

    retry_ratio: NotNegative = 0.2
    retry_allowance: NotNegative = 50.0
    retry_window_s: Positive = 10.0
    stop_s: Positive = 6.0
    address_keep_s: Positive = 5.0


class FrontSettings(Struct, frozen=True, forbid_unknown_fields=True):
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

    vm: Annotated[str, Meta(min_length=1)]
    host: Host
    data_centre: str
    region: str
    store: Address
    listen: Listen
    peers_port: Port
    metrics_port: Port
    seeds: tuple[Address, ...] = ()
    bounds: Bounds = Bounds()
    data_centres: dict[str, str] = {}

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
    try:
        with open(path, "rb") as file:
            table = tomllib.load(file)
        return msgspec.convert(table, FrontSettings)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(path, (f"not TOML: {error}",)) from None
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path, (f"cannot be read: {error}",)) from None
    except msgspec.ValidationError as error:
        raise SettingsError(path, (format_validation_error(str(error)),)) from None
