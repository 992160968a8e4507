"""Which turns a keeper stores after it was paused."""

from typing import Any

import testtools

from pollenwalk.errors import Refusal
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.keeper_members import KEEPERS_PREFIX
from pollenwalk.process.pauses import MIN_PAUSE_MS
from standin.store import Faults
from test.helper import virtual
from test.process.test_keepers import SLACK_MS, KeeperCluster, make_record

PAUSE_MS = 2 * MIN_PAUSE_MS


class PausedKeeperCluster(KeeperCluster):
    """Three keepers, of which `b` learns of no change of their list."""

    async def start_paused(self) -> KeeperGroup:
        """Start the keepers, pause `b`, and return a gateway that still lists it."""
        group = await self.start_three_with_group()
        await group.tasks.cancel()
        keeper = self.keepers['b']
        await keeper.tasks.cancel()
        keeper.log_writer = keeper.tasks.spawn(keeper.state.log.run(), 'record_log')
        await self.wait(PAUSE_MS)
        return group


async def outcome_at(group: KeeperGroup, name: str) -> Any:
    """Send a turn to one keeper; return `stored`, or the code of the refusal."""
    link = group.links.link(group.links.members.by_name[name])
    try:
        await group.links.request(link, make_record('t1'))
    except Refusal as refusal:
        return str(refusal.code)
    return 'stored'


class PausedKeeperTest(testtools.TestCase):
    """A copy counts only at a keeper that readers ask for it."""

    @virtual
    async def test_removed_in_a_pause(self) -> None:
        # Guards against a turn that counts a copy which no reader looks for.
        cluster = PausedKeeperCluster()
        group = await cluster.start_paused()
        await cluster.store.delete(f'{KEEPERS_PREFIX}b')
        self.assertEqual('retiring', await outcome_at(group, 'b'))
        self.assertEqual(set(), cluster.keepers_with('t1'))
        await group.store_turn(make_record('t2'))
        self.assertEqual({'a', 'c'}, cluster.keepers_with('t2'))

    @virtual
    async def test_replaced_in_a_pause(self) -> None:
        # Guards against the same once another keeper has taken the place.
        cluster = PausedKeeperCluster()
        group = await cluster.start_paused()
        successor = cluster.keepers['c'].own_member
        replaced = cluster.keepers['b'].own_member._replace(successor=successor)
        await cluster.store.put(replaced.key, replaced.encode(), None)
        self.assertEqual('retiring', await outcome_at(group, 'b'))

    @virtual
    async def test_still_listed_after_a_pause(self) -> None:
        cluster = PausedKeeperCluster()
        group = await cluster.start_paused()
        self.assertEqual('stored', await outcome_at(group, 'b'))

    @virtual
    async def test_store_is_away_after_a_pause(self) -> None:
        cluster = PausedKeeperCluster()
        group = await cluster.start_paused()
        cluster.store.faults = Faults(down=True)
        self.assertEqual('stored', await outcome_at(group, 'b'))

    @virtual
    async def test_silent_store_delays_one_turn(self) -> None:
        # Guards against turns that each wait for a store that does not answer.
        cluster = PausedKeeperCluster()
        group = await cluster.start_paused()
        cluster.store.faults = Faults(slow_ms=60_000)
        self.assertEqual('stored', await outcome_at(group, 'b'))
        before_ms = cluster.clock.now_ms()
        self.assertEqual('stored', await outcome_at(group, 'b'))
        self.assertTrue(cluster.clock.now_ms() - before_ms < SLACK_MS)
