"""One request to an upstream host and its answer, on a pooled connection."""

from collections.abc import AsyncIterator
from http import HTTPStatus
from types import TracebackType

from loguru import logger

from pollenwalk.connection.answer_memory import HeldAnswer
from pollenwalk.connection.connection_pool import ConnectionPool
from pollenwalk.connection.request_bodies import SentBody
from pollenwalk.connection.upstream_connection import (
    UpstreamConnection,
    ignore_bytes,
)
from pollenwalk.errors import BrokenAnswer
from pollenwalk.process.host_table import HostState
from pollenwalk.request.http_messages import AnswerHead, Framing, Headers

# Maximum size of a body that is forwarded in one piece.
MAX_BODY_BYTES = 8_388_608
SUCCESS_STATUSES = range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES)


class Exchange:
    """One request to an upstream host and its answer.

    As a context manager it gives the connection back to the pool if the answer
    was read to its end, and closes it otherwise.

    Attributes:
        state: the estimate of the host; it counts the call as in flight until the
            exchange is closed.
        connection: carries the request and the answer.
        software_version: version of the host's software when the request was sent.
        head: status and headers of the answer; until they are received, status 0
            and no headers.
        held: what of the answer is in memory.
        has_response_bytes: whether a byte of an answer has arrived.
        body_sent: the body of the request, as long as it is counted.
        complete: whether the answer was read to its end.
        closed: whether the exchange has given up its connection.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        state: HostState,
        connection: UpstreamConnection,
        body_sent: SentBody,
    ) -> None:
        """Create an exchange on a connection to a host.

        Args:
            pool: the pool that the connection was acquired from.
            state: the estimate of the host, which already counts the call as in
                flight.
            connection: the connection.
            body_sent: counts the body of the request.
        """
        self.pool = pool
        self.state = state
        self.connection = connection
        self.software_version = state.registration.software_version
        self.head = AnswerHead(0, [])
        self.held = HeldAnswer(pool.answer_memory)
        self.body_sent = body_sent
        self.complete = False
        self.closed = False
        self.has_response_bytes = False
        connection.on_bytes = self.record_bytes

    def __enter__(self) -> 'Exchange':
        """Return this exchange."""
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        """Close the exchange, and the connection if the answer was broken."""
        if isinstance(error, BrokenAnswer):
            self.complete = False
        self.close()

    def close(self) -> None:
        """Give up the connection and stop counting the call as in flight.

        The connection is released to the pool if the answer was read to its end,
        and closed otherwise.
        """
        if self.closed:
            return
        self.closed = True
        self.state.in_flight -= 1
        self.connection.on_bytes = ignore_bytes
        self.held.release()
        self.body_sent.end()
        if self.complete:
            self.pool.release(self.state.registration, self.connection)
        else:
            self.connection.abort()

    def record_bytes(self) -> None:
        """Record that bytes have arrived, by which the host shows that it answers."""
        self.has_response_bytes = True
        self.state.record_sign(self.pool.clock.now_ms())

    async def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Send the request, and wait until most of it was passed to the host.

        Raises:
            NotSent: the connection had ended before anything was sent.
        """
        await self.connection.send(method, target, headers, body)
        self.body_sent.keep_unsent(self.connection.unsent_bytes)

    async def read_head(self, request: str) -> AnswerHead:
        """Wait for the head of the answer to a request and return it.

        Raises:
            BrokenAnswer: the connection failed, or there is no valid head of an answer
                to the request.
        """
        self.head = await self.connection.read_head(request)
        self.body_sent.mark_answered()
        self.body_sent.keep_unsent(self.connection.unsent_bytes)
        return self.head

    @property
    def succeeded(self) -> bool:
        """Return whether the answer's status is a success."""
        return self.head.status in SUCCESS_STATUSES

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks as they arrive.

        Raises:
            BrokenAnswer: the answer broke off.
        """
        size_bytes = 0
        async for chunk in self.connection.chunks():
            size_bytes += len(chunk)
            yield chunk
        self.complete = True
        if self.head.framing == Framing.CONNECTION_END:
            self.log_end(size_bytes)

    def log_end(self, size_bytes: int) -> None:
        """Log that the host ended an answer by closing the connection orderly."""
        logger.info(
            'answer_ended_by_close',
            request=self.head.request,
            host=self.state.registration.id,
            status=self.head.status,
            body_bytes=size_bytes,
        )

    async def skip_body(self, max_bytes: int) -> None:
        """Read the whole body and discard it.

        Raises:
            BrokenAnswer: the answer broke off, or its body exceeds `max_bytes`.
        """
        await self.connection.skip_body(max_bytes)
        self.complete = True

    async def body(self) -> bytes:
        """Read and return the whole body.

        Raises:
            BrokenAnswer: the answer broke off, its body exceeds MAX_BODY_BYTES, or all
                answers together hold too much.
        """
        # One buffer, as separate chunks of a few bytes each would take many times
        # the memory of the body.
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            self.held.resize(len(body))
            if len(body) > MAX_BODY_BYTES:
                raise BrokenAnswer(f'the body exceeds {MAX_BODY_BYTES} bytes')
        return bytes(body)
