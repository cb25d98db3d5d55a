"""The operators' command. It reads, and writes nothing anywhere but pictures."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ..errors import SettingsError
from ..front.settings import read_front_settings
from ..platform.documents import parse_configuration
from ..process import run_cli
from ..validation import format_validation_error
from .rounds import draw_rounds, format_rounds, read_rounds
from .status import fetch_fleet_status, format_fleet_status
from .story import collect_request_history, format_request_history, read_log_lines

NOT_ALL_READ_EXIT_CODE = 4


def check(path: str):
    """Check a configuration offline, before it is published.

    Parameters
    ----------
    path : str
        File with the configuration, as it would be published.
    """

    async def run() -> int:
        try:
            found = parse_configuration(Path(str(path)).read_bytes())
        except OSError as error:
            raise SettingsError(str(path), (f"cannot be read: {error}",)) from None
        except msgspec.DecodeError as error:
            problem = format_validation_error(str(error))
            raise SettingsError(str(path), (problem,)) from None
        print(f"{path}: valid, version {found.version}, {len(found.routes)} routes")
        return 0

    return run


def check_settings(path: str):
    """Check a settings file of the front.

    Parameters
    ----------
    path : str
        The file.
    """

    async def run() -> int:
        found = read_front_settings(path)
        print(f"{path}: valid, for {found.vm}")
        return 0

    return run


def status(via: str):
    """List what is in force on each VM, and how old it is.

    Parameters
    ----------
    via : str
        Metrics address of any VM.
    """

    async def run() -> int:
        fleet = await fetch_fleet_status(str(via))
        print("\n".join(format_fleet_status(fleet)))
        return NOT_ALL_READ_EXIT_CODE if fleet.read_errors else 0

    return run


def story(request: str, *logs: str):
    """Tell what became of one request, from its processes' logs.

    Parameters
    ----------
    request : str
        Id of the request.
    logs : str
        Log files.
    """

    async def run() -> int:
        found = collect_request_history(read_log_lines(logs), str(request))
        print("\n".join(format_request_history(found)))
        return 0 if found.log_lines else NOT_ALL_READ_EXIT_CODE

    return run


def rounds(journal: str = "journal", picture: str = "reports/rounds.png"):
    """List and draw the scored rounds of a journal.

    Parameters
    ----------
    journal : str
        Folder of the entries.
    picture : str
        Where the picture goes.
    """

    async def run() -> int:
        found = read_rounds(journal)
        Path(picture).parent.mkdir(parents=True, exist_ok=True)
        draw_rounds(found, picture)
        print("\n".join(format_rounds(found)))
        print(f"drawn to {picture}")
        return 0

    return run


def main() -> None:
    """Run the binary."""
    commands = {
        "check": check,
        "check_settings": check_settings,
        "rounds": rounds,
        "status": status,
        "story": story,
    }
    run_cli("anvilhoist", commands)


if __name__ == "__main__":
    main()
