"""Gateways that hear from each other which hosts leave, over loopback."""

import testtools

from pollenwalk.process.leaving_hosts import MEMORY_MS, LeavingHosts
from pollenwalk.process.load_reporter import REPORT_INTERVAL_MS
from standin.platform.host import SIGNED, Line, Received, answer
from test.helper import make_clock, on_loop, virtual
from test.process.test_limited_hosts import CONFIGURATION, LimitedUpstream
from test.process.test_stream_versions import NEAR

LEAVING = b'Server-Leaving: 1\r\n'


async def answers_and_leaves(line: Line, request: Received) -> None:
    """Answer, and say that the host leaves."""
    line.say(answer(request, more=SIGNED + LEAVING))


class LeavingUpstream(LimitedUpstream):
    """An upstream with a host that leaves, of which the list says nothing."""

    async def start(self) -> None:
        """Start the keeper and the host."""
        await self.keeper.start()
        await self.write('config/main', CONFIGURATION)
        await self.add_host('leaver', 'v1', NEAR, answers_and_leaves)


class LeavingNewsTest(testtools.TestCase):
    """What a gateway knows that has had no answer from the host."""

    @on_loop
    async def test_other_gateway_hears_of_it(self) -> None:
        upstream = LeavingUpstream(None)
        await upstream.start()
        try:
            await self.check_news(upstream)
        finally:
            await upstream.stop()

    async def check_news(self, upstream: LeavingUpstream) -> None:
        """Let one of two gateways get an answer; check what both know."""
        first, second = await upstream.start_gateways(2)
        ended = await upstream.call(first, upstream.make_request('/safe/1', 'r1'))
        self.assertIsNone(ended.error)
        await upstream.clock.sleep_ms(2 * REPORT_INTERVAL_MS)
        for gateway in (first, second):
            states = gateway.host_table.states.values()
            self.assertTrue(all(one.registration.leaving for one in states))
        # Another start under the same id is another host.
        state = next(iter(second.host_table.states.values()))
        state.said_leaving = False
        state.registration = state.registration._replace(leaving=False)
        later = state.registration.start._replace(started_ms=77)
        second.host_table.record_leaving(later)
        self.assertFalse(state.registration.leaving)

    @virtual
    async def test_old_news_is_forgotten(self) -> None:
        clock = make_clock()
        hosts = LeavingHosts(clock)
        start = ('i', 'a', 5, 'v1')
        hosts.add([start])
        self.assertEqual((start,), hosts.recent())
        await clock.sleep_ms(MEMORY_MS + 1)
        self.assertEqual((), hosts.recent())
