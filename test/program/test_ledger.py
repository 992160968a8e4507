"""Token accounts of programs, budget decisions and the index of turns."""

import itertools

import testtools

from pollenwalk.program.ledger import Ledger, decide_reservation
from pollenwalk.program.turn_index import TurnIndex, build_prompt
from pollenwalk.program.turns import (
    ReserveTokens,
    SettleTokens,
    TokenEntry,
    TurnRecord,
)
from test.helper import make_clock, virtual

KEEPERS = 3
MAX_TOKENS = 10


class LedgerTest(testtools.TestCase):
    """The accounts of one keeper."""

    @virtual
    async def test_reservation_counts_until_settled(self) -> None:
        ledger = Ledger(make_clock())
        ledger.reserve(ReserveTokens('p', 't1', MAX_TOKENS, 0))
        known = ledger.reserve(ReserveTokens('p', 't2', MAX_TOKENS, 0))
        self.assertEqual([MAX_TOKENS, MAX_TOKENS], [entry.tokens for entry in known])
        ledger.settle(SettleTokens('p', 't1', 4, 0))
        known = ledger.reserve(ReserveTokens('p', 't2', MAX_TOKENS, 0))
        self.assertEqual([4, MAX_TOKENS], [entry.tokens for entry in known])

    @virtual
    async def test_late_reservation_keeps_the_settlement(self) -> None:
        ledger = Ledger(make_clock())
        ledger.settle(SettleTokens('p', 't1', 4, 0))
        known = ledger.reserve(ReserveTokens('p', 't1', MAX_TOKENS, 0))
        self.assertEqual([TokenEntry('t1', 4, True)], known)

    @virtual
    async def test_idle_accounts_expire(self) -> None:
        clock = make_clock()
        ledger = Ledger(clock)
        ledger.reserve(ReserveTokens('p', 't1', MAX_TOKENS, 1000))
        await clock.sleep_ms(10_000)
        ledger.expire()
        self.assertIn('p', ledger.accounts)
        await clock.sleep_ms(60_000)
        ledger.expire()
        self.assertNotIn('p', ledger.accounts)


class DecisionTest(testtools.TestCase):
    """Decisions on a reservation from the entries of several keepers."""

    def test_settled_entry_takes_precedence(self) -> None:
        known = [
            [TokenEntry('t1', MAX_TOKENS, False)],
            [TokenEntry('t1', 4, True), TokenEntry('t2', MAX_TOKENS, False)],
        ]
        self.assertEqual(4, decide_reservation(known, 't2', MAX_TOKENS, 14).others)
        self.assertTrue(decide_reservation(known, 't2', MAX_TOKENS, 14).fits)
        self.assertFalse(decide_reservation(known, 't2', MAX_TOKENS, 13).fits)

    def test_two_rounds_never_exceed_the_budget(self) -> None:
        """Turns that are permitted at the same moment fit the budget together.

        A turn is permitted after it was written to a majority and then read
        from one. The test tries every order of these steps for three turns,
        each at two of three keepers.
        """
        majorities = list(itertools.combinations(range(KEEPERS), 2))
        turns = ('t1', 't2', 't3')
        for asked_keepers in itertools.product(majorities, repeat=len(turns)):
            for order in itertools.permutations(range(2 * len(turns))):
                self.check_order(turns, asked_keepers, order)

    def check_order(
        self,
        turns: tuple[str, ...],
        asked_keepers: tuple[tuple[int, ...], ...],
        order: tuple[int, ...],
    ) -> None:
        """Check one order of steps; step 2n writes turn n, 2n + 1 reads for it."""
        budget = 2 * MAX_TOKENS
        held: list[set[str]] = [set() for _ in range(KEEPERS)]
        written: set[int] = set()
        running = []
        for step in order:
            number, reads = divmod(step, 2)
            if reads and number not in written:
                return
            if not reads:
                written.add(number)
                for keeper in asked_keepers[number]:
                    held[keeper].add(turns[number])
                continue
            known = [
                [TokenEntry(turn, MAX_TOKENS, False) for turn in held[keeper]]
                for keeper in asked_keepers[number]
            ]
            if decide_reservation(known, turns[number], MAX_TOKENS, budget).fits:
                running.append(turns[number])
        self.assertTrue(len(running) * MAX_TOKENS <= budget, (asked_keepers, order))


class TurnIndexTest(testtools.TestCase):
    """The index of turns and their chains."""

    def turn(self, name: str, previous: str = '') -> TurnRecord:
        """Make the record of a turn."""
        text = name.encode()
        return TurnRecord(name, 'p', previous, text, text + b'!\n', 1, 1000, [])

    @virtual
    async def test_several_turns_continue_the_same_one(self) -> None:
        index = TurnIndex(make_clock())
        for turn in (
            self.turn('a'),
            self.turn('b', 'a'),
            self.turn('c', 'a'),
            self.turn('d', 'c'),
        ):
            index.put(turn)
        self.assertEqual(
            ['a', 'b'], [record.turn for record in index.use_chain('b').turns]
        )
        chain = index.use_chain('d')
        self.assertEqual(['a', 'c', 'd'], [record.turn for record in chain.turns])
        self.assertEqual(b'aa!\ncc!\ndd!\nnew', build_prompt(chain.turns, b'new'))

    @virtual
    async def test_missing_predecessor_is_named(self) -> None:
        index = TurnIndex(make_clock())
        index.put(self.turn('b', 'a'))
        self.assertEqual('a', index.use_chain('b').missing)
        self.assertEqual('x', index.use_chain('x').missing)
        self.assertEqual([], index.use_chain('x').turns)

    @virtual
    async def test_use_of_a_turn_keeps_its_chain(self) -> None:
        clock = make_clock()
        index = TurnIndex(clock)
        index.put(self.turn('a'))
        index.put(self.turn('x'))
        await clock.sleep_ms(25_000)
        index.put(self.turn('b', 'a'))
        await clock.sleep_ms(25_000)
        self.assertEqual(['x'], [record.turn for record in index.expire()])
        self.assertEqual('', index.use_chain('b').missing)

    @virtual
    async def test_bounded_index_evicts_least_recently_used(self) -> None:
        index = TurnIndex(make_clock(), 10)
        for name in 'abcd':
            index.put(self.turn(name))
        self.assertEqual(['c', 'd'], list(index.records))
        self.assertTrue(index.size_bytes <= 10)
