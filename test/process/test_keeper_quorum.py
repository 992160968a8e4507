"""How many keepers a turn asks, and what it waits for while some of them fail."""

import asyncio

import testtools

from pollenwalk.errors import Refusal
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.keeper_broadcast import Broadcast
from pollenwalk.process.keeper_group import SETTLE_INTERVAL_MS, KeeperGroup
from pollenwalk.process.keeper_links import REQUEST_TIMEOUT_MS
from pollenwalk.process.keeper_quorum import SPARE_KEEPERS
from pollenwalk.process.turn_replication import FAR_HEDGE_MS
from pollenwalk.program.turns import FindMissing, SettleTokens
from pollenwalk.request.program_turn import ProgramTurn
from test.helper import virtual
from test.process.test_keepers import RETENTION_MS, KeeperCluster, make_record
from test.request.test_program_turn import make_call

# Records of a keeper that retires, and the time that it has.
RECORDS = 1000
RETIREMENT_MS = 10_000.0
# Time of a turn while all answer: a new connection and a message to another region.
CALM_MS = 150.0


class LargeCluster(KeeperCluster):
    """A cluster with any number of keepers, half of them in each region."""

    async def start_with_group(self, keepers: int) -> KeeperGroup:
        """Start keepers and a gateway that is connected to all of them."""
        for number in range(keepers):
            await self.start_keeper(f'z{number}', True)
        await self.wait(1000)
        group = self.start_group()
        await self.wait(1500)
        await group.tell_all(FindMissing([]))
        return group

    def messages(self) -> dict[str, float]:
        """Return how many messages all keepers have answered, by kind."""
        counts: dict[str, float] = {}
        for keeper in self.keepers.values():
            for labels, count in keeper.metrics.messages_total.get_all():
                kind = labels['kind']
                counts[kind] = counts.get(kind, 0) + count
        return counts

    def synced(self) -> int:
        """Return how many records are on all disks together."""
        return sum(len(disk.records) for disk in self.disks.values())


class QuorumTest(testtools.TestCase):
    """Reservations of turns, with all keepers and with some that fail."""

    async def run_turn(self, cluster: LargeCluster, group: KeeperGroup) -> float:
        """Reserve, settle and let time pass; return how long the reservation took."""
        turn = ProgramTurn(group, make_call('t', 10_000), GatewayMetrics())
        began_ms = cluster.clock.now_ms()
        await turn.prepare()
        await turn.reservation.recorded
        took_ms = cluster.clock.now_ms() - began_ms
        turn.close()
        await cluster.wait(SETTLE_INTERVAL_MS + CALM_MS)
        return took_ms

    @virtual
    async def test_turn_asks_a_majority_and_one_more(self) -> None:
        for keepers in (3, 9, 24):
            cluster = LargeCluster()
            group = await cluster.start_with_group(keepers)
            records = cluster.synced()
            took_ms = await self.run_turn(cluster, group)
            counts = cluster.messages()
            asked = min(keepers // 2 + 1 + SPARE_KEEPERS, keepers)
            self.assertEqual(asked, counts['ReserveTokens'], keepers)
            self.assertEqual(asked, counts['Settlements'], keepers)
            self.assertTrue(cluster.synced() - records <= 2 * asked, keepers)
            self.assertTrue(took_ms < CALM_MS, took_ms)

    @virtual
    async def test_dead_keeper_delays_no_turn(self) -> None:
        cluster = LargeCluster()
        group = await cluster.start_with_group(9)
        asked = {link.member.name for link in group.links.ordered_for('p')[:6]}
        await cluster.kill(min(asked))
        self.assertTrue(await self.run_turn(cluster, group) < CALM_MS)

    @virtual
    async def test_silent_keepers_are_replaced(self) -> None:
        cluster = LargeCluster()
        group = await cluster.start_with_group(9)
        for link in group.links.ordered_for('p')[:3]:
            cluster.nodes[link.member.name].running.clear()
        took_ms = await self.run_turn(cluster, group)
        self.assertTrue(took_ms < FAR_HEDGE_MS + CALM_MS, took_ms)

    @virtual
    async def test_turn_at_another_gateway_sees_the_settlement(self) -> None:
        cluster = LargeCluster()
        group = await cluster.start_with_group(9)
        other = cluster.start_group('other', 'c')
        await cluster.wait(1500)
        first = ProgramTurn(group, make_call('t1', 10_000), GatewayMetrics())
        await first.prepare()
        await first.reservation.recorded
        first.tokens = 14
        first.close()
        await cluster.wait(SETTLE_INTERVAL_MS + CALM_MS)
        second = ProgramTurn(other, make_call('t2', 10_000), GatewayMetrics())
        await second.prepare()
        await second.reservation.recorded
        self.assertEqual(14, second.reservation.other_tokens)
        second.close()


class BroadcastTest(testtools.TestCase):
    """What comes of a message to several keepers."""

    @virtual
    async def test_silent_keeper_is_lost_after_the_timeout(self) -> None:
        cluster = LargeCluster()
        group = await cluster.start_with_group(3)
        cluster.nodes['z1'].running.clear()
        began_ms = cluster.clock.now_ms()
        broadcast = Broadcast(group.links)
        broadcast.send_to(group.links.ordered(), FindMissing([]))
        answers = [await broadcast.next() for _ in range(3)]
        self.assertEqual(0, broadcast.outstanding)
        failed = [one.link.member.name for one in answers if one.answer is None]
        self.assertEqual(['z1'], failed)
        took_ms = cluster.clock.now_ms() - began_ms
        self.assertTrue(took_ms <= REQUEST_TIMEOUT_MS + 10, took_ms)
        self.assertTrue(group.links.by_name['z1'].is_lost)

    @virtual
    async def test_nothing_is_kept_of_requests_that_have_ended(self) -> None:
        cluster = LargeCluster()
        group = await cluster.start_with_group(9)
        for _ in range(3):
            await group.tell_all(FindMissing([]))
            answers = group.request_quorum('p', FindMissing([]), set())
            self.assertIsNotNone(await anext(answers))
            await answers.aclose()
        await cluster.wait(REQUEST_TIMEOUT_MS + CALM_MS)
        waiting = [
            link.peer.connection.pending.queues for link in group.links.by_name.values()
        ]
        self.assertEqual([{}] * 9, waiting)

    @virtual
    async def test_keeper_that_ends_is_lost_at_once(self) -> None:
        cluster = LargeCluster()
        group = await cluster.start_with_group(3)
        cluster.nodes['z1'].running.clear()
        broadcast = Broadcast(group.links)
        broadcast.send_to(group.links.ordered(), FindMissing([]))
        await cluster.kill('z1')
        async with asyncio.timeout(0.3):
            answers = [await broadcast.next() for _ in range(3)]
        self.assertEqual(1, sum(one.answer is None for one in answers))
        self.assertTrue(group.links.by_name['z1'].is_lost)

    @virtual
    async def test_settlement_goes_to_those_that_were_asked(self) -> None:
        cluster = LargeCluster()
        group = await cluster.start_with_group(9)
        group.settle(SettleTokens('p', 't', 5, RETENTION_MS), {'z1', 'z2'})
        await cluster.wait(SETTLE_INTERVAL_MS + CALM_MS)
        known = {
            name
            for name, keeper in cluster.keepers.items()
            if keeper.state.ledger.accounts
        }
        self.assertEqual({'z1', 'z2'}, known)


class FindingTest(testtools.TestCase):
    """How long it takes to find a turn, or that there is none."""

    @virtual
    async def test_turn_of_another_region_is_found_soon(self) -> None:
        cluster = LargeCluster()
        group = await cluster.start_with_group(24)
        other = cluster.start_group('other', 'c')
        await cluster.wait(1500)
        await other.store_turn(make_record('t1'))
        began_ms = cluster.clock.now_ms()
        chain = await group.chains.load('t1')
        self.assertEqual(['t1'], [one.turn for one in chain])
        self.assertTrue(cluster.clock.now_ms() - began_ms < CALM_MS)

    @virtual
    async def test_unknown_turn_is_refused_soon(self) -> None:
        cluster = LargeCluster()
        group = await cluster.start_with_group(24)
        began_ms = cluster.clock.now_ms()
        with testtools.ExpectedException(Refusal):
            await group.chains.load('never')
        self.assertTrue(cluster.clock.now_ms() - began_ms < CALM_MS)


class RetirementTest(testtools.TestCase):
    """How long a keeper of a large fleet takes to hand over its records."""

    @virtual
    async def test_many_keepers_do_not_delay_a_retirement(self) -> None:
        cluster = LargeCluster()
        await cluster.start_with_group(24)
        keeper = cluster.keepers['z0']
        for number in range(RECORDS):
            settled = SettleTokens(f'p{number}', f't{number}', 5, RETENTION_MS)
            keeper.state.apply_tokens(settled)
        await cluster.store.put('retirements/z0', b'{"duration_s": 10}', None)
        began_ms = cluster.clock.now_ms()
        while cluster.store.statuses.get('retirements/z0') != {'state': 'completed'}:
            await cluster.wait(100)
            took_ms = cluster.clock.now_ms() - began_ms
            self.assertTrue(took_ms < RETIREMENT_MS, took_ms)
