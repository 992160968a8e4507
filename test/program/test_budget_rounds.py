"""Turns reserved at the same moment, in the worst orders that a search finds.

A small model of what a gateway does: it asks all keepers, judges after each
answer whether the turn may begin, and asks once more where a majority was
not enough. The real judgement decides.
"""

import itertools
import random
from collections.abc import Callable, Iterator
from typing import NamedTuple

import testtools

from pollenwalk.program.ledger import (
    AnswerCount,
    BudgetDecision,
    decide_reservation,
    fits_with_hidden_turns,
)
from pollenwalk.program.turns import TokenEntry

Step = tuple[int, int]
Rule = Callable[[BudgetDecision, int, int, AnswerCount], bool]
ROUNDS = 2
# Steps that the search tries from each order that it draws.
CLIMB = 150


class Game(NamedTuple):
    """Turns of one program that begin at the same moment.

    Attributes:
        keepers: how many there are.
        max_tokens: of each turn.
        budget: of the program.
        rule: tells whether a turn may begin in its first round.
    """

    keepers: int
    max_tokens: list[int]
    budget: int
    rule: Rule = fits_with_hidden_turns


class ModelTurn:
    """One turn and what its gateway knows."""

    def __init__(self, game: Game, number: int) -> None:
        """Start with nothing asked."""
        self.game = game
        self.number = number
        self.heard: dict[int, list[TokenEntry]] = {}
        self.earlier: list[list[TokenEntry]] = []
        self.runs = False
        self.over = False

    def hear(self, keeper: int, entries: list[TokenEntry]) -> None:
        """Take one keeper's answer; the same one twice only in two rounds."""
        if self.runs or self.over or keeper in self.heard:
            return
        self.heard[keeper] = entries
        if self.earlier:
            self.judge_second_round()
        else:
            self.judge_first_round()

    @property
    def decided(self) -> bool:
        """Tell whether a majority has answered in this round."""
        return len(self.heard) > self.game.keepers // 2

    def judge_first_round(self) -> None:
        """Begin with room to spare, or ask again."""
        game = self.game
        max_tokens = game.max_tokens[self.number]
        known = list(self.heard.values())
        decision = decide_reservation(known, str(self.number), max_tokens, game.budget)
        heard = AnswerCount(len(known), game.keepers)
        if game.rule(decision, max_tokens, game.budget, heard):
            self.runs = True
        elif self.decided:
            self.earlier = known
            self.heard = {}

    def judge_second_round(self) -> None:
        """Begin if the turn fits, or never."""
        if not self.decided:
            return
        known = [*self.earlier, *self.heard.values()]
        max_tokens = self.game.max_tokens[self.number]
        self.runs = decide_reservation(
            known, str(self.number), max_tokens, self.game.budget
        ).fits
        self.over = not self.runs


def running(game: Game, order: list[Step]) -> int:
    """Play an order of answers; give the tokens of the turns that run."""
    turns = [ModelTurn(game, number) for number in range(len(game.max_tokens))]
    held: list[list[TokenEntry]] = [[] for _ in range(game.keepers)]
    for number, keeper in order:
        entry = TokenEntry(str(number), game.max_tokens[number], False)
        if entry not in held[keeper]:
            held[keeper].append(entry)
        turns[number].hear(keeper, list(held[keeper]))
    return sum(game.max_tokens[turn.number] for turn in turns if turn.runs)


def steps(game: Game) -> list[Step]:
    """Give every answer of two rounds."""
    pairs = itertools.product(range(len(game.max_tokens)), range(game.keepers))
    return list(pairs) * ROUNDS


def neighbours(order: list[Step], rng: random.Random) -> Iterator[list[Step]]:
    """Move one answer elsewhere."""
    while True:
        other = list(order)
        moved = other.pop(rng.randrange(len(other)))
        other.insert(rng.randrange(len(order)), moved)
        yield other


def worst(game: Game, rng: random.Random) -> int:
    """Search for an order in which much runs; give the tokens."""
    order = steps(game)
    rng.shuffle(order)
    highest = running(game, order)
    for _ in range(CLIMB):
        other = next(neighbours(order, rng))
        found = running(game, other)
        if found >= highest:
            highest = found
            order = other
    return highest


def games(rng: random.Random, count: int, rule: Rule) -> Iterator[Game]:
    """Draw sizes, turns and budgets."""
    for _ in range(count):
        max_tokens = [rng.randint(1, 3) for _ in range(rng.randint(2, 11))]
        if rng.random() < 0.5:
            max_tokens = [1 for _ in max_tokens]
        budget = rng.randint(1, sum(max_tokens))
        yield Game(rng.choice((2, 3, 3, 5, 8)), max_tokens, budget, rule)


def four_turns_of_room(
    decision: BudgetDecision, max_tokens: int, budget: int, _: AnswerCount
) -> bool:
    """Begin as the rule before this one allowed."""
    return decision.others + 5 * max_tokens <= budget


def no_room(
    decision: BudgetDecision, _max_tokens: int, _budget: int, _heard: AnswerCount
) -> bool:
    """Begin whenever the turn itself fits."""
    return decision.fits


class BudgetRoundsTest(testtools.TestCase):
    """No order brings a program more than one turn beyond its budget."""

    def excess(self, seed: int, count: int, rule: Rule) -> int:
        """Give by how much the worst order found goes beyond what is allowed."""
        rng = random.Random(seed)
        return max(
            worst(game, rng) - game.budget - max(game.max_tokens)
            for game in games(rng, count, rule)
        )

    def test_searched_orders_stay_within_the_bound(self) -> None:
        for seed in (1, 2, 3):
            self.assertTrue(self.excess(seed, 25, fits_with_hidden_turns) <= 0, seed)

    def test_four_turns_of_room_are_not_enough(self) -> None:
        """The rule before: the search finds orders that it lets through."""
        self.assertTrue(self.excess(1, 60, four_turns_of_room) > 0)

    def test_no_room_at_all_is_noticed(self) -> None:
        self.assertTrue(self.excess(1, 25, no_room) > 0)

    def test_every_order_of_two_turns_at_two_keepers(self) -> None:
        for budget in (1, 2):
            game = Game(2, [1, 1], budget)
            orders = set(itertools.permutations(steps(game)))
            self.assertTrue(max(running(game, list(one)) for one in orders) <= 2)

    def test_a_lone_turn_needs_no_second_round(self) -> None:
        alone = BudgetDecision(0, 0, True)
        for heard in (AnswerCount(2, 3), AnswerCount(5, 8), AnswerCount(4, 8)):
            self.assertTrue(fits_with_hidden_turns(alone, 10, 10, heard), heard)
        self.assertFalse(fits_with_hidden_turns(alone, 10, 19, AnswerCount(1, 3)))
        self.assertTrue(fits_with_hidden_turns(alone, 10, 20, AnswerCount(1, 3)))

    def test_a_turn_beside_others_needs_a_majority(self) -> None:
        beside = BudgetDecision(10, 10, True)
        self.assertFalse(fits_with_hidden_turns(beside, 10, 1000, AnswerCount(1, 3)))
        self.assertFalse(fits_with_hidden_turns(beside, 10, 29, AnswerCount(2, 3)))
        self.assertTrue(fits_with_hidden_turns(beside, 10, 30, AnswerCount(2, 3)))
