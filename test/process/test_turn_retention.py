"""Turns stay at the keepers as long as the history that they belong to is in use."""

import testtools

from pollenwalk.errors import Refusal
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.program.turn_index import expiry_delay_ms
from test.helper import virtual
from test.process.test_keepers import (
    RETENTION_MS,
    KeeperCluster,
    clear_cache,
    make_record,
)

TURN_INTERVAL_MS = 5000.0
# Longer than a keeper has a turn that is not used.
LONG_MS = expiry_delay_ms(RETENTION_MS) + 20_000
EAST = ('z0', 'z2')
WEST = ('z1', 'z3')


class Line:
    """A history that is continued turn by turn.

    Attributes:
        turns: the ids of its turns.
    """

    def __init__(self, cluster: KeeperCluster) -> None:
        """Start without turns."""
        self.cluster = cluster
        self.turns: list[str] = []

    async def go_on(self, group: KeeperGroup) -> None:
        """Add one turn through a gateway."""
        previous = self.turns[-1] if self.turns else ''
        if previous:
            await group.chains.load(previous)
        # Fixed width, as tests look for ids in the bytes of records.
        turn = f't{len(self.turns):04}'
        await group.store_turn(make_record(turn, previous))
        self.turns.append(turn)

    async def go_on_for(self, group: KeeperGroup, duration_ms: float) -> None:
        """Add turns through a gateway at regular intervals."""
        end_ms = self.cluster.clock.now_ms() + duration_ms
        while self.cluster.clock.now_ms() < end_ms:
            await self.go_on(group)
            await self.cluster.wait(TURN_INTERVAL_MS)


def messages(cluster: KeeperCluster, kind: str) -> float:
    """Return how many messages of a kind all keepers have answered."""
    return sum(
        count
        for keeper in cluster.keepers.values()
        for labels, count in keeper.metrics.messages_total.get_all()
        if labels['kind'] == kind
    )


def copies(cluster: KeeperCluster, turn: str) -> int:
    """Return how many keepers have a turn in memory."""
    return sum(turn in keeper.state.turns for keeper in cluster.keepers.values())


class RetentionTest(testtools.TestCase):
    """Histories that go on for longer than their turns are retained."""

    async def start_two_regions(self) -> tuple[KeeperCluster, KeeperGroup, KeeperGroup]:
        """Start two keepers and a gateway in each of two regions."""
        cluster = KeeperCluster()
        for name in (*EAST, *WEST):
            await cluster.start_keeper(name, True)
        await cluster.wait(1000)
        groups = cluster.start_group('east', 'z0'), cluster.start_group('west', 'z1')
        await cluster.wait(500)
        return cluster, *groups

    @virtual
    async def test_history_that_moved_survives_its_gateway(self) -> None:
        # Guards against first turns that expire at the keepers that alone have them,
        # while the history goes on elsewhere from a gateway's cache.
        cluster, east, west = await self.start_two_regions()
        line = Line(cluster)
        await line.go_on(east)
        await line.go_on_for(west, LONG_MS)
        await clear_cache(west)
        chain = await west.chains.load(line.turns[-1])
        self.assertEqual(line.turns, [one.turn for one in chain])
        self.assertEqual(2, copies(cluster, line.turns[0]))

    @virtual
    async def test_history_survives_a_restart_of_all_keepers(self) -> None:
        # Guards against turns before a gap in the copies of each keeper, which none
        # counts as used.
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        line = Line(cluster)
        await line.go_on_for(group, 3 * TURN_INTERVAL_MS)
        for name in 'abc':
            await cluster.kill(name)
            await line.go_on(group)
            await cluster.start_keeper(name)
            await cluster.wait(5000)
        await line.go_on_for(group, LONG_MS)
        await clear_cache(group)
        chain = await group.chains.load(line.turns[-1])
        self.assertEqual(line.turns, [one.turn for one in chain])

    @virtual
    async def test_turn_that_a_keeper_lacks_is_stored_again(self) -> None:
        cluster, east, west = await self.start_two_regions()
        line = Line(cluster)
        await line.go_on(east)
        cluster.keepers['z2'].state.turns.remove(line.turns[0])
        await line.go_on(west)
        await cluster.wait(1000)
        self.assertTrue(copies(cluster, line.turns[0]) >= 2)

    @virtual
    async def test_keeper_that_was_away_is_told_later(self) -> None:
        cluster, east, west = await self.start_two_regions()
        line = Line(cluster)
        await line.go_on(east)
        cluster.fabric.cut('west', 'z2')
        await line.go_on_for(west, LONG_MS - 40_000)
        cluster.fabric.heal()
        await line.go_on_for(west, LONG_MS)
        self.assertEqual(2, copies(cluster, line.turns[0]))

    @virtual
    async def test_turns_of_an_ended_history_expire(self) -> None:
        cluster, east, west = await self.start_two_regions()
        line = Line(cluster)
        await line.go_on(east)
        await line.go_on_for(west, LONG_MS)
        await cluster.wait(LONG_MS)
        self.assertEqual(0, copies(cluster, line.turns[0]))
        await clear_cache(west)
        with testtools.ExpectedException(Refusal):
            await west.chains.load(line.turns[-1])

    @virtual
    async def test_short_history_costs_no_messages(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        line = Line(cluster)
        await line.go_on_for(group, RETENTION_MS / 2)
        self.assertEqual(0, messages(cluster, 'KeepTurns'))

    @virtual
    async def test_long_history_costs_few_messages(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        line = Line(cluster)
        await line.go_on_for(group, 4 * RETENTION_MS)
        # One for each of two keepers in a quarter of the retention.
        allowed = 2 * 4 * 4
        self.assertTrue(messages(cluster, 'KeepTurns') <= allowed)
