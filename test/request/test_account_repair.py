"""Accounts of programs that live for longer than some keepers are asked for them."""

import testtools

from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.program.ledger import entries_to_repair
from pollenwalk.program.turn_index import expiry_delay_ms
from pollenwalk.program.turns import TokenEntry
from pollenwalk.request.program_turn import ProgramTurn
from test.helper import virtual
from test.process.test_keepers import KeeperCluster
from test.request.test_program_turn import MAX_TOKENS, make_call

RETENTION_MS = 10_000.0
TURN_INTERVAL_MS = 5000.0
# Longer than a keeper has an account that is not used.
AWAY_MS = expiry_delay_ms(RETENTION_MS) + 15_000
BUDGET = 10_000


class LongProgram:
    """A program that sends a turn at regular intervals.

    Attributes:
        turns: how many turns it has sent.
    """

    def __init__(self, cluster: KeeperCluster, group: KeeperGroup) -> None:
        """Send nothing yet."""
        self.cluster = cluster
        self.group = group
        self.turns = 0

    async def go_on_for(self, duration_ms: float) -> None:
        """Send turns that spend all tokens that they reserve."""
        end_ms = self.cluster.clock.now_ms() + duration_ms
        while self.cluster.clock.now_ms() < end_ms:
            await self.send()
            await self.cluster.wait(TURN_INTERVAL_MS)

    async def send(self) -> None:
        """Send one turn."""
        self.turns += 1
        call = make_call(f't{self.turns}', BUDGET)
        call = call._replace(route=call.route._replace(retention_ms=RETENTION_MS))
        turn = ProgramTurn(self.group, call, GatewayMetrics())
        await turn.prepare()
        await turn.confirm_beginning()
        turn.tokens = MAX_TOKENS
        turn.close()

    async def spent(self) -> int:
        """Return how many tokens of the program a turn would find to be spent."""
        call = make_call('last', BUDGET)
        turn = ProgramTurn(self.group, call, GatewayMetrics())
        await turn.prepare()
        await turn.confirm_beginning()
        turn.close()
        return turn.reservation.other_tokens


class AccountRepairTest(testtools.TestCase):
    """Keepers are away one after the other, each for longer than an account is kept."""

    @virtual
    async def test_majority_that_was_away_knows_all_turns(self) -> None:
        # Guards against accounts that two of three keepers have dropped in turn.
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        program = LongProgram(cluster, group)
        await program.go_on_for(2 * TURN_INTERVAL_MS)
        for name in ('c', 'b'):
            cluster.fabric.cut('gateway', name)
            await program.go_on_for(AWAY_MS)
            cluster.fabric.heal()
            await program.go_on_for(2 * TURN_INTERVAL_MS)
        await cluster.kill('a')
        await cluster.wait(1000)
        self.assertEqual(program.turns * MAX_TOKENS, await program.spent())

    @virtual
    async def test_keepers_that_know_all_are_told_nothing(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await LongProgram(cluster, group).go_on_for(4 * TURN_INTERVAL_MS)
        kinds = {
            labels['kind']
            for keeper in cluster.keepers.values()
            for labels, _ in keeper.metrics.messages_total.get_all()
        }
        self.assertNotIn('PushRecords', kinds)

    def test_turn_that_is_just_reserved_is_not_repaired(self) -> None:
        reserved = TokenEntry('t2', 5, False)
        settled = TokenEntry('t1', 5, True)
        self.assertEqual([], entries_to_repair([[settled, reserved], [settled]]))
        self.assertEqual([settled], entries_to_repair([[settled], []]))
