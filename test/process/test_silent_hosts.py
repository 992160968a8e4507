"""Hosts that accept requests and answer none, among simulated hosts."""

import asyncio
import contextlib
import random

import testtools

from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.policy.host_choice import EarliestFinish
from pollenwalk.policy.silent_hosts import (
    MIN_SILENCE_MS,
    SILENT_SUSPICION_MS,
    UNREPEATABLE_PROBE_DELAY_MS,
)
from pollenwalk.process.call_placer import CallPlacer
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.host_table import HostState, HostTable
from pollenwalk.process.silent_hosts import CHECK_INTERVAL_MS, SilentHosts
from pollenwalk.request.gateway_call import Call
from test.helper import logged, make_clock, virtual
from test.request.test_forwarding import ROUTE, UNSAFE, make_call

RUN_MS = 50.0
DEADLINE_MS = 1500.0
SLOTS = 4


class Wait:
    """Implements `Waiter` for a simulated send."""

    def __init__(self, call: Call) -> None:
        """Create the wait of a call that may run once more if it is idempotent."""
        self.call = call
        self.has_response_bytes = False
        self.ended = asyncio.Event()

    def prepare_move(self) -> bool:
        """Return whether the call is idempotent."""
        return self.call.route.idempotent

    def cancel(self) -> None:
        """End the wait."""
        self.ended.set()


class SilentHostsTest(testtools.TestCase):
    """One gateway and ten hosts, each of which runs SLOTS requests at a time."""

    def start(self, hosts: int = 10, enabled: bool = True) -> None:
        """Create hosts that take RUN_MS for a request, and a gateway."""
        self.clock = make_clock()
        self.metrics = GatewayMetrics()
        table = HostTable(self.clock)
        for number in range(hosts):
            name = f'i-{number}'
            table.register(UpstreamHost(name, 'up', 'x', 'z', SLOTS, False, 0, 0), 1)
        self.states = list(table.states.values())
        self.run_ms = dict.fromkeys(self.states, RUN_MS)
        self.slots = {state: asyncio.Semaphore(SLOTS) for state in self.states}
        choice = EarliestFinish(random.Random(1))
        self.placer = CallPlacer(self.clock, table, choice, 'z', {'z': 'r'})
        self.placer.run_times[ROUTE.name] = RUN_MS
        self.silent_hosts = SilentHosts(self.clock, self.metrics, lambda: enabled)
        self.watch = asyncio.ensure_future(self.silent_hosts.run())

    async def work(self, state: HostState, wait: Wait) -> None:
        """Answer a request once a slot is free and its run time has passed."""
        async with self.slots[state]:
            await self.clock.sleep_ms(self.run_ms[state])
        wait.has_response_bytes = True
        state.record_sign(self.clock.now_ms())
        wait.ended.set()

    async def send(self, call: Call, state: HostState) -> bool:
        """Send a request to one host; return whether it was answered in time."""
        wait = Wait(call)
        cost = self.placer.expected_cost(call)
        queue_ms = self.placer.queue_wait_ms(state, cost)
        awaited = self.silent_hosts.begin(state, wait)
        self.silent_hosts.record_sent(awaited, cost.run_ms, queue_ms)
        state.in_flight += 1
        work = asyncio.ensure_future(self.work(state, wait))
        try:
            with contextlib.suppress(TimeoutError):
                async with self.clock.timeout_ms(DEADLINE_MS):
                    await wait.ended.wait()
            if wait.has_response_bytes:
                self.silent_hosts.record_answer(awaited, has_run=True)
        finally:
            self.silent_hosts.end(awaited)
            work.cancel()
            state.in_flight -= 1
        return wait.has_response_bytes

    async def call(self, call: Call) -> bool:
        """Make a call that may be sent twice; return whether it was answered."""
        cost = self.placer.expected_cost(call)
        first = self.placer.choose_host(call, cost, set())
        if await self.send(call, first):
            return True
        if not call.route.idempotent:
            return False
        return await self.send(
            call, self.placer.choose_host(call, cost, {first.registration.id})
        )

    async def call_many(
        self, calls: int, interval_ms: float, call: Call | None = None
    ) -> tuple[int, int]:
        """Make calls at regular intervals; return how many failed and were moved."""
        running = []
        for _ in range(calls):
            running.append(asyncio.ensure_future(self.call(call or make_call(ROUTE))))
            await self.clock.sleep_ms(interval_ms)
        failed = (await asyncio.gather(*running)).count(False)
        return failed, self.moved()

    def moved(self) -> int:
        """Return how many requests were moved."""
        return int(sum(count for _, count in self.metrics.moved_total.get_all()))

    @virtual
    async def test_one_silent_host_of_ten(self) -> None:
        """Guards against a host that gets more requests as it answers none."""
        self.start()
        self.run_ms[self.states[0]] = 100_000
        with logged('host_silent') as found:
            failed, moved = await self.call_many(1000, 10)
        self.assertEqual(0, failed)
        self.assertEqual(['i-0'], [line['host'] for line in found])
        # Those of the first 350 ms, and one probe in each period of 2 s and more.
        before = (MIN_SILENCE_MS + CHECK_INTERVAL_MS) / 10
        probes = 10_000 / SILENT_SUSPICION_MS
        self.assertTrue(1 <= moved <= before + probes, moved)

    @virtual
    async def test_no_host_is_silent(self) -> None:
        """Guards against moves that add load.

        All hosts are slow, some more than others; a burst; the feature is off.
        """
        for calls, slow_ms, interval_ms, enabled in (
            (300, 600, 20, True),
            (300, RUN_MS, 0, True),
            (40, 100_000, 10, False),
        ):
            self.start(enabled=enabled)
            for number, state in enumerate(self.states if enabled else self.states[:1]):
                self.run_ms[state] = slow_ms * (1 + number / 10)
            with logged('host_silent') as found:
                _, moved = await self.call_many(calls, interval_ms)
            self.assertEqual((0, []), (moved, found))

    @virtual
    async def test_slow_host_answers_late(self) -> None:
        """Guards against a false suspicion that outlives the next response."""
        self.start()
        slow = self.states[0]
        self.run_ms[slow] = 600
        unsafe = make_call(UNSAFE)
        with logged('host_answers_again') as again:
            late = asyncio.ensure_future(self.send(unsafe, slow))
            await self.call_many(50, 10)
            self.assertTrue(slow.is_suspected(self.clock.now_ms()))
            self.assertTrue(await late)
        self.assertFalse(slow.is_suspected(self.clock.now_ms()))
        self.assertEqual(['i-0'], [line['host'] for line in again])

    @virtual
    async def test_requests_that_run_once_stay(self) -> None:
        """Guards against a second run, and against many losses at one host."""
        self.start()
        self.run_ms[self.states[0]] = 100_000
        failed, moved = await self.call_many(1000, 10, make_call(UNSAFE))
        self.assertEqual(0, moved)
        before = (MIN_SILENCE_MS + CHECK_INTERVAL_MS) / 10
        probe_ms = SILENT_SUSPICION_MS + UNREPEATABLE_PROBE_DELAY_MS
        self.assertTrue(failed <= before + 10_000 / probe_ms, failed)

    @virtual
    async def test_one_probe_at_a_time(self) -> None:
        """Guards against a silent host that gets requests, or never gets one again."""
        self.start()
        state = self.states[0]
        self.run_ms[state] = 100_000
        stays = asyncio.ensure_future(self.send(make_call(UNSAFE), state))
        await self.call_many(50, 10)
        now_ms = self.clock.now_ms()
        until_ms = state.suspected_until_ms
        self.assertTrue(until_ms > now_ms + SILENT_SUSPICION_MS / 2)
        self.assertTrue(state.is_suspected(until_ms - 1, repeatable=True))
        self.assertFalse(state.is_suspected(until_ms + 1, repeatable=True))
        self.assertTrue(state.is_suspected(until_ms + 1))
        later_ms = until_ms + UNREPEATABLE_PROBE_DELAY_MS + 1
        self.assertFalse(state.is_suspected(later_ms))
        self.run_ms[state] = RUN_MS
        probe = asyncio.ensure_future(self.send(make_call(ROUTE), state))
        await self.clock.sleep_ms(1)
        self.assertTrue(state.is_suspected(later_ms, repeatable=True))
        self.assertTrue(await probe)
        self.assertFalse(state.is_suspected(now_ms, repeatable=True))
        self.assertFalse(await stays)
        self.assertEqual(0, state.failures)

    @virtual
    async def test_gateway_that_was_held_up(self) -> None:
        """Guards against hosts that are blamed for answers that were not read yet."""
        self.start()
        checked_ms: list[float] = []
        self.silent_hosts.check = lambda: checked_ms.append(self.clock.now_ms())
        self.silent_hosts.checked_at_ms -= DEADLINE_MS
        began_ms = self.clock.now_ms()
        await self.clock.sleep_ms(CHECK_INTERVAL_MS * 2.5)
        self.assertEqual([began_ms + CHECK_INTERVAL_MS * 2], checked_ms)
