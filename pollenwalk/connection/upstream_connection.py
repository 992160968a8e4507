"""HTTP/1.1 connections to upstream hosts.

aiohttp, which the other HTTP clients use, does not fit here. It may resend a
request by itself on a reused connection, so that one can't tell whether a call
has run. It also hides bytes that follow a complete answer, so that a later
request could get the answer to an earlier one.
"""

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from typing import Any

import h11

from pollenwalk.connection.addresses import CONNECT_ERRORS, split_address
from pollenwalk.connection.answer_memory import (
    READ_BYTES,
    AnswerMemory,
    WaitingBytes,
)
from pollenwalk.connection.keepalive import enable_keepalive
from pollenwalk.errors import BrokenAnswer, NotSent
from pollenwalk.platform import headers as platform_headers
from pollenwalk.process.loop_share import LoopShare
from pollenwalk.request.http_messages import FINAL_STATUSES, AnswerHead, Headers

# Number of bytes that are parsed before other calls get a chance to run.
MAX_PARSED_BYTES = 32_768
# Maximum number of answers read on a connection until one is the answer to the
# current request.
MAX_ANSWERS = 3
# Maximum size of the body of an answer to another request.
MAX_SKIPPED_BODY_BYTES = 8_388_608
# Maximum number of informational (1xx) answers before an answer.
MAX_INFORMATIONAL_ANSWERS = 100


# Bodies up to this size are written in one piece with the head. Larger ones are not
# copied.
MAX_JOINED_BYTES = 65_536
# One buffer for the reads of all connections; what was read is copied from it at once.
READ_BUFFER = memoryview(bytearray(READ_BYTES))


class UpstreamConnection(asyncio.BufferedProtocol):
    """A connection that carries one request at a time.

    Attributes:
        transport: transport of the connection; None until it is made.
        received: received bytes that are not passed to the parser yet.
        parsed_bytes: size of what was last passed to the parser.
        waiting: counts these bytes together with those of other connections.
        changed: set when bytes arrive and when the connection ends.
        writable: cleared while the transport's write buffer is full.
        in_use: whether a request is in progress.
        on_bytes: called when bytes of an answer arrive.
        carried: number of requests sent so far.
        refused: ids of the requests that the host has refused on this connection.
        ended: whether the host has closed its side, as seen by an EOF.
        reset: whether the connection ended without an EOF from the host.
        reusable: whether the connection can carry another request.
        idle_since_ms: time at which the pool got the connection back.
        keep_alive_ms: keep-alive timeout that the host announced; None if none.
        parser: parser of the HTTP messages.
        request_events: the events of the current request.
        loop_share: lets other tasks run while many small events are parsed.
    """

    def __init__(self, memory: AnswerMemory) -> None:
        """Create a connection that is not connected yet.

        Args:
            memory: counts what the answers on all connections hold.
        """
        self.transport: Any = None
        self.received = bytearray()
        self.parsed_bytes = 0
        self.waiting = WaitingBytes(memory)
        self.changed = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()
        self.in_use = False
        self.on_bytes: Callable[[], None] = ignore_bytes
        self.carried = 0
        self.refused: set[str] = set()
        self.ended = False
        self.reset = False
        self.reusable = True
        self.idle_since_ms = 0.0
        self.keep_alive_ms: float | None = None
        self.parser = h11.Connection(h11.CLIENT)
        self.request_events: list[h11.Event] = []
        self.loop_share = LoopShare()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return as much of the shared buffer as may be read now."""
        return READ_BUFFER[: self.waiting.memory.read_bytes]

    def buffer_updated(self, nbytes: int) -> None:
        """Buffer received bytes; close the connection if it is idle.

        Bytes that arrive on an idle connection belong to no request. They could
        otherwise be taken for the answer to the next one.
        """
        if not self.in_use:
            self.abort()
            return
        self.on_bytes()
        self.received += READ_BUFFER[:nbytes]
        self.count_waiting()
        if len(self.received) > self.waiting.memory.max_waiting_bytes:
            self.transport.pause_reading()
        self.changed.set()

    def count_waiting(self) -> None:
        """Count what was received and is not forwarded yet."""
        self.waiting.resize(len(self.received) + self.parsed_bytes)

    def eof_received(self) -> bool:
        """Record that the host closed its side.

        Returns:
            False, which makes the transport close itself.
        """
        self.ended = True
        self.reusable = False
        self.changed.set()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end of the connection; it is a reset unless EOF came first."""
        self.reset = self.reset or not self.ended
        self.reusable = False
        self.changed.set()
        self.writable.set()

    def pause_writing(self) -> None:
        """Make `send` wait, as the transport's write buffer is full."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let `send` continue."""
        self.writable.set()

    async def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Send a request, and wait until the transport's write buffer has room.

        Args:
            method: HTTP method.
            target: path and query.
            headers: headers without Content-Length, which is added.
            body: body of the request.

        Raises:
            NotSent: the connection had ended before anything was sent.
        """
        if not self.reusable or self.transport.is_closing():
            raise NotSent('the connection had ended before the request was sent')
        self.in_use = True
        self.carried += 1
        request = h11.Request(
            method=method,
            target=target,
            headers=[*headers, (b'content-length', str(len(body)).encode())],
        )
        self.request_events = [request, h11.Data(data=body), h11.EndOfMessage()]
        parts = [self.parser.send(event) or b'' for event in self.request_events]
        if len(body) <= MAX_JOINED_BYTES:
            parts = [b''.join(parts)]
        for part in filter(None, parts):
            self.transport.write(part)
        await self.writable.wait()

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes of the request are still in this process."""
        return self.transport.get_write_buffer_size()

    async def next_event(self) -> Any:
        """Wait for the next event of the answer and return it.

        Raises:
            BrokenAnswer: the connection was reset, or the answer is incomplete or
                not valid HTTP.
        """
        await self.loop_share.step()
        while True:
            event = self.parse()
            if event is not h11.NEED_DATA:
                return event
            await self.feed_parser()

    def parse(self) -> Any:
        """Return the parser's next event, which is NEED_DATA if there is none.

        Raises:
            BrokenAnswer: the answer is incomplete or not valid HTTP.
        """
        try:
            return self.parser.next_event()
        except h11.RemoteProtocolError as error:
            raise BrokenAnswer(
                f'incomplete or invalid HTTP response: {error}'
            ) from error

    async def feed_parser(self) -> None:
        """Wait for received bytes or EOF, and pass some of them to the parser.

        At most MAX_PARSED_BYTES are passed; other tasks run before more are. What was
        passed before has been forwarded.

        Raises:
            BrokenAnswer: the connection was reset, or the answer is incomplete or
                not valid HTTP.
        """
        self.parsed_bytes = 0
        self.count_waiting()
        while not self.received:
            if self.ended:
                break
            if self.reset:
                raise BrokenAnswer('the connection was reset')
            self.changed.clear()
            await self.changed.wait()
        if len(self.received) > MAX_PARSED_BYTES:
            await asyncio.sleep(0)
        chunk = bytes(self.received[:MAX_PARSED_BYTES])
        self.received = self.received[MAX_PARSED_BYTES:]
        self.parsed_bytes = len(chunk)
        has_room = len(self.received) <= self.waiting.memory.max_waiting_bytes
        if has_room and not self.transport.is_closing():
            self.transport.resume_reading()
        try:
            self.parser.receive_data(chunk)
        except h11.RemoteProtocolError as error:
            raise BrokenAnswer(
                f'incomplete or invalid HTTP response: {error}'
            ) from error

    async def read_head(self, request: str) -> AnswerHead:
        """Wait for the head of the answer to a request; skip answers to others.

        Args:
            request: id of the request. An answer that states another one is
                skipped; one that states none is accepted, unless it may be an
                earlier refusal that a faulty host has written once more.

        Raises:
            BrokenAnswer: the connection failed, none of the first MAX_ANSWERS
                answers was to this request, it is a refusal without an id on a
                connection that has carried another request, or the body of a skipped one exceeds
                MAX_SKIPPED_BODY_BYTES.
        """
        for _ in range(MAX_ANSWERS):
            head = await self.read_any_head()
            if not head.request or head.request == request:
                return self.accepted(head, request)
            self.reusable = False
            await self.skip_body(MAX_SKIPPED_BODY_BYTES)
            self.expect_another_answer()
        raise BrokenAnswer('the host sent only answers to other requests')

    def accepted(self, head: AnswerHead, request: str) -> AnswerHead:
        """Return the head of an answer that may be to the present request.

        A host may write an earlier refusal once more, which would look as if it had
        not run this request. So a refusal must name the request, and the connection is
        not used again for a request that was refused on it.

        Raises:
            BrokenAnswer: the head may be that of an earlier refusal.
        """
        if not head.refused:
            return head
        if not head.request and self.carried > 1:
            raise BrokenAnswer('a refusal that names no request on a kept connection')
        self.refused.add(request)
        return head

    async def read_any_head(self) -> AnswerHead:
        """Wait for the head of the next answer, whichever request it is for.

        Raises:
            BrokenAnswer: the connection ended without an answer, more than
                MAX_INFORMATIONAL_ANSWERS came before it, or its status is none of HTTP.
        """
        event = await self.next_event()
        skipped = 0
        while isinstance(event, h11.InformationalResponse):
            skipped += 1
            if skipped > MAX_INFORMATIONAL_ANSWERS:
                raise BrokenAnswer('the host sent too many informational answers')
            event = await self.next_event()
        if not isinstance(event, h11.Response):
            raise BrokenAnswer('the connection ended without an answer')
        if event.status_code not in FINAL_STATUSES:
            raise BrokenAnswer(f'status {event.status_code:03} is none of HTTP')
        head = platform_headers.read_answer_head(event.status_code, list(event.headers))
        if head.keep_alive_ms is not None:
            self.keep_alive_ms = head.keep_alive_ms
        return head

    async def skip_body(self, max_bytes: int) -> None:
        """Read the rest of the body of the current answer and discard it.

        Raises:
            BrokenAnswer: the body is incomplete or exceeds `max_bytes`.
        """
        size = 0
        async for chunk in self.chunks():
            size += len(chunk)
            if size > max_bytes:
                raise BrokenAnswer(f'a skipped body exceeds {max_bytes} bytes')

    def expect_another_answer(self) -> None:
        """Reset the parser so that it accepts another answer to the same request.

        The events of the request are given to a new parser, whose output is
        discarded, and the bytes after the last answer are parsed again.
        """
        trailing, _ = self.parser.trailing_data
        self.parser = h11.Connection(h11.CLIENT)
        for event in self.request_events:
            self.parser.send(event)
        self.received = bytearray(trailing) + self.received

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the answer's body as they arrive.

        Raises:
            BrokenAnswer: the body is incomplete.
        """
        while True:
            event = await self.next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise BrokenAnswer('the connection ended before the end of the body')
            yield bytes(event.data)

    def finish_exchange(self) -> bool:
        """End an exchange whose answer was read to the end.

        The connection is closed unless it can carry another request: the request
        must have been sent completely, no bytes may follow the answer, and
        neither side may have asked to close the connection.

        Returns:
            Whether the connection can carry another request.
        """
        self.in_use = False
        self.waiting.resize(0)
        trailing, _ = self.parser.trailing_data
        has_extra_bytes = bool(trailing or self.received)
        flushed = self.transport.get_write_buffer_size() == 0
        if has_extra_bytes or not flushed or self.transport.is_closing():
            self.reusable = False
        if self.reusable and self.parser.our_state is h11.DONE:
            self.reusable = self.parser.their_state is h11.DONE
        else:
            self.reusable = False
        if self.reusable:
            self.parser.start_next_cycle()
        else:
            self.abort()
        return self.reusable

    def abort(self) -> None:
        """Close the connection at once, upon which the host stops its work."""
        self.reusable = False
        self.waiting.close()
        if self.transport is not None:
            self.transport.abort()


def ignore_bytes() -> None:
    """Do nothing about bytes that arrive."""


async def open_upstream_connection(
    address: str, timeout_s: float, memory: AnswerMemory | None = None
) -> UpstreamConnection:
    """Connect to an upstream host and enable TCP keep-alive.

    Args:
        address: `ip:port` of the host.
        timeout_s: time within which the connection must be made.
        memory: counts what the answers on all connections hold; None for this one.

    Raises:
        NotSent: the connection could not be made within `timeout_s`.
    """
    loop = asyncio.get_running_loop()
    try:
        ip, port = split_address(address)
        async with asyncio.timeout(timeout_s):
            _, connection = await loop.create_connection(
                lambda: UpstreamConnection(memory or AnswerMemory()), ip, port
            )
    except CONNECT_ERRORS as error:
        raise NotSent(f'{address}: {error!r}') from error
    sock: socket.socket = connection.transport.get_extra_info('socket')
    enable_keepalive(sock)
    return connection
