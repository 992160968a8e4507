"""Requests that crash whatever host runs them, counted at the hosts.

Gateways, keepers and hosts talk over loopback; hosts and the configuration are read
from a store.
"""

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator
from itertools import count
from typing import NamedTuple, Protocol

import testtools

from pollenwalk.connection.gateway_app import status_of
from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.process.gateway import Gateway
from pollenwalk.process.keeper import Keeper, KeeperSettings
from pollenwalk.process.keeper_state import KeeperState
from pollenwalk.request.call_identity import BEGINNING_BYTES
from pollenwalk.request.http_messages import Request
from standin.memory_disk import MemoryDisk
from standin.platform.host import Line, Received, ScriptedHost, answer
from test.helper import on_loop
from test.process.test_limited_hosts import AT_ONCE_MS, CONFIGURATION, Ended
from test.process.test_stream_versions import (
    NEAR,
    REGIONS,
    Upstream,
    free_port,
    wait_until,
)
from test.request.test_forwarding import RecordedReply, resets_connection

HOSTS = 6
DOWN_S = 0.5
RUN_S = 0.03
# Time from a crash until all gateways must know of it.
NEWS_S = 1.0
# Time from the start of a gateway until it must know of all crashes.
START_NEWS_S = 0.2
# After a crash, all gateways are in touch for this long until sends count as late.
CONTACT_S = 4.0
PAUSE_S = 0.04
REPEATS = 40
# What the platform allows after the third crash, of which nothing should be used.
MAX_CRASHES = 3
DEADLY = b'deadly'
# End of the paths of reads without a body on which hosts crash.
DEADLY_END = '/deadly'
NUMBERS = count()
# Least share of other calls that are answered while there are deadly ones.
WANTED_SERVED = 0.9


class Send(Protocol):
    """Makes one call of a kind at a gateway."""

    async def __call__(self, gateway: Gateway) -> Ended:
        """Return how the call ended."""


def is_deadly(request: Received) -> bool:
    """Return whether a request is one on which all hosts crash."""
    return request.body.startswith(DEADLY) or request.target.endswith(DEADLY_END)


class CrashingHost(ScriptedHost):
    """A host that may crash: it resets all connections and is down for a while.

    Attributes:
        lines: open connections.
        crashes: number of crashes so far.
        crashed_at_s: times of these crashes, on the event loop's clock.
        deadly_end: the end of the bodies on which it crashes besides; None for none.
    """

    def __init__(self, name: str, script: object) -> None:
        """Create a host that has not crashed yet."""
        super().__init__(name, self.run)
        self.lines: set[Line] = set()
        self.crashes = 0
        self.crashed_at_s: list[float] = []
        self.deadly_end: bytes | None = None

    def is_deadly(self, request: Received) -> bool:
        """Return whether the host crashes on a request."""
        if self.deadly_end and request.body.endswith(self.deadly_end):
            return True
        return is_deadly(request)

    async def run(self, line: Line, request: Received) -> None:
        """Answer a request; crash if it is a deadly one."""
        self.lines.add(line)
        await asyncio.sleep(RUN_S)
        if self.is_deadly(request):
            await self.crash()
        elif line in self.lines:
            line.say(answer(request))
            self.lines.discard(line)

    async def crash(self) -> None:
        """Reset all connections and start again after DOWN_S."""
        self.crashes += 1
        self.crashed_at_s.append(asyncio.get_running_loop().time())
        port = self.server.sockets[0].getsockname()[1] if self.server.sockets else 0
        self.server.close()
        for line in self.lines:
            line.reset()
        self.lines.clear()
        if port:
            await asyncio.sleep(DOWN_S)
            self.server = await asyncio.start_server(self.serve, '127.0.0.1', port)


class Arrival(NamedTuple):
    """A deadly request that reached a host."""

    body: bytes
    at_s: float


class CrashingUpstream(Upstream):
    """An upstream whose hosts crash on some requests, with three keepers."""

    host_type = CrashingHost

    def __init__(self) -> None:
        """Create a system without processes."""
        super().__init__()
        self.others = [self.make_other_keeper(name) for name in ('k2', 'k3')]

    def make_other_keeper(self, name: str) -> Keeper:
        """Create one more keeper."""
        address = f'127.0.0.1:{free_port()}'
        settings = KeeperSettings(name, NEAR, REGIONS, address, True, 1)
        state = KeeperState(MemoryDisk(self.clock), self.clock)
        return Keeper(settings, state, self.store, self.network, self.clock)

    async def start(self) -> None:
        """Start the keepers and the hosts."""
        for keeper in (self.keeper, *self.others):
            await keeper.start()
        await self.write('config/main', CONFIGURATION)
        for number in range(HOSTS):
            await self.add_host(f'h{number}', 'v1', NEAR, None)

    async def start_gateways(self, number: int) -> list[Gateway]:
        """Start gateways and wait until all know the keepers."""
        gateways = [await self.start_gateway(f'g{index}') for index in range(number)]
        for gateway in gateways:
            await wait_until(lambda one=gateway: len(one.links.members.by_name) == 3)
        return gateways

    async def call(self, gateway: Gateway, body: bytes) -> Ended:
        """Make one call with a body and return how it ended."""
        request = self.make_request('/safe/1', f'r{next(NUMBERS)}')
        return await self.handle(gateway, request._replace(body=body))

    async def read(self, gateway: Gateway, path: str) -> Ended:
        """Make one call without a body, as a new program; return how it ended."""
        request = self.make_request(path, f'r{next(NUMBERS)}')
        metadata = request.metadata._replace(program=f'p{next(NUMBERS)}')
        read = request._replace(method=b'GET', metadata=metadata)
        return await self.handle(gateway, read)

    async def handle(self, gateway: Gateway, request: Request) -> Ended:
        """Let a gateway handle a request; return how it ended."""
        error = None
        try:
            await gateway.handle(request, RecordedReply())
        except Refusal as refusal:
            error = refusal
        return Ended(error, self.clock.now_ms() - request.arrived_ms)

    async def call_deadly(self, gateway: Gateway) -> Ended:
        """Make a deadly call with a body."""
        return await self.call(gateway, DEADLY)

    async def read_deadly(self, gateway: Gateway) -> Ended:
        """Make a deadly call without a body."""
        return await self.read(gateway, f'/safe{DEADLY_END}')

    async def call_harmless(self, gateway: Gateway) -> Ended:
        """Make a harmless call that differs from all others."""
        return await self.call(gateway, f'harmless {next(NUMBERS)}'.encode())

    async def read_busy(self, gateway: Gateway) -> Ended:
        """Make a harmless call without a body, the same as other programs."""
        return await self.read(gateway, '/safe/busy')

    async def read_at_all(self, gateways: list[Gateway]) -> None:
        """Make the deadly call without a body at all gateways at the same moment."""
        await asyncio.gather(*map(self.read_deadly, gateways))

    def deadly_sends(self) -> int:
        """Return how many deadly requests have reached hosts."""
        return sum(
            is_deadly(request)
            for host in self.hosts.values()
            for request in host.received
        )

    async def repeat(
        self,
        gateways: list[Gateway],
        rng: random.Random,
        repeats: int,
        send: Send | None = None,
    ) -> list[Ended]:
        """Repeat a call at random gateways, some times in parallel."""
        send = send or self.call_deadly
        calls = []
        for _ in range(repeats):
            calls.append(asyncio.ensure_future(send(rng.choice(gateways))))
            await asyncio.sleep(PAUSE_S * rng.choice((0, 1, 2)))
        return await asyncio.gather(*calls)

    async def load(
        self,
        gateways: list[Gateway],
        rng: random.Random,
        until_s: float,
        send: Send | None = None,
    ) -> list[Ended]:
        """Make harmless calls at random gateways."""
        send = send or self.call_harmless
        calls = []
        loop = asyncio.get_running_loop()
        while loop.time() < until_s:
            calls.append(asyncio.ensure_future(send(rng.choice(gateways))))
            await asyncio.sleep(PAUSE_S / 2)
        return await asyncio.gather(*calls)

    async def stop(self) -> None:
        """Stop all processes."""
        await super().stop()
        for keeper in self.others:
            await keeper.tasks.cancel()
        for host in self.hosts.values():
            host.stop()


@contextlib.asynccontextmanager
async def started(gateways: int) -> AsyncIterator[tuple[CrashingUpstream, list]]:
    """Start a system with some gateways; stop it afterwards."""
    upstream = CrashingUpstream()
    await upstream.start()
    try:
        yield upstream, await upstream.start_gateways(gateways)
    finally:
        await upstream.stop()


class CrashingRequestTest(testtools.TestCase):
    """The sum of what all gateways send of a request that crashes hosts."""

    async def check_bound(self, number: int, seed: int, reads: bool = False) -> None:
        """Check that a request is sent to no host once its third crash is known."""
        rng = random.Random(seed)
        async with started(number) as (upstream, gateways):
            send = upstream.read_deadly if reads else upstream.call_deadly
            await upstream.repeat(gateways, rng, REPEATS, send)
            await asyncio.sleep(NEWS_S)
            before = upstream.deadly_sends()
            ended = await upstream.repeat(gateways, rng, REPEATS, send)
            self.assertEqual(before, upstream.deadly_sends(), (number, seed))
        self.assertTrue(before >= MAX_CRASHES, before)
        codes = {one.error.code for one in ended}
        self.assertEqual({RefusalCode.CRASHES_HOSTS}, codes)

    @on_loop
    async def test_four_gateways(self) -> None:
        for seed in (1, 2):
            await self.check_bound(4, seed)

    @on_loop
    async def test_eighteen_gateways(self) -> None:
        await self.check_bound(18, 1)

    @on_loop
    async def test_sixty_gateways(self) -> None:
        await self.check_bound(60, 1)

    @on_loop
    async def test_reads_of_several_programs(self) -> None:
        # Guards against a count of crashes that begins anew with each program.
        for number in (4, 18, 60):
            await self.check_bound(number, 1, reads=True)

    @on_loop
    async def test_gateway_that_starts_knows_of_crashes(self) -> None:
        # Guards against a send by each gateway that has just started.
        async with started(1) as (upstream, gateways):
            await upstream.repeat(gateways, random.Random(1), REPEATS)
            gateway = await upstream.start_gateway('new')
            await asyncio.sleep(START_NEWS_S)
            known = [one.permits.crash_guard.records for one in (*gateways, gateway)]
            self.assertEqual(known[0].size, known[1].size)
            self.assertTrue(known[1].size)

    @on_loop
    async def test_parallel_repeats_that_come_late(self) -> None:
        # Guards against rounds of parallel attempts that count as one crash each.
        async with started(6) as (upstream, gateways):
            loop = asyncio.get_running_loop()
            late_s = loop.time() + CONTACT_S
            await upstream.read_at_all(gateways)
            while loop.time() < late_s + RUN_S:
                await asyncio.sleep(RUN_S)
            before = upstream.deadly_sends()
            for _ in range(MAX_CRASHES):
                await upstream.read_at_all(gateways)
                await asyncio.sleep(2 * DOWN_S)
            late = upstream.deadly_sends() - before
        self.assertTrue(before >= MAX_CRASHES, before)
        self.assertTrue(late <= MAX_CRASHES, (before, late))

    @on_loop
    async def test_keeper_and_gateway_die_meanwhile(self) -> None:
        rng = random.Random(1)
        async with started(4) as (upstream, gateways):
            await upstream.repeat(gateways[:2], rng, REPEATS)
            await upstream.others[0].stop()
            await gateways[0].stop()
            upstream.gateways.remove(gateways[0])
            await asyncio.sleep(NEWS_S)
            before = upstream.deadly_sends()
            gateways.append(await upstream.start_gateway('new'))
            await asyncio.sleep(NEWS_S)
            await upstream.repeat(gateways[1:], rng, REPEATS)
            self.assertEqual(before, upstream.deadly_sends())


class CallersTest(testtools.TestCase):
    """What callers get while there are requests that crash hosts."""

    @on_loop
    async def test_final_answer_comes_at_once(self) -> None:
        async with started(1) as (upstream, gateways):
            ended = await upstream.repeat(gateways, random.Random(1), REPEATS)
        last = ended[-1]
        self.assertEqual(502, status_of(last.error))
        self.assertEqual(Outcome.NOT_RUN, last.error.outcome)
        self.assertIsNone(last.error.retry_after_ms)
        self.assertTrue(last.took_ms < AT_ONCE_MS, last.took_ms)

    @on_loop
    async def test_other_calls_go_on(self) -> None:
        async with started(4) as (upstream, gateways):
            until_s = asyncio.get_running_loop().time() + 4
            deadly = upstream.repeat(gateways, random.Random(1), REPEATS)
            harmless = upstream.load(gateways, random.Random(2), until_s)
            _, ended = await asyncio.gather(deadly, harmless)
        served = sum(one.error is None for one in ended)
        codes = {one.error.code for one in ended if one.error is not None}
        self.assertTrue(served >= WANTED_SERVED * len(ended), (served, len(ended)))
        self.assertNotIn(RefusalCode.CRASHES_HOSTS, codes)

    @on_loop
    async def test_ordinary_crashes_give_up_nobody(self) -> None:
        for reads in (False, True):
            await self.check_ordinary_crashes(reads)

    async def check_ordinary_crashes(self, reads: bool) -> None:
        """Check that no call is given up when hosts crash for other reasons.

        Args:
            reads: whether all calls are the same read, else all differ.
        """
        async with started(4) as (upstream, gateways):
            send = upstream.read_busy if reads else upstream.call_harmless
            until_s = asyncio.get_running_loop().time() + 5
            harmless = upstream.load(gateways, random.Random(2), until_s, send)
            loading = asyncio.ensure_future(harmless)
            rng = random.Random(3)
            while not loading.done():
                host = rng.choice(list(upstream.hosts.values()))
                crash = asyncio.ensure_future(host.crash())
                await asyncio.sleep(PAUSE_S * 4)
            await crash
            ended = await loading
        codes = [one.error.code for one in ended if one.error is not None]
        self.assertNotIn(RefusalCode.CRASHES_HOSTS, codes)
        crashes = sum(host.crashes for host in upstream.hosts.values())
        self.assertTrue(crashes > HOSTS, crashes)


class RecognitionTest(testtools.TestCase):
    """Which requests are taken for repeats of others, and which for innocent."""

    @on_loop
    async def test_repeats_that_only_begin_alike(self) -> None:
        beginning = DEADLY + b' ' * BEGINNING_BYTES
        async with started(2) as (upstream, gateways):
            for number in range(REPEATS):
                body = beginning + str(number).encode()
                await upstream.call(gateways[number % 2], body)
                await asyncio.sleep(PAUSE_S)
            self.assertTrue(upstream.deadly_sends() <= 2 * MAX_CRASHES)

    @on_loop
    async def test_others_with_the_same_beginning_go_on(self) -> None:
        innocent = b' ' * BEGINNING_BYTES
        async with started(1) as (upstream, gateways):
            await upstream.call(gateways[0], innocent + b'first')
            for host in upstream.hosts.values():
                host.deadly_end = b'deadly'
            for _ in range(REPEATS):
                await upstream.call(gateways[0], innocent + b'deadly')
            await asyncio.sleep(2 * DOWN_S)
            ended = await upstream.call(gateways[0], innocent + b'second')
            refused = await upstream.call(gateways[0], innocent + b'deadly')
        self.assertIsNone(ended.error)
        self.assertEqual(RefusalCode.CRASHES_HOSTS, refused.error.code)

    @on_loop
    async def test_run_elsewhere_clears_a_shared_beginning(self) -> None:
        innocent = b' ' * BEGINNING_BYTES
        async with started(2) as (upstream, gateways):
            await upstream.call(gateways[1], innocent + b'first')
            for host in upstream.hosts.values():
                host.deadly_end = b'deadly'
            for number in range(MAX_CRASHES):
                body = innocent + f'{number} deadly'.encode()
                await upstream.call(gateways[0], body)
                await asyncio.sleep(DOWN_S + NEWS_S)
                await upstream.call(gateways[1], innocent + b'second')
                await asyncio.sleep(NEWS_S)
            ended = await upstream.call(gateways[0], innocent + b'third')
        self.assertIsNone(ended.error)

    @on_loop
    async def test_broken_answers_of_a_living_host(self) -> None:
        async with started(1) as (upstream, gateways):
            for host in upstream.hosts.values():
                host.script = resets_connection
            for _ in range(2 * MAX_CRASHES):
                ended = await upstream.call(gateways[0], b'harmless')
                self.assertEqual(RefusalCode.UPSTREAM_FAILED, ended.error.code)
