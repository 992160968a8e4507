"""A new keeper takes the place of a lost one, and what holds at each moment."""

import testtools

from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.keeper_removal import LIST_SETTLED_MS, REMOVE_AFTER_MS
from test.helper import logged, virtual
from test.process.host_losses import CATCH_UP_MS
from test.process.test_keeper_removal import listed
from test.process.test_keepers import KeeperCluster, clear_cache, make_record

# Longest time from the return of all hosts until the keepers must serve again.
RECOVER_MS = 12_000.0
TURNS = [f't{number}' for number in range(10)]


class SuccessionTest(testtools.TestCase):
    """Service comes back and no turn is lost, whenever the next disk is lost."""

    async def replace(self, cluster: KeeperCluster, caught_up_ms: float) -> KeeperGroup:
        """Store turns, lose keeper `a` for good, and start keeper `d`."""
        group = await cluster.start_three_with_group()
        for turn in TURNS:
            await group.store_turn(make_record(turn))
        await cluster.lose_host('a')
        await cluster.wait(1000)
        await cluster.start_keeper('d')
        await cluster.wait(caught_up_ms)
        return group

    async def lose_power(self, cluster: KeeperCluster, wiped: str) -> None:
        """Kill all keepers but `a` at once; one of them loses its disk."""
        for name in 'bcd':
            await cluster.kill(name)
        cluster.disks[wiped].wipe()
        await cluster.wait(1000)
        for name in 'bcd':
            await cluster.start_keeper(name)

    async def assert_serves(self, cluster: KeeperCluster, group: KeeperGroup) -> None:
        """Check that all listed keepers but `a` are complete and have all turns."""
        for name in 'bcd':
            self.assertTrue(cluster.keepers[name].state.complete, name)
        await clear_cache(group)
        for turn in TURNS:
            chain = await group.chains.load(turn)
            self.assertEqual([turn], [one.turn for one in chain])
            self.assertTrue(len(cluster.keepers_with(turn) - {'a'}) >= 2, turn)
        await cluster.wait(REMOVE_AFTER_MS + LIST_SETTLED_MS + CATCH_UP_MS)
        self.assertEqual('bcd', listed(cluster))

    @virtual
    async def test_disk_lost_soon_after_a_replacement(self) -> None:
        # Guards against keepers that wait for each other, as one that is gone counts.
        for after_ms in (CATCH_UP_MS, CATCH_UP_MS + 1000, CATCH_UP_MS + 4000):
            for wiped in 'bcd':
                cluster = KeeperCluster()
                group = await self.replace(cluster, after_ms)
                await self.lose_power(cluster, wiped)
                await cluster.wait(RECOVER_MS)
                await self.assert_serves(cluster, group)

    @virtual
    async def test_question_for_a_lost_keeper_loses_no_other(self) -> None:
        # Guards against an asker that takes a keeper for lost which tries the lost one.
        cluster = KeeperCluster()
        await cluster.start_three()
        # Only the first keeper looks for lost ones, so `c` does not know of the loss.
        await cluster.lose_host('b')
        with logged('keeper_lost') as lines:
            await cluster.wait(1000)
            await cluster.start_keeper('d')
            await cluster.wait(CATCH_UP_MS)
        self.assertEqual({'b'}, {line['keeper'] for line in lines})
        self.assertFalse(cluster.keepers['d'].links.members.is_counted('b'))


class RestoredCopiesTest(testtools.TestCase):
    """A keeper with an empty disk gets what really lacks copies."""

    @virtual
    async def test_each_turn_is_fetched_once(self) -> None:
        # Guards against a transfer of all records from each keeper over a slow link.
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        for turn in TURNS:
            await group.store_turn(make_record(turn)._replace(input=b'x' * 100_000))
        await cluster.kill('c')
        cluster.disks['c'].wipe()
        await cluster.start_keeper('d')
        await cluster.wait(CATCH_UP_MS)
        before_bytes = cluster.fabric.map.crossed_bytes
        await cluster.start_keeper('c')
        await cluster.wait(CATCH_UP_MS)
        crossed_bytes = cluster.fabric.map.crossed_bytes - before_bytes
        self.assertTrue(crossed_bytes < len(TURNS) * 150_000)
