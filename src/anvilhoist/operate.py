"""The operators' command. It reads and writes nothing anywhere."""

from __future__ import annotations

from pathlib import Path

from .documents import MODELS, parse_document
from .errors import SettingsError, UsageError
from .process import run_binary


def check(path: str, key: str = "config"):
    """Check a document offline, before it is published.

    Parameters
    ----------
    path : str
        File with the document.
    key : str
        Which document it is: config, vms or directory.
    """
    if key not in MODELS:
        allowed = ", ".join(MODELS)
        raise UsageError(f"--key: found {key!r}; allowed: {allowed}")

    async def run() -> int:
        try:
            text = Path(str(path)).read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            raise SettingsError(str(path), (f"cannot be read: {error}",)) from None
        try:
            parse_document(key, text)
        except SettingsError as error:
            raise SettingsError(str(path), error.problems) from None
        print(f"{path}: valid")
        return 0

    return run


def main() -> None:
    """Run the binary."""
    run_binary("anvilhoist", {"check": check})


if __name__ == "__main__":
    main()
