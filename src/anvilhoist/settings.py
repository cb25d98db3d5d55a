"""Validated reading of TOML: a process's settings and any published document."""

from __future__ import annotations

import json
import tomllib
from dataclasses import dataclass
from functools import cache
from pathlib import Path
from typing import Annotated, Any, TypeVar

from pydantic import ConfigDict, Field, TypeAdapter, ValidationError

from .errors import SettingsError

T = TypeVar("T")

FOUND_LENGTH = 80

BORDER = ConfigDict(extra="forbid", strict=True)

Name = Annotated[str, Field(pattern=r"^[a-z0-9][a-z0-9_.-]{0,63}$")]
Address = Annotated[str, Field(pattern=r"^[0-9.]{7,15}:[0-9]{1,5}$")]


@dataclass(frozen=True, slots=True)
class ProcessSettings:
    """Settings of one process on one VM.

    Attributes
    ----------
    vm : str
        Name of the VM's slot in the published list of VMs.
    data_centre : str
        Data centre that the VM stands in.
    listen : str
        IP number and port that the process serves on.
    platform : tuple of str
        Addresses of the platform's service.
    peers : tuple of str
        Dispatch addresses to ask for documents before any list is known.
    watch_wait_s : float
        How long one watch call waits at the platform, in seconds.
    """

    __pydantic_config__ = BORDER

    vm: Name
    data_centre: Name
    listen: Address
    platform: tuple[Address, ...]
    peers: tuple[Address, ...] = ()
    watch_wait_s: Annotated[float, Field(gt=0, le=60)] = 1.0

    @property
    def host(self) -> str:
        """IP number to listen on."""
        return self.listen.rpartition(":")[0]

    @property
    def port(self) -> int:
        """Port to listen on."""
        return int(self.listen.rpartition(":")[2])


@cache
def adapter(model: type[T]) -> TypeAdapter[T]:
    """Validator of a data class, built once."""
    return TypeAdapter(model)


def parse_toml(source: str, text: str, model: type[T]) -> T:
    """Validate a TOML text whole.

    Parameters
    ----------
    source : str
        Name of the file or document, for messages.
    text : str
        TOML text.
    model : type
        Data class that the text must match.

    Returns
    -------
    object
        An instance of `model`.

    Raises
    ------
    SettingsError
        If the text is not TOML or doesn't match; every problem is listed.
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise SettingsError(source, (f"not TOML: {error}",)) from None
    try:
        return adapter(model).validate_json(json.dumps(table, default=str))
    except ValidationError as error:
        raise SettingsError(source, describe(error)) from None


def describe(error: ValidationError) -> tuple[str, ...]:
    """Give one line for each problem: the key, what was found, what is allowed."""
    return tuple(_describe_one(item) for item in error.errors())


def _describe_one(item: Any) -> str:
    key = ".".join(str(part) for part in item["loc"]) or "(document)"
    if item["type"] == "unexpected_keyword_argument":
        return f"{key}: no such key"
    if item["type"] in ("missing", "missing_argument"):
        return f"{key}: missing"
    found = repr(item["input"])[:FOUND_LENGTH]
    return f"{key}: found {found}; {item['msg'].lower()}"


def read_document(path: str, model: type[T]) -> T:
    """Read and validate a TOML file.

    Raises
    ------
    SettingsError
        If the file can't be read or is not valid.
    """
    try:
        text = Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise SettingsError(path, (f"cannot be read: {error}",)) from None
    return parse_toml(path, text, model)


def read_settings(path: str) -> ProcessSettings:
    """Read and validate the settings file of a process of the search tier.

    Raises
    ------
    SettingsError
        If the file can't be read or is not valid.
    """
    return read_document(path, ProcessSettings)
