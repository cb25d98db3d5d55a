"""Digest of the sources, which tells which code a process runs."""

from __future__ import annotations

from functools import cache
from pathlib import Path

import xxhash

PACKAGE_FOLDER = Path(__file__).parent


@cache
def compute_code_digest(folder: Path = PACKAGE_FOLDER) -> str:
    """Return a digest of the names and contents of a package's Python files.

    Raises
    ------
    OSError
        If a file can't be read.
    """
    digest = xxhash.xxh64()
    for path in sorted(folder.rglob("*.py")):
        digest.update(path.relative_to(folder).as_posix().encode() + b"\0")
        digest.update(path.read_bytes() + b"\0")
    return digest.hexdigest()
