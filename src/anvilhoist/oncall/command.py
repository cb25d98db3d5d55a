"""The operators' command, which only reads, except that `rounds` writes a plot."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ..code_digest import PACKAGE_FOLDER, compute_code_digest
from ..errors import SettingsError
from ..front.settings import read_front_settings
from ..platform.documents import parse_configuration
from ..process import run_cli
from ..validation import format_validation_error
from .rounds import format_rounds, plot_rounds, read_rounds
from .status import fetch_fleet_status, format_fleet_status
from .story import collect_request_history, format_request_history, read_log_lines

# Exit code if a VM's status could not be read or no log line has the request's id.
INCOMPLETE_EXIT_CODE = 4


def check(path: str):
    """Check a configuration offline, before it is published.

    Parameters
    ----------
    path : str
        File with the configuration in the form in which it is published.
    """

    async def run() -> int:
        try:
            configuration = parse_configuration(Path(str(path)).read_bytes())
        except OSError as error:
            raise SettingsError(str(path), (f"cannot be read: {error}",)) from None
        except msgspec.DecodeError as error:
            problem = format_validation_error(str(error))
            raise SettingsError(str(path), (problem,)) from None
        print(
            f"{path}: valid, version {configuration.version}, "
            f"{len(configuration.routes)} routes"
        )
        return 0

    return run


def check_settings(path: str):
    """Check a settings file of the front process.

    Parameters
    ----------
    path : str
        Settings file (TOML).
    """

    async def run() -> int:
        settings = read_front_settings(path)
        print(f"{path}: valid, for {settings.vm}")
        return 0

    return run


def code(folder: str = str(PACKAGE_FOLDER)):
    """Print the digest of a package's sources, as the VMs name it in their logs.

    Parameters
    ----------
    folder : str
        Folder of the package, for example that of a checkout or of a build; by default,
        the one that runs this command.
    """

    async def run() -> int:
        if not Path(folder).is_dir():
            raise SettingsError(folder, ("is no folder",))
        print(compute_code_digest(Path(folder)))
        return 0

    return run


def status(via: str):
    """List each VM's state, configuration, age of its view, and replica counts.

    Exits with code 4 if a VM's status could not be read.

    Parameters
    ----------
    via : str
        Metrics address, host:port, of any VM. The other VMs are asked on the same port.
    """

    async def run() -> int:
        fleet = await fetch_fleet_status(str(via))
        print("\n".join(format_fleet_status(fleet)))
        return INCOMPLETE_EXIT_CODE if fleet.read_errors else 0

    return run


def story(request: str, *logs: str):
    """Show what happened to one request and why, from the logs of the processes.

    Exits with code 4 if no log line has the request's id.

    Parameters
    ----------
    request : str
        Attempt id of the request, or its request id if it came over the JSON interface.
    logs : str
        Log files, each with the lines of one or more processes in order.
    """

    async def run() -> int:
        history = collect_request_history(read_log_lines(logs), str(request))
        print("\n".join(format_request_history(history)))
        return 0 if history.log_lines else INCOMPLETE_EXIT_CODE

    return run


def rounds(journal: str = "journal", picture: str = "reports/rounds.png"):
    """List and plot the scored rounds of a journal.

    Parameters
    ----------
    journal : str
        Folder with the journal entries (JSON files).
    picture : str
        File that the plot is written to. Its folder is created if it is missing.
    """

    async def run() -> int:
        scored_rounds = read_rounds(journal)
        Path(picture).parent.mkdir(parents=True, exist_ok=True)
        plot_rounds(scored_rounds, picture)
        print("\n".join(format_rounds(scored_rounds)))
        print(f"plot written to {picture}")
        return 0

    return run


def main() -> None:
    """Run the `anvilhoist` command and exit."""
    commands = {
        "check": check,
        "check_settings": check_settings,
        "code": code,
        "rounds": rounds,
        "status": status,
        "story": story,
    }
    run_cli("anvilhoist", commands)


if __name__ == "__main__":
    main()
