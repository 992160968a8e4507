"""Tests of clients that pipeline and hold a slot or wait for one, over loopback."""

import asyncio
from typing import Any

import testtools

from pollenwalk.connection.connection_guard import ConnectionGuard
from pollenwalk.connection.gateway_app import read_body
from pollenwalk.connection.http_server import HttpServer, free_port
from pollenwalk.connection.pipelined_requests import RequestSlots
from test.helper import on_loop

REQUEST = b'POST /p HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}'
LONG_REQUEST = REQUEST.replace(b'/p', b'/long')
LAST = REQUEST.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
WAIT_S = 60.0
# More than the buffers of the operating system hold for a client that does not read.
PART = b'k' * 65_536
PARTS = 400


class SlotServer:
    """A server with one slot, whose application answers when it is told to.

    Attributes:
        begun: number of requests that the application has begun.
        causes: the cause of each connection that the guard has closed.
        may_answer: set when responses may be sent.
    """

    def __init__(self) -> None:
        """Create the server."""
        self.begun = 0
        self.causes: list[str] = []
        self.may_answer = asyncio.Event()
        self.slots = RequestSlots(1)
        self.port = free_port()
        self.server = HttpServer(
            self,
            '127.0.0.1',
            self.port,
            guard=ConnectionGuard(count_closed=self.causes.append),
            slots=self.slots,
        )

    async def __call__(self, scope: dict[str, Any], receive: Any, send: Any) -> None:
        """Answer a request once its body is complete and responses may be sent."""
        if await read_body(receive, 100) is None:
            return
        self.begun += 1
        may_answer = asyncio.ensure_future(self.may_answer.wait())
        disconnect = asyncio.ensure_future(receive())
        ends = (may_answer, disconnect)
        await asyncio.wait(ends, return_when=asyncio.FIRST_COMPLETED)
        if may_answer.done():
            await send({'type': 'http.response.start', 'status': 200, 'headers': []})
            parts = PARTS if scope['path'] == '/long' else 1
            for left in reversed(range(parts)):
                part = {'type': 'http.response.body', 'body': PART}
                await send({**part, 'more_body': left > 0})
        may_answer.cancel()
        disconnect.cancel()

    async def client(
        self, content: bytes
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect a client and send."""
        reader, writer = await asyncio.open_connection('127.0.0.1', self.port)
        writer.write(content)
        return reader, writer

    async def until(self, begun: int, waiting: int) -> None:
        """Wait until as many requests have begun, and as many wait."""
        async with asyncio.timeout(WAIT_S):
            while (self.begun, len(self.slots.waiting)) != (begun, waiting):
                await asyncio.sleep(0.01)


class PipeliningClientsTest(testtools.TestCase):
    """A client that pipelines neither blocks others for good nor overtakes them."""

    async def started(self, first: bytes) -> tuple[SlotServer, asyncio.StreamWriter]:
        """Start a server; let a first client have the slot, and return its writer."""
        server = SlotServer()
        await server.server.start()
        _, writer = await server.client(first)
        await server.until(begun=1, waiting=0)
        return server, writer

    @on_loop
    async def test_ordinary_client_passes_those_that_wait(self) -> None:
        server, first = await self.started(REQUEST * 2)
        _, second = await server.client(REQUEST * 2)
        await server.until(begun=1, waiting=1)
        reader, ordinary = await server.client(LAST)
        await server.until(begun=2, waiting=1)
        server.may_answer.set()
        self.assertIn(PART, await asyncio.wait_for(reader.read(), WAIT_S))
        await self.end(server, first, second, ordinary)

    @on_loop
    async def test_all_requests_are_answered(self) -> None:
        # Guards against a slot that is not freed, and a request that is forgotten.
        server, first = await self.started(REQUEST * 2)
        clients = [await server.client(REQUEST * 5 + LAST) for _ in range(4)]
        await server.until(begun=1, waiting=4)
        server.may_answer.set()
        for reader, _ in clients:
            received = await asyncio.wait_for(reader.read(), WAIT_S)
            self.assertEqual(6, received.count(b'HTTP/1.1 200'))
        await server.until(begun=26, waiting=0)
        await self.end(server, first, *(writer for _, writer in clients))

    @on_loop
    async def test_client_with_the_slot_disconnects(self) -> None:
        # Guards against an end that is not noticed as nothing is read meanwhile.
        server, first = await self.started(REQUEST * 2)
        _, second = await server.client(REQUEST * 2)
        await server.until(begun=1, waiting=1)
        first.close()
        await server.until(begun=2, waiting=0)
        self.assertEqual(['client_left'], server.causes)
        await self.end(server, second)

    @on_loop
    async def test_client_that_waits_disconnects(self) -> None:
        server, first = await self.started(REQUEST * 2)
        _, second = await server.client(REQUEST * 2)
        await server.until(begun=1, waiting=1)
        second.close()
        await server.until(begun=1, waiting=0)
        await self.end(server, first)

    @on_loop
    async def test_client_with_the_slot_does_not_read(self) -> None:
        # Guards against a slot that is held by a response that nobody reads.
        server, first = await self.started(LONG_REQUEST * 2)
        first.transport.pause_reading()
        server.may_answer.set()
        reader, second = await server.client(REQUEST + LAST)
        received = await asyncio.wait_for(reader.read(), WAIT_S)
        self.assertEqual(2, received.count(b'HTTP/1.1 200'))
        self.assertEqual(['slot_unread'], server.causes)
        await self.end(server, first, second)

    async def end(self, server: SlotServer, *writers: asyncio.StreamWriter) -> None:
        """Close the clients; check that every slot is free, and stop the server."""
        for writer in writers:
            writer.transport.abort()
        async with asyncio.timeout(WAIT_S):
            while server.slots.running or server.slots.waiting:
                await asyncio.sleep(0.01)
        await server.server.stop()
