"""Reservations by gateways that know the list of keepers late."""

import asyncio

import testtools

from pollenwalk.errors import Refusal
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.pauses import MIN_PAUSE_MS
from pollenwalk.request.reservation import Reservation
from standin.store import Faults
from test.helper import virtual
from test.process.test_keepers import KeeperCluster
from test.process.test_member_readings import LateListCluster
from test.request.test_program_turn import MAX_TOKENS, make_call

PAUSE_MS = 2 * MIN_PAUSE_MS
NEW_KEEPERS = ('d', 'z0')


async def outcome_of(group: KeeperGroup, turn: str) -> str:
    """Reserve the whole budget for a turn; return `fits`, or the code of the refusal."""
    reservation = Reservation(group, make_call(turn, MAX_TOKENS), GatewayMetrics())
    try:
        await reservation.recorded
    except Refusal as refusal:
        return str(refusal.code)
    finally:
        reservation.close()
    return 'fits'


class GrownCluster(LateListCluster):
    """Five keepers, of which a paused gateway knows the first three."""

    async def start_grown(self) -> KeeperGroup:
        """Return the paused gateway, once the new keepers are listed."""
        late = await self.start_late_group()
        for name in NEW_KEEPERS:
            await self.start_keeper(name)
            await self.wait(3000)
        return late

    async def reserve_at_new_keepers(self) -> str:
        """Reserve the budget by a gateway that reaches no majority of the old three."""
        other = self.start_group('other', 'd')
        await self.wait(500)
        for name in 'ab':
            self.fabric.cut('other', name)
        return await outcome_of(other, 't1')


class PausedGatewayTest(testtools.TestCase):
    """After a pause a majority is one of the keepers that are listed now."""

    @virtual
    async def test_majority_of_an_old_list_does_not_permit(self) -> None:
        # Guards against a budget that is spent twice, by majorities without a common
        # keeper.
        cluster = GrownCluster()
        late = await cluster.start_grown()
        self.assertEqual('fits', await cluster.reserve_at_new_keepers())
        cluster.fabric.cut('late', 'c')
        self.assertEqual('budget_exhausted', await outcome_of(late, 't2'))

    @virtual
    async def test_unknown_list_does_not_permit(self) -> None:
        # Guards against the same while the store answers nobody.
        cluster = GrownCluster()
        late = await cluster.start_grown()
        cluster.store.faults = Faults(down=True)
        self.assertEqual('keepers_unavailable', await outcome_of(late, 't2'))

    @virtual
    async def test_pause_while_keepers_are_asked(self) -> None:
        # Guards against a majority that was counted before the pause and used after it.
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        reads = cluster.store.reads
        reservation = Reservation(
            group, make_call('t1', 2 * MAX_TOKENS), GatewayMetrics()
        )
        await cluster.wait(0.1)
        group.pauses.beat_at_ms = group.clock.boot_ms() - PAUSE_MS
        await reservation.recorded
        self.assertEqual(reads + 1, cluster.store.reads)

    @virtual
    async def test_no_pause_needs_no_reading(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        reads = cluster.store.reads
        turns = (outcome_of(group, f't{number}') for number in range(2))
        self.assertIn('fits', await asyncio.gather(*turns))
        self.assertEqual(reads, cluster.store.reads)
