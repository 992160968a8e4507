"""What a gateway buffers for hosts that don't read, and callers that don't."""

import asyncio
from collections.abc import Callable

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
from pollenwalk.version.routes import Route
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
# Above the size up to which bodies are not counted.
LARGE_BYTES = 500_000
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


class SilentScript:
    """Answers large requests once it is told to, and others at once.

    Attributes:
        answers: set when it answers.
        held_bytes: the bodies of the requests that it has not answered.
        most_bytes: the most of them at the same time.
    """

    def __init__(self) -> None:
        """Hold no request."""
        self.answers = asyncio.Event()
        self.held_bytes = 0
        self.most_bytes = 0

    async def __call__(self, line: Line, request: Received) -> None:
        """Answer one request."""
        self.held_bytes += len(request.body)
        self.most_bytes = max(self.most_bytes, self.held_bytes)
        if len(request.body) > 1:
            await self.answers.wait()
        self.held_bytes -= len(request.body)
        await answers_hello(line, request)


class HeldBodiesTest(testtools.TestCase):
    """Guards against a host that is sent more large bodies than it can hold."""

    async def start(
        self, hosts: Hosts, limit_bytes: Callable[[], float]
    ) -> ForwardingContext:
        """Start hosts whose unanswered bodies are bounded."""
        pool = ConnectionPool(LoopClock(), host_body_bytes=limit_bytes)
        return (await hosts.start())._replace(pool=pool)

    @on_loop
    async def test_others_go_elsewhere_or_wait(self) -> None:
        scripts = SilentScript(), SilentScript()
        hosts = Hosts(*scripts)
        context = await self.start(hosts, lambda: LARGE_BYTES * 2)
        route = UNSAFE._replace(target_ms=8000)
        sizes = [LARGE_BYTES] * 6
        calls = [asyncio.ensure_future(call(context, route, one)) for one in sizes]
        await asyncio.sleep(SETTLE_S)
        self.assertEqual([2, 2], hosts.request_counts())
        async with asyncio.timeout(SETTLE_S):
            self.assertEqual(200, await call(context, route, 1))
        for script in scripts:
            script.answers.set()
        self.assertEqual([200] * len(sizes), await asyncio.gather(*calls))
        for script in scripts:
            self.assertTrue(script.most_bytes <= LARGE_BYTES * 2 + 1)
        self.assertEqual({}, context.pool.bodies.unanswered_bytes)

    @on_loop
    async def test_call_without_room_is_refused_unrun(self) -> None:
        script = SilentScript()
        hosts = Hosts(script)
        context = await self.start(hosts, lambda: LARGE_BYTES)
        first = asyncio.ensure_future(call(context, UNSAFE, LARGE_BYTES))
        await asyncio.sleep(0)
        async with asyncio.timeout(SETTLE_S):
            code = await call(context, UNSAFE, LARGE_BYTES)
        self.assertEqual(RefusalCode.OVERLOADED, code)
        script.answers.set()
        self.assertEqual(200, await first)
        self.assertEqual([1], hosts.request_counts())

    @on_loop
    async def test_broken_and_cancelled_requests_make_room(self) -> None:
        hosts = Hosts(resets_at_once)
        context = await self.start(hosts, lambda: LARGE_BYTES)
        code = await call(context, UNSAFE, LARGE_BYTES)
        self.assertEqual(RefusalCode.UPSTREAM_FAILED, code)
        hosts.hosts[0].script = SilentScript()
        left = asyncio.ensure_future(call(context, UNSAFE, LARGE_BYTES))
        await asyncio.sleep(SETTLE_S)
        left.cancel()
        await asyncio.wait((left,))
        hosts.hosts[0].stop()
        await call(context, UNSAFE, LARGE_BYTES)
        self.assertEqual({}, context.pool.bodies.unanswered_bytes)


async def resets_at_once(line: Line, request: Received) -> None:
    """Reset the connection."""
    line.reset()


async def call(
    context: ForwardingContext, route: Route, size: int
) -> RefusalCode | int:
    """Return the status, or the code of the refusal, of a call with a body."""
    made = make_call(route)
    made = made._replace(request=made.request._replace(body=b'x' * size))
    reply = RecordedReply()
    try:
        await run_unary(context, made, reply)
    except Refusal as refusal:
        return refusal.code
    return reply.status


class LateHostTest(testtools.TestCase):
    """Guards against hosts that read nothing, for which bodies fill the memory."""

    @on_loop
    async def test_bodies_are_bounded(self) -> None:
        host = LateHost()
        hosts = Hosts(answers_hello)
        hosts.hosts = [host]
        pool = TrackedPool()
        context = (await hosts.start())._replace(pool=pool)
        sizes = [BODY_BYTES] * CALLS + [1]
        calls = [asyncio.ensure_future(call(context, UNSAFE, size)) for size in sizes]
        await asyncio.sleep(SETTLE_S)
        self.assertTrue(pool.unsent_bytes <= BODY_BYTES, pool.unsent_bytes)
        host.reads.set()
        refused = [RefusalCode.OVERLOADED] * (CALLS - 1)
        self.assertEqual([200, *refused, 200], await asyncio.gather(*calls))
        self.assertEqual(0, pool.bodies.unsent_bytes)
        self.assertEqual(200, await call(context, UNSAFE, BODY_BYTES))
        host.stop()
