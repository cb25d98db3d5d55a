"""Start the processes of a site."""

from __future__ import annotations

import os
import resource
import subprocess
import sys
from collections.abc import Sequence
from functools import partial
from pathlib import Path


def spawn_module(
    module: str, arguments: Sequence[str], log_path: Path, descriptors: int | None
) -> subprocess.Popen:
    """Run a module in a process of its own.

    Parameters
    ----------
    module : str
        Module, as for `python -m`.
    arguments : sequence of str
        Its arguments.
    log_path : Path
        File that its output is appended to.
    descriptors : int or None
        Largest number of its open descriptors; None for that of this process.
    """
    prepare = None
    if descriptors is not None:
        limits = (descriptors, descriptors)
        prepare = partial(resource.setrlimit, resource.RLIMIT_NOFILE, limits)
    with log_path.open("ab") as log:
        return subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=log,
            stderr=subprocess.STDOUT,
            env={**os.environ, "UV_USE_IO_URING": "0"},
            preexec_fn=prepare,
        )
