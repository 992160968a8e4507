"""What a gateway buffers for hosts that don't read, and callers that don't."""

import asyncio

import testtools

from pollenwalk.connection.answer_memory import (
    READ_BYTES,
    SHORT_READ_BYTES,
    SHORT_WAITING_BYTES,
)
from pollenwalk.connection.connection_pool import ConnectionPool
from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.connection.upstream_connection import UpstreamConnection
from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.clock import LoopClock
from pollenwalk.request.call_sender import ForwardingContext
from pollenwalk.request.streaming import StandaloneTurn, run_stream
from pollenwalk.request.unary import run_unary
from standin.platform.host import (
    Line,
    Received,
    ScriptedHost,
    chunk,
    event,
    stream_head,
)
from test.helper import on_loop
from test.request.test_forwarding import (
    STREAM,
    UNSAFE,
    Hosts,
    RecordedReply,
    answers_hello,
    make_call,
)

STREAMS = 60
EVENTS = 4000
LONG_EVENT = 'x' * 80
# Leaves 0.84 MB for responses, and 0.16 MB for bodies.
SMALL_MEMORY_MB = 50
BODY_BYTES = 8_000_000
CALLS = 8
SETTLE_S = 0.5


class TrackedPool(ConnectionPool):
    """A pool that knows all connections that it has opened."""

    def __init__(self) -> None:
        """Create the pool of a machine with little memory."""
        super().__init__(LoopClock(), memory_mb=SMALL_MEMORY_MB)
        self.opened: list[UpstreamConnection] = []

    async def open_new(self, host: UpstreamHost) -> UpstreamConnection:
        """Open a connection."""
        connection = await super().open_new(host)
        self.opened.append(connection)
        return connection

    @property
    def waiting_bytes(self) -> int:
        """Return what was received and not parsed."""
        return sum(len(one.received) for one in self.opened)

    @property
    def unsent_bytes(self) -> int:
        """Return what hosts have not taken."""
        return sum(one.transport.get_write_buffer_size() for one in self.opened)


class StalledReply(RecordedReply):
    """A caller that takes nothing until it is told to."""

    def __init__(self, reads: asyncio.Event) -> None:
        """Take nothing until `reads` is set."""
        super().__init__()
        self.reads = reads

    async def write(self, part: bytes) -> None:
        """Wait until the caller takes a part."""
        await self.reads.wait()
        await super().write(part)


class LateHost(ScriptedHost):
    """A host that reads nothing of a connection until it is told to.

    Attributes:
        reads: set when it reads.
    """

    def __init__(self) -> None:
        """Create a host that does not read yet."""
        super().__init__('i-0', answers_hello)
        self.reads = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, later."""
        await self.reads.wait()
        await super().serve(reader, writer)


class SlowCallersTest(testtools.TestCase):
    """Guards against callers whose streams fill the memory as they read nothing."""

    async def stream(self, context: ForwardingContext, reads: asyncio.Event) -> bytes:
        """Return the body of a stream for a caller that reads late."""
        reply = StalledReply(reads)
        await run_stream(context, make_call(STREAM), StandaloneTurn(b''), reply)
        return reply.body

    @on_loop
    async def test_waiting_streams_are_bounded_and_go_on(self) -> None:
        events = [event(number, LONG_EVENT) for number in range(EVENTS)]
        body = b''.join(map(chunk, events)) + chunk(b'')

        async def streams_long(line: Line, request: Received) -> None:
            line.say(stream_head(request) + body)

        hosts = Hosts(streams_long)
        pool = TrackedPool()
        context = (await hosts.start())._replace(pool=pool)
        reads = asyncio.Event()
        calls = [
            asyncio.ensure_future(self.stream(context, reads)) for _ in range(STREAMS)
        ]
        await asyncio.sleep(SETTLE_S)
        bound_bytes = pool.answer_memory.limit_bytes + READ_BYTES
        bound_bytes += STREAMS * (SHORT_READ_BYTES + SHORT_WAITING_BYTES)
        self.assertTrue(pool.waiting_bytes <= bound_bytes, pool.waiting_bytes)
        reads.set()
        self.assertEqual({b''.join(events)}, set(await asyncio.gather(*calls)))
        self.assertEqual(0, pool.answer_memory.waiting_bytes)
        hosts.hosts[0].stop()


class LateHostTest(testtools.TestCase):
    """Guards against hosts that read nothing, for which bodies fill the memory."""

    async def call(self, context: ForwardingContext, size: int) -> RefusalCode | int:
        """Return the status, or the code of the refusal, of a call with a body."""
        call = make_call(UNSAFE)
        call = call._replace(request=call.request._replace(body=b'x' * size))
        reply = RecordedReply()
        try:
            await run_unary(context, call, reply)
        except Refusal as refusal:
            return refusal.code
        return reply.status

    @on_loop
    async def test_bodies_are_bounded(self) -> None:
        host = LateHost()
        hosts = Hosts(answers_hello)
        hosts.hosts = [host]
        pool = TrackedPool()
        context = (await hosts.start())._replace(pool=pool)
        sizes = [BODY_BYTES] * CALLS + [1]
        calls = [asyncio.ensure_future(self.call(context, size)) for size in sizes]
        await asyncio.sleep(SETTLE_S)
        self.assertTrue(pool.unsent_bytes <= BODY_BYTES, pool.unsent_bytes)
        host.reads.set()
        refused = [RefusalCode.OVERLOADED] * (CALLS - 1)
        self.assertEqual([200, *refused, 200], await asyncio.gather(*calls))
        self.assertEqual(0, pool.bodies.unsent_bytes)
        self.assertEqual(200, await self.call(context, BODY_BYTES))
        host.stop()
