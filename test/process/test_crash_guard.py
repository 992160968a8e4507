"""Which calls a gateway blames for crashes of hosts."""

import testtools

from pollenwalk.connection.connection_pool import ProbeResult
from pollenwalk.connection.crash_messages import CrashReport
from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.errors import Refusal
from pollenwalk.policy.crash_verdict import MAX_CRASHES, RETRIAL_AFTER_MS
from pollenwalk.process.crash_guard import ACQUITTAL_MS, CrashGuard
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.host_table import HostState
from pollenwalk.request.call_crashes import CallCrashes
from pollenwalk.request.call_identity import BEGINNING_BYTES, identify
from pollenwalk.request.gateway_call import Call
from test.helper import make_clock, virtual
from test.request.test_forwarding import ROUTE, make_call, make_group

HOST = UpstreamHost('h', 'up', '127.0.0.1:1', 'here', 4, False, 0, 0)


class CrashedHosts:
    """Stands for a pool whose hosts all refuse connections."""

    async def probe(self, host: UpstreamHost) -> ProbeResult:
        """Return what a host that has crashed does."""
        return ProbeResult.REFUSED


class GuardCase(testtools.TestCase):
    """Runs calls on which hosts crash."""

    def make_guard(self) -> CrashGuard:
        """Create a guard that knows no crash."""
        return CrashGuard(make_group(make_clock()), GatewayMetrics())

    async def crash(self, guard: CrashGuard, call: Call) -> int:
        """Let a host crash on a call; return how many crashes count then."""
        crashes = CallCrashes(guard, CrashedHosts(), call)
        sent_ms = guard.group.clock.now_ms()
        await crashes.record_if_crashed(HostState(HOST), sent_ms, began=True)
        return guard.crashes(call)


class AcquittalTest(GuardCase):
    """Calls that end whole elsewhere, and crash a host a moment later."""

    @virtual
    async def test_read_that_just_ended_is_not_blamed(self) -> None:
        # Guards against a busy read that is given up beside others that crash hosts.
        for pause_ms, counted in ((ACQUITTAL_MS - 1, 0), (ACQUITTAL_MS, 1)):
            guard = self.make_guard()
            call = make_call(ROUTE)
            guard.record_completion(call)
            await guard.group.clock.sleep_ms(pause_ms)
            self.assertEqual(counted, await self.crash(guard, call))

    @virtual
    async def test_shared_beginning_acquits_nobody(self) -> None:
        guard = self.make_guard()
        first, second = (
            make_call(ROUTE)._replace(
                request=make_call(ROUTE).request._replace(
                    body=b'x' * BEGINNING_BYTES + end
                )
            )
            for end in (b'1', b'2')
        )
        guard.record_completion(first)
        self.assertEqual(1, await self.crash(guard, second))

    @virtual
    async def test_report_of_another_gateway_is_cleared(self) -> None:
        guard = self.make_guard()
        call = make_call(ROUTE)
        report = CrashReport(identify(call).whole, 'h/0/1', False, 0, 50)
        guard.learn([report])
        self.assertEqual(1, guard.crashes(call))
        guard.record_completion(call)
        guard.learn([report._replace(host='i/0/1')])
        self.assertEqual(0, guard.crashes(call))


class RetrialTest(GuardCase):
    """Calls that were given up, perhaps wrongly."""

    @virtual
    async def test_innocent_is_not_given_up_for_ever(self) -> None:
        # Guards against a busy read that nobody runs, so that nothing can clear it.
        guard = self.make_guard()
        call = make_call(ROUTE)
        for _ in range(MAX_CRASHES):
            await guard.group.clock.sleep_ms(1000)
            await self.crash(guard, call)
        self.assertRaises(Refusal, guard.check, call)
        await guard.group.clock.sleep_ms(RETRIAL_AFTER_MS[0])
        guard.check(call)
        guard.record_completion(call)
        self.assertEqual(0, guard.crashes(call))

    @virtual
    async def test_no_attempt_without_the_word_of_a_keeper(self) -> None:
        guard = self.make_guard()
        call = make_call(ROUTE)
        for crashes in range(1, MAX_CRASHES + 1):
            await guard.group.clock.sleep_ms(1000)
            await self.crash(guard, call)
            digest = guard.suspect_digest(call)
            granted = await guard.begin_trial(call, digest, 'a')
            self.assertEqual(crashes < MAX_CRASHES, granted)
