"""Quotas of organisations, kept by real processes on loopback addresses."""

import asyncio
import contextlib
import json
import sys
from collections import Counter
from collections.abc import AsyncIterator

import testtools

from pollenwalk.policy.quota_bucket import QuotaBound
from standin.platform.daemons import ROOT, Daemons, exchange
from standin.platform.host import Line, Received, ScriptedHost, answer, not_run
from test.helper import on_loop
from test.process.test_killed_daemons import CONFIGURATION, REGIONS
from test.process.test_quotas import most_within

RATE_PER_S = 6.0
BURST = 6.0
ORGANISATIONS = [
    {'name': 'hule', 'api_keys': ['k1'], 'rate_per_s': RATE_PER_S, 'burst': BURST},
    {'name': 'kayu', 'api_keys': ['k2']},
]
QUOTA_SETTINGS = 'quota_window_s = 5\nquota_excess = 0.1\nquota_slack = 2\n'
BOUND = QuotaBound(5000, 0.1, 2)
# Time until the owners are settled and have borrowed from each other.
SETTLE_S = 4.0
CALLS = 150
PAUSE_S = 0.05


class CountingHost:
    """Answers requests, or refuses them, and notes when they arrive.

    Attributes:
        arrived_ms: when requests of the organisation with a quota arrived.
        refuses: whether requests are refused as not run.
    """

    def __init__(self) -> None:
        """Count from zero."""
        self.arrived_ms: list[float] = []
        self.refuses = False

    async def __call__(self, line: Line, request: Received) -> None:
        """Answer one request."""
        if b'hule' in request.body:
            now_s = asyncio.get_running_loop().time()
            self.arrived_ms.append(now_s * 1000)
        line.say(not_run(request) if self.refuses else answer(request))


class QuotaDaemons(Daemons):
    """Two gateways in two regions, three keepers and two hosts."""

    def __init__(self) -> None:
        """Create a system without processes."""
        super().__init__(REGIONS)
        self.counting = CountingHost()
        self.hosts = [ScriptedHost(f'h{number}', self.counting) for number in (1, 2)]
        self.sent = 0

    def spawn(self, name: str) -> None:
        """Start a process that keeps quotas."""
        daemon = self.daemons[name]
        if QUOTA_SETTINGS not in daemon.section:
            section = daemon.section + QUOTA_SETTINGS
            self.daemons[name] = daemon._replace(section=section)
        super().spawn(name)

    async def start_all(self) -> None:
        """Start everything and wait until the gateways and the owners serve."""
        await self.start({**CONFIGURATION, 'tenants': ORGANISATIONS})
        for host in self.hosts:
            await self.list_host(await host.start(), 'here')
        for name, zone in (('k1', 'here'), ('k2', 'here'), ('k3', 'far')):
            self.add_keeper(name, zone)
        for name, zone in (('g1', 'here'), ('g2', 'far')):
            self.add_gateway(name, zone)
        await self.wait_ready()
        await asyncio.sleep(SETTLE_S)

    async def call(self, key: str, body: bytes, gateway: str = 'g1') -> bytes:
        """Send a request of an organisation."""
        self.sent += 1
        head = (
            'POST /p/x HTTP/1.1\r\nHost: lookup.example\r\n'
            f'X-Pollenwalk-Request-Id: r{self.sent}\r\nConnection: close\r\n'
            f'X-Pollenwalk-Credential: {key}\r\n'
            f'X-Pollenwalk-Deadline-Ms: 600\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        return await exchange(self.daemons[gateway].address, head.encode() + body)

    async def load(self) -> Counter[str]:
        """Send requests of both organisations; return the counts of statuses."""
        calls = []
        for number in range(CALLS):
            gateway = ('g1', 'g2')[number % 2]
            calls.append(self.call('k1', b'hule', gateway))
            calls[-1] = asyncio.ensure_future(calls[-1])
            await asyncio.sleep(PAUSE_S)
        return Counter(one.split(b' ')[1].decode() for one in await all_of(calls))

    async def describe(self, organisation: str) -> list[dict[str, object]]:
        """Return what the command prints of a quota."""
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, '-m', 'pollenwalk', 'quota', organisation),
            *('--settings', str(self.folder / 'g1.conf')),
            cwd=ROOT,
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await process.communicate()
        return [json.loads(line) for line in output.splitlines()]

    async def end(self) -> None:
        """End everything that was started."""
        await self.close()
        for host in self.hosts:
            host.stop()


@contextlib.asynccontextmanager
async def started() -> AsyncIterator[QuotaDaemons]:
    """Start a system; end it afterwards."""
    system = QuotaDaemons()
    try:
        await system.start_all()
        yield system
    finally:
        await system.end()


async def all_of(calls: list['asyncio.Future[bytes]']) -> list[bytes]:
    """Wait for some calls."""
    return await asyncio.gather(*calls)


class QuotaDaemonsTest(testtools.TestCase):
    """What callers and hosts see of a quota."""

    def check_sum(self, system: QuotaDaemons) -> None:
        """Check that no window had more requests than the bound allows."""
        most = most_within(BOUND.window_ms, system.counting.arrived_ms)
        self.assertTrue(most <= BOUND.most(RATE_PER_S, BURST), most)

    @on_loop
    async def test_quota_is_kept_and_used(self) -> None:
        async with started() as system:
            statuses = await system.load()
            self.assertEqual({'200', '429'}, set(statuses))
            owed = RATE_PER_S * CALLS * PAUSE_S
            self.assertTrue(statuses['200'] >= owed * 0.95, statuses)
            refused = await all_of(
                [asyncio.ensure_future(system.call('k1', b'hule')) for _ in range(30)]
            )
            self.assertTrue(any(b'retry-after' in one.lower() for one in refused))
            # Another organisation without a quota is not affected.
            self.assertIn(b' 200 ', (await system.call('k2', b'kayu')))
            self.check_sum(system)
            owners = await system.describe('hule')
            self.assertEqual([True] * 3, [owner['answers'] for owner in owners])
            self.assertTrue(owners[0]['granted'] >= statuses['200'], owners)
            names = {one['gateway'] for one in owners[0]['gateways']}
            self.assertEqual({'g1', 'g2'}, names)

    @on_loop
    async def test_further_sends_count(self) -> None:
        # Hosts refuse all requests, so each is sent to both hosts, several times.
        async with started() as system:
            system.counting.refuses = True
            await system.load()
            self.assertTrue(len(system.counting.arrived_ms) > RATE_PER_S * 2)
            self.check_sum(system)

    @on_loop
    async def test_without_owners_nothing_is_sent(self) -> None:
        async with started() as system:
            for name in ('k1', 'k2', 'k3'):
                system.kill(name)
            refused = await system.call('k1', b'hule')
            self.assertIn(b' 503 ', refused)
            self.assertEqual([], system.counting.arrived_ms)
            for name in ('k1', 'k2', 'k3'):
                system.restart(name)
            async with asyncio.timeout(12):
                while b' 200 ' not in await system.call('k1', b'hule'):
                    await asyncio.sleep(0.1)
