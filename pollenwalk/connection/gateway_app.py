"""The ASGI application of the gateway."""

import asyncio
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any

import msgspec
from loguru import logger

from pollenwalk.errors import BrokenAnswer, Outcome, Refusal, RefusalCode
from pollenwalk.platform.headers import (
    forwardable_headers,
    read_request_metadata,
    retry_header,
)
from pollenwalk.process.clock import Clock
from pollenwalk.request.http_messages import Headers, Request
from pollenwalk.request.reply import Reply

Send = Callable[[dict[str, Any]], Awaitable[None]]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Handler = Callable[[Request, Reply], Awaitable[None]]
# Statuses of refusals by code, if the call did not run.
STATUSES = {
    RefusalCode.MALFORMED: HTTPStatus.BAD_REQUEST,
    RefusalCode.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalCode.UNKNOWN_ROUTE: HTTPStatus.NOT_FOUND,
    RefusalCode.UNKNOWN_TURN: HTTPStatus.NOT_FOUND,
    RefusalCode.BUDGET_EXHAUSTED: HTTPStatus.PAYMENT_REQUIRED,
    RefusalCode.UNKNOWN_KEY: HTTPStatus.UNAUTHORIZED,
    RefusalCode.QUOTA_EXHAUSTED: HTTPStatus.TOO_MANY_REQUESTS,
}
# Statuses of all other refusals, except for a missed deadline after which the
# call may have run: `status_of` returns 504 for it.
STATUSES_BY_OUTCOME = {
    Outcome.NOT_RUN: HTTPStatus.SERVICE_UNAVAILABLE,
    Outcome.RAN: HTTPStatus.BAD_GATEWAY,
    Outcome.UNKNOWN: HTTPStatus.BAD_GATEWAY,
}
# Cause of an interruption if the caller disconnected; the other causes are codes of
# errors.
CALLER_LEFT = 'caller_left'


class AsgiReply:
    """Sends the answer to a request through ASGI; implements `Reply`.

    Attributes:
        started: whether the status and the headers have been sent.
        complete: whether the whole answer has been sent.
    """

    def __init__(self, send: Send, must_close: Callable[[], bool]) -> None:
        """Create the reply to one request.

        Args:
            send: the `send` callable that the ASGI server passes.
            must_close: returns whether the connection has to be closed after
                the answer.
        """
        self.send = send
        self.must_close = must_close
        self.started = False
        self.complete = False

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer with a Content-Length header."""
        length = (b'content-length', str(len(body)).encode())
        await self.start(status, [*headers, length])
        await self.send({'type': 'http.response.body', 'body': body})
        self.complete = True

    async def start(self, status: int, headers: Headers) -> None:
        """Send the status and the headers."""
        self.started = True
        closing = [(b'connection', b'close')] if self.must_close() else []
        await self.send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [*headers, *closing],
            },
        )

    async def write(self, chunk: bytes) -> None:
        """Send the next part of the body."""
        await self.send(
            {'type': 'http.response.body', 'body': chunk, 'more_body': True},
        )

    async def finish(self) -> None:
        """Mark the answer as complete."""
        await self.send({'type': 'http.response.body', 'body': b''})
        self.complete = True


def never() -> bool:
    """Return that callers keep their connections."""
    return False


class GatewayApp:
    """The ASGI application that answers callers' requests.

    Attributes:
        close_connections: whether connections are closed after their next
            answer.
        in_progress: number of requests in progress.
    """

    def __init__(
        self,
        clock: Clock,
        handler: Handler,
        count_refusal: Callable[[Refusal], None],
        count_interruption: Callable[[str], None],
        max_body_bytes: Callable[[], int],
        sends_callers_away: Callable[[], bool] = never,
    ) -> None:
        """Create an application that answers each request with `handler`.

        Args:
            clock: clock for the arrival times of requests.
            handler: answers a request; may raise `Refusal` or `BrokenAnswer`.
            count_refusal: called with each refusal that `read_body` or
                `handler` raises, and with one for each internal error.
            count_interruption: called with the cause of each answer that was
                broken off after it had begun.
            max_body_bytes: returns the current limit on the size of a body.
            sends_callers_away: returns whether connections are closed after their
                next answer because the gateway is overloaded.
        """
        self.clock = clock
        self.handler = handler
        self.count_refusal = count_refusal
        self.count_interruption = count_interruption
        self.max_body_bytes = max_body_bytes
        self.sends_callers_away = sends_callers_away
        self.close_connections = False
        self.in_progress = 0

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve a request and count it as in progress; ignore other events."""
        if scope['type'] != 'http':
            return
        self.in_progress += 1
        try:
            await self.serve(scope, receive, send)
        finally:
            self.in_progress -= 1

    def must_close(self) -> bool:
        """Return whether a connection is closed after an answer that begins now."""
        return self.close_connections or self.sends_callers_away()

    async def serve(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Read a request and answer it."""
        arrived_ms = self.clock.now_ms()
        reply = AsgiReply(send, self.must_close)
        try:
            body = await self.read_body_until_stop(receive)
        except Refusal as refusal:
            self.count_refusal(refusal)
            await refuse(read_request(scope, b'', arrived_ms), refusal, reply)
            return
        if body is None:
            return
        request = read_request(scope, body, arrived_ms)
        await self.answer_while_connected(request, receive, reply)

    async def read_body_until_stop(self, receive: Receive) -> bytes | None:
        """Read the body of a request; None if the caller disconnected.

        Raises:
            Refusal: the body is too long, or the server ends before its end.
        """
        try:
            return await read_body(receive, self.max_body_bytes())
        except asyncio.CancelledError as error:
            raise Refusal(
                RefusalCode.STOPPING,
                'the gateway stopped before the request was complete',
            ) from error

    async def answer_while_connected(
        self, request: Request, receive: Receive, reply: AsgiReply
    ) -> None:
        """Answer a request; stop if the caller disconnects or the server must end."""
        answer_task = asyncio.ensure_future(self.answer(request, reply))
        disconnect_task = asyncio.ensure_future(wait_for_disconnect(receive))
        try:
            await asyncio.wait(
                (answer_task, disconnect_task),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not answer_task.done():
                logger.info(
                    CALLER_LEFT,
                    request=request.metadata.id,
                    begun=reply.started,
                )
                self.count_if_interrupted(reply, CALLER_LEFT)
        except asyncio.CancelledError:
            await self.interrupt(answer_task, request, reply)
            raise
        finally:
            disconnect_task.cancel()
            answer_task.cancel()
            await asyncio.gather(answer_task, disconnect_task, return_exceptions=True)

    async def interrupt(
        self, answer_task: asyncio.Future[None], request: Request, reply: AsgiReply
    ) -> None:
        """Give up a request that is not answered when the server must end.

        An answer that has begun is left incomplete.
        """
        answer_task.cancel(RefusalCode.STOPPING)
        await asyncio.gather(answer_task, return_exceptions=True)
        if reply.complete:
            return
        refusal = Refusal(
            RefusalCode.STOPPING,
            'the gateway stopped before the answer was complete',
            Outcome.UNKNOWN,
        )
        await self.count_and_refuse(request, refusal, reply)

    async def answer(self, request: Request, reply: AsgiReply) -> None:
        """Answer a request, with a refusal if the handler fails.

        If the answer has already begun, it is left incomplete instead, so that
        the caller sees a broken answer.
        """
        try:
            await self.handler(request, reply)
        except Refusal as refusal:
            await self.count_and_refuse(request, refusal, reply)
        except BrokenAnswer as error:
            logger.warning(
                'cut',
                request=request.metadata.id,
                reason=error.message,
                begun=reply.started,
            )
            self.count_if_interrupted(reply, error.code)
        except Exception as error:  # noqa: BLE001
            # Without an answer, the caller would wait until its timeout.
            logger.opt(exception=error).error('failed', request=request.metadata.id)
            internal = Refusal(RefusalCode.INTERNAL, 'internal error', Outcome.UNKNOWN)
            await self.count_and_refuse(request, internal, reply)

    async def count_and_refuse(
        self, request: Request, refusal: Refusal, reply: AsgiReply
    ) -> None:
        """Count a refusal, and the interruption if an answer has begun; refuse."""
        self.count_refusal(refusal)
        self.count_if_interrupted(reply, str(refusal.code))
        await refuse(request, refusal, reply)

    def count_if_interrupted(self, reply: AsgiReply, cause: str) -> None:
        """Count an interruption if the answer has begun and is not complete."""
        if reply.started and not reply.complete:
            self.count_interruption(cause)


async def read_body(receive: Receive, max_bytes: int) -> bytes | None:
    """Read the body of a request.

    Returns:
        The body, or None if the caller disconnected.

    Raises:
        Refusal: the body exceeds `max_bytes`.
    """
    parts: list[bytes] = []
    size = 0
    while True:
        message = await receive()
        if message['type'] == 'http.disconnect':
            return None
        parts.append(message.get('body', b''))
        size += len(parts[-1])
        if size > max_bytes:
            raise Refusal(RefusalCode.TOO_LARGE, f'the body exceeds {max_bytes} bytes')
        if not message.get('more_body'):
            return b''.join(parts)


async def wait_for_disconnect(receive: Receive) -> None:
    """Wait until the caller has disconnected."""
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()


def read_request(scope: dict[str, Any], body: bytes, arrived_ms: float) -> Request:
    """Build a request from an ASGI scope and the body."""
    query: bytes = scope['query_string']
    path: bytes = scope['raw_path']
    headers: Headers = list(scope['headers'])
    host = next((field for name, field in headers if name == b'host'), b'')
    return Request(
        method=scope['method'].encode('ascii'),
        target=b'?'.join((path, query)) if query else path,
        path=path.decode('latin-1'),
        host=host.decode('latin-1'),
        headers=forwardable_headers(headers),
        body=body,
        metadata=read_request_metadata(headers),
        arrived_ms=arrived_ms,
    )


async def refuse(request: Request, refusal: Refusal, reply: AsgiReply) -> None:
    """Log a refusal and send it as the answer to the request.

    If another answer has already begun, nothing is sent, and the caller sees
    that answer break off.
    """
    logger.info(
        'refused',
        request=request.metadata.id,
        code=str(refusal.code),
        outcome=str(refusal.outcome),
        reason=refusal.message,
        retry_after_ms=refusal.retry_after_ms,
        begun=reply.started,
    )
    if reply.started:
        return
    body = msgspec.json.encode(
        {
            'code': str(refusal.code),
            'outcome': str(refusal.outcome),
            'detail': refusal.message,
        },
    )
    headers = [(b'content-type', b'application/problem+json')]
    if refusal.retry_after_ms is not None:
        headers.append(retry_header(refusal.retry_after_ms))
    await reply.send_complete(status_of(refusal), headers, body)


def status_of(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal.

    A status that implies that the call did not run is returned only if the
    outcome says so. A call on which hosts crash gets one that implies nothing, after
    which callers do not repeat what may run only once. It is no fault of the caller's
    form, so not one of the 4xx.
    """
    if refusal.code == RefusalCode.CRASHES_HOSTS:
        return HTTPStatus.BAD_GATEWAY
    if refusal.code in STATUSES and refusal.outcome == Outcome.NOT_RUN:
        return STATUSES[refusal.code]
    if refusal.code == RefusalCode.DEADLINE and refusal.outcome != Outcome.NOT_RUN:
        return HTTPStatus.GATEWAY_TIMEOUT
    return STATUSES_BY_OUTCOME[refusal.outcome]
