"""Budgets of programs, and turns by their ids."""

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
    """One keeper's accounts."""

    @virtual
    async def test_reserved_counts_at_its_most_until_settled(self) -> None:
        ledger = Ledger(make_clock())
        ledger.reserve(ReserveTokens('p', 't1', MAX_TOKENS, 0))
        known = ledger.reserve(ReserveTokens('p', 't2', MAX_TOKENS, 0))
        self.assertEqual([MAX_TOKENS, MAX_TOKENS], [one.tokens for one in known])
        ledger.settle(SettleTokens('p', 't1', 4, 0))
        known = ledger.reserve(ReserveTokens('p', 't2', MAX_TOKENS, 0))
        self.assertEqual([4, MAX_TOKENS], [one.tokens for one in known])

    @virtual
    async def test_a_late_reservation_undoes_nothing(self) -> None:
        ledger = Ledger(make_clock())
        ledger.settle(SettleTokens('p', 't1', 4, 0))
        known = ledger.reserve(ReserveTokens('p', 't1', MAX_TOKENS, 0))
        self.assertEqual([TokenEntry('t1', 4, True)], known)

    @virtual
    async def test_idle_accounts_go(self) -> None:
        clock = make_clock()
        ledger = Ledger(clock)
        ledger.reserve(ReserveTokens('p', 't1', MAX_TOKENS, 1000))
        await clock.sleep_ms(10_000)
        ledger.expire()
        self.assertIn('p', ledger.accounts)
        await clock.sleep_ms(60_000)
        ledger.expire()
        self.assertNotIn('p', ledger.accounts)


class JudgeTest(testtools.TestCase):
    """What the words of several keepers come to."""

    def test_settled_goes_before_reserved(self) -> None:
        known = [
            [TokenEntry('t1', MAX_TOKENS, False)],
            [TokenEntry('t1', 4, True), TokenEntry('t2', MAX_TOKENS, False)],
        ]
        self.assertEqual(4, decide_reservation(known, 't2', MAX_TOKENS, 14).others)
        self.assertTrue(decide_reservation(known, 't2', MAX_TOKENS, 14).fits)
        self.assertFalse(decide_reservation(known, 't2', MAX_TOKENS, 13).fits)

    def test_two_rounds_never_exceed_the_budget(self) -> None:
        """Try every order in which three turns can reach two of three keepers.

        A turn that runs has first been written to a majority and has then
        read a majority. Whatever the order, those that run fit together.
        """
        majorities = list(itertools.combinations(range(KEEPERS), 2))
        turns = ('t1', 't2', 't3')
        for chosen in itertools.product(majorities, repeat=len(turns)):
            for order in itertools.permutations(range(2 * len(turns))):
                self.check(turns, chosen, order)

    def check(
        self,
        turns: tuple[str, ...],
        chosen: tuple[tuple[int, ...], ...],
        order: tuple[int, ...],
    ) -> None:
        """Play one order; step 2n writes turn n, step 2n + 1 reads for it."""
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
                for keeper in chosen[number]:
                    held[keeper].add(turns[number])
                continue
            known = [
                [TokenEntry(turn, MAX_TOKENS, False) for turn in held[keeper]]
                for keeper in chosen[number]
            ]
            if decide_reservation(known, turns[number], MAX_TOKENS, budget).fits:
                running.append(turns[number])
        self.assertTrue(len(running) * MAX_TOKENS <= budget, (chosen, order))


class TurnIndexTest(testtools.TestCase):
    """Turns and their chains."""

    def turn(self, name: str, previous: str = '') -> TurnRecord:
        """Make a turn."""
        text = name.encode()
        return TurnRecord(name, 'p', previous, text, text + b'!\n', 1, 1000, [])

    @virtual
    async def test_several_turns_continue_one(self) -> None:
        index = TurnIndex(make_clock())
        for turn in (
            self.turn('a'),
            self.turn('b', 'a'),
            self.turn('c', 'a'),
            self.turn('d', 'c'),
        ):
            index.put(turn)
        self.assertEqual(['a', 'b'], [one.turn for one in index.use_chain('b').turns])
        chain = index.use_chain('d')
        self.assertEqual(['a', 'c', 'd'], [one.turn for one in chain.turns])
        self.assertEqual(b'aa!\ncc!\ndd!\nnew', build_prompt(chain.turns, b'new'))

    @virtual
    async def test_a_gap_is_named(self) -> None:
        index = TurnIndex(make_clock())
        index.put(self.turn('b', 'a'))
        self.assertEqual('a', index.use_chain('b').missing)
        self.assertEqual('x', index.use_chain('x').missing)
        self.assertEqual([], index.use_chain('x').turns)

    @virtual
    async def test_use_keeps_the_whole_chain(self) -> None:
        clock = make_clock()
        index = TurnIndex(clock)
        index.put(self.turn('a'))
        index.put(self.turn('x'))
        await clock.sleep_ms(25_000)
        index.put(self.turn('b', 'a'))
        await clock.sleep_ms(25_000)
        self.assertEqual(['x'], [one.turn for one in index.expire()])
        self.assertEqual('', index.use_chain('b').missing)

    @virtual
    async def test_a_bounded_index_drops_the_oldest(self) -> None:
        index = TurnIndex(make_clock(), 10)
        for name in 'abcd':
            index.put(self.turn(name))
        self.assertEqual(['c', 'd'], list(index.records))
        self.assertTrue(index.size_bytes <= 10)
