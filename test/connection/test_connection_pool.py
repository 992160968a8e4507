"""Idle connections that a pool keeps to one host."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import NamedTuple

import testtools

from pollenwalk.connection.connection_pool import (
    DEFAULT_KEEP_ALIVE_MS,
    ConnectionPool,
)
from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.process.clock import LoopClock
from standin.platform.host import ScriptedHost
from test.helper import on_loop
from test.request.test_forwarding import answers_hello

SLOTS = 8


class LateClock(LoopClock):
    """A clock that can be set forward.

    Attributes:
        ahead_ms: by how much it was set forward.
    """

    ahead_ms = 0.0

    def now_ms(self) -> float:
        """Return the time."""
        return super().now_ms() + self.ahead_ms


class Pooled(NamedTuple):
    """A pool and a host that requests are sent to."""

    pool: ConnectionPool
    clock: LateClock
    host: ScriptedHost
    listed: UpstreamHost

    async def exchange_at_once(self, count: int) -> None:
        """Send requests at the same time, and read the answers."""
        acquire = self.pool.acquire
        connections = await asyncio.gather(
            *(acquire(self.listed, str(number)) for number in range(count))
        )
        for connection in connections:
            await connection.send(b'GET', b'/', [(b'host', b'h')], b'')
            await connection.read_head('')
            await connection.skip_body(1000)
        for connection in connections:
            self.pool.release(self.listed, connection)


@contextlib.asynccontextmanager
async def pooled(limit: int) -> AsyncIterator[Pooled]:
    """Start a host and a pool that keeps `limit` idle connections to it."""
    host = ScriptedHost('h', answers_hello)
    clock = LateClock()
    pool = ConnectionPool(clock, lambda listed: limit)
    yield Pooled(pool, clock, host, await host.start())
    pool.close()
    host.stop()


class IdleConnectionsTest(testtools.TestCase):
    """Guards against idle connections without a bound, and needless new ones."""

    @on_loop
    async def test_oldest_are_closed_beyond_the_limit(self) -> None:
        async with pooled(2) as one:
            await one.exchange_at_once(SLOTS)
            kept = one.pool.idle['h']
            self.assertEqual(2, len(kept))
            self.assertTrue(all(connection.reusable for connection in kept))
            await one.exchange_at_once(2)
            self.assertEqual(SLOTS, one.host.connections)

    @on_loop
    async def test_steady_use_opens_no_connection(self) -> None:
        async with pooled(SLOTS) as one:
            for _ in range(20):
                await one.exchange_at_once(SLOTS)
            self.assertEqual(SLOTS, one.host.connections)

    @on_loop
    async def test_stale_connections_are_closed_without_use(self) -> None:
        async with pooled(SLOTS) as one:
            await one.exchange_at_once(SLOTS)
            one.clock.ahead_ms = DEFAULT_KEEP_ALIVE_MS
            one.pool.discard_all_unusable()
            self.assertEqual({}, one.pool.idle)
