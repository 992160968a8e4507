"""Gateways and keepers as real processes that are killed; seeded and short."""

import asyncio
import random

import testtools

from standin.platform.daemons import Daemons, exchange
from test.helper import on_loop
from test.process.test_crashing_requests import DEADLY, DOWN_S, CrashingHost
from test.request.test_forwarding import answers_hello

CONFIGURATION = {
    'version': 1,
    'routes': [
        {
            'name': 'lookup',
            'host': 'lookup.example',
            'path_prefix': '/p/',
            'kind': 'safe',
            'service': 'up',
            'timeout_ms': 2000,
            'max_attempts': 2,
        },
    ],
    'services': [{'name': 'up', 'max_conns': 100}],
    'limits': {'max_body_bytes': 1000},
}
REGIONS = {'here': 'east', 'far': 'west'}
SEED = 40
HOSTS = 4
# After a start of its process a gateway counts as in touch again (`contact_ms`).
CONTACT_S = 4.0
# Service must be back within this time after all processes are (`recover_s`).
RECOVER_S = 12.0
# The platform's rule: a request that crashes the hosts that run it reaches no more than
# three of them after the third crash.
MAX_AFTER_THIRD = 3
REPEATS = 12
MAX_ROUNDS = 12
PARALLEL = 4


class KilledDaemons(Daemons):
    """Two gateways, three keepers, and hosts that crash on some requests.

    Attributes:
        hosts: the hosts.
        rng: draws the gateways that callers reach.
    """

    def __init__(self) -> None:
        """Create a system without processes."""
        super().__init__(REGIONS)
        self.hosts = [
            CrashingHost(f'h{number}', answers_hello) for number in range(HOSTS)
        ]
        self.rng = random.Random(SEED)
        self.sent = 0

    async def start_all(self) -> None:
        """Start everything and wait until the gateways are ready."""
        await self.start(CONFIGURATION)
        for host in self.hosts:
            await self.list_host(await host.start(), 'here')
        for name, zone in (('k1', 'here'), ('k2', 'here'), ('k3', 'far')):
            self.add_keeper(name, zone)
        for name in ('g1', 'g2'):
            self.add_gateway(name, 'here')
        await self.wait_ready()

    async def kill_all(self) -> None:
        """Kill all processes at once; they are back at once."""
        names = list(self.running)
        for name in names:
            self.kill(name)
        for name in names:
            self.restart(name)
        await self.wait_ready()

    async def call(self, body: bytes) -> bytes:
        """Send a request that may be repeated to a drawn gateway."""
        self.sent += 1
        head = (
            'POST /p/x HTTP/1.1\r\nHost: lookup.example\r\n'
            f'X-Pollenwalk-Request-Id: r{self.sent}\r\nConnection: close\r\n'
            f'X-Pollenwalk-Deadline-Ms: 2000\r\nContent-Length: {len(body)}\r\n\r\n'
        )
        address = self.daemons[self.rng.choice(('g1', 'g2'))].address
        return await exchange(address, head.encode() + body)

    async def repeat_deadly(self, times: int) -> None:
        """Send a deadly request again and again, some times in parallel."""
        for _ in range(times):
            await asyncio.gather(*(self.call(DEADLY) for _ in range(PARALLEL)))
            await asyncio.sleep(DOWN_S / 2)

    async def repeat_until_given_up(self) -> None:
        """Send a deadly request until it reaches no host though these are back."""
        for _ in range(MAX_ROUNDS):
            before = self.deadly_runs
            await asyncio.sleep(2 * DOWN_S)
            await self.repeat_deadly(1)
            if self.deadly_runs == before:
                return
        raise AssertionError(f'not given up after {self.deadly_runs} runs')

    @property
    def deadly_runs(self) -> int:
        """Return how many times a deadly request has reached a host."""
        return sum(
            request.body == DEADLY for host in self.hosts for request in host.received
        )

    async def end(self) -> None:
        """End everything that was started."""
        await self.close()
        for host in self.hosts:
            host.stop()


class KilledDaemonsTest(testtools.TestCase):
    """What must hold over kills of all processes."""

    @on_loop
    async def test_service_returns_after_a_kill_of_all(self) -> None:
        # Guards the rule RECOVER: all machines return, and calls are served again.
        system = KilledDaemons()
        try:
            await system.start_all()
            async with asyncio.timeout(RECOVER_S):
                await system.kill_all()
                while b'hello' not in await system.call(b'x'):
                    await asyncio.sleep(0.1)
        finally:
            await system.end()

    @on_loop
    async def test_deadly_request_stays_given_up(self) -> None:
        # Guards the rule BUDGET: what is known of a request that crashes hosts must
        # survive a kill of all processes.
        system = KilledDaemons()
        try:
            runs = await self.runs_after_kill(system)
        finally:
            await system.end()
        self.assertTrue(runs <= MAX_AFTER_THIRD, runs)

    async def runs_after_kill(self, system: KilledDaemons) -> int:
        """Repeat a deadly request, kill all, and repeat it; return how often it ran then."""
        await system.start_all()
        await system.repeat_until_given_up()
        before = system.deadly_runs
        await system.kill_all()
        await asyncio.sleep(CONTACT_S)
        await system.repeat_deadly(REPEATS)
        return system.deadly_runs - before
