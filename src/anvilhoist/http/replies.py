"""Requests to servers, and what becomes of them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from ..errors import Failure
from .client_budget import ClientBudget
from .messages import Headers


class ResponseOrigin(Enum):
    """Which request a response is to, by what it says itself.

    Attributes
    ----------
    THIS_REQUEST
        It names the outstanding request.
    OTHER_REQUEST
        It names another one.
    UNNAMED
        It names none.
    """

    THIS_REQUEST = "this request"
    OTHER_REQUEST = "other request"
    UNNAMED = "unnamed"


@dataclass(slots=True)
class OriginCheck:
    """Tells which responses on a connection are to the request outstanding there."""

    _responses_name_requests: bool = False

    def accepts(self, origin: ResponseOrigin) -> bool:
        """Return whether a response is to the outstanding request.

        Once a response has named a request, one that names none belongs to none.
        """
        if origin is ResponseOrigin.UNNAMED:
            return not self._responses_name_requests
        self._responses_name_requests = True
        return origin is ResponseOrigin.THIS_REQUEST


OriginReader = Callable[[Headers], ResponseOrigin]


@dataclass(frozen=True, slots=True)
class Reply:
    """A complete response of a server.

    Attributes
    ----------
    status : int
        HTTP status code.
    headers : list of tuple of bytes
        Names in lower case.
    body : bytes
        Complete body.
    """

    status: int
    headers: Headers
    body: bytes


Outcome = Reply | Failure


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """A request to a server.

    Attributes
    ----------
    head, body : bytes
        The request's bytes; the body may be part of the head. A long one is not copied.
    read_origin : callable
        Tells, from its headers, which request a response is to.
    budget : ClientBudget or None
        Counts what is received for the request; None if no client is the cause of it.
    """

    head: bytes
    read_origin: OriginReader
    body: bytes = b""
    budget: ClientBudget | None = None
