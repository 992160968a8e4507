"""A keeper that is stopped leaves the list if it is not needed there."""

import asyncio

import testtools

from pollenwalk.process.keeper_removal import LIST_SETTLED_MS, REMOVE_AFTER_MS
from pollenwalk.program.turns import ReserveTokens
from standin.store import Faults
from test.helper import virtual
from test.process.host_losses import CATCH_UP_MS
from test.process.test_keeper_removal import listed
from test.process.test_keepers import KeeperCluster, clear_cache, make_record
from test.process.test_succession import RECOVER_MS, TURNS


class DepartureTest(testtools.TestCase):
    """What holds when the process has ended."""

    async def start_four(self, cluster: KeeperCluster) -> None:
        """Store turns at three keepers, then start a fourth one."""
        group = await cluster.start_three_with_group()
        for turn in TURNS:
            await group.store_turn(make_record(turn))
        await cluster.start_keeper('d')
        await cluster.wait(CATCH_UP_MS)

    @virtual
    async def test_disk_lost_right_after_a_planned_replacement(self) -> None:
        # Guards against a list that counts a keeper that was stopped for good.
        for wiped in 'bcd':
            cluster = KeeperCluster()
            await self.start_four(cluster)
            await cluster.terminate('a')
            for name in 'bcd':
                await cluster.kill(name)
            cluster.disks[wiped].wipe()
            for name in 'bcd':
                await cluster.start_keeper(name)
            await cluster.wait(RECOVER_MS)
            self.assertTrue(cluster.keepers[wiped].state.complete)
            group = cluster.start_group('other')
            await cluster.wait(1000)
            for turn in TURNS:
                await clear_cache(group)
                chain = await group.chains.load(turn)
                self.assertEqual([turn], [one.turn for one in chain])

    @virtual
    async def test_restarted_keeper_is_listed_again(self) -> None:
        cluster = KeeperCluster()
        await self.start_four(cluster)
        await cluster.terminate('a')
        self.assertEqual('bcd', listed(cluster))
        await cluster.start_keeper('a')
        await cluster.wait(2000)
        self.assertEqual('abcd', listed(cluster))
        members = cluster.keepers['b'].links.members
        self.assertFalse(members.by_name['a'].retiring)

    @virtual
    async def test_restarted_keeper_knows_what_was_reserved(self) -> None:
        # Guards against a majority of which nobody knows a reservation.
        cluster = KeeperCluster()
        await self.start_four(cluster)
        await cluster.terminate('a')
        group = cluster.start_group('other')
        await cluster.wait(500)
        message = ReserveTokens('p', 'r', 10, 60_000.0)
        for name in 'bc':
            link = group.links.link(group.links.members.by_name[name])
            await group.links.request(link, message)
        keeper = await cluster.start_keeper('a')
        await cluster.wait(2000)
        self.assertIn('r', keeper.state.ledger.accounts['p'].entries)

    @virtual
    async def test_needed_keeper_stays_listed(self) -> None:
        cluster = KeeperCluster()
        await cluster.start_three()
        await cluster.terminate('a')
        await cluster.wait(REMOVE_AFTER_MS + LIST_SETTLED_MS + CATCH_UP_MS)
        self.assertEqual('abc', listed(cluster))

    @virtual
    async def test_two_of_five_stopped_at_once_leave_copies(self) -> None:
        cluster = KeeperCluster()
        await self.start_four(cluster)
        await cluster.start_keeper('z0')
        await cluster.wait(CATCH_UP_MS)
        await asyncio.gather(*map(cluster.terminate, 'ab'))
        self.assertEqual({'c', 'd', 'z0'}, set(listed_names(cluster)))
        for turn in TURNS:
            self.assertTrue(len(cluster.keepers_with(turn) - {'a', 'b'}) >= 2, turn)

    @virtual
    async def test_stop_does_not_wait_for_a_store_that_is_away(self) -> None:
        cluster = KeeperCluster()
        await self.start_four(cluster)
        cluster.store.faults = Faults(down=True)
        before_ms = cluster.clock.now_ms()
        await cluster.terminate('a')
        self.assertTrue(cluster.clock.now_ms() - before_ms <= 8000)


def listed_names(cluster: KeeperCluster) -> list[str]:
    """Return the names of the listed keepers."""
    return [key.removeprefix('keepers/') for key in cluster.store.objects]
