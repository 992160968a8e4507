"""An upstream host whose every byte is in a test's hands."""

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

from pollenwalk.connection.hosts import UpstreamHost

READ_BYTES = 65_536
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
SIGNED = b'X-Pollenwalk-Server-Signature: s1\r\n'


class Received(NamedTuple):
    """A request as it reached the host."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def id(self) -> str:
        """Return the request's id."""
        return self.headers.get('x-pollenwalk-request-id', '')


class Line:
    """One accepted connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one caller."""
        self.reader = reader
        self.writer = writer
        self.parser = h11.Connection(h11.SERVER)

    async def event(self) -> object:
        """Read the next part of a request."""
        while True:
            event = self.parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            self.parser.receive_data(await self.reader.read(READ_BYTES))

    async def receive(self) -> Received | None:
        """Read a whole request; None once the caller has gone."""
        head = await self.event()
        if not isinstance(head, h11.Request):
            return None
        parts = []
        part = await self.event()
        while isinstance(part, h11.Data):
            parts.append(bytes(part.data))
            part = await self.event()
        headers = {
            name.decode(): field.decode('latin-1') for name, field in head.headers
        }
        return Received(
            head.method.decode(),
            head.target.decode('latin-1'),
            headers,
            b''.join(parts),
        )

    def say(self, raw: bytes) -> None:
        """Write bytes as they are."""
        self.writer.write(raw)

    def next_request(self) -> None:
        """Expect another request on this connection."""
        left, _ = self.parser.trailing_data
        self.parser = h11.Connection(h11.SERVER)
        if left:
            self.parser.receive_data(left)

    def reset(self) -> None:
        """End the connection with a reset."""
        sock = self.writer.get_extra_info('socket')
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.writer.transport.abort()

    async def gone(self) -> None:
        """Wait until the caller has closed the connection."""
        left = await self.reader.read(READ_BYTES)
        while left:
            left = await self.reader.read(READ_BYTES)


Script = Callable[[Line, Received], Awaitable[None]]


class ScriptedHost:
    """Runs a script for every request that arrives."""

    def __init__(self, name: str, script: Script) -> None:
        """Answer with `script`."""
        self.name = name
        self.script = script
        self.received: list[Received] = []
        self.connections = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> UpstreamHost:
        """Listen on a free port; gives how the host would be listed."""
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        address = f'127.0.0.1:{port}'
        return UpstreamHost(self.name, 'up', address, 'here', 4, False, 0, 0)

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Serve one connection."""
        self.connections += 1
        line = Line(reader, writer)
        try:
            request = await line.receive()
            while request is not None:
                self.received.append(request)
                await self.script(line, request)
                line.next_request()
                request = await line.receive()
        except (h11.RemoteProtocolError, ConnectionError):
            return
        finally:
            # Also when the loop ends, after which a connection can't be closed.
            writer.close()

    def stop(self) -> None:
        """Stop listening."""
        if self.server is not None:
            self.server.close()


def answer(
    request: Received,
    body: bytes = b'hello',
    status: str = '200 OK',
    more: bytes = SIGNED,
) -> bytes:
    """Write a whole signed answer."""
    head = (
        f'HTTP/1.1 {status}\r\n'
        f'X-Pollenwalk-Request-Id: {request.id}\r\n'
        f'Content-Length: {len(body)}\r\n'
    )
    return b''.join((head.encode(), more, b'\r\n', body))


def not_run(request: Received) -> bytes:
    """Write a host's word that it did not run a request."""
    more = b'X-Pollenwalk-Not-Executed: 1\r\nX-Pollenwalk-Server-Load: 4,9,4\r\n'
    return answer(request, b'', '503 Service Unavailable', more)


def stream_head(request: Received) -> bytes:
    """Write the beginning of a signed stream in chunks."""
    head = (
        'HTTP/1.1 200 OK\r\n'
        f'X-Pollenwalk-Request-Id: {request.id}\r\n'
        'Content-Type: text/event-stream\r\n'
        'Transfer-Encoding: chunked\r\n'
    )
    return b''.join((head.encode(), SIGNED, b'\r\n'))


def chunk(raw: bytes) -> bytes:
    """Write one chunk; an empty one ends the body."""
    return b''.join((f'{len(raw):x}\r\n'.encode(), raw, b'\r\n'))


def event(number: int, text: str = 'x') -> bytes:
    """Write one event."""
    return f'id: {number}\ndata: {text}{number}\n\n'.encode()
