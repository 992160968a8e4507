"""A model server: streams a few events for each request that it runs."""

import asyncio
import contextlib
from typing import Any, NamedTuple

from standins2.http import Head, read_body, read_head


class Run(NamedTuple):
    """A request that the server has run."""

    attempt: str
    after: int
    body: bytes


class ModelServer:
    """One start of a server.

    Attributes:
        runs: the requests that it has run.
    """

    def __init__(
        self, name: str, version: str = 'v1', events: int = 5, gap_s: float = 0.02
    ) -> None:
        """Prepare a server that does not listen."""
        self.name = name
        self.version = version
        self.events = events
        self.gap_s = gap_s
        self.runs: list[Run] = []
        self.address = ''
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self, ip: str, port: int) -> None:
        """Begin to serve."""
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.address = f'{ip}:{port}'

    def crash(self) -> None:
        """End without a word: all connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, service: str, zone: str, slots: int, born: int) -> dict[str, Any]:
        """Return the server's entry in the store."""
        return {
            'service': service,
            'address': self.address,
            'zone': zone,
            'version': self.version,
            'slots': slots,
            'state': 'ready',
            'cold_left_ms': 0,
            'seq': 1,
            'born': born,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, one request at a time."""
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await read_head(reader)
                body = await read_body(reader, head.headers)
                await self.answer(head, body, writer)
        self.writers.discard(writer)
        writer.close()

    async def answer(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request, unless it is meant for another server."""
        attempt = head.headers.get('x-pollenwalk-request-id', '')
        echoed = f'X-Pollenwalk-Request-Id: {attempt}\r\n'
        if head.headers.get('x-pollenwalk-expect-instance', self.name) != self.name:
            writer.write(
                'HTTP/1.1 421 X\r\nX-Pollenwalk-Not-Executed: 1\r\n'
                f'{echoed}Content-Length: 0\r\n\r\n'.encode()
            )
            return
        after = int(head.headers.get('last-event-id', 0))
        self.runs.append(Run(attempt, after, body))
        writer.write(
            f'HTTP/1.1 200 OK\r\n{echoed}'
            f'X-Pollenwalk-Server-Signature: {self.name}.{attempt}\r\n'
            'Content-Type: text/event-stream\r\n'
            'Transfer-Encoding: chunked\r\n\r\n'.encode()
        )
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.gap_s)
            event = f'id: {number}\ndata: {self.version}/{attempt}/{number}\n\n'
            writer.write(f'{len(event):x}\r\n{event}\r\n'.encode())
            await writer.drain()
        writer.write(b'0\r\n\r\n')
        await writer.drain()


class PlainServer(ModelServer):
    """A server of a plain service: a short answer for each request that it runs."""

    async def answer(
        self, head: Head, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Run a request for 50 ms."""
        attempt = head.headers.get('x-pollenwalk-request-id', '')
        self.runs.append(Run(attempt, 0, body))
        await asyncio.sleep(0.05)
        text = f'answer to {attempt}'
        writer.write(
            f'HTTP/1.1 200 OK\r\nX-Pollenwalk-Request-Id: {attempt}\r\n'
            f'X-Pollenwalk-Server-Signature: {self.name}.{attempt}\r\n'
            f'Content-Length: {len(text)}\r\n\r\n{text}'.encode()
        )
        await writer.drain()
