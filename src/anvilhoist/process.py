"""What the binaries share: command line, event loop, signals and exit codes."""

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

CLOSE_TIMEOUT_S = 1.0  # longest wait for a server's `wait_closed`


class ClosableServer(Protocol):
    """A server that accepts connections until it is closed."""

    def close(self) -> None:
        """Stop listening."""

    async def wait_closed(self) -> None:
        """Wait for the close; a server on uvloop does not wait for open connections."""


def parse_command(
    name: str, commands: Callable | dict[str, Callable], arguments: Sequence[str]
) -> AsyncMain:
    """Parse a command line completely before any of it is run.

    Fire calls a command's function before it checks the rest of the line. The
    functions therefore do no work; each returns a coroutine function that does.

    Parameters
    ----------
    name : str
        Name of the binary.
    commands : callable or dict of callable
        Function of the only command, or the functions of all commands by name. Each
        takes the flags and returns a coroutine function.
    arguments : sequence of str
        Command line without the name of the binary.

    Returns
    -------
    callable
        Coroutine function of the command, whose result is the exit code.

    Raises
    ------
    UsageError
        If a flag is unknown, an argument is surplus or missing, no command is named,
        or '-' or '--' is an argument.
    SystemExit
        If the command line asks for help, after printing it.
    """
    # Fire would split the command line at these arguments.
    if "--" in arguments or "-" in arguments:
        raise UsageError(f"{name}: the arguments '-' and '--' are not accepted")
    parsed: list[AsyncMain] = []

    def record_result(function: Callable) -> Callable:
        @wraps(function)
        def call_and_record(*args, **kwargs):
            parsed.append(function(*args, **kwargs))

        return call_and_record

    if callable(commands):
        component = record_result(commands)
    else:
        component = {key: record_result(function) for key, function in commands.items()}
    fire.core.Display = _print_without_pager
    try:
        fire.Fire(component, command=list(arguments), name=name)
    except fire.core.FireExit as error:
        if error.code == 0:
            raise SystemExit(0) from None
        raise UsageError(f"{name}: invalid command line; see {name} --help") from None
    if len(parsed) != 1:
        raise UsageError(f"{name}: no command given; see {name} --help")
    return parsed[0]


def run_cli(name: str, commands: Callable | dict[str, Callable]) -> None:
    """Run a command from the command line of the process, then exit."""
    arguments = sys.argv[1:]
    if arguments == ["--version"]:
        print(f"{name} {__version__}")
        raise SystemExit(0)
    try:
        main = parse_command(name, commands, arguments)
        code = run_loop(main)
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
    received: asyncio.Future[str] = loop.create_future()

    def record_signal(name: str) -> None:
        if not received.done():
            received.set_result(name)

    for stop_signal in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(stop_signal, record_signal, stop_signal.name)
    return await received


async def close_server(server: ClosableServer) -> None:
    """Stop listening, and wait for the close for at most `CLOSE_TIMEOUT_S`."""
    server.close()
    try:
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await server.wait_closed()
    except TimeoutError:
        return


def _print_without_pager(lines: Sequence[str], out) -> None:
    print("\n".join(lines), file=out)
