"""The gateway's HTTP side: requests in, answers out."""

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
Handle = Callable[[Request, Reply], Awaitable[None]]
STATUSES = {
    RefusalCode.MALFORMED: HTTPStatus.BAD_REQUEST,
    RefusalCode.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    RefusalCode.UNKNOWN_ROUTE: HTTPStatus.NOT_FOUND,
    RefusalCode.UNKNOWN_TURN: HTTPStatus.NOT_FOUND,
    RefusalCode.BUDGET_EXHAUSTED: HTTPStatus.PAYMENT_REQUIRED,
}
STATUSES_BY_OUTCOME = {
    Outcome.NOT_RUN: HTTPStatus.SERVICE_UNAVAILABLE,
    Outcome.RAN: HTTPStatus.BAD_GATEWAY,
    Outcome.UNKNOWN: HTTPStatus.BAD_GATEWAY,
}


class AsgiReply:
    """An answer through ASGI; implements `Reply`."""

    def __init__(self, send: Send, closing: Callable[[], bool]) -> None:
        """Answer on one connection.

        Args:
            send: of the server.
            closing: whether the connection is to end with the answer.
        """
        self.send = send
        self.closing = closing
        self.started = False

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Give a complete answer with its length."""
        length = (b'content-length', str(len(body)).encode())
        await self.start(status, [*headers, length])
        await self.send({'type': 'http.response.body', 'body': body})

    async def start(self, status: int, headers: Headers) -> None:
        """Begin an answer."""
        self.started = True
        last = [(b'connection', b'close')] if self.closing() else []
        await self.send(
            {
                'type': 'http.response.start',
                'status': status,
                'headers': [*headers, *last],
            },
        )

    async def write(self, chunk: bytes) -> None:
        """Give the next bytes."""
        await self.send(
            {'type': 'http.response.body', 'body': chunk, 'more_body': True},
        )

    async def finish(self) -> None:
        """End the answer as complete."""
        await self.send({'type': 'http.response.body', 'body': b''})


class GatewayApp:
    """The ASGI application that callers talk to."""

    def __init__(
        self,
        clock: Clock,
        handle: Handle,
        count_refusal: Callable[[Refusal], None],
        max_body_bytes: Callable[[], int],
    ) -> None:
        """Hand every request to `handle`.

        Args:
            clock: tells when a request arrived.
            handle: answers a request.
            count_refusal: is told of each refusal.
            max_body_bytes: the largest body that is read now.
        """
        self.clock = clock
        self.handle = handle
        self.count_refusal = count_refusal
        self.max_body_bytes = max_body_bytes
        self.closing = False
        self.in_progress = 0

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request."""
        if scope['type'] != 'http':
            return
        self.in_progress += 1
        try:
            await self.serve(scope, receive, send)
        finally:
            self.in_progress -= 1

    async def serve(
        self,
        scope: dict[str, Any],
        receive: Receive,
        send: Send,
    ) -> None:
        """Read the request, then answer it unless its caller leaves."""
        arrived_ms = self.clock.now_ms()
        reply = AsgiReply(send, lambda: self.closing)
        try:
            body = await read_body(receive, self.max_body_bytes())
        except Refusal as refusal:
            self.count_refusal(refusal)
            await refuse(read_request(scope, b'', arrived_ms), refusal, reply)
            return
        if body is None:
            return
        request = read_request(scope, body, arrived_ms)
        answering = asyncio.ensure_future(self.answer(request, reply))
        leaving = asyncio.ensure_future(left(receive))
        try:
            await asyncio.wait(
                (answering, leaving),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not answering.done():
                logger.info('caller_left', request=request.metadata.id)
        finally:
            leaving.cancel()
            answering.cancel()
            await asyncio.gather(answering, leaving, return_exceptions=True)

    async def answer(self, request: Request, reply: AsgiReply) -> None:
        """Answer a request; one that can't be completed is cut."""
        try:
            await self.handle(request, reply)
        except Refusal as refusal:
            self.count_refusal(refusal)
            await refuse(request, refusal, reply)
        except BrokenAnswer as error:
            logger.warning('cut', request=request.metadata.id, reason=error.message)
        except Exception as error:  # noqa: BLE001
            # A defect must not leave the caller waiting.
            logger.opt(exception=error).error('failed', request=request.metadata.id)
            failed = Refusal(RefusalCode.INTERNAL, 'internal', Outcome.UNKNOWN)
            await refuse(request, failed, reply)


async def read_body(receive: Receive, max_bytes: int) -> bytes | None:
    """Read a whole body; None if the caller left.

    Raises:
        Refusal: it is larger than allowed.
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


async def left(receive: Receive) -> None:
    """Wait until the caller has left."""
    message = await receive()
    while message['type'] != 'http.disconnect':
        message = await receive()


def read_request(scope: dict[str, Any], body: bytes, arrived_ms: float) -> Request:
    """Decode a request."""
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
    """Answer with a refusal; a stream that has begun is cut instead."""
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
    """Give the status whose promise is true of a refusal."""
    if refusal.code in STATUSES and refusal.outcome == Outcome.NOT_RUN:
        return STATUSES[refusal.code]
    if refusal.code == RefusalCode.DEADLINE and refusal.outcome != Outcome.NOT_RUN:
        return HTTPStatus.GATEWAY_TIMEOUT
    return STATUSES_BY_OUTCOME[refusal.outcome]
