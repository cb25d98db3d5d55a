"""Messages about invalid input that begin with the key."""

from __future__ import annotations

import re

_FIELD_PROBLEM = re.compile(r"(?P<problem>missing|unknown).* field `(?P<key>[^`]+)`")


def format_validation_error(message: str) -> str:
    """Rewrite a message of msgspec so that it begins with the key.

    Parameters
    ----------
    message : str
        Message of msgspec, which ends in the path of the value. A missing or unknown
        field is named before it and is not part of the path.

    Returns
    -------
    str
        Dotted key, a colon, and what is wrong with its value.
    """
    problem, _, path = message.partition(" - at `$")
    parent_key = path.rstrip("`").lstrip(".")
    match = _FIELD_PROBLEM.search(problem)
    if match is None:
        return f"{parent_key or '(document)'}: {problem.lower()}"
    key = f"{parent_key}.{match['key']}".lstrip(".")
    return f"{key}: {'missing' if match['problem'] == 'missing' else 'no such key'}"
