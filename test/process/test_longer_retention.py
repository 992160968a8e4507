"""Turns are kept as long as those that continue them, which may be kept for longer."""

from typing import NamedTuple

import testtools

from pollenwalk.connection.wire import encode_datagram
from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.program.turn_index import TurnIndex, expiry_delay_ms
from pollenwalk.program.turns import RaiseRetention, ReserveTokens
from pollenwalk.version.routes import CallerLimits, RoutingConfiguration
from test.helper import virtual
from test.process.test_keepers import KeeperCluster, clear_cache, make_record
from test.request.test_forwarding import STREAM

SHORT_MS = 10_000.0
LONG_MS = 60_000.0
# After which a turn with the short retention is gone if nothing needs it.
GONE_MS = expiry_delay_ms(SHORT_MS) + 6000
# For so long, in so many turns, a history goes on while a keeper with a copy isn't told.
UNTOLD_MS = 100_000.0
UNTOLD_TURNS = 20
# Before which the turn with the long retention must be there.
LATER_MS = 56_000.0


class TwoRegions(NamedTuple):
    """A cluster with a gateway in each region."""

    cluster: KeeperCluster
    east: KeeperGroup
    west: KeeperGroup

    async def first(self) -> None:
        """Answer a turn on a route with a short retention, in the east."""
        await self.east.store_turn(make_record('t1')._replace(retention_ms=SHORT_MS))

    async def second_alone(self) -> None:
        """Answer a turn without predecessors on a route with a long retention."""
        await self.east.store_turn(make_record('t2')._replace(retention_ms=LONG_MS))

    async def second(self, group: KeeperGroup) -> None:
        """Answer a turn that continues it, on a route with a long retention."""
        await answer(group, 't2', 't1', LONG_MS)

    async def chain(self, group: KeeperGroup) -> list[str]:
        """Return the chain of the second turn as a gateway finds it at the keepers."""
        await clear_cache(group)
        return [record.turn for record in await group.chains.load('t2')]

    def copies(self, turn: str) -> int:
        """Return how many keepers have a turn."""
        keepers = self.cluster.keepers.values()
        return sum(turn in keeper.state.turns for keeper in keepers)


async def answer(
    group: KeeperGroup, turn: str, previous: str, retention_ms: float
) -> None:
    """Store a turn as a gateway does before the end of its answer."""
    chain = await group.chains.load(previous, retention_ms)
    record = make_record(turn, previous)._replace(retention_ms=retention_ms)
    await group.store_turn(record)
    turns = [*(one.turn for one in chain), turn]
    await group.retry_until_acknowledged(
        lambda: group.chains.confirm(turns, retention_ms)
    )


def configuration(version: int, retention_ms: float) -> RoutingConfiguration:
    """Return a version with one route."""
    route = STREAM._replace(keeps_history=True, retention_ms=retention_ms)
    return RoutingConfiguration(version, {'h': (route,)}, {}, CallerLimits(0))


async def start_two_regions() -> TwoRegions:
    """Start two keepers and a gateway in each of two regions."""
    cluster = KeeperCluster()
    for name in ('z0', 'z2', 'z1', 'z3'):
        await cluster.start_keeper(name, True)
    await cluster.wait(1000)
    groups = cluster.start_group('east', 'z0'), cluster.start_group('west', 'z1')
    await cluster.wait(500)
    return TwoRegions(cluster, *groups)


class LongerRetentionTest(testtools.TestCase):
    """A turn with a short retention is continued by one with a longer one."""

    @virtual
    async def test_predecessor_is_kept_after_a_raise(self) -> None:
        # Guards against a predecessor that expires by its own, shorter retention.
        regions = await start_two_regions()
        await regions.first()
        await regions.cluster.wait(3500)
        await regions.east.chains.load('t1')
        record = make_record('t2', 't1')._replace(retention_ms=LONG_MS)
        await regions.east.store_turn(record)
        await regions.cluster.wait(LATER_MS)
        self.assertEqual(['t1', 't2'], await regions.chain(regions.west))

    @virtual
    async def test_predecessor_is_kept_where_the_turn_is_not(self) -> None:
        # Guards against keepers that are told of a use, but not for how long.
        regions = await start_two_regions()
        await regions.first()
        await regions.second(regions.west)
        await regions.cluster.wait(LATER_MS)
        self.assertEqual(['t1', 't2'], await regions.chain(regions.west))
        self.assertEqual(2, regions.copies('t1'))

    @virtual
    async def test_retention_survives_a_power_loss_of_all(self) -> None:
        # Guards against a longer retention that is known in memory alone.
        regions = await start_two_regions()
        await regions.first()
        await regions.second(regions.west)
        for name in list(regions.cluster.keepers):
            await regions.cluster.kill(name)
        for name in list(regions.cluster.keepers):
            await regions.cluster.start_keeper(name)
        await regions.cluster.wait(LATER_MS)
        self.assertEqual(['t1', 't2'], await regions.chain(regions.west))

    @virtual
    async def test_retention_survives_compactions(self) -> None:
        # Guards against a retention on disk that goes with the segment it is in.
        regions = await start_two_regions()
        for disk in regions.cluster.disks.values():
            disk.segment_bytes = 1
        await regions.first()
        await regions.second(regions.west)
        for name in ('z0', 'z2'):
            state = regions.cluster.keepers[name].state
            for segment in list(state.log.closed_segments()):
                await state.compaction.compact(segment)
            await regions.cluster.kill(name)
            await regions.cluster.start_keeper(name)
        await regions.cluster.wait(LATER_MS)
        self.assertEqual(2, regions.copies('t1'))

    @virtual
    async def test_answer_waits_for_keepers_of_its_chain(self) -> None:
        # Guards against a renewal that a keeper misses while the last turn ends.
        regions = await start_two_regions()
        await regions.first()
        regions.cluster.fabric.cut('west', 'z2')
        await regions.second(regions.west)
        regions.cluster.fabric.heal()
        await regions.cluster.wait(GONE_MS)
        self.assertTrue(regions.copies('t1') >= 2)

    @virtual
    async def test_answer_that_ends_late_is_kept_from_then_on(self) -> None:
        # Guards against a retention that begins when a turn is stored.
        regions = await start_two_regions()
        await regions.first()
        await regions.cluster.wait(GONE_MS - 10_000)
        await regions.east.chains.confirm(['t1'], SHORT_MS)
        await regions.cluster.wait(SHORT_MS + 10_000)
        self.assertEqual(2, regions.copies('t1'))

    @virtual
    async def test_copies_have_the_longer_retention(self) -> None:
        # Guards against copies that start anew with the retention of the record.
        regions = await start_two_regions()
        await regions.first()
        await regions.second(regions.west)
        await regions.cluster.terminate('z0')
        for name in ('z2', 'z1', 'z3'):
            await regions.cluster.kill(name)
            await regions.cluster.start_keeper(name)
        await regions.cluster.wait(GONE_MS)
        self.assertTrue(regions.copies('t1') >= 2)

    @virtual
    async def test_retiring_keeper_confirms_nothing(self) -> None:
        # Guards against a retention that is told to a keeper after its handover.
        regions = await start_two_regions()
        await regions.first()
        retiring = regions.cluster.keepers['z0']
        retiring.own_member = retiring.own_member._replace(retiring=True)
        await regions.second(regions.west)
        regions.cluster.keepers.pop('z0')
        await regions.cluster.wait(GONE_MS)
        self.assertTrue(regions.copies('t1') >= 2)

    @virtual
    async def test_former_keepers_get_what_they_know(self) -> None:
        regions = await start_two_regions()
        for name in ('z0', 'z2'):
            keeper = regions.cluster.keepers[name]
            keeper.own_member = keeper.own_member._replace(extends_turns=False)
        await regions.cluster.wait(1000)
        await regions.first()
        await regions.second(regions.west)
        counted = {
            name: {
                labels['kind']
                for labels, _ in keeper.metrics.messages_total.get_all()
                if labels['kind'] in {'KeepTurns', 'ExtendTurns'}
            }
            for name, keeper in regions.cluster.keepers.items()
        }
        self.assertEqual({'KeepTurns'}, counted['z0'] | counted['z2'])


class RaiseTest(testtools.TestCase):
    """The retention of a route is raised after the last turn."""

    @virtual
    async def test_raise_holds_for_turns_that_are_kept(self) -> None:
        # Guards against a turn that expires by the retention at the time of its answer.
        regions = await start_two_regions()
        regions.east.raises.apply(configuration(1, SHORT_MS))
        await regions.first()
        regions.east.raises.apply(configuration(2, LONG_MS))
        await regions.cluster.wait(1000)
        for name in ('z0', 'z2'):
            await regions.cluster.kill(name)
            await regions.cluster.start_keeper(name)
        await regions.cluster.wait(LATER_MS)
        self.assertEqual(2, regions.copies('t1'))

    @virtual
    async def test_keeper_that_is_away_learns_it_later(self) -> None:
        # Guards against a raise that a keeper misses.
        regions = await start_two_regions()
        regions.east.raises.apply(configuration(1, SHORT_MS))
        await regions.first()
        regions.cluster.fabric.cut('east', 'z0')
        regions.east.raises.apply(configuration(2, LONG_MS))
        await regions.cluster.wait(20_000)
        regions.cluster.fabric.heal()
        await regions.cluster.wait(LATER_MS - 20_000)
        self.assertEqual(2, regions.copies('t1'))

    @virtual
    async def test_raise_holds_for_accounts(self) -> None:
        # Guards against a stopped program that returns to a fresh budget.
        regions = await start_two_regions()
        state = regions.cluster.keepers['z0'].state
        await state.reserve(ReserveTokens('p', 't1', 5, SHORT_MS))
        await state.raise_retention(RaiseRetention(SHORT_MS, LONG_MS))
        await regions.cluster.kill('z0')
        keeper = await regions.cluster.start_keeper('z0')
        await regions.cluster.wait(LATER_MS)
        self.assertIn('p', keeper.state.ledger.accounts)

    @virtual
    async def test_lowered_retention_changes_nothing(self) -> None:
        regions = await start_two_regions()
        regions.east.raises.apply(configuration(1, LONG_MS))
        await regions.second_alone()
        regions.east.raises.apply(configuration(2, SHORT_MS))
        await regions.cluster.wait(LATER_MS)
        self.assertEqual(2, regions.copies('t2'))


class UntoldCopyTest(testtools.TestCase):
    """A keeper beside those that are told has a copy, which comes to count later."""

    async def start_with_untold_copy(self) -> TwoRegions:
        """Let a history go on for long while another keeper has its first turn."""
        regions = await start_two_regions()
        await regions.east.store_turn(make_record('t1'))
        record = encode_datagram(make_record('t1'))
        await regions.cluster.keepers['z1'].state.add_records([record])
        for number in range(2, UNTOLD_TURNS):
            await regions.cluster.wait(UNTOLD_MS / UNTOLD_TURNS)
            await answer(regions.east, f't{number}', f't{number - 1}', LONG_MS)
        return regions

    @virtual
    async def test_copy_counts_after_a_planned_stop(self) -> None:
        # Guards against a copy that counts for a stopped keeper and soon expires.
        regions = await start_two_regions()
        for name in ('z4', 'z5'):
            await regions.cluster.start_keeper(name, True)
        await regions.cluster.wait(1000)
        await regions.first()
        record = make_record('t1')._replace(retention_ms=SHORT_MS)
        await regions.cluster.keepers['z4'].state.add_records([encode_datagram(record)])
        await regions.second(regions.west)
        await regions.cluster.terminate('z0')
        regions.cluster.keepers.pop('z0')
        await regions.cluster.wait(GONE_MS)
        self.assertEqual(2, regions.copies('t1'))

    @virtual
    async def test_copy_counts_after_a_replacement(self) -> None:
        # Guards against a copy that counts for a lost keeper and soon expires.
        regions = await self.start_with_untold_copy()
        await regions.cluster.lose_host('z0')
        regions.cluster.keepers.pop('z0')
        await regions.cluster.start_keeper('z4')
        await regions.cluster.wait(LATER_MS)
        self.assertTrue(regions.copies('t1') >= 2)


class GapTest(testtools.TestCase):
    """A turn exists, but one before it does not."""

    @virtual
    async def test_turn_with_a_lost_predecessor_is_not_denied(self) -> None:
        # Guards against a 404 for a turn that exists.
        regions = await start_two_regions()
        await regions.first()
        await regions.second(regions.east)
        for keeper in regions.cluster.keepers.values():
            if 't1' in keeper.state.turns:
                keeper.state.turns.remove('t1')
        refusal = await self.refusal_of(regions)
        self.assertEqual(RefusalCode.HISTORY_INCOMPLETE, refusal.code)
        self.assertIsNotNone(refusal.retry_after_ms)

    @virtual
    async def test_expired_turn_in_a_cache_is_denied(self) -> None:
        regions = await start_two_regions()
        await regions.first()
        await regions.second(regions.east)
        await regions.cluster.wait(expiry_delay_ms(LONG_MS) + 6000)
        regions.east.chains.cache.remove('t1')
        refusal = await self.refusal_of(regions, clears=False)
        self.assertEqual(RefusalCode.UNKNOWN_TURN, refusal.code)

    async def refusal_of(self, regions: TwoRegions, clears: bool = True) -> Refusal:
        """Return the refusal of a turn that continues the second one."""
        if clears:
            await clear_cache(regions.east)
        try:
            await regions.east.chains.load('t2')
        except Refusal as refusal:
            return refusal
        raise AssertionError('the chain was found')


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
