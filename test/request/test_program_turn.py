"""Prompts, reservations and records of turns while keepers come and go."""

import asyncio
import random
from typing import NamedTuple

import testtools

from pollenwalk.connection.connection_pool import ConnectionPool
from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.connection.upstream_connection import UpstreamConnection
from pollenwalk.errors import BrokenAnswer, Outcome, Refusal, RefusalCode
from pollenwalk.policy.host_choice import EarliestFinish
from pollenwalk.process.call_placer import CallPlacer
from pollenwalk.process.clock import Clock
from pollenwalk.process.gateway import deadline_passed
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.host_table import HostTable
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.keeper_members import Member
from pollenwalk.process.permit_client import PermitClient
from pollenwalk.process.stream_registry import StreamRegistry
from pollenwalk.program.turns import SettleTokens
from pollenwalk.request.call_sender import ForwardingContext
from pollenwalk.request.event_stream import Event
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.http_messages import Request, RequestMetadata
from pollenwalk.request.program_turn import ProgramTurn
from pollenwalk.request.reservation import Reservation
from pollenwalk.request.streaming import run_stream
from pollenwalk.version.organisations import Organisation
from test.helper import Fields, logged, virtual
from test.process.test_keepers import KeeperCluster, make_record
from test.request.test_forwarding import STREAM, RecordedReply, make_group

HISTORY_ROUTE = STREAM._replace(keeps_history=True)
MAX_TOKENS = 28
# The events of one answer.
EVENTS = 4
EVENT_INTERVAL_MS = 40


def make_call(turn: str, budget: int, previous: str = '') -> Call:
    """Return the call of a turn of a program with a token budget."""
    metadata = RequestMetadata(
        turn,
        2000,
        program='p',
        budget=budget,
        max_tokens=MAX_TOKENS,
        previous=previous,
    )
    request = Request(b'POST', b'/p/1', '/p/1', 'h', [], turn.encode(), metadata, 0)
    return Call(request, HISTORY_ROUTE, 'up', 1, 2000, 14)


class TurnEnd(NamedTuple):
    """How a turn went.

    Attributes:
        permitted: whether it was permitted to run.
        shown_events: how many of its events were permitted.
        refused: whether its budget was found to be exhausted.
    """

    permitted: bool
    shown_events: int
    refused: bool


class UnreachableHosts(ConnectionPool):
    """A pool without connections.

    Attributes:
        requests: how many connections were asked for.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a pool that nothing was asked of."""
        super().__init__(clock)
        self.requests = 0

    async def acquire(self, host: UpstreamHost, request: str) -> UpstreamConnection:
        """Refuse to connect."""
        self.requests += 1
        raise Refusal(RefusalCode.UPSTREAM_FAILED, 'unreachable', Outcome.UNKNOWN)


class TurnTest(testtools.TestCase):
    """Turns of a program that three keepers store."""

    def make_turn(self, group: KeeperGroup, call: Call) -> ProgramTurn:
        """Return a turn that nothing is reserved for yet."""
        return ProgramTurn(group, call, GatewayMetrics())

    @virtual
    async def test_prompt_has_the_whole_chain(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        first = self.make_turn(group, make_call('t1', 1000))
        self.assertEqual(b't1', await first.prepare())
        for number in (1, 2):
            await first.before_event(Event(b'', str(number), b'out'))
        await first.before_end()
        first.close()
        second = self.make_turn(group, make_call('t2', 1000, 't1'))
        self.assertEqual(b't1out\nout\nt2', await second.prepare())
        second.close()

    @virtual
    async def test_spent_budget_is_refused_before_the_run(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        first = self.make_turn(group, make_call('t1', 2 * MAX_TOKENS - 1))
        await first.prepare()
        second = self.make_turn(group, make_call('t2', 2 * MAX_TOKENS - 1))
        error = await self.refusal_of(second)
        self.assertEqual(RefusalCode.BUDGET_EXHAUSTED, error.code)
        self.assertEqual(Outcome.NOT_RUN, error.outcome)
        second.close()
        first.close()

    @virtual
    async def test_unused_tokens_are_returned_to_the_budget(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        first = self.make_turn(group, make_call('t1', 2 * MAX_TOKENS - 1))
        await first.prepare()
        await first.before_event(Event(b'', '1', b'out'))
        first.close()
        await cluster.wait(200)
        second = self.make_turn(group, make_call('t2', 2 * MAX_TOKENS - 1))
        await second.prepare()
        second.close()

    @virtual
    async def test_one_keeper_suffices_to_run_a_turn(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        turn = self.make_turn(group, make_call('t1', 10_000))
        started_ms = cluster.clock.now_ms()
        cluster.fabric.slow_ms['gateway', 'b'] = 1000
        cluster.fabric.slow_ms['gateway', 'c'] = 1000
        await turn.prepare()
        self.assertTrue(cluster.clock.now_ms() - started_ms < 100)
        turn.close()

    @virtual
    async def test_events_wait_for_a_majority_of_the_keepers(self) -> None:
        """An event without data begins the answer, too."""
        for payload in (b'out', None):
            cluster = KeeperCluster()
            group = await cluster.start_three_with_group()
            turn = self.make_turn(group, make_call('t1', 10_000))
            started_ms = cluster.clock.now_ms()
            cluster.fabric.slow_ms['gateway', 'b'] = 200
            cluster.fabric.slow_ms['gateway', 'c'] = 200
            await turn.prepare()
            await turn.before_event(Event(b'', '1', payload))
            shown_after_ms = cluster.clock.now_ms() - started_ms
            self.assertTrue(400 <= shown_after_ms < 500, shown_after_ms)
            await turn.before_event(Event(b'', '2', payload))
            self.assertEqual(shown_after_ms, cluster.clock.now_ms() - started_ms)
            turn.close()

    @virtual
    async def test_concurrent_turn_waits_for_a_majority(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        first = self.make_turn(group, make_call('t1', 10_000))
        await first.prepare()
        cluster.fabric.slow_ms['gateway', 'b'] = 200
        cluster.fabric.slow_ms['gateway', 'c'] = 200
        second = self.make_turn(group, make_call('t2', 10_000))
        started_ms = cluster.clock.now_ms()
        await second.prepare()
        self.assertTrue(cluster.clock.now_ms() - started_ms >= 200)
        first.close()
        second.close()

    @virtual
    async def test_turn_near_the_budget_waits_for_a_majority(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        turn = self.make_turn(group, make_call('t1', MAX_TOKENS))
        cluster.fabric.slow_ms['gateway', 'b'] = 200
        cluster.fabric.slow_ms['gateway', 'c'] = 200
        started_ms = cluster.clock.now_ms()
        await turn.prepare()
        await turn.before_event(Event(b'', '1', b'out'))
        self.assertTrue(cluster.clock.now_ms() - started_ms > 200)
        turn.close()

    @virtual
    async def test_lone_turn_near_its_budget_asks_once(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        turn = self.make_turn(group, make_call('t1', MAX_TOKENS))
        cluster.fabric.slow_ms['gateway', 'b'] = 200
        cluster.fabric.slow_ms['gateway', 'c'] = 200
        started_ms = cluster.clock.now_ms()
        await turn.prepare()
        took_ms = cluster.clock.now_ms() - started_ms
        self.assertTrue(400 <= took_ms < 600, took_ms)
        turn.close()

    @virtual
    async def test_turn_that_exceeds_its_budget_shows_nothing(self) -> None:
        """The first keeper to answer lacks turns that the two others have."""
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        for number in range(5):
            spent = SettleTokens('p', f'old{number}', MAX_TOKENS, 1000)
            for name in ('b', 'c'):
                await cluster.keepers[name].state.store_record(spent)
        cluster.fabric.slow_ms['gateway', 'b'] = 200
        cluster.fabric.slow_ms['gateway', 'c'] = 200
        turn = self.make_turn(group, make_call('t1', 5 * MAX_TOKENS))
        await turn.prepare()
        error = await self.refusal_of_event(turn, Event(b'', '1', b'out'))
        self.assertEqual(RefusalCode.BUDGET_EXHAUSTED, error.code)
        self.assertEqual(Outcome.UNKNOWN, error.outcome)
        self.assertEqual(0, turn.tokens)
        turn.close()

    @virtual
    async def test_refused_turn_does_not_begin_with_a_comment(self) -> None:
        """Guards against an answer that begins after its refusal is known."""
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        for name in ('b', 'c'):
            spent = SettleTokens('p', 'old', 5 * MAX_TOKENS, 1000)
            await cluster.keepers[name].state.store_record(spent)
            cluster.fabric.slow_ms['gateway', name] = 200
        turn = self.make_turn(group, make_call('t1', 5 * MAX_TOKENS))
        await turn.prepare()
        await cluster.wait(500)
        error = await self.refusal_of_event(turn, Event(b': comment\n\n', '', None))
        self.assertEqual(RefusalCode.BUDGET_EXHAUSTED, error.code)
        self.assertEqual(Outcome.UNKNOWN, error.outcome)
        turn.close()

    @virtual
    async def test_begun_program_is_not_refused_as_a_new_one(self) -> None:
        """The first keeper to answer lacks the program's earlier turn."""
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        for name in ('b', 'c'):
            spent = SettleTokens('p', 'old', MAX_TOKENS, 1000)
            await cluster.keepers[name].state.store_record(spent)
            cluster.fabric.slow_ms['gateway', name] = 200
        turn = self.make_turn(group, make_call('t1', 10_000))
        pool = UnreachableHosts(cluster.clock)
        context = self.make_busy_context(cluster, pool)
        with testtools.ExpectedException(Refusal):
            await run_stream(context, turn.call, turn, RecordedReply())
        self.assertEqual(1, pool.requests)

    def make_busy_context(
        self, cluster: KeeperCluster, pool: ConnectionPool
    ) -> ForwardingContext:
        """Return the context of a gateway whose only host has many waiting calls."""
        clock = cluster.clock
        host_table = HostTable(clock)
        host_table.register(UpstreamHost('i', 'up', 'i:1', 'a', 4, False, 0, 0), 1)
        host_table.states['i'].record_load((4, 100, 4), clock.now_ms())
        rng = random.Random(1)
        choice = EarliestFinish(rng)
        call_placer = CallPlacer(clock, host_table, choice, 'a', {'a': 'east'})
        metrics = GatewayMetrics()
        group = make_group(clock)
        registry = StreamRegistry(group)
        permits = PermitClient(group, host_table, metrics)
        return ForwardingContext(
            clock, pool, call_placer, metrics, rng, registry, permits
        )

    @virtual
    async def test_endless_events_do_not_fill_the_memory(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        event = Event(b'', '1', b'x' * 1_000_000)
        kept = self.make_turn(group, make_call('t1', 10_000))
        await kept.prepare()
        with testtools.ExpectedException(BrokenAnswer):
            for _ in range(20):
                await kept.before_event(event)
        self.assertTrue(len(kept.output) < 10_000_000)
        kept.close()
        call = make_call('t2', 10_000)
        call = call._replace(route=call.route._replace(keeps_history=False))
        unkept = self.make_turn(group, call)
        await unkept.prepare()
        for _ in range(20):
            await unkept.before_event(event)
        self.assertEqual(b'', unkept.output)
        unkept.close()

    @virtual
    async def test_budget_does_not_cut_a_begun_answer(self) -> None:
        """Gateways of two regions begin three turns of which two fit the budget."""
        cluster = KeeperCluster()
        near_group = await cluster.start_three_with_group()
        far_group = cluster.start_group('far', 'c')
        await cluster.wait(500)
        budget = 2 * MAX_TOKENS
        turns = [
            self.make_turn(group, make_call(name, budget))
            for name, group in (
                ('t1', near_group),
                ('t2', far_group),
                ('t3', far_group),
            )
        ]
        ends = await asyncio.gather(*(self.run_turn(cluster, turn) for turn in turns))
        cut_turns = [end for end in ends if end.refused and end.shown_events]
        self.assertEqual([], cut_turns)
        refused_running_turns = [end for end in ends if end.refused and end.permitted]
        self.assertNotEqual([], refused_running_turns)

    async def run_turn(self, cluster: KeeperCluster, turn: ProgramTurn) -> TurnEnd:
        """Run a turn with several events to its end or its refusal."""
        permitted = False
        shown_events = 0
        refused = False
        try:
            await turn.prepare()
            permitted = True
            for number in range(EVENTS):
                await turn.before_event(Event(b'', str(number), b'out'))
                shown_events += 1
                await cluster.wait(EVENT_INTERVAL_MS)
            await turn.before_end()
        except Refusal as refusal:
            refused = refusal.code == RefusalCode.BUDGET_EXHAUSTED
        finally:
            turn.close()
        return TurnEnd(permitted, shown_events, refused)

    @virtual
    async def test_line_of_early_turn_that_is_refused(self) -> None:
        """The first keeper to answer lacks turns that the two others have."""
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        spent = SettleTokens('p', 'old', 5 * MAX_TOKENS, 1000)
        for name in ('b', 'c'):
            await cluster.keepers[name].state.store_record(spent)
        cluster.fabric.slow_ms['gateway', 'b'] = 200
        cluster.fabric.slow_ms['gateway', 'c'] = 200
        turn = self.make_turn(group, make_call('t1', 5 * MAX_TOKENS))
        with logged('budget') as lines:
            await turn.prepare()
            await cluster.wait(500)
        turn.close()
        line = self.basis_of(lines)
        self.assertEqual(
            {
                'fits': False,
                'others': 5 * MAX_TOKENS,
                'unsettled': 0,
                'answers': 2,
                'keepers': 3,
                'rounds': 1,
                'early': True,
                'permitted_by': 1,
            },
            line,
        )

    @virtual
    async def test_line_of_turn_permitted_by_a_majority(self) -> None:
        """The turn is permitted by the last answer, before its recording ends."""
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        first = self.make_turn(group, make_call('t1', 10_000))
        await first.prepare()
        second = self.make_turn(group, make_call('t2', 10_000))
        with logged('budget') as lines:
            await second.prepare()
            await cluster.wait(500)
        first.close()
        second.close()
        line = self.basis_of([one for one in lines if one['request'] == 't2'])
        self.assertEqual(
            {
                'fits': True,
                'others': MAX_TOKENS,
                'unsettled': MAX_TOKENS,
                'answers': 2,
                'keepers': 3,
                'rounds': 1,
                'early': False,
                'permitted_by': 2,
            },
            line,
        )

    @virtual
    async def test_line_of_second_round(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        first = self.make_turn(group, make_call('t1', 2 * MAX_TOKENS))
        await first.prepare()
        await cluster.wait(500)
        second = self.make_turn(group, make_call('t2', 2 * MAX_TOKENS))
        with logged('budget') as lines:
            await second.prepare()
        first.close()
        second.close()
        line = self.basis_of(lines)
        self.assertEqual(
            {
                'fits': True,
                'others': MAX_TOKENS,
                'unsettled': MAX_TOKENS,
                'answers': 4,
                'keepers': 3,
                'rounds': 2,
                'early': False,
                'permitted_by': None,
            },
            line,
        )

    def basis_of(self, lines: list[Fields]) -> Fields:
        """Return what the only line `budget` says, without names and constants."""
        self.assertEqual(1, len(lines))
        known = ('request', 'program', 'budget', 'most')
        return {name: lines[0][name] for name in lines[0] if name not in known}

    @virtual
    async def test_events_and_end_wait_for_a_majority(self) -> None:
        for has_event in (True, False):
            cluster = KeeperCluster()
            group = await cluster.start_three_with_group()
            turn = self.make_turn(group, make_call('t1', 10_000))
            await turn.prepare()
            turn.close()
            await cluster.wait(200)
            cluster.fabric.cut('gateway', 'b')
            cluster.fabric.cut('gateway', 'c')
            second = self.make_turn(group, make_call('t2', 10_000))
            await second.prepare()
            event = Event(b'', '1', b'out')
            next_step = second.before_event(event) if has_event else second.before_end()
            waiting = asyncio.ensure_future(next_step)
            await cluster.wait(1500)
            self.assertFalse(waiting.done())
            cluster.fabric.heal()
            await cluster.wait(1000)
            self.assertTrue(waiting.done())
            await waiting
            if has_event:
                await second.before_end()
            second.close()
            stored = (await group.chains.load('t2'))[-1]
            self.assertEqual(b'out\n' if has_event else b'', stored.output)

    @virtual
    async def test_finished_turn_is_stored_late(self) -> None:
        """Guards against complete answers being cut after a second without keepers."""
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        turn = self.make_turn(group, make_call('t1', 10_000))
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
        self.assertEqual(['t1'], [one.turn for one in await group.chains.load('t1')])
        turn.close()

    @virtual
    async def test_retries_outlast_a_restart(self) -> None:
        """A caller that retries when told to is served once a keeper is back."""
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        for name in ('b', 'c'):
            await cluster.kill(name)
        restarted = asyncio.ensure_future(self.restart(cluster, 'b', 2500))
        refusal_count = 0
        while await self.is_refused(
            cluster, self.make_turn(group, make_call('t', 10_000))
        ):
            refusal_count += 1
        self.assertTrue(restarted.done())
        self.assertTrue(refusal_count <= 5, refusal_count)

    async def restart(self, cluster: KeeperCluster, name: str, after_ms: float) -> None:
        """Start a keeper again after a time."""
        await cluster.wait(after_ms)
        await cluster.start_keeper(name)

    async def is_refused(self, cluster: KeeperCluster, turn: ProgramTurn) -> bool:
        """Prepare a turn; after a refusal wait as long as it asks, return True."""
        try:
            await turn.prepare()
        except Refusal as refusal:
            await cluster.wait(refusal.retry_after_ms or 0)
            return True
        finally:
            turn.close()
        return False

    @virtual
    async def test_keeper_listed_meanwhile_is_not_awaited(self) -> None:
        """Guards against waiting for a majority that counts keepers listed later.

        With one keeper down, that majority was never reached.
        """
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await cluster.kill('b')
        reservation = Reservation(group, make_call('t1', 10_000), GatewayMetrics())
        await cluster.wait(1)
        members = group.links.members.by_name
        members['d'] = Member('d', 'd:1', 'd')
        await reservation.recorded

    @virtual
    async def test_refused_without_a_majority(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await cluster.kill('b')
        await cluster.kill('c')
        turn = self.make_turn(group, make_call('t1', 1000))
        error = await self.refusal_of(turn)
        self.assertEqual(RefusalCode.KEEPERS_UNAVAILABLE, error.code)
        self.assertEqual(Outcome.NOT_RUN, error.outcome)
        turn.close()

    @virtual
    async def test_turn_not_stored_has_unknown_outcome(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        turn = self.make_turn(group, make_call('t1', 1000))
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
    async def test_forged_previous_turn_is_refused(self) -> None:
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await group.store_turn(make_record('real'))
        turn = self.make_turn(group, make_call('t1', 1000, 'forged'))
        error = await self.refusal_of(turn)
        self.assertEqual(RefusalCode.UNKNOWN_TURN, error.code)
        turn.close()

    @virtual
    async def test_turn_of_another_organisation_is_refused(self) -> None:
        """A caller must not read what another organisation's program said."""
        cluster = KeeperCluster()
        group = await cluster.start_three_with_group()
        await group.store_turn(make_record('real')._replace(organisation='acme'))
        for name, readable in (('other', False), ('acme', True), ('', False)):
            call = make_call(f't-{name}', 1000, 'real')
            call = call._replace(organisation=Organisation(name) if name else None)
            turn = self.make_turn(group, call)
            if readable:
                await turn.prepare()
            else:
                error = await self.refusal_of(turn)
                self.assertEqual(RefusalCode.UNKNOWN_TURN, error.code)
            turn.close()

    def test_accounts_of_organisations_differ(self) -> None:
        """Two organisations may use the same id for their programs."""
        call = make_call('t1', 1000)
        accounts = {
            call._replace(organisation=organisation).account
            for organisation in (None, Organisation('acme'), Organisation('other'))
        }
        self.assertEqual(3, len(accounts))

    async def refusal_of_event(self, turn: ProgramTurn, event: Event) -> Refusal:
        """Return the refusal of an event; fail if it may be shown."""
        try:
            await turn.before_event(event)
        except Refusal as refusal:
            return refusal
        raise AssertionError('not refused')

    async def refusal_of(self, turn: ProgramTurn) -> Refusal:
        """Prepare a turn and return its refusal; fail if it is not refused."""
        try:
            await turn.prepare()
        except Refusal as refusal:
            return refusal
        raise AssertionError('not refused')
