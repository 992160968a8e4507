"""The callers' API over HTTP: JSON, with server-sent events for streamed tokens."""

from collections.abc import AsyncIterator
from http import HTTPStatus
from typing import Any, NotRequired, TypedDict

import msgspec
from loguru import logger
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route
from starlette.types import ASGIApp, Receive, Scope, Send

from pollenwalk.connection.call_messages import Answer, Tokens
from pollenwalk.connection.program_messages import (
    BeginProgram,
    CallProgram,
    EndProgram,
    ViewCall,
    ViewProgram,
)
from pollenwalk.errors import PollenwalkError, Refusal, RefusalBody, RefusalCode
from pollenwalk.process.entry import Entry
from pollenwalk.process.metrics import EntryMetrics
from pollenwalk.process.trace_header import TRACE_HEADER
from pollenwalk.program.view import problem_document
from pollenwalk.version.resources import ProgramSpec

MAX_BODY_BYTES = 1_000_000
# Limit on the names and values of a request's headers. The HTTP server has a
# higher limit, so that most requests above this one get a problem document.
MAX_HEADER_BYTES = 16_384
# Time from its arrival within which a call has to be answered: the default, and
# the maximum that a caller may ask for.
DEFAULT_DEADLINE_MS = 120_000
MAX_DEADLINE_MS = 3_600_000
KEY_HEADER = 'idempotency-key'
CALLER_HEADER = 'x-pollenwalk-caller'
ANONYMOUS = 'anonymous'
PROBLEM_MEDIA_TYPE = 'application/problem+json'
EVENTS_MEDIA_TYPE = 'text/event-stream'
MS_PER_SECOND = 1000

# Statuses of refusals by code; all others get 503.
STATUSES: dict[str, HTTPStatus] = {
    RefusalCode.MALFORMED: HTTPStatus.BAD_REQUEST,
    RefusalCode.KEY_MISSING: HTTPStatus.BAD_REQUEST,
    RefusalCode.UNKNOWN_PROGRAM: HTTPStatus.NOT_FOUND,
    RefusalCode.UNKNOWN_CALL: HTTPStatus.NOT_FOUND,
    RefusalCode.UNKNOWN_DECLARATION: HTTPStatus.NOT_FOUND,
    RefusalCode.UNKNOWN_UPSTREAM: HTTPStatus.NOT_FOUND,
    RefusalCode.UNKNOWN_OPERATION: HTTPStatus.NOT_FOUND,
    RefusalCode.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalCode.SEQUENCE_TAKEN: HTTPStatus.CONFLICT,
    RefusalCode.SEQUENCE_GAP: HTTPStatus.CONFLICT,
    RefusalCode.PROGRAM_ENDED: HTTPStatus.CONFLICT,
    RefusalCode.CANCELLED: HTTPStatus.CONFLICT,
    RefusalCode.BUDGET_EXHAUSTED: HTTPStatus.PAYMENT_REQUIRED,
    RefusalCode.LOOP_LIMIT: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalCode.OVERLOADED: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalCode.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalCode.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    RefusalCode.UPSTREAM_FAILED: HTTPStatus.BAD_GATEWAY,
    RefusalCode.OUTCOME_UNKNOWN: HTTPStatus.BAD_GATEWAY,
}


class BeginBody(TypedDict):
    """Body of `POST /v1/programs`."""

    program: str
    budget: NotRequired[int | None]
    deadline_ms: NotRequired[int | None]
    parent: NotRequired[str | None]


class CallBody(TypedDict):
    """Body of `POST /v1/programs/{program}/calls`."""

    sequence: int
    upstream: str
    operation: str
    input: dict[str, Any]
    deadline_ms: NotRequired[int]


def refusal_response(refusal: Refusal) -> Response:
    """Build the response for a refusal, with a problem document as its body."""
    headers = {}
    if refusal.retry_after_ms is not None:
        seconds = -(-refusal.retry_after_ms // MS_PER_SECOND)
        headers['Retry-After'] = str(seconds)
    status = STATUSES.get(refusal.code, HTTPStatus.SERVICE_UNAVAILABLE)
    body = {
        'status': int(status),
        **problem_document(RefusalBody.from_refusal(refusal)),
    }
    return JSONResponse(
        body,
        status_code=status,
        headers=headers,
        media_type=PROBLEM_MEDIA_TYPE,
    )


async def read_body(request: Request) -> bytes:
    """Read the body of a request.

    Raises:
        Refusal: the body exceeds MAX_BODY_BYTES.
    """
    parts = []
    size = 0
    async for part in request.stream():
        size += len(part)
        if size > MAX_BODY_BYTES:
            raise Refusal(
                RefusalCode.TOO_LARGE,
                f'the body is larger than {MAX_BODY_BYTES} bytes',
            )
        parts.append(part)
    return b''.join(parts)


async def read_json(request: Request, body_type: Any) -> Any:
    """Read a JSON body and convert it to a `TypedDict`.

    Raises:
        Refusal: the body is too large, is not valid JSON, or has missing,
            unknown or wrongly typed fields.
    """
    text = await read_body(request)
    try:
        body = msgspec.json.decode(text, type=dict[str, Any])
        fields = msgspec.convert(body, body_type)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise Refusal(RefusalCode.MALFORMED, f'body: {error}') from error
    unknown = sorted(body.keys() - body_type.__annotations__.keys())
    if unknown:
        raise Refusal(
            RefusalCode.MALFORMED,
            f'body: unknown field {unknown[0]!r}',
        )
    return fields


def caller_of(request: Request) -> str:
    """Return the caller's name from its header, or ANONYMOUS."""
    return request.headers.get(CALLER_HEADER, ANONYMOUS)


def offset_of(request: Request) -> int:
    """Return the number of tokens that the caller already has, 0 by default.

    Raises:
        Refusal: the query parameter `offset` is not a non-negative integer.
    """
    text = request.query_params.get('offset', '0')
    if not text.isdecimal():
        raise Refusal(
            RefusalCode.MALFORMED, f'offset: {text!r} is not a non-negative integer'
        )
    return int(text)


def check_deadline(deadline_ms: int) -> float:
    """Return the time until a call's deadline, in ms, if it is within bounds.

    Raises:
        Refusal: the deadline is out of bounds.
    """
    if not 1 <= deadline_ms <= MAX_DEADLINE_MS:
        raise Refusal(
            RefusalCode.MALFORMED,
            f'deadline_ms must be from 1 to {MAX_DEADLINE_MS}',
        )
    return float(deadline_ms)


def encode_event(name: str, body: dict[str, Any]) -> bytes:
    """Encode a server-sent event with a JSON body."""
    return b'event: %b\ndata: %b\n\n' % (name.encode(), msgspec.json.encode(body))


class HeaderLimit:
    """ASGI middleware that refuses requests with too large headers."""

    def __init__(self, app: ASGIApp) -> None:
        """Wrap `app`."""
        self.app = app

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Pass on a request unless its headers exceed MAX_HEADER_BYTES."""
        size = sum(len(name) + len(text) for name, text in scope.get('headers', ()))
        if size <= MAX_HEADER_BYTES:
            await self.app(scope, receive, send)
            return
        refusal = Refusal(
            RefusalCode.TOO_LARGE,
            f'the headers are larger than {MAX_HEADER_BYTES} bytes',
        )
        await refusal_response(refusal)(scope, receive, send)


class CallersApi:
    """The HTTP API of an entry for callers and operators."""

    def __init__(self, entry: Entry, metrics: EntryMetrics) -> None:
        """Create the API of `entry`; requests are counted in `metrics`."""
        self.entry = entry
        self.metrics = metrics

    def app(self) -> Starlette:
        """Build the ASGI application."""
        program = '/v1/programs/{program}'
        return Starlette(
            middleware=[Middleware(HeaderLimit)],
            routes=[
                Route('/v1/programs', self.begin, methods=['POST']),
                Route(f'{program}/calls', self.call, methods=['POST']),
                Route(f'{program}/calls/{{key}}', self.view_call, methods=['GET']),
                Route(program, self.view, methods=['GET']),
                Route(program, self.end, methods=['DELETE']),
                Route('/healthz', self.healthz),
                Route('/readyz', self.readyz),
                Route('/metrics', self.show_metrics),
            ],
            exception_handlers={
                PollenwalkError: self.on_error,
                ClientDisconnect: self.on_disconnect,
            },
        )

    async def on_error(self, request: Request, error: Exception) -> Response:
        """Answer a request that raised an error with a problem document.

        An error other than a refusal becomes one with the code OUTCOME_UNKNOWN.
        """
        refusal = error
        if not isinstance(refusal, Refusal):
            logger.warning('request_failed', reason=str(error))
            refusal = Refusal(RefusalCode.OUTCOME_UNKNOWN, str(error))
        self.metrics.count_refusal(refusal)
        return refusal_response(refusal)

    async def on_disconnect(self, request: Request, error: Exception) -> Response:
        """Handle a caller that disconnected before its request was complete.

        Starlette requires a response here; the caller does not receive it.
        """
        return Response(status_code=HTTPStatus.BAD_REQUEST)

    async def begin(self, request: Request) -> Response:
        """Answer `POST /v1/programs`: begin a program."""
        fields = await read_json(request, BeginBody)
        message = BeginProgram(
            fields['program'],
            caller_of(request),
            request.headers.get(KEY_HEADER, ''),
            fields.get('budget'),
            fields.get('deadline_ms'),
            fields.get('parent'),
        )
        check_begin(message)
        view = await self.entry.routing.begin(message)
        self.metrics.count_program()
        return JSONResponse(view.body, status_code=HTTPStatus.CREATED)

    async def call(self, request: Request) -> Response:
        """Answer `POST /v1/programs/{program}/calls`: run a call."""
        fields = await read_json(request, CallBody)
        program = request.path_params['program']
        wants_events = EVENTS_MEDIA_TYPE in request.headers.get('accept', '')
        with self.entry.tracer.span(
            'entry',
            request.headers.get(TRACE_HEADER, ''),
        ) as trace:
            message = CallProgram(
                program,
                request.headers.get(KEY_HEADER, ''),
                fields['sequence'],
                fields['upstream'],
                fields['operation'],
                fields['input'],
                offset_of(request),
                check_deadline(fields.get('deadline_ms', DEFAULT_DEADLINE_MS)),
                trace,
            )
            if wants_events:
                return await self.call_with_events(message)
            return await self.call_with_json(message)

    async def call_with_json(self, message: CallProgram) -> Response:
        """Run a call and return its complete answer as JSON.

        Raises:
            PollenwalkError: the call failed.
        """
        with self.metrics.time_call():
            async for item in self.entry.routing.call(message):
                if isinstance(item, Answer):
                    return JSONResponse(answer_body(message, item))
        raise Refusal(RefusalCode.OUTCOME_UNKNOWN, 'the call ended without an answer')

    async def call_with_events(self, message: CallProgram) -> Response:
        """Run a call and stream its tokens and answer as server-sent events.

        Raises:
            PollenwalkError: the call failed before its first event, so that an
                HTTP error can still be returned.
        """
        events = self.events(message)
        first = await anext(events)
        return StreamingResponse(
            prepend(first, events),
            media_type=EVENTS_MEDIA_TYPE,
            headers={'Cache-Control': 'no-store'},
        )

    async def events(self, message: CallProgram) -> AsyncIterator[bytes]:
        """Run a call and yield its tokens and answer as encoded events.

        A failure after the first event is yielded as an event `error`.

        Raises:
            PollenwalkError: the call failed before its first event.
        """
        begun = False
        try:
            async for item in self.entry.routing.call(message):
                begun = True
                yield self.encode_item(message, item)
        except PollenwalkError as error:
            if not begun:
                raise
            refusal = error
            if not isinstance(refusal, Refusal):
                refusal = Refusal(RefusalCode.OUTCOME_UNKNOWN, str(error))
            yield encode_event(
                'error', problem_document(RefusalBody.from_refusal(refusal))
            )

    def encode_item(self, message: CallProgram, item: Tokens | Answer) -> bytes:
        """Encode tokens or the answer as an event; count tokens in the metrics."""
        if isinstance(item, Tokens):
            self.metrics.count_tokens(len(item.texts))
            return encode_event('tokens', {'offset': item.offset, 'texts': item.texts})
        return encode_event('answer', answer_body(message, item))

    async def view(self, request: Request) -> Response:
        """Answer `GET /v1/programs/{program}`: the state of a program."""
        message = ViewProgram(request.path_params['program'])
        return JSONResponse((await self.entry.routing.view(message)).body)

    async def view_call(self, request: Request) -> Response:
        """Answer `GET /v1/programs/{program}/calls/{key}`: the stored answer."""
        message = ViewCall(
            request.path_params['program'],
            request.path_params['key'],
        )
        return JSONResponse((await self.entry.routing.view(message)).body)

    async def end(self, request: Request) -> Response:
        """Answer `DELETE /v1/programs/{program}`: end a program."""
        message = EndProgram(request.path_params['program'])
        return JSONResponse((await self.entry.routing.view(message)).body)

    async def healthz(self, request: Request) -> Response:
        """Answer `GET /healthz`: the process is running."""
        return JSONResponse({'status': 'ok'})

    async def readyz(self, request: Request) -> Response:
        """Answer `GET /readyz`: 200 if the entry can serve calls, else 503."""
        ready = self.entry.ready and not self.entry.stopping and self.can_serve()
        status = HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
        return JSONResponse({'ready': ready}, status_code=status)

    def can_serve(self) -> bool:
        """Return whether programs are declared and all their upstreams have hosts.

        Only hosts that may get new calls are considered.
        """
        names = [
            name
            for spec in self.entry.config.specs.values()
            if isinstance(spec, ProgramSpec)
            for name in spec.upstreams
        ]
        return bool(names) and all(
            self.entry.fleet.available_hosts(name) for name in names
        )

    async def show_metrics(self, request: Request) -> Response:
        """Answer `GET /metrics` in the Prometheus text format."""
        body, media_type = self.metrics.render(self.entry)
        return Response(body, media_type=media_type)


def check_begin(message: BeginProgram) -> None:
    """Check the budget and the deadline of a program to begin.

    Raises:
        Refusal: one of them is less than 1.
    """
    for name, number in (
        ('budget', message.budget),
        ('deadline_ms', message.deadline_ms),
    ):
        if number is not None and number < 1:
            raise Refusal(RefusalCode.MALFORMED, f'{name} must be at least 1')


def answer_body(message: CallProgram, answer: Answer) -> dict[str, Any]:
    """Return the JSON object for a call's answer."""
    return {
        'key': message.key,
        'sequence': message.sequence,
        'outcome': 'ran',
        'output': answer.output,
        'tokens': answer.tokens,
    }


async def prepend(
    first: bytes,
    rest: AsyncIterator[bytes],
) -> AsyncIterator[bytes]:
    """Yield `first`, then the items of `rest`."""
    yield first
    async for following in rest:
        yield following
