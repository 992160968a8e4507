"""Lost keepers leave the list once the remaining ones have copies of their turns."""

import testtools

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.keeper_removal import LIST_SETTLED_MS, REMOVE_AFTER_MS
from standin.store import Faults
from test.helper import virtual
from test.process.test_keepers import KeeperCluster, clear_cache, make_record

# Time from the loss of a keeper to its removal, with a second for joining and copying.
REMOVED_MS = REMOVE_AFTER_MS + LIST_SETTLED_MS + 1000


def listed(cluster: KeeperCluster) -> str:
    """Return the names of the listed keepers, in order."""
    keys = sorted(cluster.store.objects)
    return ''.join(key.removeprefix('keepers/') for key in keys)


class RemovalTest(testtools.TestCase):
    """Who is removed, and what is true by then."""

    async def replace_as_planned(self, cluster: KeeperCluster) -> KeeperGroup:
        """Store turns, add keeper `d`, then stop keeper `a` for good."""
        group = await cluster.start_three_with_group()
        for number in range(10):
            await group.store_turn(make_record(f't{number}'))
        await cluster.start_keeper('d')
        await cluster.wait(4000)
        await cluster.kill('a')
        return group

    @virtual
    async def test_stopped_keeper_leaves_the_list(self) -> None:
        # Guards against a list that counts a keeper that is gone for good, as the
        # successor had come first and looked for lost ones only once.
        cluster = KeeperCluster()
        await self.replace_as_planned(cluster)
        self.assertEqual('abcd', listed(cluster))
        await cluster.wait(REMOVED_MS)
        self.assertEqual('bcd', listed(cluster))

    @virtual
    async def test_all_turns_are_kept_if_a_disk_is_lost_later(self) -> None:
        # Guards against turns that have one copy since their keeper was replaced.
        cluster = KeeperCluster()
        group = await self.replace_as_planned(cluster)
        await cluster.wait(REMOVED_MS)
        await cluster.kill('b')
        cluster.disks['b'].wipe()
        keeper = await cluster.start_keeper('b')
        await cluster.wait(2000)
        self.assertTrue(keeper.state.complete)
        for number in range(10):
            await clear_cache(group)
            chain = await group.chains.load(f't{number}')
            self.assertEqual([f't{number}'], [one.turn for one in chain])

    @virtual
    async def test_lost_keeper_leaves_if_successor_restarts(self) -> None:
        # Guards against a lost keeper that only its successor would have removed, which
        # was killed before.
        cluster = KeeperCluster()
        await cluster.start_three_with_group()
        await cluster.kill('a')
        await cluster.start_keeper('d')
        await cluster.wait(1500)
        await cluster.kill('d')
        await cluster.start_keeper('d')
        await cluster.wait(REMOVED_MS)
        self.assertEqual('bcd', listed(cluster))

    @virtual
    async def test_lost_keeper_leaves_once_the_store_is_back(self) -> None:
        cluster = KeeperCluster()
        await self.replace_as_planned(cluster)
        cluster.store.faults = Faults(down=True)
        await cluster.wait(2 * REMOVED_MS)
        cluster.store.faults = Faults()
        await cluster.wait(REMOVED_MS)
        self.assertEqual('bcd', listed(cluster))

    @virtual
    async def test_keepers_with_the_only_copies_stay(self) -> None:
        # Two of five are gone, and a turn may be on just these.
        cluster = KeeperCluster()
        names = ('z0', 'z1', 'z2', 'z3', 'z4')
        for name in names:
            await cluster.start_keeper(name, True)
        await cluster.wait(1000)
        group = cluster.start_group()
        await cluster.wait(500)
        await group.store_turn(make_record('t1'))
        await clear_cache(group)
        for name in cluster.keepers_with('t1'):
            await cluster.kill(name)
        await cluster.wait(2 * REMOVED_MS)
        self.assertEqual(''.join(names), listed(cluster))
        with testtools.ExpectedException(Refusal):
            await group.chains.load('t1')

    @virtual
    async def test_lost_keeper_stays_if_too_few_would_remain(self) -> None:
        cluster = KeeperCluster()
        await cluster.start_three()
        await cluster.kill('c')
        await cluster.wait(2 * REMOVED_MS)
        self.assertEqual('abc', listed(cluster))

    @virtual
    async def test_keeper_that_another_reaches_stays(self) -> None:
        cluster = KeeperCluster()
        await cluster.start_three()
        await cluster.start_keeper('d')
        await cluster.wait(4000)
        for name in 'ab':
            cluster.fabric.cut(name, 'd')
            cluster.fabric.cut('d', name)
        await cluster.wait(2 * REMOVED_MS)
        self.assertEqual('abcd', listed(cluster))

    @virtual
    async def test_removed_keeper_that_lives_comes_back(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await cluster.start_keeper('d')
        await cluster.wait(4000)
        await group.store_turn(make_record('t1'))
        await clear_cache(group)
        for name in 'bcd':
            cluster.fabric.cut(name, 'a')
            cluster.fabric.cut('a', name)
        cluster.fabric.cut('gateway', 'a')
        # As if `a` did not reach the store either.
        cluster.keepers['a'].retired = True
        await cluster.wait(2 * REMOVED_MS)
        self.assertEqual('bcd', listed(cluster))
        chain = await group.chains.load('t1')
        self.assertEqual(['t1'], [one.turn for one in chain])
        cluster.keepers['a'].retired = False
        cluster.fabric.heal()
        await cluster.wait(REMOVED_MS)
        self.assertEqual('abcd', listed(cluster))

    @virtual
    async def test_missing_turn_is_denied_after_a_removal(self) -> None:
        cluster = KeeperCluster()
        group = await self.replace_as_planned(cluster)
        await cluster.wait(REMOVED_MS)
        code = None
        try:
            await group.chains.load('never')
        except Refusal as refusal:
            code = refusal.code
        self.assertEqual(RefusalCode.UNKNOWN_TURN, code)

    @virtual
    async def test_copies_of_an_earlier_question_don_t_count(self) -> None:
        # Guards against a keeper that answers with the result of copies that were asked
        # for and not waited for, before it got more turns.
        cluster = KeeperCluster()
        await cluster.start_three()
        copies = cluster.keepers['a'].copies
        names = ['a', 'b']
        cluster.fabric.slow_ms['b', 'a'] = 300.0
        await cluster.keepers['a'].state.store_record(make_record('t1'))
        self.assertFalse(await copies.ensure_for(names))
        await cluster.wait(10_000)
        await cluster.keepers['a'].state.store_record(make_record('t2'))
        while not await copies.ensure_for(names):
            await cluster.wait(100)
        self.assertIn('t2', cluster.keepers['b'].state.turns)
