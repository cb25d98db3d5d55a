"""All kinds of error, and the one table of the response to each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Executed(Enum):
    """Whether a request that ended in an error was executed."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorKind(Enum):
    """Every kind of error that a process of the tier reports."""

    BAD_REQUEST = "bad_request"
    TOO_LARGE = "too_large"
    TOO_SLOW = "too_slow"
    NOT_FOUND = "not_found"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    UNKNOWN_SERVICE = "unknown_service"
    WRONG_PROFILE = "wrong_profile"
    OVERLOADED = "overloaded"
    QUEUE_EXPIRED = "queue_expired"
    OUT_OF_SERVICE = "out_of_service"
    CONNECT_FAILED = "connect_failed"
    UPSTREAM_FAILED = "upstream_failed"
    CONNECTION_LOST = "connection_lost"
    UPSTREAM_REJECTED = "upstream_rejected"
    DEADLINE = "deadline"
    PEER_LOST = "peer_lost"
    TICKET_REQUIRED = "ticket_required"
    TICKET_MISUSED = "ticket_misused"
    TICKET_EXPIRED = "ticket_expired"
    TICKET_LOST = "ticket_lost"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"
    STORE_UNREACHED = "store_unreached"
    STORE_UNREADABLE = "store_unreadable"
    STORE_HISTORY_GONE = "store_history_gone"
    STORE_ANSWER_TOO_LARGE = "store_answer_too_large"
    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_REPLICA = "no_replica"
    REPLICAS_LIMITED = "replicas_limited"
    STOPPING = "stopping"
    QUARANTINED = "quarantined"
    MEMORY_SHORT = "memory_short"
    TOO_FEW_SHARDS = "too_few_shards"


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """Response that callers get for a kind of error.

    Attributes
    ----------
    status : int
        HTTP status code.
    executed : Executed
        Whether the request was executed.
    """

    status: int
    executed: Executed


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, Executed.NO),
    ErrorKind.TOO_LARGE: ErrorResponse(413, Executed.NO),
    ErrorKind.TOO_SLOW: ErrorResponse(408, Executed.NO),
    ErrorKind.NOT_FOUND: ErrorResponse(404, Executed.NO),
    ErrorKind.METHOD_NOT_ALLOWED: ErrorResponse(405, Executed.NO),
    ErrorKind.UNKNOWN_SERVICE: ErrorResponse(404, Executed.NO),
    ErrorKind.WRONG_PROFILE: ErrorResponse(409, Executed.NO),
    ErrorKind.OVERLOADED: ErrorResponse(429, Executed.NO),
    ErrorKind.QUEUE_EXPIRED: ErrorResponse(504, Executed.NO),
    ErrorKind.OUT_OF_SERVICE: ErrorResponse(503, Executed.NO),
    ErrorKind.CONNECT_FAILED: ErrorResponse(502, Executed.NO),
    ErrorKind.UPSTREAM_FAILED: ErrorResponse(502, Executed.UNKNOWN),
    ErrorKind.CONNECTION_LOST: ErrorResponse(502, Executed.UNKNOWN),
    ErrorKind.UPSTREAM_REJECTED: ErrorResponse(422, Executed.YES),
    ErrorKind.DEADLINE: ErrorResponse(504, Executed.UNKNOWN),
    ErrorKind.PEER_LOST: ErrorResponse(502, Executed.UNKNOWN),
    ErrorKind.TICKET_REQUIRED: ErrorResponse(400, Executed.NO),
    ErrorKind.TICKET_MISUSED: ErrorResponse(409, Executed.NO),
    ErrorKind.TICKET_EXPIRED: ErrorResponse(410, Executed.UNKNOWN),
    ErrorKind.TICKET_LOST: ErrorResponse(410, Executed.UNKNOWN),
    ErrorKind.OUTCOME_UNKNOWN: ErrorResponse(502, Executed.UNKNOWN),
    ErrorKind.INTERNAL: ErrorResponse(500, Executed.UNKNOWN),
    ErrorKind.STORE_UNREACHED: ErrorResponse(503, Executed.NO),
    ErrorKind.STORE_UNREADABLE: ErrorResponse(503, Executed.NO),
    ErrorKind.STORE_HISTORY_GONE: ErrorResponse(503, Executed.NO),
    ErrorKind.STORE_ANSWER_TOO_LARGE: ErrorResponse(503, Executed.NO),
    ErrorKind.NO_CONFIGURATION: ErrorResponse(503, Executed.NO),
    ErrorKind.NO_ROUTE: ErrorResponse(404, Executed.NO),
    ErrorKind.NO_REPLICA: ErrorResponse(503, Executed.NO),
    ErrorKind.REPLICAS_LIMITED: ErrorResponse(503, Executed.NO),
    ErrorKind.STOPPING: ErrorResponse(503, Executed.NO),
    ErrorKind.QUARANTINED: ErrorResponse(503, Executed.NO),
    ErrorKind.MEMORY_SHORT: ErrorResponse(502, Executed.UNKNOWN),
    ErrorKind.TOO_FEW_SHARDS: ErrorResponse(504, Executed.UNKNOWN),
}


@dataclass(frozen=True, slots=True)
class Failure:
    """The error value of a `Result`.

    Attributes
    ----------
    kind : ErrorKind
        Kind of the error, which determines the response.
    detail : str
        Further information for operators and callers.
    """

    kind: ErrorKind
    detail: str = ""

    @property
    def response(self) -> ErrorResponse:
        """Response that callers get for this failure."""
        return ERROR_RESPONSES[self.kind]


class SettingsError(Exception):
    """Settings or a configuration that can't be read or are invalid.

    Parameters
    ----------
    source : str
        Path of the file, or the flag that should have named it.
    problems : tuple of str
        One line for each problem; an invalid value is named by its key.
    """

    exit_code = 3

    def __init__(self, source: str, problems: tuple[str, ...]):
        self.source = source
        self.problems = problems
        super().__init__("\n".join(f"{source}: {line}" for line in problems))


class UsageError(Exception):
    """Command line with a wrong flag or argument, or with an unusable input file."""

    exit_code = 2


def has_failed_with(outcome: object, kind: ErrorKind) -> bool:
    """Return whether an outcome is a failure of a kind."""
    return isinstance(outcome, Failure) and outcome.kind is kind
