"""Command line of the process that serves callers."""

from __future__ import annotations

import gc
import signal
import sys

# A restart should be quick: nothing that is imported becomes garbage.
gc.disable()

from ..errors import SettingsError  # noqa: E402
from .settings import read_front_settings  # noqa: E402


def front(settings: str | None = None):
    """Serve callers' requests until SIGTERM.

    Parameters
    ----------
    settings : str
        Settings file; without it, the one that the environment names.
    """
    found = read_front_settings(settings)

    async def run() -> int:
        from .process import serve

        return await serve(found, settings)

    return run


def main() -> None:
    """Run the binary."""
    # Until the process can reload its settings, being told to is no reason to end.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if len(sys.argv) > 1:
        # Only a command line needs its parser; a restart should be quick.
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
