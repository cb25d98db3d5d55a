"""Edge to callers of the tier's own interface: HTTP with JSON."""

from __future__ import annotations

import asyncio
import traceback
import uuid
from dataclasses import asdict
from typing import Any, TypeVar

import msgspec
import structlog
from expression import Error, Ok, Result
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

from ..errors import ErrorKind, Failure
from ..validation import format_validation_error
from .api import SearchApi
from .messages import (
    BookingCall,
    SearchAnswer,
    SearchCall,
    TicketCall,
    new_request_id,
)

T = TypeVar("T")

BODY_LIMIT_BYTES = 256 * 1024
SLOW_SENDER_S = 5  # s in which a body has to come
IDLE_CONNECTION_S = 60  # s between two requests on a connection
ANSWER_LIMIT_S = 35  # s, beyond the longest deadline

_EXCEPTION_KINDS: tuple[tuple[type[Exception], ErrorKind], ...] = (
    (MethodNotAllowed, ErrorKind.METHOD_NOT_ALLOWED),
    (NotFound, ErrorKind.NOT_FOUND),
    (PayloadTooLarge, ErrorKind.TOO_LARGE),
    (RequestTimeout, ErrorKind.TOO_SLOW),
    (BadRequest, ErrorKind.BAD_REQUEST),
    (SanicException, ErrorKind.BAD_REQUEST),
)


async def read_body(request: Request, model: type[T]) -> Result[T, Failure]:
    """Receive a request's body and validate it."""
    try:
        async with asyncio.timeout(SLOW_SENDER_S):
            received = await _receive(request)
    except TimeoutError:
        return Error(Failure(ErrorKind.TOO_SLOW, "the body didn't come in time"))
    if received.is_error():
        return received
    return parse_body(received.ok, model)


async def _receive(request: Request) -> Result[bytes, Failure]:
    body = bytearray()
    while (chunk := await request.stream.read()) is not None:
        body += chunk
        if len(body) > BODY_LIMIT_BYTES:
            detail = f"the body is larger than {BODY_LIMIT_BYTES} bytes"
            return Error(Failure(ErrorKind.TOO_LARGE, detail))
    return Ok(bytes(body))


def parse_body(body: bytes, model: type[T]) -> Result[T, Failure]:
    """Validate a body."""
    try:
        return Ok(msgspec.json.decode(body, type=model))
    except msgspec.DecodeError as error:
        return Error(
            Failure(ErrorKind.BAD_REQUEST, format_validation_error(str(error)))
        )


def build_app(api: SearchApi) -> Sanic:
    """Build the HTTP application."""
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
    _add_routes(app, api)
    app.exception(Exception)(_answer_exception)
    return app


def _add_routes(app: Sanic, api: SearchApi) -> None:
    @app.get("/v1/addresses")
    async def addresses(_request: Request) -> HTTPResponse:
        listed = api.list_addresses()
        if listed.is_error():
            return answer_failure(listed.error, "")
        return json_response(asdict(listed.ok))

    @app.post("/v1/search", stream=True)
    async def search(request: Request) -> HTTPResponse:
        parsed = await read_body(request, SearchCall)
        if parsed.is_error():
            return answer_failure(parsed.error, "")
        request_id = parsed.ok.request_id or new_request_id()
        result = await api.search(parsed.ok, request_id)
        if result.is_error():
            return answer_failure(result.error, request_id)
        return json_response(describe_answer(result.ok))

    @app.post("/v1/tickets", stream=True)
    async def tickets(request: Request) -> HTTPResponse:
        return await _book(request, TicketCall, api.issue_ticket)

    @app.post("/v1/bookings", stream=True)
    async def bookings(request: Request) -> HTTPResponse:
        return await _book(request, BookingCall, api.book)

    @app.get("/v1/outcomes/<ticket:str>")
    async def outcomes(_request: Request, ticket: str) -> HTTPResponse:
        return _answer_booking(await api.tell_outcome(ticket), new_request_id())


async def _book(request: Request, model: type, run) -> HTTPResponse:
    parsed = await read_body(request, model)
    if parsed.is_error():
        return answer_failure(parsed.error, "")
    call = parsed.ok
    if call.request_id is None:
        call = msgspec.structs.replace(call, request_id=new_request_id())
    return _answer_booking(await run(call), call.request_id)


def describe_answer(answer: SearchAnswer) -> dict[str, Any]:
    """JSON form of an answer."""
    return {
        "request_id": answer.request_id,
        "snapshot": {"index": answer.index, "version": answer.version},
        "coverage": {
            "shards": answer.shards,
            "covered": answer.covered,
            "share": round(answer.covered / answer.shards, 6),
            "missing": list(answer.missing),
        },
        "hits": list(answer.hits),
    }


def answer_failure(failure: Failure, request_id: str) -> HTTPResponse:
    """Answer with a failure's status, kind and whether the request ran."""
    response = failure.response
    body = {
        "error": failure.kind.value,
        "ran": response.executed.value,
        "detail": failure.detail,
        "request_id": request_id,
    }
    return json_response(body, status=response.status)


def _answer_booking(result: Result[str, Failure], request_id: str) -> HTTPResponse:
    if result.is_error():
        return answer_failure(result.error, request_id)
    return json_response({"request_id": request_id, "value": result.ok})


async def _answer_exception(_request: Request, error: Exception) -> HTTPResponse:
    for cls, kind in _EXCEPTION_KINDS:
        if isinstance(error, cls):
            return answer_failure(Failure(kind, str(error)), "")
    structlog.get_logger().error(
        "internal", detail=str(error), trace=traceback.format_exception(error)
    )
    return answer_failure(Failure(ErrorKind.INTERNAL, type(error).__name__), "")
