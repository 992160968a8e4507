"""Forwarding of calls to upstream hosts that refuse, break off or hang."""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from typing import Any

import testtools

from pollenwalk.connection.connection_pool import ConnectionPool
from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.connection.tcp_network import TcpNetwork
from pollenwalk.errors import BrokenAnswer, Outcome, Refusal, RefusalCode
from pollenwalk.policy.host_choice import EarliestFinish
from pollenwalk.process.call_placer import CallPlacer
from pollenwalk.process.clock import Clock, LoopClock
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.host_table import HostTable
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.keeper_links import KeeperLinks
from pollenwalk.process.permit_client import PermitClient
from pollenwalk.process.stream_registry import StreamRegistry
from pollenwalk.process.tasks import TaskSet
from pollenwalk.request.call_sender import ForwardingContext
from pollenwalk.request.event_stream import Event
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.http_messages import Headers, Request, RequestMetadata
from pollenwalk.request.streaming import StandaloneTurn, run_stream
from pollenwalk.request.unary import run_unary
from pollenwalk.version.routes import CallKind, Route, Share
from standin.platform.host import (
    Line,
    Received,
    ScriptedHost,
    answer,
    chunk,
    event,
    not_run,
    stream_head,
)
from standin.store import MemoryStore
from test.helper import on_loop

ROUTE = Route(
    'r',
    'h',
    '/p/',
    CallKind.SAFE,
    2000,
    100,
    150,
    0,
    (Share('up', 1),),
    2,
    False,
    False,
    60_000,
)
UNSAFE = ROUTE._replace(kind=CallKind.UNSAFE, max_attempts=1)
STREAM = ROUTE._replace(kind=CallKind.STREAM)
RESUMABLE = STREAM._replace(resumable=True)
BREAK_DELAY_S = 0.05

Script = Callable[[Line, Received], Awaitable[None]]


async def answers_hello(line: Line, request: Received) -> None:
    """Send a complete answer with the body `hello`."""
    line.say(answer(request))


async def refuses_unrun(line: Line, request: Received) -> None:
    """State that the request was not run."""
    line.say(not_run(request))


async def answers_misdirected(line: Line, request: Received) -> None:
    """Answer that the request was meant for another host, which it did not run."""
    line.say(answer(request, b'', '421 Misdirected Request', b''))


async def resets_connection(line: Line, request: Received) -> None:
    """Run the request and reset the connection before the answer."""
    line.reset()


async def answers_with_error(line: Line, request: Received) -> None:
    """Run the request and answer with status 500."""
    line.say(answer(request, b'no', '500 Internal Server Error'))


async def answers_unsigned(line: Line, request: Received) -> None:
    """Answer without the signature of a host, as a foreign server would."""
    line.say(answer(request, more=b''))


async def answers_encoded(line: Line, request: Received) -> None:
    """Answer with a content encoding, which was not asked for."""
    signed = b'X-Pollenwalk-Server-Signature: s1\r\nContent-Encoding: gzip\r\n'
    line.say(answer(request, more=signed))


async def streams_to_end(line: Line, request: Received) -> None:
    """Stream the events after the last one that the caller has, up to the end."""
    first = int(request.headers.get('last-event-id', '0')) + 1
    events = [chunk(event(number)) for number in range(first, 5)]
    line.say(stream_head(request) + b''.join(events) + chunk(b''))


async def breaks_in_third_event(line: Line, request: Received) -> None:
    """Stream two events and break off inside the third one."""
    line.say(stream_head(request) + chunk(event(1)) + chunk(event(2) + b'id: 3\nda'))
    await line.writer.drain()
    await asyncio.sleep(BREAK_DELAY_S)
    line.reset()


def breaks_after(events: bytes) -> Script:
    """Return a script that streams some events and breaks off."""

    async def script(line: Line, request: Received) -> None:
        line.say(stream_head(request) + chunk(events))
        await line.writer.drain()
        await asyncio.sleep(BREAK_DELAY_S)
        line.reset()

    return script


async def breaks_before_first_event(line: Line, request: Received) -> None:
    """Send the head of a stream and break off before the first event."""
    line.say(stream_head(request))
    await line.writer.drain()
    await asyncio.sleep(BREAK_DELAY_S)
    line.reset()


def in_turn(*scripts: Script) -> Script:
    """Return a script that follows one of `scripts` after the other."""
    remaining = list(scripts)

    async def follow_next(line: Line, request: Received) -> None:
        await remaining.pop(0)(line, request)

    return follow_next


class RecordedReply:
    """Implements `Reply`; records what the caller receives."""

    def __init__(self) -> None:
        """Start without an answer."""
        self.started = False
        self.status = 0
        self.body = b''
        self.finished = False

    async def send_complete(self, status: int, headers: Headers, body: bytes) -> None:
        """Record a complete answer."""
        await self.start(status, headers)
        await self.write(body)
        await self.finish()

    async def start(self, status: int, headers: Headers) -> None:
        """Record the status."""
        self.started = True
        self.status = status

    async def write(self, chunk: bytes) -> None:
        """Record some bytes of the body."""
        self.body += chunk

    async def finish(self) -> None:
        """Record the end."""
        self.finished = True


class Hosts:
    """Scripted hosts, which calls are sent to in the order of the scripts."""

    def __init__(self, *scripts: Script) -> None:
        """Prepare a host for each script."""
        names = (f'i-{number}' for number in range(len(scripts)))
        pairs = zip(names, scripts, strict=True)
        self.hosts = [ScriptedHost(name, script) for name, script in pairs]

    async def start(self) -> ForwardingContext:
        """Start all hosts; the load that they seem to have rises in their order."""
        clock = LoopClock()
        host_table = HostTable(clock)
        for number, host in enumerate(self.hosts):
            listed: UpstreamHost = await host.start()
            host_table.register(listed, 1)
            state = host_table.states[listed.id]
            state.record_load((number * 4, 0, 4), clock.now_ms())
        choice = EarliestFinish(random.Random(1))
        call_placer = CallPlacer(clock, host_table, choice, 'here', {'here': 'east'})
        group = make_group(clock)
        metrics = GatewayMetrics()
        return ForwardingContext(
            clock,
            ConnectionPool(clock),
            call_placer,
            metrics,
            random.Random(1),
            StreamRegistry(group),
            PermitClient(group, host_table, metrics),
        )

    def request_counts(self) -> list[int]:
        """Return the number of requests that reached each host."""
        return [len(host.received) for host in self.hosts]


def make_group(clock: Clock) -> KeeperGroup:
    """Return the part of a gateway that uses keepers, of which there are none."""
    tasks = TaskSet()
    links = KeeperLinks(TcpNetwork(), clock, tasks, 'here', {'here': 'east'})
    return KeeperGroup(links, clock, tasks, 1, MemoryStore(clock))


def make_call(route: Route) -> Call:
    """Return a call on a route that begins now and may take 2 s."""
    now_ms = LoopClock().now_ms()
    headers = [(b'host', b'h'), (b'x-pollenwalk-request-id', b'r1')]
    request = Request(
        b'POST',
        b'/p/1',
        '/p/1',
        'h',
        headers,
        b'input',
        RequestMetadata('r1', 2000),
        now_ms,
    )
    return Call(request, route, 'up', 1, now_ms + 2000, 14)


async def run(hosts: Hosts, route: Route) -> tuple[RecordedReply, Any]:
    """Run one call; return what the caller received and the error, if any."""
    context = await hosts.start()
    reply = RecordedReply()
    call = make_call(route)
    error = None
    try:
        if route.is_streaming:
            turn = StandaloneTurn(call.request.body)
            await run_stream(context, call, turn, reply)
        else:
            await run_unary(context, call, reply)
    except (Refusal, BrokenAnswer) as caught:
        error = caught
    for host in hosts.hosts:
        host.stop()
    return reply, error


class RefusedTurn(StandaloneTurn):
    """A turn whose first event finds that the budget is exhausted."""

    async def before_event(self, event: Event) -> None:
        """Refuse every event."""
        raise Refusal(RefusalCode.BUDGET_EXHAUSTED, 'exhausted', Outcome.UNKNOWN)


class FirstTurn(StandaloneTurn):
    """The first turn of a program."""

    def __init__(self, body: bytes) -> None:
        """Mark the turn as the beginning of a program."""
        super().__init__(body)
        self.begins_program = True


class ProgramAdmissionTest(testtools.TestCase):
    """Programs that begin while the only host is busy or idle."""

    async def begin(self, turn: StandaloneTurn, waiting: int) -> tuple[Any, Any, Any]:
        """Run a turn while calls wait at the only host.

        Returns:
            The hosts, the run times that the gateway has learnt, and the error.
        """
        hosts = Hosts(streams_to_end)
        context = await hosts.start()
        state = next(context.call_placer.host_table.available_hosts('up'))
        now_ms = context.clock.now_ms()
        state.record_load(
            (state.registration.slots, waiting, state.registration.slots), now_ms
        )
        call = make_call(STREAM)
        error = None
        try:
            await run_stream(context, call, turn, RecordedReply())
        except Refusal as refusal:
            error = refusal
        hosts.hosts[0].stop()
        return hosts, context.call_placer.run_times, error

    @on_loop
    async def test_new_program_is_refused_at_busy_host(self) -> None:
        hosts, _, error = await self.begin(FirstTurn(b'input'), 20)
        self.assertEqual([0], hosts.request_counts())
        self.assertEqual(RefusalCode.OVERLOADED, error.code)
        self.assertEqual(Outcome.NOT_RUN, error.outcome)
        self.assertTrue(450 <= error.retry_after_ms <= 650, error.retry_after_ms)

    @on_loop
    async def test_begun_program_is_not_refused(self) -> None:
        hosts, _, error = await self.begin(StandaloneTurn(b'input'), 20)
        self.assertEqual([1], hosts.request_counts())
        self.assertIsNone(error)

    @on_loop
    async def test_new_program_begins_at_idle_host(self) -> None:
        hosts, _, error = await self.begin(FirstTurn(b'input'), 0)
        self.assertEqual([1], hosts.request_counts())
        self.assertIsNone(error)

    @on_loop
    async def test_run_times_exclude_calls_that_waited(self) -> None:
        _, run_times, _ = await self.begin(StandaloneTurn(b'input'), 20)
        self.assertEqual({}, run_times)
        _, run_times, _ = await self.begin(StandaloneTurn(b'input'), -1)
        self.assertEqual(['r'], list(run_times))


class UnaryTest(testtools.TestCase):
    """Unary calls."""

    @on_loop
    async def test_call_proven_not_run_is_sent_again(self) -> None:
        for script in (refuses_unrun, answers_misdirected):
            for route in (ROUTE, UNSAFE):
                hosts = Hosts(script, answers_hello)
                reply, error = await run(hosts, route)
                self.assertIsNone(error)
                self.assertEqual(b'hello', reply.body)
                self.assertEqual([1, 1], hosts.request_counts())

    @on_loop
    async def test_unsafe_call_that_may_have_run_is_sent_once(self) -> None:
        for script in (resets_connection, answers_unsigned, answers_encoded):
            hosts = Hosts(script, answers_hello)
            reply, error = await run(hosts, UNSAFE)
            self.assertEqual(Outcome.UNKNOWN, error.outcome)
            self.assertFalse(reply.started)
            self.assertEqual([1, 0], hosts.request_counts())

    @on_loop
    async def test_safe_call_is_sent_again(self) -> None:
        for script in (resets_connection, answers_unsigned, answers_encoded):
            hosts = Hosts(script, answers_hello, answers_hello)
            reply, error = await run(hosts, ROUTE)
            self.assertIsNone(error)
            self.assertEqual([1, 1, 0], hosts.request_counts())

    @on_loop
    async def test_attempts_are_limited_by_the_route(self) -> None:
        hosts = Hosts(resets_connection, resets_connection, answers_hello)
        _, error = await run(hosts, ROUTE)
        self.assertEqual(RefusalCode.UPSTREAM_FAILED, error.code)
        self.assertEqual(Outcome.UNKNOWN, error.outcome)
        self.assertEqual([1, 1, 0], hosts.request_counts())

    @on_loop
    async def test_error_status_of_host_is_forwarded(self) -> None:
        hosts = Hosts(answers_with_error, answers_hello)
        reply, error = await run(hosts, UNSAFE)
        self.assertIsNone(error)
        self.assertEqual((500, b'no'), (reply.status, reply.body))

    @on_loop
    async def test_refusal_by_all_hosts(self) -> None:
        hosts = Hosts(refuses_unrun, refuses_unrun)
        _, error = await run(hosts, UNSAFE)
        self.assertEqual(RefusalCode.OVERLOADED, error.code)
        self.assertEqual(Outcome.NOT_RUN, error.outcome)
        self.assertTrue(error.retry_after_ms > 0)

    @on_loop
    async def test_upstream_without_hosts(self) -> None:
        _, error = await run(Hosts(), UNSAFE)
        self.assertEqual(RefusalCode.NO_UPSTREAM, error.code)
        self.assertEqual(Outcome.NOT_RUN, error.outcome)

    @on_loop
    async def test_unreachable_host_is_skipped(self) -> None:
        hosts = Hosts(answers_hello, answers_hello)
        context = await hosts.start()
        hosts.hosts[0].stop()
        reply = RecordedReply()
        await run_unary(context, make_call(UNSAFE), reply)
        self.assertEqual([0, 1], hosts.request_counts())
        hosts.hosts[1].stop()

    @on_loop
    async def test_refusing_host_has_read_nothing(self) -> None:
        """Later calls would be drawn to a host that has not cached their object."""
        hosts = Hosts(refuses_unrun, answers_with_error, answers_hello)
        context = await hosts.start()
        call = make_call(UNSAFE._replace(sticky=True))
        metadata = call.request.metadata._replace(affinity='object')
        call = call._replace(request=call.request._replace(metadata=metadata))
        states = list(context.call_placer.host_table.states.values())
        for avoided in ([], states[:2]):
            for state in avoided:
                state.record_failure(context.clock.now_ms())
            await run_unary(context, call, RecordedReply())
        for host in hosts.hosts:
            host.stop()
        cached = [len(state.cached_parts.tokens) for state in states]
        self.assertEqual([0, 0, 1], cached)

    @on_loop
    async def test_pace_is_the_word_of_the_host(self) -> None:
        """A foreign server at a host's former address must not slow the host."""
        load = b'X-Pollenwalk-Server-Load: 1,0,4,300\r\n'
        for more, expected in (
            (b'X-Pollenwalk-Server-Signature: s1\r\n', 3),
            (b'', None),
        ):

            async def says_pace(
                line: Line, request: Received, more: bytes = more
            ) -> None:
                line.say(answer(request, more=more + load))

            hosts = Hosts(says_pace)
            context = await hosts.start()
            with contextlib.suppress(Refusal):
                await run_unary(context, make_call(UNSAFE), RecordedReply())
            hosts.hosts[0].stop()
            pace = context.call_placer.host_table.states['i-0'].reported_pace
            self.assertEqual(expected, pace and pace.slowness)

    @on_loop
    async def test_headers_sent_to_the_host(self) -> None:
        hosts = Hosts(answers_hello)
        await run(hosts, ROUTE)
        headers = hosts.hosts[0].received[0].headers
        self.assertEqual('i-0', headers['x-pollenwalk-expect-instance'])
        self.assertTrue(int(headers['x-pollenwalk-deadline-ms']) <= 2000)
        self.assertEqual('r1', headers['x-pollenwalk-request-id'])


class StreamTest(testtools.TestCase):
    """Streaming calls."""

    @on_loop
    async def test_complete_stream_is_forwarded(self) -> None:
        reply, error = await run(Hosts(streams_to_end), STREAM)
        self.assertIsNone(error)
        self.assertEqual(b''.join(map(event, range(1, 5))), reply.body)
        self.assertTrue(reply.finished)

    @on_loop
    async def test_broken_stream_is_resumed_without_gap(self) -> None:
        hosts = Hosts(breaks_in_third_event, streams_to_end)
        reply, error = await run(hosts, RESUMABLE)
        self.assertIsNone(error)
        self.assertEqual(b''.join(map(event, range(1, 5))), reply.body)
        resumed = hosts.hosts[1].received[0]
        self.assertEqual('2', resumed.headers['last-event-id'])

    @on_loop
    async def test_stream_that_may_not_be_resumed_stays_cut(self) -> None:
        hosts = Hosts(breaks_in_third_event, streams_to_end)
        reply, error = await run(hosts, STREAM)
        self.assertIsInstance(error, BrokenAnswer)
        self.assertEqual(event(1) + event(2), reply.body)
        self.assertFalse(reply.finished)
        self.assertEqual([1, 0], hosts.request_counts())

    @on_loop
    async def test_stream_broken_before_the_first_event(self) -> None:
        hosts = Hosts(breaks_before_first_event, streams_to_end)
        reply, error = await run(hosts, RESUMABLE)
        self.assertIsNone(error)
        self.assertTrue(reply.finished)
        self.assertNotIn('last-event-id', hosts.hosts[1].received[0].headers)

    @on_loop
    async def test_turn_refused_at_first_event_shows_nothing(self) -> None:
        hosts = Hosts(streams_to_end)
        context = await hosts.start()
        reply = RecordedReply()
        call = make_call(STREAM)
        turn = RefusedTurn(call.request.body)
        with testtools.ExpectedException(Refusal):
            await run_stream(context, call, turn, reply)
        hosts.hosts[0].stop()
        self.assertFalse(reply.started)

    @on_loop
    async def test_stream_broken_before_its_start_is_refused(self) -> None:
        hosts = Hosts(breaks_before_first_event, streams_to_end)
        reply, error = await run(hosts, STREAM)
        self.assertIsInstance(error, Refusal)
        self.assertEqual(RefusalCode.UPSTREAM_FAILED, error.code)
        self.assertEqual(Outcome.UNKNOWN, error.outcome)
        self.assertFalse(reply.started)
        self.assertEqual([1, 0], hosts.request_counts())

    @on_loop
    async def test_stream_is_resumed_after_ids_only(self) -> None:
        """Guards against events that come twice after a resumption."""
        for last in (b'data: x2\n\n', b'id\ndata: x2\n\n'):
            hosts = Hosts(breaks_after(event(1) + last), streams_to_end)
            reply, error = await run(hosts, RESUMABLE)
            self.assertIsInstance(error, BrokenAnswer)
            self.assertEqual(event(1) + last, reply.body)
            self.assertEqual([1, 0], hosts.request_counts())

    @on_loop
    async def test_resumptions_are_limited_by_the_route(self) -> None:
        hosts = Hosts(breaks_in_third_event, breaks_in_third_event, streams_to_end)
        reply, error = await run(hosts, RESUMABLE)
        self.assertIsInstance(error, BrokenAnswer)
        self.assertFalse(reply.finished)
        self.assertEqual([1, 1, 0], hosts.request_counts())

    @on_loop
    async def test_begun_stream_outlasts_a_busy_moment(self) -> None:
        """Guards against a cut long before the deadline."""
        hosts = Hosts(
            in_turn(breaks_in_third_event, streams_to_end),
            in_turn(refuses_unrun, streams_to_end),
        )
        reply, error = await run(hosts, RESUMABLE)
        self.assertIsNone(error)
        self.assertEqual(b''.join(map(event, range(1, 5))), reply.body)
        self.assertTrue(reply.finished)

    @on_loop
    async def test_cancelled_caller_closes_the_connection(self) -> None:
        host_saw_end = asyncio.Event()

        async def endless(line: Line, request: Received) -> None:
            line.say(stream_head(request) + chunk(event(1)))
            await line.gone()
            host_saw_end.set()

        hosts = Hosts(endless)
        context = await hosts.start()
        call = make_call(STREAM)
        turn = StandaloneTurn(b'')
        running = asyncio.ensure_future(
            run_stream(context, call, turn, RecordedReply()),
        )
        await asyncio.sleep(BREAK_DELAY_S)
        running.cancel()
        async with asyncio.timeout(0.5):
            await host_saw_end.wait()
        state = next(iter(context.call_placer.host_table.states.values()))
        self.assertEqual(0, state.in_flight)
        hosts.hosts[0].stop()
