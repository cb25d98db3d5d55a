"""Edge to callers: HTTP with JSON."""

from __future__ import annotations

import asyncio
import traceback
import uuid
from dataclasses import asdict, dataclass
from typing import Annotated, Any, Protocol, TypeVar

import structlog
from expression import Error, Ok, Result
from pydantic import Field, ValidationError
from sanic import HTTPResponse, Request, Sanic
from sanic.exceptions import (
    BadRequest,
    MethodNotAllowed,
    NotFound,
    PayloadTooLarge,
    RequestTimeout,
    SanicException,
)
from sanic.response import json as json_response
from sanic.response import text as text_response

from ..errors import Failure, Kind
from ..settings import BORDER, adapter, describe
from .documents import DEADLINE_MAX_MS
from .merge import SearchAnswer
from .operations import PATHS, Observed, answer_operator

T = TypeVar("T")

BODY_LIMIT_BYTES = 256 * 1024
SLOW_SENDER_S = 5
IDLE_CONNECTION_S = 60
ANSWER_LIMIT_S = 30

RequestId = Annotated[str, Field(min_length=1, max_length=64, pattern=r"^[\w.:-]+$")]
Text = Annotated[str, Field(max_length=100_000)]
DeadlineMs = Annotated[int, Field(ge=1, le=DEADLINE_MAX_MS)]


def _new_request_id() -> str:
    return uuid.uuid4().hex


@dataclass(frozen=True, slots=True)
class SearchCall:
    """Body of a search."""

    __pydantic_config__ = BORDER

    service: str
    query: Text
    request_id: RequestId | None = None
    deadline_ms: DeadlineMs | None = None


@dataclass(frozen=True, slots=True)
class TicketCall:
    """Body of a request for a ticket."""

    __pydantic_config__ = BORDER

    service: str
    request_id: RequestId | None = None


@dataclass(frozen=True, slots=True)
class BookingCall:
    """Body of a booking."""

    __pydantic_config__ = BORDER

    service: str
    ticket: str
    payload: Text
    request_id: RequestId | None = None
    deadline_ms: DeadlineMs | None = None


@dataclass(frozen=True, slots=True)
class Addresses:
    """Entry addresses that a caller may use, and for how long."""

    addresses: tuple[str, ...]
    keep_s: float


@dataclass(frozen=True, slots=True)
class Booked:
    """Ticket or confirmation."""

    request_id: str
    value: str


class Tier(Protocol):
    """What the edge calls."""

    def list_addresses(self) -> Result[Addresses, Failure]:
        """Entry addresses in service."""

    async def search(
        self, call: SearchCall, request_id: str
    ) -> Result[SearchAnswer, Failure]:
        """Run a search."""

    async def issue_ticket(
        self, call: TicketCall, request_id: str
    ) -> Result[str, Failure]:
        """Issue a ticket."""

    async def book(self, call: BookingCall, request_id: str) -> Result[str, Failure]:
        """Run a booking or tell its outcome."""

    async def tell_outcome(self, ticket: str, request_id: str) -> Result[str, Failure]:
        """Tell the outcome of a ticket."""


async def read_body(request: Request, model: type[T]) -> Result[T, Failure]:
    """Receive a request's body and validate it."""
    try:
        async with asyncio.timeout(SLOW_SENDER_S):
            received = await _receive(request)
    except TimeoutError:
        return Error(Failure(Kind.TOO_SLOW, "the body didn't come in time"))
    if received.is_error():
        return received
    return parse_body(received.ok, model)


async def _receive(request: Request) -> Result[bytes, Failure]:
    body = bytearray()
    while (chunk := await request.stream.read()) is not None:
        body += chunk
        if len(body) > BODY_LIMIT_BYTES:
            detail = f"the body is larger than {BODY_LIMIT_BYTES} bytes"
            return Error(Failure(Kind.TOO_LARGE, detail))
    return Ok(bytes(body))


def parse_body(body: bytes, model: type[T]) -> Result[T, Failure]:
    """Validate a body."""
    try:
        return Ok(adapter(model).validate_json(body))
    except ValidationError as error:
        detail = "; ".join(describe(error))
        return Error(Failure(Kind.BAD_REQUEST, detail[:1000]))


def build_app(tier: Tier, observed: Observed) -> Sanic:
    """Build the HTTP application of an entry process."""
    app = Sanic(f"anvilhoist-{uuid.uuid4().hex[:8]}", configure_logging=False)
    app.config.update(
        REQUEST_MAX_SIZE=BODY_LIMIT_BYTES,
        REQUEST_TIMEOUT=SLOW_SENDER_S,
        RESPONSE_TIMEOUT=ANSWER_LIMIT_S,
        KEEP_ALIVE_TIMEOUT=IDLE_CONNECTION_S,
        ACCESS_LOG=False,
        MOTD=False,
        TOUCHUP=False,
    )
    _add_caller_routes(app, tier)
    _add_operator_routes(app, observed)
    app.exception(Exception)(_answer_exception)
    return app


def _add_caller_routes(app: Sanic, tier: Tier) -> None:
    @app.get("/v1/addresses")
    async def addresses(_request: Request) -> HTTPResponse:
        listed = tier.list_addresses()
        if listed.is_error():
            return answer_failure(listed.error, "")
        return json_response(asdict(listed.ok))

    @app.post("/v1/search", stream=True)
    async def search(request: Request) -> HTTPResponse:
        parsed = await read_body(request, SearchCall)
        if parsed.is_error():
            return answer_failure(parsed.error, "")
        request_id = parsed.ok.request_id or _new_request_id()
        result = await tier.search(parsed.ok, request_id)
        if result.is_error():
            return answer_failure(result.error, request_id)
        return json_response(describe_answer(result.ok))

    @app.post("/v1/tickets", stream=True)
    async def tickets(request: Request) -> HTTPResponse:
        return await _book(request, TicketCall, tier.issue_ticket)

    @app.post("/v1/bookings", stream=True)
    async def bookings(request: Request) -> HTTPResponse:
        return await _book(request, BookingCall, tier.book)

    @app.get("/v1/outcomes/<ticket:str>")
    async def outcomes(_request: Request, ticket: str) -> HTTPResponse:
        request_id = _new_request_id()
        return _answer_booking(await tier.tell_outcome(ticket, request_id), request_id)


async def _book(request: Request, model: type, run) -> HTTPResponse:
    parsed = await read_body(request, model)
    if parsed.is_error():
        return answer_failure(parsed.error, "")
    request_id = parsed.ok.request_id or _new_request_id()
    return _answer_booking(await run(parsed.ok, request_id), request_id)


def _add_operator_routes(app: Sanic, observed: Observed) -> None:
    async def operate(request: Request) -> HTTPResponse:
        target = f"{request.path}?{request.query_string}"
        answer = answer_operator(target, observed)
        if answer is None:
            return answer_failure(Failure(Kind.NOT_FOUND, request.path), "")
        return text_response(answer.text, status=answer.status)

    for path in PATHS:
        app.add_route(operate, path, name=path.strip("/").replace("/", "_"))


def describe_answer(answer: SearchAnswer) -> dict[str, Any]:
    """JSON form of an answer."""
    return {
        "request_id": answer.request_id,
        "snapshot": {"index": answer.index, "version": answer.version},
        "coverage": {
            "shards": answer.shards,
            "covered": answer.covered,
            "share": round(answer.coverage, 6),
            "missing": [asdict(item) for item in answer.missing],
        },
        "hits": [asdict(hit) for hit in answer.hits],
    }


def answer_failure(failure: Failure, request_id: str) -> HTTPResponse:
    """Answer with a failure's status, kind and whether the request ran."""
    answer = failure.answer
    body = {
        "error": failure.kind.value,
        "ran": answer.ran.value,
        "detail": failure.detail,
        "request_id": request_id,
    }
    return json_response(body, status=answer.status)


def _answer_booking(result: Result[str, Failure], request_id: str) -> HTTPResponse:
    if result.is_error():
        return answer_failure(result.error, request_id)
    return json_response(asdict(Booked(request_id, result.ok)))


_EXCEPTION_KINDS: tuple[tuple[type[Exception], Kind], ...] = (
    (MethodNotAllowed, Kind.METHOD_NOT_ALLOWED),
    (NotFound, Kind.NOT_FOUND),
    (PayloadTooLarge, Kind.TOO_LARGE),
    (RequestTimeout, Kind.TOO_SLOW),
    (BadRequest, Kind.BAD_REQUEST),
    (SanicException, Kind.BAD_REQUEST),
)


async def _answer_exception(_request: Request, error: Exception) -> HTTPResponse:
    for cls, kind in _EXCEPTION_KINDS:
        if isinstance(error, cls):
            return answer_failure(Failure(kind, str(error)), "")
    structlog.get_logger().error(
        "internal", detail=str(error), trace=traceback.format_exception(error)
    )
    return answer_failure(Failure(Kind.INTERNAL, type(error).__name__), "")
