"""One HTTP/1.1 connection to an upstream host.

The usual client library is not used here: it sends again by itself on a kept
connection, and it hides what an upstream sends behind a complete answer.
Both decide whether a call has run and whom an answer belongs to.
"""

import asyncio
import socket
from collections.abc import AsyncIterator
from typing import Any

import h11

from pollenwalk.connection.addresses import split_address
from pollenwalk.connection.keepalive import enable_keepalive
from pollenwalk.errors import BrokenAnswer, NotSent
from pollenwalk.platform import headers as wire
from pollenwalk.request.http_messages import AnswerHead, Headers

# Unread bytes at which the upstream host is made to wait.
HIGH_WATER_BYTES = 262_144
# Answers of other requests that are skipped on one connection.
MAX_STRAY_ANSWERS = 3


class UpstreamConnection(asyncio.Protocol):
    """A connection that carries one request at a time.

    Attributes:
        reusable: whether another request may follow.
        idle_since_ms: set by the pool when the link comes back.
        keep_alive_ms: how long the host keeps an idle connection, if it says.
    """

    def __init__(self) -> None:
        """Wait for the connection to be made."""
        self.transport: Any = None
        self.received = bytearray()
        self.wake = asyncio.Event()
        self.writable = asyncio.Event()
        self.writable.set()
        self.in_use = False
        self.ended = False
        self.reset = False
        self.reusable = True
        self.idle_since_ms = 0.0
        self.keep_alive_ms: float | None = None
        self.parser = h11.Connection(h11.CLIENT)
        self.sent: list[h11.Event] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = transport

    def data_received(self, chunk: bytes) -> None:
        """Take bytes; those that nobody waits for spoil the connection."""
        if not self.in_use:
            self.abort()
            return
        self.received += chunk
        if len(self.received) > HIGH_WATER_BYTES:
            self.transport.pause_reading()
        self.wake.set()

    def eof_received(self) -> bool:
        """Note an orderly end; the transport closes by itself."""
        self.ended = True
        self.reusable = False
        self.wake.set()
        return False

    def connection_lost(self, error: Exception | None) -> None:
        """Note an end that is not orderly."""
        self.reset = self.reset or not self.ended
        self.reusable = False
        self.wake.set()
        self.writable.set()

    def pause_writing(self) -> None:
        """Wait before more is written."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Write on."""
        self.writable.set()

    async def send(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> None:
        """Send one whole request.

        Raises:
            NotSent: the connection had ended before the first byte.
        """
        if not self.reusable or self.transport.is_closing():
            raise NotSent('the connection has ended')
        self.in_use = True
        request = h11.Request(
            method=method,
            target=target,
            headers=[*headers, (b'content-length', str(len(body)).encode())],
        )
        self.sent = [request, h11.Data(data=body), h11.EndOfMessage()]
        payload = b''.join(self.parser.send(event) or b'' for event in self.sent)
        self.transport.write(payload)
        await self.writable.wait()

    async def next_event(self) -> Any:
        """Wait for the next event of the answer.

        Raises:
            BrokenAnswer: the answer ended early or is none.
        """
        while True:
            event = self.parse()
            if event is not h11.NEED_DATA:
                return event
            await self.feed()

    def parse(self) -> Any:
        """Take the next event off the parser."""
        try:
            return self.parser.next_event()
        except h11.RemoteProtocolError as error:
            raise BrokenAnswer(f'no answer in the protocol: {error}') from error

    async def feed(self) -> None:
        """Wait for bytes, or for the end, and hand them to the parser."""
        while not self.received:
            if self.ended:
                break
            if self.reset:
                raise BrokenAnswer('the connection was reset')
            self.wake.clear()
            await self.wake.wait()
        chunk = bytes(self.received)
        self.received.clear()
        if not self.transport.is_closing():
            self.transport.resume_reading()
        try:
            self.parser.receive_data(chunk)
        except h11.RemoteProtocolError as error:
            raise BrokenAnswer(f'no answer in the protocol: {error}') from error

    async def read_head(self, request: str) -> AnswerHead:
        """Wait for the answer to a request, skipping answers to others.

        Args:
            request: the id that the answer has to bear.

        Raises:
            BrokenAnswer: no such answer came.
        """
        for _ in range(MAX_STRAY_ANSWERS):
            found = await self.read_any_head()
            if not found.request or found.request == request:
                return found
            self.reusable = False
            await self.read_body()
            self.expect_another_answer()
        raise BrokenAnswer('only answers to other requests came')

    async def read_any_head(self) -> AnswerHead:
        """Wait for the beginning of the next answer."""
        event = await self.next_event()
        while isinstance(event, h11.InformationalResponse):
            event = await self.next_event()
        if not isinstance(event, h11.Response):
            raise BrokenAnswer('the connection ended without an answer')
        found = wire.read_answer_head(event.status_code, list(event.headers))
        if found.keep_alive_ms is not None:
            self.keep_alive_ms = found.keep_alive_ms
        return found

    async def read_body(self) -> bytes:
        """Read the rest of the answer."""
        return b''.join([chunk async for chunk in self.chunks()])

    def expect_another_answer(self) -> None:
        """Expect one more answer to the request that was sent."""
        left, _ = self.parser.trailing_data
        self.parser = h11.Connection(h11.CLIENT)
        for event in self.sent:
            self.parser.send(event)
        self.received = bytearray(left) + self.received

    async def chunks(self) -> AsyncIterator[bytes]:
        """Give the body as it comes.

        Raises:
            BrokenAnswer: the body ended early.
        """
        while True:
            event = await self.next_event()
            if isinstance(event, h11.EndOfMessage):
                return
            if not isinstance(event, h11.Data):
                raise BrokenAnswer('the connection ended inside an answer')
            yield bytes(event.data)

    def finish_exchange(self) -> bool:
        """End an exchange whose answer was read whole.

        Returns:
            Whether the connection can carry another request.
        """
        self.in_use = False
        left, _ = self.parser.trailing_data
        spoiled = bool(left or self.received)
        flushed = self.transport.get_write_buffer_size() == 0
        if spoiled or not flushed or self.transport.is_closing():
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
        """End the connection at once, which stops the host's work."""
        self.reusable = False
        if self.transport is not None:
            self.transport.abort()


async def open_upstream_connection(
    address: str, timeout_s: float
) -> UpstreamConnection:
    """Connect to an upstream host.

    Raises:
        NotSent: nobody answers there in time.
    """
    loop = asyncio.get_running_loop()
    ip, port = split_address(address)
    try:
        async with asyncio.timeout(timeout_s):
            _, link = await loop.create_connection(UpstreamConnection, ip, port)
    except (OSError, TimeoutError) as error:
        raise NotSent(f'{address}: {error!r}') from error
    sock: socket.socket = link.transport.get_extra_info('socket')
    enable_keepalive(sock)
    return link
