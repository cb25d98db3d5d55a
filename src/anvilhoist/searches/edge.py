"""HTTP routes of the JSON interface."""

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
from .connection import CountedProtocol
from .messages import (
    BookingCall,
    SearchAnswer,
    SearchCall,
    TicketCall,
    new_request_id,
)

T = TypeVar("T")

MAX_BODY_BYTES = 256 * 1024
CHUNKS_PER_TURN = 64  # of a body, read in one turn of the event loop
RECEIVE_TIMEOUT_S = 5  # for a request to arrive, and again for its body
KEEP_ALIVE_TIMEOUT_S = 60  # between two requests on a connection
RESPONSE_TIMEOUT_S = 35  # longer than the longest deadline, `DEADLINE_MAX_MS`

_EXCEPTION_KINDS: tuple[tuple[type[Exception], ErrorKind], ...] = (
    (MethodNotAllowed, ErrorKind.METHOD_NOT_ALLOWED),
    (NotFound, ErrorKind.NOT_FOUND),
    (PayloadTooLarge, ErrorKind.TOO_LARGE),
    (RequestTimeout, ErrorKind.TOO_SLOW),
    (BadRequest, ErrorKind.BAD_REQUEST),
    (SanicException, ErrorKind.BAD_REQUEST),
)


async def read_body(request: Request, model: type[T]) -> Result[T, Failure]:
    """Receive a request's body and decode it as `model`."""
    try:
        async with asyncio.timeout(RECEIVE_TIMEOUT_S):
            received = await _receive_body(request)
    except TimeoutError:
        return Error(
            Failure(
                ErrorKind.TOO_SLOW,
                f"the body did not arrive within {RECEIVE_TIMEOUT_S} s",
            )
        )
    if received.is_error():
        return received
    return parse_body(received.ok, model)


async def _receive_body(request: Request) -> Result[bytes, Failure]:
    body = bytearray()
    chunks = 0
    while (chunk := await request.stream.read()) is not None:
        body += chunk
        chunks += 1
        if len(body) > MAX_BODY_BYTES:
            detail = f"the body is larger than {MAX_BODY_BYTES} bytes"
            return Error(Failure(ErrorKind.TOO_LARGE, detail))
        if chunks % CHUNKS_PER_TURN == 0:
            _hold_request(request, body)
            # Chunks that are received already are read without a pause.
            await asyncio.sleep(0)
    _hold_request(request, body)
    return Ok(bytes(body))


def _hold_request(request: Request, data: bytes | bytearray | None) -> None:
    """Count a body, or its response later, as long as the caller is connected."""
    protocol = request.protocol
    if isinstance(protocol, CountedProtocol):
        protocol.hold_request(len(data or b""))


def parse_body(body: bytes, model: type[T]) -> Result[T, Failure]:
    """Decode a JSON body as `model`; a body that does not fit is a bad request."""
    try:
        return Ok(msgspec.json.decode(body, type=model))
    except msgspec.DecodeError as error:
        return Error(
            Failure(ErrorKind.BAD_REQUEST, format_validation_error(str(error)))
        )


def build_app(api: SearchApi) -> Sanic:
    """Build the HTTP application that serves `api`."""
    app = Sanic(f"anvilhoist-{uuid.uuid4().hex[:8]}", configure_logging=False)
    app.config.update(
        REQUEST_MAX_SIZE=MAX_BODY_BYTES,
        REQUEST_TIMEOUT=RECEIVE_TIMEOUT_S,
        RESPONSE_TIMEOUT=RESPONSE_TIMEOUT_S,
        KEEP_ALIVE_TIMEOUT=KEEP_ALIVE_TIMEOUT_S,
        ACCESS_LOG=False,
        MOTD=False,
        TOUCHUP=False,
    )
    _add_routes(app, api)
    app.exception(Exception)(_handle_exception)
    app.on_response(_hold_response)
    return app


def _add_routes(app: Sanic, api: SearchApi) -> None:
    @app.get("/v1/addresses")
    async def addresses(_request: Request) -> HTTPResponse:
        listed = api.list_addresses()
        if listed.is_error():
            return make_error_response(listed.error, "")
        return json_response(asdict(listed.ok))

    @app.post("/v1/search", stream=True)
    async def search(request: Request) -> HTTPResponse:
        parsed = await read_body(request, SearchCall)
        if parsed.is_error():
            return make_error_response(parsed.error, "")
        request_id = parsed.ok.request_id or new_request_id()
        result = await api.search(parsed.ok, request_id)
        if result.is_error():
            return make_error_response(result.error, request_id)
        return json_response(build_search_body(result.ok))

    @app.post("/v1/tickets", stream=True)
    async def tickets(request: Request) -> HTTPResponse:
        return await _handle_ticket_call(request, TicketCall, api.issue_ticket)

    @app.post("/v1/bookings", stream=True)
    async def bookings(request: Request) -> HTTPResponse:
        return await _handle_ticket_call(request, BookingCall, api.book)

    @app.get("/v1/outcomes/<ticket:str>")
    async def outcomes(_request: Request, ticket: str) -> HTTPResponse:
        return _make_value_response(await api.get_outcome(ticket), new_request_id())


async def _handle_ticket_call(request: Request, model: type, run) -> HTTPResponse:
    parsed = await read_body(request, model)
    if parsed.is_error():
        return make_error_response(parsed.error, "")
    call = parsed.ok
    if call.request_id is None:
        call = msgspec.structs.replace(call, request_id=new_request_id())
    return _make_value_response(await run(call), call.request_id)


def build_search_body(answer: SearchAnswer) -> dict[str, Any]:
    """Build the JSON body of the answer to a search."""
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


def make_error_response(failure: Failure, request_id: str) -> HTTPResponse:
    """Build a response with a failure's status, kind and whether the request ran."""
    response = failure.response
    body = {
        "error": failure.kind.value,
        "ran": response.executed.value,
        "detail": failure.detail,
        "request_id": request_id,
    }
    return json_response(body, status=response.status)


def _make_value_response(result: Result[str, Failure], request_id: str) -> HTTPResponse:
    if result.is_error():
        return make_error_response(result.error, request_id)
    return json_response({"request_id": request_id, "value": result.ok})


async def _hold_response(request: Request, response: HTTPResponse) -> None:
    _hold_request(request, response.body)


async def _handle_exception(_request: Request, error: Exception) -> HTTPResponse:
    for cls, kind in _EXCEPTION_KINDS:
        if isinstance(error, cls):
            return make_error_response(Failure(kind, str(error)), "")
    structlog.get_logger().error(
        "internal", detail=str(error), trace=traceback.format_exception(error)
    )
    return make_error_response(Failure(ErrorKind.INTERNAL, type(error).__name__), "")
