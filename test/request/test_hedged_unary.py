"""Second attempts for slow unary calls, at scripted hosts."""

import asyncio
from typing import Any

import testtools

from pollenwalk.connection.crash_messages import CrashReport
from pollenwalk.connection.limit_messages import LimitNews
from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.policy.answer_times import MIN_SAMPLES
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.hedging import Hedging, make_hedging
from pollenwalk.request.call_identity import identify
from pollenwalk.request.call_sender import ForwardingContext
from pollenwalk.request.unary import run_unary
from pollenwalk.version.routes import Route
from standin.platform.host import SIGNED, Line, Received
from test.helper import on_loop
from test.request.test_forwarding import (
    ROUTE,
    UNSAFE,
    Hosts,
    RecordedReply,
    Script,
    answers_hello,
    make_call,
    refuses_unrun,
    resets_connection,
)

USUAL_S = 0.03
DELAY_S = 0.08
SLOW_S = 0.5
ALWAYS = 1.0
KEY = make_call(ROUTE).route_key


def after(delay_s: float, script: Script = answers_hello) -> Script:
    """Return a script that waits, then follows another one."""

    async def wait(line: Line, request: Received) -> None:
        await asyncio.sleep(delay_s)
        await script(line, request)

    return wait


class Hanging:
    """A script that writes a part of an answer and waits until the caller has gone."""

    def __init__(self, beginning: bytes = b'') -> None:
        """Write `beginning`."""
        self.beginning = beginning
        self.ended = asyncio.Event()

    async def __call__(self, line: Line, request: Received) -> None:
        """Follow the script."""
        line.say(self.beginning)
        await line.gone()
        self.ended.set()


class HedgedCase(testtools.TestCase):
    """Runs calls whose usual time is known to be 40 ms, so that the delay is 80."""

    async def start(self, *scripts: Script, share: float = ALWAYS) -> ForwardingContext:
        """Start hosts and a gateway that may send second attempts."""
        self.hosts = Hosts(*scripts)
        context = await self.hosts.start()
        for state in context.call_placer.host_table.states.values():
            # As for idle hosts; small differences keep the order of the choice.
            state.record_load((0, 0, 4), context.clock.now_ms())
        self.hedging = Hedging(share, context.metrics)
        now_ms = context.clock.now_ms()
        for _ in range(MIN_SAMPLES):
            self.hedging.answer_times.record(KEY, now_ms - DELAY_S * 500, now_ms)
        self.hedging.budget.count_send()
        self.addCleanup(self.stop)
        return context._replace(hedging=self.hedging)

    def stop(self) -> None:
        """Stop the hosts."""
        for host in self.hosts.hosts:
            host.stop()

    def prefer_first(self, context: ForwardingContext) -> None:
        """Let the first host be chosen first, and the others in their order."""
        states = list(context.call_placer.host_table.states.values())
        for number, state in enumerate(states):
            state.record_load((min(number, 3), 0, 4), context.clock.now_ms())

    async def call(
        self, context: ForwardingContext, route: Route = ROUTE
    ) -> tuple[RecordedReply, Any]:
        """Make one call while other calls are answered in the usual time."""
        self.prefer_first(context)
        reply = RecordedReply()
        running = asyncio.ensure_future(run_unary(context, make_call(route), reply))
        while not running.done():
            now_ms = context.clock.now_ms()
            self.hedging.answer_times.record(KEY, now_ms - DELAY_S * 250, now_ms)
            await asyncio.wait((running,), timeout=DELAY_S / 4)
        error = None
        try:
            await running
        except Refusal as refusal:
            error = refusal
        self.assertEqual([0] * len(self.hosts.hosts), self.in_flight(context))
        return reply, error

    def in_flight(self, context: ForwardingContext) -> list[int]:
        """Return how many calls each host is thought to have."""
        states = context.call_placer.host_table.states.values()
        return [state.in_flight for state in states]

    def hedges(self, outcome: str = 'started') -> int:
        """Return how many second attempts had an outcome."""
        counts = self.hedging.metrics.hedges_total.get_all()
        return int(sum(count for one, count in counts if one['outcome'] == outcome))


class HedgedCallTest(HedgedCase):
    """One call whose first host is slow."""

    @on_loop
    async def test_second_attempt_answers(self) -> None:
        """Guards against a loser that goes on, or is counted for ever."""
        slow = Hanging()
        context = await self.start(slow, answers_hello)
        reply, _ = await self.call(context)
        self.assertEqual((200, b'hello'), (reply.status, reply.body))
        self.assertEqual((1, 1), (self.hedges(), self.hedges('won')))
        async with asyncio.timeout(0.5):
            await slow.ended.wait()

    @on_loop
    async def test_answer_never_has_parts_of_two(self) -> None:
        head = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n' + SIGNED
        context = await self.start(Hanging(head + b'\r\nHEL'), answers_hello)
        reply, _ = await self.call(context)
        self.assertEqual(b'hello', reply.body)

    @on_loop
    async def test_first_attempt_may_still_win(self) -> None:
        slower = Hanging()
        context = await self.start(after(DELAY_S * 2), slower)
        reply, _ = await self.call(context)
        self.assertEqual(b'hello', reply.body)
        self.assertEqual((1, 0), (self.hedges(), self.hedges('won')))
        async with asyncio.timeout(0.5):
            await slower.ended.wait()

    @on_loop
    async def test_second_goes_on_when_the_first_fails(self) -> None:
        fails = after(DELAY_S * 1.5, resets_connection)
        context = await self.start(fails, after(DELAY_S * 2), answers_hello)
        reply, _ = await self.call(context)
        self.assertEqual(b'hello', reply.body)
        self.assertEqual([1, 1, 0], self.hosts.request_counts())

    @on_loop
    async def test_first_goes_on_when_the_second_fails(self) -> None:
        for fails in (refuses_unrun, resets_connection):
            context = await self.start(after(DELAY_S * 3), fails, answers_hello)
            reply, _ = await self.call(context)
            self.assertEqual(b'hello', reply.body)
            self.assertEqual([1, 1, 0], self.hosts.request_counts())

    @on_loop
    async def test_attempts_are_limited_by_the_route(self) -> None:
        """Guards against a retry beside a second attempt that adds a run."""
        fails = after(DELAY_S * 1.5, resets_connection)
        scripts = (fails, fails, fails, answers_hello, answers_hello)
        for runs in (1, 2, 3):
            context = await self.start(*scripts)
            _, error = await self.call(context, ROUTE._replace(max_attempts=runs))
            self.assertEqual(RefusalCode.UPSTREAM_FAILED, error.code)
            self.assertEqual(Outcome.UNKNOWN, error.outcome)
            self.assertEqual(runs, sum(self.hosts.request_counts()))

    @on_loop
    async def test_runs_that_are_left_are_used(self) -> None:
        """Guards against a run that a refused second attempt uses up."""
        fails = after(DELAY_S * 1.5, resets_connection)
        context = await self.start(fails, refuses_unrun, answers_hello)
        reply, _ = await self.call(context)
        self.assertEqual(b'hello', reply.body)

    @on_loop
    async def test_caller_that_leaves_ends_both(self) -> None:
        both = Hanging(), Hanging()
        context = await self.start(*both)
        running = asyncio.ensure_future(self.call(context))
        await asyncio.sleep(DELAY_S * 2)
        self.assertEqual(1, self.hedges())
        calls = [one for one in asyncio.all_tasks() if 'run_unary' in repr(one)]
        calls[0].cancel()
        await asyncio.wait((running,))
        async with asyncio.timeout(0.5):
            await asyncio.gather(*(one.ended.wait() for one in both))
        self.assertEqual([0, 0], self.in_flight(context))


class NoSecondAttemptTest(HedgedCase):
    """Slow calls that get no second attempt."""

    async def check_single(
        self, context: ForwardingContext, reason: str = '', route: Route = ROUTE
    ) -> None:
        """Check that only the first host gets the call, for the given reason."""
        reply, _ = await self.call(context, route)
        self.assertEqual(b'hello', reply.body)
        self.assertEqual([1, 0], self.hosts.request_counts())
        self.assertEqual(0, self.hedges())
        self.assertEqual(bool(reason), bool(self.hedges(f'refused_{reason}')))

    async def start_slow(self, share: float = ALWAYS) -> ForwardingContext:
        """Start a slow host and one that answers immediately."""
        return await self.start(after(DELAY_S * 4), answers_hello, share=share)

    @on_loop
    async def test_routes_without(self) -> None:
        for route in (ROUTE._replace(max_attempts=1), UNSAFE._replace(max_attempts=2)):
            await self.check_single(await self.start_slow(), route=route)

    @on_loop
    async def test_empty_budget(self) -> None:
        await self.check_single(await self.start_slow(share=0.05), 'budget')

    @on_loop
    async def test_quota(self) -> None:
        context = await self.start_slow()
        self.hedging.charge = lambda _: False
        await self.check_single(context, 'quota')
        self.assertTrue(self.hedging.budget.has_room)

    @on_loop
    async def test_no_free_slot(self) -> None:
        """Guards against reports that fade, so that a full host looks free."""
        context = await self.start_slow()
        second = context.call_placer.host_table.states['i-1']
        second.registration = second.registration._replace(slots=1)
        await self.check_single(context, 'host')

    @on_loop
    async def test_host_with_limit_and_no_keeper(self) -> None:
        context = await self.start_slow()
        table = context.call_placer.host_table
        table.limits.learn(
            LimitNews(table.states['i-1'].registration.start, 9, 0), 'answer'
        )
        await self.check_single(context, 'permit')

    @on_loop
    async def test_request_on_which_a_host_has_crashed(self) -> None:
        context = await self.start_slow()
        records = context.permits.crash_guard.records
        digest = identify(make_call(ROUTE)).whole
        records.learn(CrashReport(digest, 'i-9/0', False, 0, 100), 'keeper')
        await self.check_single(context, 'crash')

    def test_off_by_default(self) -> None:
        self.assertIsNone(make_hedging(0, GatewayMetrics()))


class ManyCallsTest(HedgedCase):
    """Many calls at the same time."""

    async def call_many(
        self, context: ForwardingContext, calls: int, interval_s: float
    ) -> list[float]:
        """Make calls at regular intervals; return the time of each in s."""
        loop = asyncio.get_running_loop()

        async def call() -> float:  # noqa: WPS430
            began = loop.time()
            reply = RecordedReply()
            await run_unary(context, make_call(ROUTE), reply)
            self.assertEqual(b'hello', reply.body)
            return loop.time() - began

        running = []
        for _ in range(calls):
            running.append(asyncio.ensure_future(call()))
            await asyncio.sleep(interval_s)
        return await asyncio.gather(*running)

    @on_loop
    async def test_one_slow_host_of_ten(self) -> None:
        usual = [after(USUAL_S)] * 9
        context = await self.start(after(SLOW_S), *usual, share=0.2)
        took = await self.call_many(context, 100, 0.01)
        slow = self.hosts.request_counts()[0]
        self.assertTrue(slow > 1, slow)
        self.assertTrue(self.hedges() > 0)
        self.assertEqual(self.hedges(), self.hedges('won'))
        # Each call that was late and got a second attempt ended long before SLOW_S.
        self.assertEqual(slow - self.hedges(), sum(one >= SLOW_S for one in took))

    @on_loop
    async def test_no_extra_work_when_all_are_slow(self) -> None:
        """Guards against a delay that rises slower than what counts as in time."""
        slow = [after(DELAY_S * (2.5 + 0.15 * number)) for number in range(10)]
        context = await self.start(*slow, share=0.2)
        await self.call_many(context, 150, 0.01)
        self.assertEqual(150, sum(self.hosts.request_counts()))

    @on_loop
    async def test_burst_keeps_the_limit(self) -> None:
        scripts = [after(SLOW_S)] * 5 + [after(USUAL_S)] * 5
        context = await self.start(*scripts, share=0.05)
        await self.call_many(context, 60, 0)
        sends = sum(self.hosts.request_counts())
        self.assertEqual(60 + self.hedges(), sends)
        self.assertTrue(self.hedges() <= 1 + 0.05 * (sends - 1), self.hedges())
