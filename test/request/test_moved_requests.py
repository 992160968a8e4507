"""Requests that are moved from a silent host to another one, at scripted hosts."""

import asyncio
from typing import Any

import testtools

from pollenwalk.connection.crash_messages import CrashReport
from pollenwalk.errors import BrokenAnswer, Refusal
from pollenwalk.policy.answer_times import MIN_SAMPLES
from pollenwalk.policy.silent_hosts import LatestAnswers
from pollenwalk.process.crash_guard import both_digests
from pollenwalk.process.hedging import Hedging
from pollenwalk.process.silent_hosts import SilentHosts
from pollenwalk.request.forwarding_context import ForwardingContext
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.streaming import StandaloneTurn, run_stream
from pollenwalk.request.unary import run_unary
from pollenwalk.version.routes import Route
from standin.platform.host import (
    Line,
    Received,
    chunk,
    event,
    stream_head,
)
from test.helper import on_loop
from test.request.test_forwarding import (
    BREAK_DELAY_S,
    RESUMABLE,
    ROUTE,
    STREAM,
    UNSAFE,
    Hosts,
    RecordedReply,
    Script,
    answers_hello,
    make_call,
    streams_to_end,
)

DEADLINE_S = 0.8
OTHER_CALLS_INTERVAL_S = 0.05
LATE_S = 0.45
USUAL_MS = 20.0


class Quotas:
    """Implements the part of `QuotaClient` that sends use; allows some sends."""

    def __init__(self, sends: int) -> None:
        """Allow `sends` sends."""
        self.sends = sends
        self.prepaid = 0

    async def pay(self, call: Call) -> bool:
        """Pay for a send by what is prepaid or left."""
        if self.prepaid:
            self.prepaid -= 1
            return True
        return self.take()

    def prepay(self, call: Call) -> bool:
        """Pay for a later send."""
        if not self.take():
            return False
        self.prepaid += 1
        return True

    def take(self) -> bool:
        """Take one send of those that are left."""
        self.sends -= 1
        return self.sends >= 0


def silent(beginning: bytes = b'') -> Script:
    """Return a script that writes a beginning and then nothing more."""

    async def script(line: Line, request: Received) -> None:
        line.say(beginning)
        await line.gone()

    return script


async def begins_and_breaks(line: Line, request: Received) -> None:
    """Stream one event and break off."""
    line.say(stream_head(request) + chunk(event(1)))
    await line.writer.drain()
    await asyncio.sleep(BREAK_DELAY_S)
    line.reset()


async def resets_late(line: Line, request: Received) -> None:
    """Reset the connection when the first attempt is known to be at a silent host."""
    await asyncio.sleep(LATE_S)
    line.reset()


async def begins_stream(line: Line, request: Received) -> None:
    """Write the head and the first event of a stream and then nothing more."""
    line.say(stream_head(request) + chunk(event(1)))
    await line.gone()


class MovedRequestTest(testtools.TestCase):
    """A request whose first host answers nothing, while others answer."""

    async def start(self, *scripts: Script) -> ForwardingContext:
        """Start hosts, of which the first ones are chosen first."""
        self.hosts = Hosts(*scripts)
        context = await self.hosts.start()
        for number, state in enumerate(self.states(context)):
            state.record_load((number, 0, 4), context.clock.now_ms())
        context.call_placer.run_times.update({ROUTE.name: USUAL_MS})
        self.watch = SilentHosts(context.clock, context.metrics, lambda: True)
        self.checks = asyncio.ensure_future(self.watch.run())
        self.addCleanup(self.stop)
        return context._replace(silent_hosts=self.watch)

    def stop(self) -> None:
        """Stop the hosts."""
        for host in self.hosts.hosts:
            host.stop()

    def states(self, context: ForwardingContext) -> list[Any]:
        """Return the states of the hosts in their order."""
        return list(context.call_placer.host_table.states.values())

    async def answer_others(self, context: ForwardingContext) -> None:
        """Let another host answer later requests in time."""
        answers = self.watch.answers.setdefault('up', LatestAnswers())
        while True:
            await asyncio.sleep(OTHER_CALLS_INTERVAL_S)
            answers.record('i-other', context.clock.now_ms())

    async def call(
        self, context: ForwardingContext, route: Route = ROUTE
    ) -> tuple[RecordedReply, Any]:
        """Make one call; return its reply, and its error or None."""
        others = asyncio.ensure_future(self.answer_others(context))
        reply = RecordedReply()
        call = make_call(route)
        error = None
        try:
            async with asyncio.timeout(DEADLINE_S):
                if route.is_streaming:
                    await run_stream(context, call, StandaloneTurn(b''), reply)
                else:
                    await run_unary(context, call, reply)
        except (Refusal, BrokenAnswer, TimeoutError) as caught:
            error = caught
        others.cancel()
        in_flight = [state.in_flight for state in self.states(context)]
        self.assertEqual([0] * len(in_flight), in_flight)
        self.assertEqual({}, self.watch.awaited)
        return reply, error

    def moved(self, context: ForwardingContext) -> int:
        """Return how many requests were moved."""
        return int(sum(count for _, count in context.metrics.moved_total.get_all()))

    async def check_stays(
        self, context: ForwardingContext, route: Route = ROUTE
    ) -> None:
        """Check that a call ends at its deadline at the first host, which is suspected."""
        _, error = await self.call(context, route)
        self.assertIsInstance(error, TimeoutError)
        self.assertEqual([1, 0], self.hosts.request_counts())
        self.assertEqual(0, self.moved(context))

    @on_loop
    async def test_unary_call(self) -> None:
        context = await self.start(silent(), answers_hello)
        reply, error = await self.call(context)
        self.assertEqual((None, b'hello'), (error, reply.body))
        self.assertEqual([1, 1], self.hosts.request_counts())
        self.assertEqual(1, self.moved(context))
        state = self.states(context)[0]
        self.assertTrue(state.is_suspected(context.clock.now_ms() + 1000))

    @on_loop
    async def test_streams(self) -> None:
        """Guards against a stream that is lost, or whose events come twice."""
        for scripts, counts in (
            ((silent(), streams_to_end), [1, 1]),
            ((begins_and_breaks, silent(), streams_to_end), [1, 1, 1]),
        ):
            context = await self.start(*scripts)
            route = RESUMABLE._replace(max_attempts=3)
            reply, error = await self.call(context, route)
            self.assertEqual((None, True), (error, reply.finished))
            events = b''.join(event(number) for number in range(1, 5))
            self.assertEqual(events, reply.body)
            self.assertEqual(counts, self.hosts.request_counts())

    @on_loop
    async def test_calls_that_may_run_only_once_stay(self) -> None:
        """Guards against a second run of a call that must not be repeated."""
        for route in (
            UNSAFE,
            UNSAFE._replace(max_attempts=3),
            STREAM,
            STREAM._replace(max_attempts=3),
            ROUTE._replace(max_attempts=1),
        ):
            context = await self.start(silent(), answers_hello)
            await self.check_stays(context, route)
            state = self.states(context)[0]
            self.assertTrue(state.is_suspected(context.clock.now_ms() + 1000))

    @on_loop
    async def test_begun_answers_stay(self) -> None:
        """Guards against moves after a part of an answer, even of one byte."""
        for beginning in (b'H', b'HTTP/1.1 100 Continue\r\n\r\n'):
            context = await self.start(silent(beginning), answers_hello)
            await self.check_stays(context)
        context = await self.start(begins_stream, streams_to_end)
        await self.check_stays(context, RESUMABLE)

    @on_loop
    async def test_no_other_host(self) -> None:
        """Guards against a call that is given up although its host may answer."""
        context = await self.start(silent(), answers_hello)
        state = self.states(context)[1]
        state.suspected_until_ms = context.clock.now_ms() + 5000
        await self.check_stays(context)

    @on_loop
    async def test_call_on_which_a_host_has_crashed(self) -> None:
        """Guards against a harmful request that is spread by moves."""
        context = await self.start(silent(), answers_hello)
        digest, _ = both_digests(make_call(ROUTE).request)
        report = CrashReport(digest, 'i-9/0', False, 0, 100)
        context.permits.crash_guard.records.learn(report, 'keeper')
        await self.check_stays(context)

    @on_loop
    async def test_quota(self) -> None:
        """Guards against sends that are not paid, or paid twice."""
        context = await self.start(silent(), answers_hello)
        await self.check_stays(context._replace(quotas=Quotas(1)))
        context = await self.start(silent(), answers_hello)
        quotas = Quotas(2)
        reply, _ = await self.call(context._replace(quotas=quotas))
        self.assertEqual(b'hello', reply.body)
        self.assertEqual((0, 0), (quotas.sends, quotas.prepaid))

    @on_loop
    async def test_attempts(self) -> None:
        """Guards against more runs than the route allows."""
        context = await self.start(silent(), silent(), silent())
        _, error = await self.call(context)
        self.assertIsInstance(error, TimeoutError)
        self.assertEqual([1, 1, 0], self.hosts.request_counts())

    @on_loop
    async def test_beside_a_second_attempt(self) -> None:
        """Guards against a run more than is allowed, and a second attempt cut off."""
        for scripts, runs, counts in (
            ((silent(), silent(), answers_hello), 3, [1, 1, 0]),
            ((silent(), resets_late, answers_hello), 2, [1, 1, 0]),
            ((silent(), resets_late, answers_hello), 3, [1, 1, 1]),
        ):
            context = await self.start(*scripts)
            hedging = Hedging(1, context.metrics)
            now_ms = context.clock.now_ms()
            for _ in range(MIN_SAMPLES):
                key = make_call(ROUTE).route_key
                hedging.answer_times.record(key, now_ms - USUAL_MS, now_ms)
            hedging.answer_times.is_outlier = lambda *_: True
            hedging.budget.count_send()
            route = ROUTE._replace(max_attempts=runs)
            await self.call(context._replace(hedging=hedging), route)
            self.assertEqual(counts, self.hosts.request_counts())
