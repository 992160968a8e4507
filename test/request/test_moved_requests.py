"""Requests that are moved from a silent host to another one, at scripted hosts."""

import asyncio
from typing import Any

from pollenwalk.connection.crash_messages import CrashReport
from pollenwalk.errors import BrokenAnswer, Refusal, RefusalCode
from pollenwalk.policy.silent_hosts import LatestAnswers
from pollenwalk.process.silent_hosts import SilentHosts
from pollenwalk.request.call_identity import identify
from pollenwalk.request.forwarding_context import ForwardingContext
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.streaming import StandaloneTurn, run_stream
from pollenwalk.request.unary import run_unary
from pollenwalk.version.routes import Route
from standin.platform.host import event
from test.helper import on_loop
from test.request.test_forwarding import (
    RESUMABLE,
    ROUTE,
    STREAM,
    UNSAFE,
    RecordedReply,
    Script,
    answers_hello,
    breaks_after,
    make_call,
    resets_connection,
    streams_to_end,
)
from test.request.test_hedged_unary import Hanging, HedgedCase, after

DEADLINE_S = 0.8
OTHERS_INTERVAL_S = 0.05
# After the host of the first attempt has been found to be silent.
LATE_S = 0.45


class Quotas:
    """Implements the part of `QuotaClient` that sends use; has tokens for some sends."""

    def __init__(self, tokens: int, at_hand: bool) -> None:
        """Have some tokens, for which a keeper is asked if they are not at hand."""
        self.left = tokens
        self.at_hand = at_hand
        self.prepaid = 1

    async def pay(self, _call: Call) -> bool:
        """Pay for a send by what is prepaid; one that is not would fail here."""
        self.prepaid -= 1
        return self.prepaid >= 0

    def prepay(self, _call: Call) -> bool:
        """Take a token that is at hand for a later send."""
        if not self.at_hand or not self.left:
            return False
        self.left -= 1
        self.prepaid += 1
        return True

    async def obtain(self, call: Call, begins_program: bool) -> None:
        """Ask a keeper for a token for a later send."""
        await asyncio.sleep(0.01)
        self.at_hand = True
        if begins_program or not self.prepay(call):
            raise Refusal(RefusalCode.QUOTA_EXHAUSTED, 'exhausted')


class MovedRequestTest(HedgedCase):
    """A request whose first host answers nothing, while others answer."""

    async def start_watched(self, *scripts: Script) -> ForwardingContext:
        """Start hosts and a gateway that avoids silent hosts."""
        context = await self.start(*scripts)
        self.prefer_first(context)
        self.watch = SilentHosts(context.clock, context.metrics, lambda: True)
        self.tasks = [
            asyncio.ensure_future(self.watch.run()),
            asyncio.ensure_future(self.answer_others(context)),
        ]
        return context._replace(silent_hosts=self.watch, hedging=None)

    async def answer_others(self, context: ForwardingContext) -> None:
        """Let another host answer later requests in time."""
        answers = self.watch.answers.setdefault('up', LatestAnswers())
        while True:
            await asyncio.sleep(OTHERS_INTERVAL_S)
            answers.record('i-other', context.clock.now_ms())

    async def run_call(
        self, context: ForwardingContext, route: Route = ROUTE
    ) -> tuple[RecordedReply, Any]:
        """Make one call; return its reply, and its error or None."""
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
        self.assertEqual([0] * len(self.hosts.hosts), self.in_flight(context))
        self.assertEqual({}, self.watch.awaited)
        return reply, error

    async def check_stays(
        self, context: ForwardingContext, route: Route = ROUTE
    ) -> None:
        """Check that a call ends at its deadline at the first host."""
        _, error = await self.run_call(context, route)
        self.assertIsInstance(error, TimeoutError)
        self.assertEqual([1, 0], self.hosts.request_counts())

    def is_suspected(self, context: ForwardingContext) -> bool:
        """Return whether the first host is suspected for one second and more."""
        state = context.call_placer.host_table.states['i-0']
        return state.is_suspected(context.clock.now_ms() + 1000, repeatable=True)

    @on_loop
    async def test_unary_call(self) -> None:
        context = await self.start_watched(Hanging(), answers_hello)
        reply, error = await self.run_call(context)
        self.assertEqual((None, b'hello'), (error, reply.body))
        self.assertEqual([1, 1], self.hosts.request_counts())
        self.assertEqual([({}, 1)], list(context.metrics.moved_total.get_all()))
        self.assertTrue(self.is_suspected(context))

    @on_loop
    async def test_streams(self) -> None:
        """Guards against a stream that is lost, or whose events come twice."""
        for scripts in (
            (Hanging(), streams_to_end),
            (breaks_after(event(1)), Hanging(), streams_to_end),
        ):
            context = await self.start_watched(*scripts)
            route = RESUMABLE._replace(max_attempts=3)
            reply, error = await self.run_call(context, route)
            self.assertEqual((None, True), (error, reply.finished))
            events = b''.join(event(number) for number in range(1, 5))
            self.assertEqual(events, reply.body)
            self.assertEqual([1] * len(scripts), self.hosts.request_counts())

    @on_loop
    async def test_calls_that_may_run_only_once_stay(self) -> None:
        """Guards against a second run of a call that must not be repeated."""
        for route, runs in ((UNSAFE, 1), (UNSAFE, 3), (STREAM, 3), (ROUTE, 1)):
            context = await self.start_watched(Hanging(), answers_hello)
            await self.check_stays(context, route._replace(max_attempts=runs))
            self.assertTrue(self.is_suspected(context))

    @on_loop
    async def test_begun_answers_stay(self) -> None:
        """Guards against moves after a part of an answer, even of one byte."""
        for beginning in (b'H', b'HTTP/1.1 100 Continue\r\n\r\n'):
            for route in (ROUTE, RESUMABLE):
                context = await self.start_watched(Hanging(beginning), answers_hello)
                await self.check_stays(context, route)

    @on_loop
    async def test_calls_without_a_place_to_go_stay(self) -> None:
        """Guards against calls that are given up, and harmful ones that are spread."""
        context = await self.start_watched(Hanging(), answers_hello)
        other = context.call_placer.host_table.states['i-1']
        other.suspected_until_ms = context.clock.now_ms() + 5000
        await self.check_stays(context)
        context = await self.start_watched(Hanging(), answers_hello)
        digest = identify(make_call(ROUTE)).whole
        report = CrashReport(digest, 'i-9/0', False, 0, 100)
        context.permits.crash_guard.records.learn(report, 'keeper')
        await self.check_stays(context)

    @on_loop
    async def test_quota(self) -> None:
        """Guards against sends that are not paid, paid twice, or never moved."""
        for at_hand in (False, True):
            context = await self.start_watched(Hanging(), answers_hello)
            await self.check_stays(context._replace(quotas=Quotas(0, at_hand)))
            context = await self.start_watched(Hanging(), answers_hello)
            quotas = Quotas(1, at_hand)
            reply, _ = await self.run_call(context._replace(quotas=quotas))
            self.assertEqual(b'hello', reply.body)
            self.assertEqual((0, 0), (quotas.left, quotas.prepaid))

    @on_loop
    async def test_attempts(self) -> None:
        """Guards against more runs than the route allows, also by second attempts."""
        fails_late = after(LATE_S, resets_connection)
        for scripts, runs, is_hedged, counts in (
            ((Hanging(), Hanging(), answers_hello), 2, False, [1, 1, 0]),
            ((Hanging(), Hanging(), answers_hello), 3, True, [1, 1, 0]),
            ((Hanging(), fails_late, answers_hello), 2, True, [1, 1, 0]),
            ((Hanging(), fails_late, answers_hello), 3, True, [1, 1, 1]),
        ):
            context = await self.start_watched(*scripts)
            if is_hedged:
                self.hedging.answer_times.is_outlier = lambda *_: True
                context = context._replace(hedging=self.hedging)
            await self.run_call(context, ROUTE._replace(max_attempts=runs))
            self.assertEqual(counts, self.hosts.request_counts())
            self.assertEqual(int(is_hedged), self.hedges())
