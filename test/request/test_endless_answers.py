"""Answers of upstream hosts that never end, which must be cut off in time."""

import asyncio
import functools
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, NamedTuple

import testtools

from pollenwalk.connection.upstream_connection import UpstreamConnection
from pollenwalk.errors import BrokenAnswer, Refusal
from pollenwalk.request.call_sender import ForwardingContext
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.streaming import StandaloneTurn, run_stream
from pollenwalk.request.unary import run_unary
from pollenwalk.version.routes import Route
from standin.platform.host import (
    SIGNED,
    Line,
    Received,
    answer,
    chunk,
    event,
    stream_head,
)
from test.helper import on_loop
from test.request.test_forwarding import (
    RESUMABLE,
    ROUTE,
    STREAM,
    UNSAFE,
    Hosts,
    RecordedReply,
    answers_hello,
    make_call,
    refuses_unrun,
    streams_to_end,
)

# Time within which the caller gets an answer; its deadline is after 2 s.
ANSWER_LIMIT_S = 1.0
# Time within which a host sees that its connection was closed.
CLOSE_LIMIT_S = 0.5
# Longest pause in which no other call is served, and the time that a step may take
# on a slow machine; together they limit the steps in one pause.
LONG_PAUSE_US = 100_000
SLOW_STEP_US = 100
STEPS_LIMIT = LONG_PAUSE_US // SLOW_STEP_US
# Size of each write of a host.
WRITE_BYTES = 65_536
# Bytes that a host can send before it is cut off, including those that are still
# in the buffers of the kernel.
SENT_LIMIT_BYTES = 32_000_000
# Limit on the memory that the gateway and the hosts allocate for a call.
MEMORY_LIMIT_BYTES = 40_000_000
# Calls that meet a faulty host at the same time, and the pause between those to a sound
# one.
CALLS = 60
SOUND_PAUSE_S = 0.02
SMALLEST_GATEWAY_BYTES = 128_000_000
OTHER_REQUEST = Received('GET', '/', {'x-pollenwalk-request-id': 'another'}, b'')
INFORMATION = b'HTTP/1.1 102 Processing\r\n\r\n'
NOT_EXECUTED = b'X-Pollenwalk-Not-Executed: 1\r\n'

ANSWERED = 'answered'
CUT = 'cut'
IN_TIME = 'closed in time'
Opening = Callable[[Received], bytes]


class EndlessScript:
    """Sends an opening, then the same bytes again until the caller closes.

    Attributes:
        sent_bytes: number of bytes sent after the opening.
        closed: set when the caller has closed the connection.
    """

    def __init__(self, opening: Opening, unit: bytes) -> None:
        """Send `opening` of the request, then `unit` without end."""
        self.opening = opening
        self.block = unit * max(WRITE_BYTES // len(unit), 1)
        self.sent_bytes = 0
        self.closed = asyncio.Event()

    async def __call__(self, line: Line, request: Received) -> None:
        """Answer one request."""
        line.say(self.opening(request))
        try:
            while not line.writer.is_closing():
                line.say(self.block)
                self.sent_bytes += len(self.block)
                await line.writer.drain()
                await asyncio.sleep(0)
        finally:
            self.closed.set()


class Case(NamedTuple):
    """An answer without end and its expected effect.

    Attributes:
        name: name of the case.
        route: route of the call.
        opening: what the host sends first.
        unit: what it sends again and again after that.
        result: the outcome of the refusal, ANSWERED or CUT.
    """

    name: str
    route: Route
    opening: Opening
    unit: bytes
    result: str = 'unknown'


def status_line(_: Received) -> bytes:
    """Return the beginning of a head."""
    return b'HTTP/1.1 200 OK\r\n'


def header_name(_: Received) -> bytes:
    """Return the beginning of a head up to the value of a header."""
    return b'HTTP/1.1 200 OK\r\nX-Long: '


def nothing(_: Received) -> bytes:
    """Return no bytes."""
    return b''


def head_of(
    request: Received, framing: bytes, more: bytes = SIGNED, status: bytes = b'200 OK'
) -> bytes:
    """Return a head with the given framing of its body."""
    lines = (
        b'HTTP/1.1 ' + status,
        b'X-Pollenwalk-Request-Id: ' + request.id.encode(),
        more + framing,
    )
    return b'\r\n'.join(lines) + b'\r\n\r\n'


CHUNKED = b'Transfer-Encoding: chunked'
LONG = b'Content-Length: 1000000000000'
CLOSING = b'Connection: close'
BODY_CHUNK = chunk(b'x' * 1000)

HEADS = (
    Case('header bytes', UNSAFE, header_name, b'x'),
    Case('header lines', UNSAFE, status_line, b'X-A: b\r\n'),
    Case('informational answers', UNSAFE, nothing, INFORMATION),
    Case('informational answers to a stream', STREAM, nothing, INFORMATION),
    Case(
        'answers to other requests', UNSAFE, nothing, answer(OTHER_REQUEST, b'x' * 1000)
    ),
)
BODIES = (
    Case(
        'chunks for another request',
        UNSAFE,
        lambda _: stream_head(OTHER_REQUEST),
        BODY_CHUNK,
    ),
    Case(
        'long body for another request',
        UNSAFE,
        lambda _: head_of(OTHER_REQUEST, LONG),
        b'x',
    ),
    Case('chunks', UNSAFE, stream_head, BODY_CHUNK),
    Case('long body', UNSAFE, lambda request: head_of(request, LONG), b'x'),
    Case(
        'body up to the close', UNSAFE, lambda request: head_of(request, CLOSING), b'x'
    ),
    Case('chunk size', UNSAFE, stream_head, b'0'),
    Case(
        'chunk extension',
        UNSAFE,
        lambda request: stream_head(request) + b'5;a=',
        b'x',
    ),
    Case(
        'trailers',
        UNSAFE,
        lambda request: stream_head(request) + b'0\r\n',
        b'X-A: b\r\n',
    ),
    Case('bytes after the answer', UNSAFE, answer, b'x', ANSWERED),
)
REFUSALS = (
    Case(
        'chunks of a refusal',
        UNSAFE,
        lambda request: head_of(
            request, CHUNKED, NOT_EXECUTED, b'503 Service Unavailable'
        ),
        BODY_CHUNK,
        'not_run',
    ),
    Case(
        'long body of a refusal',
        UNSAFE,
        lambda request: head_of(
            request, LONG, NOT_EXECUTED, b'503 Service Unavailable'
        ),
        b'x',
        'not_run',
    ),
)
STREAMS = (
    Case(
        'failure on a streaming route',
        STREAM,
        lambda request: head_of(request, CHUNKED, SIGNED, b'500 Internal Server Error'),
        BODY_CHUNK,
    ),
    Case('first event', STREAM, stream_head, BODY_CHUNK),
    Case('first event in small chunks', STREAM, stream_head, chunk(b'x' * 100)),
    Case(
        'second event',
        STREAM,
        lambda request: stream_head(request) + chunk(event(1)),
        BODY_CHUNK,
        CUT,
    ),
)


class CountedReply(RecordedReply):
    """Counts the bytes that the caller receives instead of recording them.

    Attributes:
        received_bytes: number of bytes of the body.
    """

    def __init__(self) -> None:
        """Start without an answer."""
        super().__init__()
        self.received_bytes = 0

    async def write(self, chunk: bytes) -> None:
        """Count some bytes of the body."""
        self.received_bytes += len(chunk)


async def forward(hosts: Hosts, call: Call, reply: RecordedReply) -> str:
    """Forward a call; return its result."""
    context = await hosts.start()
    try:
        async with asyncio.timeout(ANSWER_LIMIT_S):
            if call.route.is_streaming:
                turn = StandaloneTurn(call.request.body)
                await run_stream(context, call, turn, reply)
            else:
                await run_unary(context, call, reply)
    except Refusal as refusal:
        return str(refusal.outcome)
    except BrokenAnswer:
        return CUT if reply.started else 'neither answer nor refusal'
    except TimeoutError:
        return 'nothing in time'
    finally:
        for host in hosts.hosts:
            host.stop()
    return ANSWERED


async def describe_close(script: EndlessScript) -> str:
    """Return whether the host saw the close, and before it had sent too much."""
    try:
        async with asyncio.timeout(CLOSE_LIMIT_S):
            await script.closed.wait()
    except TimeoutError:
        return 'not closed'
    if script.sent_bytes > SENT_LIMIT_BYTES:
        return f'closed after {script.sent_bytes} bytes'
    return IN_TIME


async def play(case: Case) -> tuple[str, str]:
    """Play a case; return the call's result and how the connection ended."""
    script = EndlessScript(case.opening, case.unit)
    reply = RecordedReply()
    result = await forward(Hosts(script), make_call(case.route), reply)
    return result, await describe_close(script)


class EndlessAnswersTest(testtools.TestCase):
    """Tests of the only host answering without end."""

    def check(self, cases: tuple[Case, ...]) -> None:
        """Play cases and compare all results at once."""
        expected = {case.name: (case.result, IN_TIME) for case in cases}
        played = {case.name: asyncio.run(play(case)) for case in cases}
        self.assertEqual(expected, played)

    def test_endless_heads(self) -> None:
        self.check(HEADS)

    def test_endless_bodies(self) -> None:
        self.check(BODIES)

    def test_endless_refusals(self) -> None:
        self.check(REFUSALS)

    def test_endless_failures_and_events(self) -> None:
        self.check(STREAMS)

    def test_memory_is_bounded(self) -> None:
        peaks = {}
        for case in (*BODIES, *STREAMS):
            tracemalloc.start()
            asyncio.run(play(case))
            peaks[case.name] = tracemalloc.get_traced_memory()[1]
            tracemalloc.stop()
        above = {
            name: peak for name, peak in peaks.items() if peak > MEMORY_LIMIT_BYTES
        }
        self.assertEqual({}, above)


TINY_CHUNKS = (
    Case('tiny chunks', UNSAFE, stream_head, chunk(b'x')),
    Case('tiny chunks of an event', STREAM, stream_head, chunk(b'x')),
    Case('tiny events', STREAM, stream_head, chunk(b'\n\n')),
    Case('many events in a chunk', STREAM, stream_head, chunk(b'\n\n' * 20_000)),
)


class LoopSteps:
    """Counts the steps that a gateway takes before another task can run.

    Attributes:
        steps: parsed HTTP events and forwarded stream events since then.
        longest: the largest number of steps so far.
    """

    def __init__(self) -> None:
        """Start without steps."""
        self.steps = 0
        self.longest = 0

    def count(self, method: Callable[..., Any]) -> Callable[..., Any]:
        """Return a method that counts its calls as steps."""

        @functools.wraps(method)
        def counting(*parts: Any) -> Any:
            self.steps += 1
            return method(*parts)

        return counting

    async def watch(self) -> None:
        """Be the other task: note the steps whenever it runs."""
        while True:
            await asyncio.sleep(0)
            self.longest = max(self.longest, self.steps)
            self.steps = 0


class FairnessTest(testtools.TestCase):
    """Tests of whether a host can keep a gateway from serving other calls."""

    async def longest_steps(self, case: Case) -> int:
        """Play a case; return the most steps in which no other task could run."""
        steps = LoopSteps()
        self.patch(UpstreamConnection, 'parse', steps.count(UpstreamConnection.parse))
        self.patch(RecordedReply, 'write', steps.count(RecordedReply.write))
        watching = asyncio.ensure_future(steps.watch())
        await play(case)
        watching.cancel()
        return steps.longest

    def test_tiny_chunks_do_not_delay_other_calls(self) -> None:
        steps = {
            case.name: asyncio.run(self.longest_steps(case)) for case in TINY_CHUNKS
        }
        longer = {name: count for name, count in steps.items() if count > STEPS_LIMIT}
        self.assertEqual({}, longer)


class OtherHostTest(testtools.TestCase):
    """Tests of one host answering without end while another one answers well."""

    async def play(self, case: Case, other: Any) -> tuple[str, str, list[int]]:
        """Return the call's result, the body received, and the hosts' requests."""
        hosts = Hosts(EndlessScript(case.opening, case.unit), other)
        reply = RecordedReply()
        result = await forward(hosts, make_call(case.route), reply)
        return result, reply.body.decode(), hosts.request_counts()

    @on_loop
    async def test_refused_call_runs_at_another_host(self) -> None:
        for case in REFUSALS:
            self.assertEqual(
                (ANSWERED, 'hello', [1, 1]),
                await self.play(case, answers_hello),
                case.name,
            )

    @on_loop
    async def test_refusal_whose_body_stalls_is_not_awaited(self) -> None:
        async def stalls(line: Line, request: Received) -> None:
            line.say(head_of(request, LONG, NOT_EXECUTED, b'503 Service Unavailable'))
            await line.gone()

        hosts = Hosts(stalls, answers_hello)
        result = await forward(hosts, make_call(UNSAFE), RecordedReply())
        self.assertEqual((ANSWERED, [1, 1]), (result, hosts.request_counts()))

    @on_loop
    async def test_safe_call_runs_again_after_the_bounds(self) -> None:
        names = ('informational answers', 'chunks for another request', 'chunks')
        for case in (*HEADS, *BODIES):
            if case.name in names:
                again = case._replace(route=ROUTE)
                self.assertEqual(
                    (ANSWERED, 'hello', [1, 1]),
                    await self.play(again, answers_hello),
                    case.name,
                )

    @on_loop
    async def test_stream_is_resumed_after_an_endless_event(self) -> None:
        case = STREAMS[-1]._replace(route=RESUMABLE)
        self.assertEqual(
            (ANSWERED, b''.join(map(event, range(1, 5))).decode(), [1, 1]),
            await self.play(case, streams_to_end),
        )


class BoundsTest(testtools.TestCase):
    """Tests of what the bounds must not affect."""

    @on_loop
    async def test_short_refusal_keeps_the_connection(self) -> None:
        hosts = Hosts(refuses_unrun)
        context = await hosts.start()
        for attempt in ('r1', 'r2', 'r3'):
            call = make_call(UNSAFE)
            metadata = call.request.metadata._replace(id=attempt)
            headers = [(b'host', b'h'), (b'x-pollenwalk-request-id', attempt.encode())]
            request = call.request._replace(metadata=metadata, headers=headers)
            call = call._replace(request=request)
            with testtools.ExpectedException(Refusal):
                await run_unary(context, call, RecordedReply())
        hosts.hosts[0].stop()
        self.assertEqual(3, len(hosts.hosts[0].received))
        self.assertEqual(1, hosts.hosts[0].connections)

    @on_loop
    async def test_large_body_is_forwarded(self) -> None:
        body = b'x' * 4_000_000

        async def answers_large(line: Line, request: Received) -> None:
            line.say(answer(request, body))

        reply = RecordedReply()
        result = await forward(Hosts(answers_large), make_call(UNSAFE), reply)
        self.assertEqual((ANSWERED, body), (result, reply.body))

    @on_loop
    async def test_many_events_in_one_chunk_are_split_in_time(self) -> None:
        events = b'\n\n' * 131_072

        async def streams_empty_events(line: Line, request: Received) -> None:
            line.say(stream_head(request) + chunk(events) + chunk(b''))

        reply = CountedReply()
        start_s = time.monotonic()
        result = await forward(Hosts(streams_empty_events), make_call(STREAM), reply)
        self.assertEqual(ANSWERED, result)
        self.assertEqual(len(events), reply.received_bytes)
        self.assertTrue(time.monotonic() - start_s < ANSWER_LIMIT_S)

    @on_loop
    async def test_long_stream_of_events_is_forwarded(self) -> None:
        events = chunk(b''.join(event(number, 'x' * 10_000) for number in range(10)))

        async def streams_long(line: Line, request: Received) -> None:
            line.say(stream_head(request))
            for _ in range(120):
                line.say(events)
                await line.writer.drain()
            line.say(chunk(b''))

        reply = CountedReply()
        result = await forward(Hosts(streams_long), make_call(STREAM), reply)
        self.assertEqual(ANSWERED, result)
        self.assertTrue(reply.received_bytes > 12_000_000)


class ManyEndlessAnswersTest(testtools.TestCase):
    """Calls that meet a faulty host all at once, and calls to a sound one."""

    async def run_all(self, route: Route, unit: bytes, opening: Opening) -> list[int]:
        """Run many calls to a faulty host and some to a sound one.

        Returns:
            The statuses of the sound host's answers.
        """
        faulty = Hosts(EndlessScript(opening, unit))
        sound = Hosts(answers_hello)
        context = await faulty.start()
        sound_context = (await sound.start())._replace(pool=context.pool)
        calls = [
            asyncio.ensure_future(self.run_one(context, route)) for _ in range(CALLS)
        ]
        statuses = []
        while not all(one.done() for one in calls):
            reply = RecordedReply()
            await run_unary(sound_context, make_call(UNSAFE), reply)
            statuses.append(reply.status)
            await asyncio.sleep(SOUND_PAUSE_S)
        self.assertEqual(0, context.pool.answer_memory.held_bytes)
        for host in (*faulty.hosts, *sound.hosts):
            host.stop()
        return statuses

    async def run_one(self, context: ForwardingContext, route: Route) -> None:
        """Run one call, which must fail."""
        call = make_call(route)
        reply = RecordedReply()
        try:
            if route.is_streaming:
                await run_stream(context, call, StandaloneTurn(b''), reply)
            else:
                await run_unary(context, call, reply)
        except (Refusal, BrokenAnswer):
            return
        self.fail('an answer without end was complete')

    async def assert_bounded(self, route: Route, unit: bytes, opening: Opening) -> None:
        """Check the memory at its peak, and that the sound host's calls are served."""
        tracemalloc.start()
        try:
            statuses = await self.run_all(route, unit, opening)
            _, peak_bytes = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        self.assertEqual({200}, set(statuses))
        self.assertTrue(peak_bytes < SMALLEST_GATEWAY_BYTES, peak_bytes)

    @on_loop
    async def test_bodies_together_are_bounded(self) -> None:
        # Guards against a gateway that runs out of memory though each answer is
        # bounded, as many calls meet the faulty host.
        await self.assert_bounded(
            UNSAFE,
            chunk(b'x' * WRITE_BYTES),
            functools.partial(head_of, framing=CHUNKED),
        )

    @on_loop
    async def test_incomplete_events_are_bounded(self) -> None:
        await self.assert_bounded(STREAM, chunk(b'x' * WRITE_BYTES), stream_head)
