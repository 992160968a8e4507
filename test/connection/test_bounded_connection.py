"""Tests of the bounds of an HTTP server's connections, over loopback."""

import asyncio
import math
from typing import Any
from unittest import mock

import testtools

from pollenwalk.connection import connection_guard
from pollenwalk.connection.connection_guard import MAX_EXCESS, ConnectionGuard
from pollenwalk.connection.connection_limits import (
    ConnectionLimits,
    caller_limit,
    held_limit_bytes,
)
from pollenwalk.connection.http_server import HttpServer, free_port
from pollenwalk.connection.plain_page import Page, PlainPage
from pollenwalk.policy import connection_shedding
from test.helper import on_loop

REQUEST = b'GET /page HTTP/1.1\r\nHost: h\r\n\r\n'
LAST = b'GET /page HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n'
UNREAD_BODY = b'POST /page HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n'
PAGE = b'p' * 50_000
REQUESTS = 40
SHORT_MS = 200.0
WAIT_S = 8.0


class PageServer:
    """A server of one page, with its guard and what that has closed.

    Attributes:
        causes: the cause of each connection that the guard has closed.
        shown: how many times the page was made.
        page: its content.
    """

    def __init__(self, limits: ConnectionLimits) -> None:
        """Create the server."""
        self.causes: list[str] = []
        self.shown = 0
        self.page = PAGE
        self.port = free_port()
        self.guard = ConnectionGuard(limits, self.causes.append)
        self.server = HttpServer(
            PlainPage('/page', self.show), '127.0.0.1', self.port, 60, self.guard
        )

    def show(self) -> Page:
        """Return the page."""
        self.shown += 1
        return Page(body=self.page)

    def holds_little(self) -> bool:
        """Return whether the responses that wait hold what they may at most."""
        return self.guard.held_bytes <= self.guard.limit_bytes * MAX_EXCESS

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect to the server."""
        return await asyncio.open_connection('127.0.0.1', self.port)

    async def exchange(self, content: bytes) -> bytes:
        """Send bytes and return everything until the server closes the connection."""
        reader, writer = await self.connect()
        try:
            writer.write(content)
            return await asyncio.wait_for(reader.read(), WAIT_S)
        except ConnectionError:
            return b''
        finally:
            writer.close()


async def started(**limits: Any) -> PageServer:
    """Start a server with some limits."""
    server = PageServer(ConnectionLimits(**limits))
    await server.server.start()
    return server


class BoundedConnectionTest(testtools.TestCase):
    """What a connection may hold, and how it ends."""

    @on_loop
    async def test_pipelined_requests_are_all_answered(self) -> None:
        # Guards against a request that is never begun as its wait is forgotten.
        server = await started()
        answer = await server.exchange(REQUEST * REQUESTS + LAST)
        self.assertEqual(REQUESTS + 1, answer.count(PAGE))
        self.assertEqual([], server.causes)
        self.assertEqual(0, server.guard.held_bytes)
        await server.server.stop()

    @on_loop
    async def test_body_that_the_page_does_not_read(self) -> None:
        # Guards against a connection that stays paused after an early answer.
        server = await started()
        answer = await server.exchange(
            (UNREAD_BODY + b'b' * 90_000) * 3 + REQUEST + LAST
        )
        self.assertEqual(5, answer.count(PAGE))
        await server.server.stop()

    @on_loop
    async def test_requests_wait_while_answers_are_not_read(self) -> None:
        # Guards against answers that are made ahead for a client that does not read.
        server = await started(unread_timeout_ms=SHORT_MS)
        reader, writer = await self.connect_unread(server)
        await asyncio.sleep(0.5)
        shown = server.shown
        self.assertTrue(shown < 2000, shown)
        await asyncio.sleep(connection_guard.SWEEP_S * 2)
        self.assertEqual(['unread_timeout'], server.causes)
        self.assertEqual(shown, server.shown)
        writer.close()
        await server.server.stop()

    async def connect_unread(
        self, server: PageServer
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Connect a client that pipelines and reads nothing."""
        reader, writer = await server.connect()
        writer.transport.pause_reading()
        writer.write(REQUEST * 2000)
        return reader, writer

    @on_loop
    async def test_incomplete_head_and_body_end(self) -> None:
        server = await started(head_timeout_ms=SHORT_MS, body_timeout_ms=SHORT_MS)
        self.assertEqual(b'', await server.exchange(REQUEST[:-2]))
        answer = await server.exchange(UNREAD_BODY + b'b')
        self.assertTrue(answer.count(PAGE) <= 1)
        self.assertEqual(['head_timeout', 'body_timeout'], server.causes)
        await server.server.stop()

    @on_loop
    async def test_memory_is_taken_from_those_that_do_not_read(self) -> None:
        # Guards against a bound that is met by closing ordinary callers.
        server = await started()
        server.guard.limit_bytes = 200_000
        idle_reader, idle = await server.connect()
        idle.write(REQUEST)
        await idle_reader.readexactly(len(PAGE))
        greedy = [await self.connect_unread(server) for _ in range(8)]
        await asyncio.sleep(2.5)
        self.assertTrue(server.guard.held_bytes <= 200_000)
        self.assertEqual({'memory'}, set(server.causes))
        idle.write(LAST)
        rest = await asyncio.wait_for(idle_reader.read(), WAIT_S)
        self.assertIn(PAGE, rest)
        for _, writer in (*greedy, (idle_reader, idle)):
            writer.close()
        await server.server.stop()

    @on_loop
    async def test_long_responses_are_bounded_at_once(self) -> None:
        # Guards against responses that hold any amount for the first second, in which
        # no client counts as one that does not read.
        server = await started()
        server.guard.limit_bytes = 4_000_000
        server.page = b'p' * 8_000_000
        clients = [await server.connect() for _ in range(12)]
        with mock.patch.object(connection_shedding, 'SLOW_MS', math.inf):
            for _, writer in clients:
                writer.transport.pause_reading()
                writer.write(REQUEST)
            async with asyncio.timeout(WAIT_S):
                while server.shown < len(clients) or not server.holds_little():
                    await asyncio.sleep(0.01)
        self.assertEqual({'memory'}, set(server.causes))
        for _, writer in clients:
            writer.close()
        await server.server.stop()


class ConnectionLimitsTest(testtools.TestCase):
    """What follows from a machine's limits."""

    def test_smallest_machines(self) -> None:
        # 1,200 connections are to be expected at a machine with 4,100 descriptors; the
        # rest must do for as many requests to hosts, and for files.
        self.assertEqual(1950, caller_limit(4100))
        self.assertTrue(caller_limit(0) > 0)
        # A body of the largest size that is allowed fits, also held twice.
        self.assertTrue(held_limit_bytes(88) > 2 * 4_194_304)
