"""Tests of where streams began: what gateways and keepers remember of it."""

import testtools

from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.process.stream_origins import MAX_ORIGINS, StreamOrigins
from pollenwalk.process.stream_registry import StreamRegistry
from pollenwalk.program.streams import StreamOrigin
from test.helper import make_clock, virtual
from test.process.test_keepers import KeeperCluster

ORIGIN = StreamOrigin('r1', 'up', 'v1', 8000)


class StreamOriginsTest(testtools.TestCase):
    """The memory of one process."""

    @virtual
    async def test_origin_is_forgotten_after_its_retention(self) -> None:
        clock = make_clock()
        origins = StreamOrigins(clock)
        origins.add(ORIGIN)
        await clock.sleep_ms(7999)
        self.assertEqual(ORIGIN, origins.find('r1'))
        await clock.sleep_ms(1)
        self.assertIsNone(origins.find('r1'))

    @virtual
    async def test_due_origins_are_removed_with_the_next_one(self) -> None:
        clock = make_clock()
        origins = StreamOrigins(clock)
        origins.add(ORIGIN)
        await clock.sleep_ms(8000)
        origins.add(ORIGIN._replace(request='r2'))
        self.assertEqual(['r2'], list(origins.by_request))
        self.assertEqual(['r2'], list(origins.forget_at_ms))

    @virtual
    async def test_number_of_origins_is_bounded(self) -> None:
        origins = StreamOrigins(make_clock())
        for number in range(MAX_ORIGINS + 3):
            origins.add(ORIGIN._replace(request=str(number)))
        self.assertEqual(MAX_ORIGINS, len(origins.by_request))
        self.assertIsNone(origins.find('2'))
        self.assertIsNotNone(origins.find('3'))


class StreamRegistryTest(testtools.TestCase):
    """Gateways that share the origins through three keepers."""

    async def record(self, cluster: KeeperCluster) -> None:
        """Record the origin at one gateway, which then dies."""
        group = await cluster.start_three_with_group()
        StreamRegistry(group).record(ORIGIN)
        await cluster.wait(50)
        await group.tasks.cancel()

    async def start_another(
        self, cluster: KeeperCluster, zone: str = 'a'
    ) -> StreamRegistry:
        """Start another gateway."""
        registry = StreamRegistry(cluster.start_group('another', zone))
        await cluster.wait(500)
        return registry

    @virtual
    async def test_another_gateway_finds_the_origin(self) -> None:
        for zone in ('a', 'c'):
            cluster = KeeperCluster()
            await self.record(cluster)
            registry = await self.start_another(cluster, zone)
            self.assertEqual(ORIGIN, await registry.find('r1'))

    @virtual
    async def test_origin_outlasts_the_loss_of_a_keeper(self) -> None:
        for lost in 'abc':
            cluster = KeeperCluster()
            await self.record(cluster)
            await cluster.kill(lost)
            registry = await self.start_another(cluster)
            self.assertEqual(ORIGIN, await registry.find('r1'))

    @virtual
    async def test_unknown_origin_is_refused_for_good(self) -> None:
        cluster = KeeperCluster()
        await self.record(cluster)
        refusal = await self.refusal_of(await self.start_another(cluster), 'r2')
        self.assertIsNone(refusal.retry_after_ms)

    @virtual
    async def test_unreachable_keepers_may_know_the_origin(self) -> None:
        cluster = KeeperCluster()
        await self.record(cluster)
        await cluster.kill('a')
        await cluster.kill('b')
        refusal = await self.refusal_of(await self.start_another(cluster), 'r1')
        self.assertIsNotNone(refusal.retry_after_ms)

    async def refusal_of(self, registry: StreamRegistry, request: str) -> Refusal:
        """Return the refusal to find an origin."""
        try:
            await registry.find(request)
        except Refusal as refusal:
            self.assertEqual(RefusalCode.UNKNOWN_STREAM, refusal.code)
            self.assertEqual(Outcome.NOT_RUN, refusal.outcome)
            return refusal
        return self.fail('the origin was found')
