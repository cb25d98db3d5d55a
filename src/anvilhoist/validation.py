"""Types of values at the border, and messages about invalid input."""

from __future__ import annotations

import re
from typing import Annotated

from msgspec import Meta

MAX_NUMBER = 1e15  # bound of the float types below; it also rejects non-finite values
MAX_WHOLE_NUMBER = 2**53  # up to this, whole numbers are exact in floating point

_OCTET = r"(25[0-5]|2[0-4][0-9]|1[0-9]{2}|[1-9]?[0-9])"
_IPV4 = rf"({_OCTET}\.){{3}}{_OCTET}"
_PORT = (
    r"([1-9][0-9]{0,3}|[1-5][0-9]{4}|6[0-4][0-9]{3}"
    r"|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"
)

Finite = Annotated[float, Meta(ge=-MAX_NUMBER, le=MAX_NUMBER)]
NonNegative = Annotated[float, Meta(ge=0, le=MAX_NUMBER)]
Positive = Annotated[float, Meta(gt=0, le=MAX_NUMBER)]
Share = Annotated[float, Meta(ge=0, le=1)]
WholeNumber = Annotated[int, Meta(ge=-MAX_WHOLE_NUMBER, le=MAX_WHOLE_NUMBER)]
NonNegativeWhole = Annotated[int, Meta(ge=0, le=MAX_WHOLE_NUMBER)]
PositiveWhole = Annotated[int, Meta(ge=1, le=MAX_WHOLE_NUMBER)]
Ipv4Text = Annotated[str, Meta(pattern=rf"^{_IPV4}\Z")]
# IP address and port.
Address = Annotated[str, Meta(pattern=rf"^{_IPV4}:{_PORT}\Z")]

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
