"""Keepers that retire leave enough copies, whatever happens at the same time."""

import testtools

from pollenwalk.process.keeper_group import KeeperGroup
from standin.store import Faults
from test.helper import virtual
from test.process.test_keepers import KeeperCluster, clear_cache, make_record

TURNS = 10
# All in one region, where copying takes less time than the news of a retirement.
KEEPERS = ('z0', 'z2', 'z4', 'z6')
# Time in which keepers that retire are done.
RETIRED_MS = 6000.0


class RetirementTest(testtools.TestCase):
    """Copies of the turns at the keepers that stay."""

    async def start(
        self, names: tuple[str, ...], zone: str
    ) -> tuple[KeeperCluster, KeeperGroup]:
        """Start keepers and a gateway near the first, and store some turns."""
        cluster = KeeperCluster()
        for name in names:
            await cluster.start_keeper(name, True)
        await cluster.wait(1000)
        group = cluster.start_group('gateway', zone)
        await cluster.wait(500)
        for number in range(TURNS):
            await group.store_turn(make_record(f't{number}'))
        return cluster, group

    async def retire(self, cluster: KeeperCluster, *names: str) -> None:
        """Ask for the retirement of keepers at the same moment."""
        for name in names:
            await cluster.store.put(f'retirements/{name}', b'{"duration_s": 8}', None)

    def is_completed(self, cluster: KeeperCluster, name: str) -> bool:
        """Return whether a keeper has reported that its retirement is completed."""
        status = cluster.store.statuses.get(f'retirements/{name}', {})
        return status.get('state') == 'completed'

    async def remove_completed(self, cluster: KeeperCluster, *names: str) -> None:
        """Wait for the retirement of keepers; remove each as soon as it is completed."""
        left = set(names)
        while left:
            for name in sorted(left):
                if self.is_completed(cluster, name):
                    await cluster.kill(name)
                    cluster.disks[name].wipe()
                    left.remove(name)
            await cluster.wait(20)

    def assert_copies(self, cluster: KeeperCluster, names: str) -> None:
        """Check that the named keepers have two copies of each turn."""
        for number in range(TURNS):
            holders = self.holders(cluster, f't{number}').intersection(names.split())
            self.assertTrue(len(holders) >= 2, (number, holders))

    def holders(self, cluster: KeeperCluster, turn: str) -> set[str]:
        """Return the names of the keepers that have a turn."""
        return {
            name
            for name, keeper in cluster.keepers.items()
            if turn in keeper.state.turns
        }

    @virtual
    async def test_two_at_once_don_t_count_each_other(self) -> None:
        # Guards against keepers that retire in the same moment and each keep the other's
        # copy, so that a single one is left.
        cluster, group = await self.start(KEEPERS, 'z0')
        self.assertEqual({'z0', 'z2'}, self.holders(cluster, 't0'))
        await self.retire(cluster, 'z0', 'z2')
        await self.remove_completed(cluster, 'z0', 'z2')
        self.assert_copies(cluster, 'z4 z6')
        await clear_cache(group)
        chain = await group.chains.load('t0')
        self.assertEqual(['t0'], [one.turn for one in chain])

    @virtual
    async def test_three_at_once_leave_two_copies(self) -> None:
        cluster, _ = await self.start((*KEEPERS, 'z8'), 'z0')
        await self.retire(cluster, 'z0', 'z2', 'z8')
        await self.remove_completed(cluster, 'z0', 'z2', 'z8')
        self.assert_copies(cluster, 'z4 z6')

    @virtual
    async def test_second_retires_while_the_first_copies(self) -> None:
        for delay_ms in range(0, 700, 50):
            cluster, _ = await self.start(KEEPERS, 'z0')
            await self.retire(cluster, 'z0')
            await cluster.wait(delay_ms)
            await self.retire(cluster, 'z2')
            await self.remove_completed(cluster, 'z0', 'z2')
            self.assert_copies(cluster, 'z4 z6')

    @virtual
    async def test_second_cannot_write_that_it_retires(self) -> None:
        cluster, _ = await self.start(KEEPERS, 'z0')
        await self.retire(cluster, 'z0', 'z2')
        await cluster.wait(50)
        cluster.store.faults = Faults(fail_writes=7)
        await self.remove_completed(cluster, 'z0', 'z2')
        self.assert_copies(cluster, 'z4 z6')

    @virtual
    async def test_target_that_loses_its_disk_is_waited_for(self) -> None:
        cluster, _ = await self.start(('z0', 'z2', 'z4'), 'z0')
        await self.retire(cluster, 'z0')
        await cluster.wait(100)
        await cluster.kill('z4')
        cluster.disks['z4'].wipe()
        await cluster.wait(1000)
        await cluster.start_keeper('z4')
        await self.remove_completed(cluster, 'z0')
        self.assert_copies(cluster, 'z2 z4')

    @virtual
    async def test_retirement_waits_if_too_few_stay(self) -> None:
        cluster, _ = await self.start(('z0', 'z2', 'z4'), 'z0')
        await self.retire(cluster, 'z0', 'z2')
        await cluster.wait(RETIRED_MS)
        self.assertFalse(self.is_completed(cluster, 'z0'))
        self.assertFalse(self.is_completed(cluster, 'z2'))
        await cluster.start_keeper('z6')
        await self.remove_completed(cluster, 'z0', 'z2')
        self.assert_copies(cluster, 'z4 z6')

    @virtual
    async def test_keeper_with_a_lost_disk_restores_it_first(self) -> None:
        # Guards against a keeper that has lost its disk, has nothing to hand over and
        # leaves others with single copies.
        cluster, _ = await self.start(KEEPERS, 'z0')
        await cluster.kill('z0')
        cluster.disks['z0'].wipe()
        await self.retire(cluster, 'z0')
        # The records arrive later than the request to retire.
        cluster.fabric.slow_ms['z2', 'z0'] = 50.0
        await cluster.start_keeper('z0')
        await self.remove_completed(cluster, 'z0')
        self.assert_copies(cluster, 'z2 z4 z6')
