"""Turns are kept as long as those that continue them, which may be kept for longer."""

from typing import NamedTuple

import testtools

from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.program.turn_index import TurnIndex, expiry_delay_ms
from test.helper import virtual
from test.process.test_keepers import KeeperCluster, clear_cache, make_record

SHORT_MS = 10_000.0
LONG_MS = 60_000.0
# Before which the turn with the long retention must be there.
LATER_MS = 56_000.0


class Story(NamedTuple):
    """A cluster with a gateway in each region."""

    cluster: KeeperCluster
    east: KeeperGroup
    west: KeeperGroup

    async def first(self) -> None:
        """Answer a turn on a route with a short retention, in the east."""
        await self.east.store_turn(make_record('t1')._replace(retention_ms=SHORT_MS))

    async def chain(self, group: KeeperGroup) -> list[str]:
        """Return the chain of the second turn as a gateway finds it at the keepers."""
        await clear_cache(group)
        return [record.turn for record in await group.load_chain('t2')]


async def start_story() -> Story:
    """Start two keepers and a gateway in each of two regions."""
    cluster = KeeperCluster()
    for name in ('z0', 'z2', 'z1', 'z3'):
        await cluster.start_keeper(name, True)
    await cluster.wait(1000)
    groups = cluster.start_group('east', 'z0'), cluster.start_group('west', 'z1')
    await cluster.wait(500)
    return Story(cluster, *groups)


class LongerRetentionTest(testtools.TestCase):
    """A turn with a short retention is continued by one with a longer one."""

    @virtual
    async def test_predecessor_is_kept_after_a_raise(self) -> None:
        # Guards against a predecessor that expires by its own, shorter retention.
        story = await start_story()
        await story.first()
        await story.cluster.wait(3500)
        await story.east.load_chain('t1')
        record = make_record('t2', 't1')._replace(retention_ms=LONG_MS)
        await story.east.store_turn(record)
        await story.cluster.wait(LATER_MS)
        self.assertEqual(['t1', 't2'], await story.chain(story.west))


class IndexTest(testtools.TestCase):
    """The order in which an index learns of turns does not matter."""

    @virtual
    async def test_predecessor_may_be_read_back_later(self) -> None:
        # Guards against a predecessor that compaction has moved behind its successor.
        clock = KeeperCluster().clock
        index: TurnIndex = TurnIndex(clock)
        index.put(make_record('t2', 't1')._replace(retention_ms=LONG_MS))
        await clock.sleep_ms(1)
        index.put(make_record('t1')._replace(retention_ms=SHORT_MS))
        await clock.sleep_ms(expiry_delay_ms(LONG_MS) - 10)
        self.assertEqual([], index.expire())
        await clock.sleep_ms(20)
        self.assertEqual({'t1', 't2'}, {one.turn for one in index.expire()})

    @virtual
    async def test_time_only_moves_later(self) -> None:
        clock = KeeperCluster().clock
        index: TurnIndex = TurnIndex(clock)
        index.put(make_record('t1')._replace(retention_ms=LONG_MS))
        index.put(make_record('t2', 't1')._replace(retention_ms=SHORT_MS))
        index.keep(['t1'], SHORT_MS)
        await clock.sleep_ms(expiry_delay_ms(SHORT_MS) + 10)
        self.assertEqual(['t2'], [one.turn for one in index.expire()])
