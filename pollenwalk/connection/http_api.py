"""The callers' API over HTTP: JSON, with server-sent events for streamed tokens."""

from collections.abc import AsyncIterator
from http import HTTPStatus

from loguru import logger
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import ClientDisconnect, Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from pollenwalk.connection.api_requests import (
    DEFAULT_DEADLINE_MS,
    KEY_HEADER,
    BeginBody,
    CallBody,
    caller_of,
    check_begin,
    check_deadline,
    offset_of,
    read_json,
)
from pollenwalk.connection.api_responses import (
    answer_body,
    encode_event,
    refusal_response,
)
from pollenwalk.connection.call_messages import Answer, Tokens
from pollenwalk.connection.header_limit import HeaderLimit
from pollenwalk.connection.operator_pages import OperatorPages
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

EVENTS_MEDIA_TYPE = 'text/event-stream'


class CallersApi:
    """The HTTP API of an entry for callers and operators."""

    def __init__(self, entry: Entry, metrics: EntryMetrics) -> None:
        """Create the API of `entry`; requests are counted in `metrics`."""
        self.entry = entry
        self.metrics = metrics
        self.pages = OperatorPages(entry, metrics)

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
                *self.pages.routes(),
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


async def prepend(
    first: bytes,
    rest: AsyncIterator[bytes],
) -> AsyncIterator[bytes]:
    """Yield `first`, then the items of `rest`."""
    yield first
    async for following in rest:
        yield following
