"""A turn's reservation while keepers come and go."""

import asyncio

import testtools

from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.process.gateway import deadline_passed
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.keeper_members import Member
from pollenwalk.program.turns import SettleTokens
from pollenwalk.request.call_state import Call
from pollenwalk.request.event_stream import Event
from pollenwalk.request.http_messages import Request, RequestMetadata
from pollenwalk.request.program_turn import ProgramTurn
from pollenwalk.request.reservation import Reservation
from test.helper import virtual
from test.process.test_keepers import KeeperCluster, make_record
from test.request.test_forwarding import STREAM

KEPT = STREAM._replace(keeps_history=True)
MOST = 28


def make_call(turn: str, budget: int, previous: str = '') -> Call:
    """Make a turn of a program."""
    metadata = RequestMetadata(
        turn,
        2000,
        program='p',
        budget=budget,
        max_tokens=MOST,
        previous=previous,
    )
    request = Request(b'POST', b'/p/1', '/p/1', 'h', [], turn.encode(), metadata, 0)
    return Call(request, KEPT, 'up', 1, 2000, 14)


class TurnTest(testtools.TestCase):
    """Prompts, budgets and records of turns."""

    def turn(self, group: KeeperGroup, call: Call) -> ProgramTurn:
        """Make a turn."""
        return ProgramTurn(group, call, GatewayMetrics())

    @virtual
    async def test_the_prompt_is_the_whole_chain(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        first = self.turn(group, make_call('t1', 1000))
        self.assertEqual(b't1', await first.prepare())
        for number in (1, 2):
            await first.before_event(Event(b'', str(number), b'out'))
        await first.before_end()
        first.close()
        second = self.turn(group, make_call('t2', 1000, 't1'))
        self.assertEqual(b't1out\nout\nt2', await second.prepare())
        second.close()

    @virtual
    async def test_a_spent_budget_is_refused_before_the_run(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        first = self.turn(group, make_call('t1', 2 * MOST - 1))
        await first.prepare()
        second = self.turn(group, make_call('t2', 2 * MOST - 1))
        error = await self.refusal(second)
        self.assertEqual(RefusalCode.BUDGET_EXHAUSTED, error.code)
        self.assertEqual(Outcome.NOT_RUN, error.outcome)
        second.close()
        first.close()

    @virtual
    async def test_what_was_not_shown_is_given_back(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        first = self.turn(group, make_call('t1', 2 * MOST - 1))
        await first.prepare()
        await first.before_event(Event(b'', '1', b'out'))
        first.close()
        await cluster.wait(200)
        second = self.turn(group, make_call('t2', 2 * MOST - 1))
        await second.prepare()
        second.close()

    @virtual
    async def test_far_from_the_budget_one_disk_is_enough(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        turn = self.turn(group, make_call('t1', 10_000))
        before_ms = cluster.clock.now_ms()
        cluster.fabric.slow_ms['gateway', 'b'] = 1000
        cluster.fabric.slow_ms['gateway', 'c'] = 1000
        await turn.prepare()
        await turn.before_event(Event(b'', '1', b'out'))
        self.assertTrue(cluster.clock.now_ms() - before_ms < 100)
        turn.close()

    @virtual
    async def test_beside_another_turn_a_majority_is_asked(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        first = self.turn(group, make_call('t1', 10_000))
        await first.prepare()
        cluster.fabric.slow_ms['gateway', 'b'] = 200
        cluster.fabric.slow_ms['gateway', 'c'] = 200
        second = self.turn(group, make_call('t2', 10_000))
        before_ms = cluster.clock.now_ms()
        await second.prepare()
        self.assertTrue(cluster.clock.now_ms() - before_ms >= 200)
        first.close()
        second.close()

    @virtual
    async def test_near_the_budget_tokens_wait_for_a_majority(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        turn = self.turn(group, make_call('t1', MOST))
        cluster.fabric.slow_ms['gateway', 'b'] = 200
        cluster.fabric.slow_ms['gateway', 'c'] = 200
        before_ms = cluster.clock.now_ms()
        await turn.prepare()
        await turn.before_event(Event(b'', '1', b'out'))
        self.assertTrue(cluster.clock.now_ms() - before_ms > 200)
        turn.close()

    @virtual
    async def test_a_lone_turn_near_its_budget_asks_once(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        turn = self.turn(group, make_call('t1', MOST))
        cluster.fabric.slow_ms['gateway', 'b'] = 200
        cluster.fabric.slow_ms['gateway', 'c'] = 200
        before_ms = cluster.clock.now_ms()
        await turn.prepare()
        took_ms = cluster.clock.now_ms() - before_ms
        self.assertTrue(400 <= took_ms < 600, took_ms)
        turn.close()

    @virtual
    async def test_a_turn_found_beyond_its_budget_is_cut(self) -> None:
        """One keeper missed what the two others know."""
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        for number in range(5):
            spent = SettleTokens('p', f'old{number}', MOST, 1000)
            for name in ('b', 'c'):
                await cluster.keepers[name].state.store_record(spent)
        cluster.fabric.slow_ms['gateway', 'b'] = 200
        cluster.fabric.slow_ms['gateway', 'c'] = 200
        turn = self.turn(group, make_call('t1', 5 * MOST))
        await turn.prepare()
        await turn.before_event(Event(b'', '1', b'out'))
        await cluster.wait(500)
        with testtools.ExpectedException(Refusal):
            await turn.before_event(Event(b'', '2', b'out'))
        turn.close()

    @virtual
    async def test_the_end_waits_for_a_majority(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        turn = self.turn(group, make_call('t1', 10_000))
        await turn.prepare()
        turn.close()
        await cluster.wait(200)
        cluster.fabric.cut('gateway', 'b')
        cluster.fabric.cut('gateway', 'c')
        second = self.turn(group, make_call('t2', 10_000))
        await second.prepare()
        await second.before_event(Event(b'', '1', b'out'))
        ending = asyncio.ensure_future(second.before_end())
        await cluster.wait(1500)
        self.assertFalse(ending.done())
        cluster.fabric.heal()
        await cluster.wait(1000)
        self.assertTrue(ending.done())
        await ending
        second.close()

    @virtual
    async def test_a_finished_turn_is_kept_late(self) -> None:
        """Found on a grown day: ready answers were cut after a second."""
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        turn = self.turn(group, make_call('t1', 10_000))
        await turn.prepare()
        await turn.before_event(Event(b'', '1', b'out'))
        for name in 'abc':
            cluster.fabric.cut('gateway', name)
        ending = asyncio.ensure_future(turn.before_end())
        await cluster.wait(1500)
        self.assertFalse(ending.done())
        cluster.fabric.heal()
        await cluster.wait(1000)
        await ending
        self.assertEqual(['t1'], [one.turn for one in await group.load_chain('t1')])
        turn.close()

    @virtual
    async def test_callers_outlast_a_restart(self) -> None:
        """Whoever comes back as told is served when a keeper is back."""
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        for name in ('b', 'c'):
            await cluster.kill(name)
        restarted = asyncio.ensure_future(self.restart(cluster, 'b', 2500))
        refusals = 0
        while await self.is_refused(cluster, self.turn(group, make_call('t', 10_000))):
            refusals += 1
        self.assertTrue(restarted.done())
        self.assertTrue(refusals <= 5, refusals)

    async def restart(self, cluster: KeeperCluster, name: str, after_ms: float) -> None:
        """Start a keeper again, later."""
        await cluster.wait(after_ms)
        await cluster.start_keeper(name)

    async def is_refused(self, cluster: KeeperCluster, turn: ProgramTurn) -> bool:
        """Try a turn; after a refusal wait as long as it says."""
        try:
            await turn.prepare()
        except Refusal as refusal:
            await cluster.wait(refusal.retry_after_ms or 0)
            return True
        finally:
            turn.close()
        return False

    @virtual
    async def test_a_keeper_listed_meanwhile_changes_nothing(self) -> None:
        """Found in an incident: the majority grew while one was awaited."""
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await cluster.kill('b')
        reservation = Reservation(group, make_call('t1', 10_000), GatewayMetrics())
        await cluster.wait(1)
        members = group.links.members.by_name
        members['d'] = Member('d', 'd:1', 'd')
        await reservation.recorded

    @virtual
    async def test_no_majority(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await cluster.kill('b')
        await cluster.kill('c')
        turn = self.turn(group, make_call('t1', 1000))
        error = await self.refusal(turn)
        self.assertEqual(RefusalCode.KEEPERS_UNAVAILABLE, error.code)
        self.assertEqual(Outcome.NOT_RUN, error.outcome)
        turn.close()

    @virtual
    async def test_a_turn_that_cannot_be_kept_has_run(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        turn = self.turn(group, make_call('t1', 1000))
        await turn.prepare()
        await turn.before_event(Event(b'', '1', b'out'))
        await cluster.kill('b')
        await cluster.kill('c')
        with testtools.ExpectedException(TimeoutError):
            async with cluster.clock.timeout_ms(2000):
                await turn.before_end()
        self.assertEqual(Outcome.UNKNOWN, deadline_passed().outcome)
        turn.close()

    @virtual
    async def test_a_forged_previous_turn(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await group.store_turn(make_record('real'))
        turn = self.turn(group, make_call('t1', 1000, 'forged'))
        error = await self.refusal(turn)
        self.assertEqual(RefusalCode.UNKNOWN_TURN, error.code)
        turn.close()

    async def refusal(self, turn: ProgramTurn) -> Refusal:
        """Prepare a turn that must be refused."""
        try:
            await turn.prepare()
        except Refusal as refusal:
            return refusal
        raise AssertionError('not refused')
