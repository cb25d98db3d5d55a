"""Running a binary: command line, event loop, signals, exit codes."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Callable, Sequence
from functools import wraps
from typing import Protocol

import fire
import fire.core

from . import __version__
from .errors import SettingsError, UsageError
from .loop import AsyncMain, run_loop

CLOSE_LIMIT_S = 1.0


class ClosableServer(Protocol):
    """A listening server."""

    def close(self) -> None:
        """Stop listening."""

    async def wait_closed(self) -> None:
        """Wait for the connections to end."""


def parse_command(
    name: str, commands: Callable | dict[str, Callable], arguments: Sequence[str]
) -> AsyncMain:
    """Parse a command line whole before anything is started.

    The library runs a command before it looks at what is left of the line, so
    the commands only hand back what is to be run.

    Parameters
    ----------
    name : str
        Name of the binary.
    commands : callable or dict of callable
        Each takes the flags and returns what is to be run.
    arguments : sequence of str
        Command line without the name.

    Returns
    -------
    callable
        Coroutine function whose result is the exit code.

    Raises
    ------
    UsageError
        If the line names a wrong flag or a surplus argument.
    """
    if "--" in arguments or "-" in arguments:
        raise UsageError(f"{name}: '-' and '--' are not arguments")
    parsed: list[AsyncMain] = []

    def keep(function: Callable) -> Callable:
        @wraps(function)
        def parse(*args, **kwargs):
            parsed.append(function(*args, **kwargs))

        return parse

    if callable(commands):
        component = keep(commands)
    else:
        component = {key: keep(function) for key, function in commands.items()}
    fire.core.Display = _display
    try:
        fire.Fire(component, command=list(arguments), name=name)
    except fire.core.FireExit as error:
        if error.code == 0:
            raise SystemExit(0) from None
        raise UsageError(f"{name}: see {name} --help") from None
    if len(parsed) != 1:
        raise UsageError(f"{name}: a command is missing; see {name} --help")
    return parsed[0]


def run_cli(name: str, commands: Callable | dict[str, Callable]) -> None:
    """Run a binary from its command line and exit."""
    arguments = sys.argv[1:]
    if arguments == ["--version"]:
        print(f"{name} {__version__}")
        raise SystemExit(0)
    try:
        run = parse_command(name, commands, arguments)
        code = run_loop(run)
    except (UsageError, SettingsError) as error:
        print(f"{name}: {error}", file=sys.stderr)
        code = error.exit_code
    sys.stdout.flush()
    raise SystemExit(code)


async def wait_for_stop_signal() -> str:
    """Wait for SIGTERM or SIGINT.

    Returns
    -------
    str
        Name of the signal.
    """
    loop = asyncio.get_running_loop()
    stopped: asyncio.Future[str] = loop.create_future()

    def stop(name: str) -> None:
        if not stopped.done():
            stopped.set_result(name)

    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop, number.name)
    return await stopped


async def close_server(server: ClosableServer) -> None:
    """Close a server; connections that stay open hold it up for a bounded time."""
    server.close()
    try:
        async with asyncio.timeout(CLOSE_LIMIT_S):
            await server.wait_closed()
    except TimeoutError:
        return


def _display(lines: Sequence[str], out) -> None:
    print("\n".join(lines), file=out)
