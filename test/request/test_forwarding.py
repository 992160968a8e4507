"""What becomes of a call when upstream hosts refuse, break off or hang."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import testtools

from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.connection.link_pool import LinkPool
from pollenwalk.errors import BrokenAnswer, Outcome, Refusal, RefusalCode
from pollenwalk.policy.host_choice import EarliestFinish
from pollenwalk.process.call_placer import CallPlacer
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.host_table import HostTable
from pollenwalk.request.call_sender import ForwardingContext
from pollenwalk.request.call_state import Call
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
WAIT_S = 0.05

Script = Callable[[Line, Received], Awaitable[None]]


async def works(line: Line, request: Received) -> None:
    """Answer."""
    line.say(answer(request))


async def refuses(line: Line, request: Received) -> None:
    """Say that it did not run."""
    line.say(not_run(request))


async def misdirected(line: Line, request: Received) -> None:
    """Be another host than the one that was meant."""
    line.say(answer(request, b'', '421 Misdirected Request', b''))


async def resets(line: Line, request: Received) -> None:
    """Run it and lose the answer."""
    line.reset()


async def fails(line: Line, request: Received) -> None:
    """Run it and fail."""
    line.say(answer(request, b'no', '500 Internal Server Error'))


async def unsigned(line: Line, request: Received) -> None:
    """Answer like something that is no host of ours."""
    line.say(answer(request, more=b''))


async def encoded(line: Line, request: Received) -> None:
    """Answer with other bytes than were asked for."""
    signed = b'X-Pollenwalk-Server-Signature: s1\r\nContent-Encoding: gzip\r\n'
    line.say(answer(request, more=signed))


async def streams(line: Line, request: Received) -> None:
    """Stream what follows the last event that the caller has."""
    first = int(request.headers.get('last-event-id', '0')) + 1
    events = [chunk(event(number)) for number in range(first, 5)]
    line.say(stream_head(request) + b''.join(events) + chunk(b''))


async def streams_two(line: Line, request: Received) -> None:
    """Break off inside the third event."""
    line.say(stream_head(request) + chunk(event(1)) + chunk(event(2) + b'id: 3\nda'))
    await line.writer.drain()
    await asyncio.sleep(WAIT_S)
    line.reset()


async def streams_head(line: Line, request: Received) -> None:
    """Break off before the first event."""
    line.say(stream_head(request))
    await line.writer.drain()
    await asyncio.sleep(WAIT_S)
    line.reset()


class RecordedReply:
    """What a caller has got; implements `Reply`."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.started = False
        self.status = 0
        self.body = b''
        self.finished = False

    async def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Take a complete answer."""
        await self.start(status, headers)
        await self.write(body)
        await self.finish()

    async def start(self, status: int, headers: Headers) -> None:
        """Take a status."""
        self.started = True
        self.status = status

    async def write(self, chunk: bytes) -> None:
        """Take some bytes."""
        self.body += chunk

    async def finish(self) -> None:
        """Take the end."""
        self.finished = True


class Hosts:
    """Scripted hosts, asked in the order in which they are given."""

    def __init__(self, *scripts: Script) -> None:
        """Run a host for each script."""
        names = (f'i-{number}' for number in range(len(scripts)))
        pairs = zip(names, scripts, strict=True)
        self.hosts = [ScriptedHost(name, script) for name, script in pairs]

    async def start(self) -> ForwardingContext:
        """Start all; one that comes first seems to be the least loaded."""
        clock = LoopClock()
        host_table = HostTable(clock)
        for number, host in enumerate(self.hosts):
            listed: UpstreamHost = await host.start()
            host_table.register(listed, 1)
            state = host_table.states[listed.id]
            state.record_load((number * 4, 0, 4), clock.now_ms())
        choice = EarliestFinish(random.Random(1))
        call_placer = CallPlacer(clock, host_table, choice, 'here', {'here': 'east'})
        return ForwardingContext(
            clock,
            LinkPool(clock),
            call_placer,
            GatewayMetrics(),
            random.Random(1),
        )

    def ran(self) -> list[int]:
        """Count the requests that reached each host."""
        return [len(host.received) for host in self.hosts]


def make_call(route: Route) -> Call:
    """Make a call that begins now."""
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
    """Run one call; gives what the caller got and the error, if any."""
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


class FirstTurn(StandaloneTurn):
    """A stream with which a program begins."""

    def __init__(self, body: bytes) -> None:
        """Be the first one of a program."""
        super().__init__(body)
        self.begins_program = True


class ProgramAdmissionTest(testtools.TestCase):
    """Programs that begin while the only host is busy, or idle."""

    async def begin(self, turn: StandaloneTurn, waiting: int) -> tuple[Any, Any, Any]:
        """Run a turn; gives the hosts, what was learnt, and the error."""
        hosts = Hosts(streams)
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
    async def test_a_new_program_is_turned_back(self) -> None:
        hosts, _, error = await self.begin(FirstTurn(b'input'), 20)
        self.assertEqual([0], hosts.ran())
        self.assertEqual(RefusalCode.OVERLOADED, error.code)
        self.assertEqual(Outcome.NOT_RUN, error.outcome)
        self.assertTrue(450 <= error.retry_after_ms <= 650, error.retry_after_ms)

    @on_loop
    async def test_a_program_that_has_begun_is_not(self) -> None:
        hosts, _, error = await self.begin(StandaloneTurn(b'input'), 20)
        self.assertEqual([1], hosts.ran())
        self.assertIsNone(error)

    @on_loop
    async def test_a_new_program_begins_where_there_is_room(self) -> None:
        hosts, _, error = await self.begin(FirstTurn(b'input'), 0)
        self.assertEqual([1], hosts.ran())
        self.assertIsNone(error)

    @on_loop
    async def test_run_times_are_learnt_without_waits(self) -> None:
        _, learnt, _ = await self.begin(StandaloneTurn(b'input'), 20)
        self.assertEqual({}, learnt)
        _, learnt, _ = await self.begin(StandaloneTurn(b'input'), -1)
        self.assertEqual(['r'], list(learnt))


class UnaryTest(testtools.TestCase):
    """Calls with one answer."""

    @on_loop
    async def test_proof_that_it_did_not_run_leads_on(self) -> None:
        for script in (refuses, misdirected):
            for route in (ROUTE, UNSAFE):
                hosts = Hosts(script, works)
                reply, error = await run(hosts, route)
                self.assertIsNone(error)
                self.assertEqual(b'hello', reply.body)
                self.assertEqual([1, 1], hosts.ran())

    @on_loop
    async def test_an_unsafe_call_is_never_sent_twice(self) -> None:
        for script in (resets, unsigned, encoded):
            hosts = Hosts(script, works)
            reply, error = await run(hosts, UNSAFE)
            self.assertEqual(Outcome.UNKNOWN, error.outcome)
            self.assertFalse(reply.started)
            self.assertEqual([1, 0], hosts.ran())

    @on_loop
    async def test_a_safe_call_is_sent_again(self) -> None:
        for script in (resets, unsigned, encoded):
            hosts = Hosts(script, works, works)
            reply, error = await run(hosts, ROUTE)
            self.assertIsNone(error)
            self.assertEqual([1, 1, 0], hosts.ran())

    @on_loop
    async def test_no_more_attempts_than_the_route_allows(self) -> None:
        hosts = Hosts(resets, resets, works)
        _, error = await run(hosts, ROUTE)
        self.assertEqual(RefusalCode.UPSTREAM_FAILED, error.code)
        self.assertEqual(Outcome.UNKNOWN, error.outcome)
        self.assertEqual([1, 1, 0], hosts.ran())

    @on_loop
    async def test_a_failure_of_the_host_is_passed_on(self) -> None:
        hosts = Hosts(fails, works)
        reply, error = await run(hosts, UNSAFE)
        self.assertIsNone(error)
        self.assertEqual((500, b'no'), (reply.status, reply.body))

    @on_loop
    async def test_all_refuse(self) -> None:
        hosts = Hosts(refuses, refuses)
        _, error = await run(hosts, UNSAFE)
        self.assertEqual(RefusalCode.OVERLOADED, error.code)
        self.assertEqual(Outcome.NOT_RUN, error.outcome)
        self.assertTrue(error.retry_after_ms > 0)

    @on_loop
    async def test_no_host(self) -> None:
        _, error = await run(Hosts(), UNSAFE)
        self.assertEqual(RefusalCode.NO_UPSTREAM, error.code)
        self.assertEqual(Outcome.NOT_RUN, error.outcome)

    @on_loop
    async def test_nobody_listens_there(self) -> None:
        hosts = Hosts(works, works)
        context = await hosts.start()
        hosts.hosts[0].stop()
        reply = RecordedReply()
        await run_unary(context, make_call(UNSAFE), reply)
        self.assertEqual([0, 1], hosts.ran())
        hosts.hosts[1].stop()

    @on_loop
    async def test_what_the_host_is_told(self) -> None:
        hosts = Hosts(works)
        await run(hosts, ROUTE)
        headers = hosts.hosts[0].received[0].headers
        self.assertEqual('i-0', headers['x-pollenwalk-expect-instance'])
        self.assertTrue(int(headers['x-pollenwalk-deadline-ms']) <= 2000)
        self.assertEqual('r1', headers['x-pollenwalk-request-id'])


class StreamTest(testtools.TestCase):
    """Streams."""

    @on_loop
    async def test_whole(self) -> None:
        reply, error = await run(Hosts(streams), STREAM)
        self.assertIsNone(error)
        self.assertEqual(b''.join(map(event, range(1, 5))), reply.body)
        self.assertTrue(reply.finished)

    @on_loop
    async def test_a_cut_stream_is_resumed_without_gap(self) -> None:
        hosts = Hosts(streams_two, streams)
        reply, error = await run(hosts, RESUMABLE)
        self.assertIsNone(error)
        self.assertEqual(b''.join(map(event, range(1, 5))), reply.body)
        resumed = hosts.hosts[1].received[0]
        self.assertEqual('2', resumed.headers['last-event-id'])

    @on_loop
    async def test_a_cut_stream_that_stays_cut(self) -> None:
        hosts = Hosts(streams_two, streams)
        reply, error = await run(hosts, STREAM)
        self.assertIsInstance(error, BrokenAnswer)
        self.assertEqual(event(1) + event(2), reply.body)
        self.assertFalse(reply.finished)
        self.assertEqual([1, 0], hosts.ran())

    @on_loop
    async def test_cut_before_the_first_event(self) -> None:
        hosts = Hosts(streams_head, streams)
        reply, error = await run(hosts, RESUMABLE)
        self.assertIsNone(error)
        self.assertTrue(reply.finished)
        self.assertNotIn('last-event-id', hosts.hosts[1].received[0].headers)

    @on_loop
    async def test_resumed_no_more_often_than_allowed(self) -> None:
        hosts = Hosts(streams_two, streams_two, streams)
        reply, error = await run(hosts, RESUMABLE)
        self.assertIsInstance(error, BrokenAnswer)
        self.assertFalse(reply.finished)
        self.assertEqual([1, 1, 0], hosts.ran())

    @on_loop
    async def test_a_caller_that_leaves_ends_the_run(self) -> None:
        gone = asyncio.Event()

        async def endless(line: Line, request: Received) -> None:
            line.say(stream_head(request) + chunk(event(1)))
            await line.gone()
            gone.set()

        hosts = Hosts(endless)
        context = await hosts.start()
        call = make_call(STREAM)
        turn = StandaloneTurn(b'')
        running = asyncio.ensure_future(
            run_stream(context, call, turn, RecordedReply()),
        )
        await asyncio.sleep(WAIT_S)
        running.cancel()
        async with asyncio.timeout(0.5):
            await gone.wait()
        state = next(iter(context.call_placer.host_table.states.values()))
        self.assertEqual(0, state.in_flight)
        hosts.hosts[0].stop()
