"""What a process does that knows the list of keepers late."""

import asyncio

import testtools

from pollenwalk.errors import ConnectionLost, Refusal
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.keeper_members import KEEPERS_PREFIX
from pollenwalk.process.member_readings import MIN_INTERVAL_MS
from standin.store import Faults
from test.helper import virtual
from test.process.test_keepers import KeeperCluster, clear_cache, make_record

PARALLEL = 20


class LateListCluster(KeeperCluster):
    """Keepers, and a gateway that learns of no change of their list."""

    async def start_late_group(self) -> KeeperGroup:
        """Start three keepers and a gateway whose list stays as it is then."""
        await self.start_three()
        group = self.start_group('late')
        await self.wait(500)
        await group.tasks.cancel()
        return group

    async def store_at_new_keeper(self, turn: str) -> None:
        """Add a keeper, and store a turn at it and at the keeper `b` by another gateway."""
        await self.start_keeper('d')
        await self.wait(3000)
        other = self.start_group('other', 'd')
        await self.wait(500)
        near = other.links.link(other.links.members.by_name['a'])
        other.links.mark_lost(near, ConnectionLost('away'))
        await other.store_turn(make_record(turn))


async def outcome_of(group: KeeperGroup, turn: str) -> str:
    """Return `found`, or the code of the refusal."""
    try:
        await group.chains.load(turn)
    except Refusal as refusal:
        return str(refusal.code)
    return 'found'


class LateListTest(testtools.TestCase):
    """A turn is denied only by the list as it is now."""

    @virtual
    async def test_turn_at_a_new_keeper_is_not_denied(self) -> None:
        # Guards against 404 for a turn whose copies are at a keeper that this gateway
        # does not know yet and at one that does not answer.
        cluster = LateListCluster()
        group = await cluster.start_late_group()
        await cluster.store_at_new_keeper('t1')
        self.assertEqual({'b', 'd'}, cluster.keepers_with('t1'))
        await cluster.kill('b')
        self.assertEqual('found', await outcome_of(group, 't1'))

    @virtual
    async def test_turn_is_not_denied_by_an_unknown_list(self) -> None:
        # Guards against 404 by an old list while the store answers nobody.
        cluster = LateListCluster()
        group = await cluster.start_late_group()
        await cluster.store_at_new_keeper('t1')
        await cluster.kill('b')
        cluster.store.faults = Faults(down=True)
        self.assertEqual('keepers_unavailable', await outcome_of(group, 't1'))

    @virtual
    async def test_unreadable_entry_may_be_a_keeper(self) -> None:
        # Guards against 404 while the entry of a keeper that has the turn is unreadable.
        cluster = LateListCluster()
        group = await cluster.start_late_group()
        await cluster.store_at_new_keeper('t1')
        for name in 'bd':
            await cluster.kill(name)
        await cluster.store.put(f'{KEEPERS_PREFIX}d', b'odd', None)
        self.assertEqual('keepers_unavailable', await outcome_of(group, 't1'))

    @virtual
    async def test_cached_turn_needs_no_reading(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await group.store_turn(make_record('t1'))
        reads = cluster.store.reads
        self.assertEqual('found', await outcome_of(group, 't1'))
        await clear_cache(group)
        self.assertEqual('found', await outcome_of(group, 't1'))
        self.assertEqual(reads, cluster.store.reads)


class ReadingsTest(testtools.TestCase):
    """How often the list is read."""

    @virtual
    async def test_requests_at_the_same_time_share_a_reading(self) -> None:
        # Guards against one call of the store for each unknown turn.
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        reads = cluster.store.reads
        outcomes = await asyncio.gather(
            *(outcome_of(group, f'never{number}') for number in range(PARALLEL))
        )
        self.assertEqual(['unknown_turn'] * PARALLEL, outcomes)
        self.assertTrue(cluster.store.reads - reads <= 2)

    @virtual
    async def test_reading_begins_after_it_was_asked_for(self) -> None:
        # Guards against a shared reading that began before one of its requests.
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        cluster.store.faults = Faults(slow_ms=100.0)
        first = asyncio.ensure_future(group.readings.read())
        await cluster.wait(50)
        asked_at_ms = group.clock.boot_ms()
        second = await group.readings.read()
        assert second is not None
        self.assertTrue(second.began_ms >= asked_at_ms)
        earlier = await first
        assert earlier is not None
        self.assertTrue(second.began_ms - earlier.began_ms >= MIN_INTERVAL_MS)
