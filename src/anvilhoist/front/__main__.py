"""Command line of the front process."""

from __future__ import annotations

import gc
import signal
import sys

# Imports leave next to no garbage, so collecting during them only slows a restart;
# `run_loop` enables the collector again.
gc.disable()

from ..errors import SettingsError  # noqa: E402
from .settings import read_front_settings  # noqa: E402


def front(settings: str | None = None):
    """Serve callers' requests until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : str
        Path of the settings file; by default, the one that ANVILHOIST_SETTINGS names.
    """
    front_settings = read_front_settings(settings)

    async def run() -> int:
        from .process import serve

        return await serve(front_settings, settings)

    return run


def main() -> None:
    """Run the `anvilhoist-front` command and exit."""
    # SIGHUP asks for a reload of the settings. By default it ends the process, so it
    # is ignored until `serve` installs its handler.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if len(sys.argv) > 1:
        # The command-line parser is imported only for a command line: it slows a
        # restart.
        from ..process import run_cli

        run_cli("anvilhoist-front", front)
    from ..loop import run_loop

    try:
        code = run_loop(front())
    except SettingsError as error:
        print(f"anvilhoist-front: {error}", file=sys.stderr)
        code = error.exit_code
    sys.stdout.flush()
    raise SystemExit(code)


if __name__ == "__main__":
    main()
