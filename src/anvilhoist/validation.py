"""Say what is wrong with input, key first."""

from __future__ import annotations

import re

_FIELD = re.compile(r"(?P<how>missing|unknown).* field `(?P<key>[^`]+)`")


def format_validation_error(message: str) -> str:
    """Name the key first, then what is wrong with it.

    Parameters
    ----------
    message : str
        The validating library's message, which names a field and then the way to it.
    """
    problem, _, way = message.partition(" - at `$")
    keys = way.rstrip("`").lstrip(".")
    named = _FIELD.search(problem)
    if named is None:
        return f"{keys or '(document)'}: {problem.lower()}"
    key = f"{keys}.{named['key']}".lstrip(".")
    return f"{key}: {'missing' if named['how'] == 'missing' else 'no such key'}"
