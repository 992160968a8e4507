"""Budgets when turns are reserved at once and answers arrive in any order.

The tests use a small model of a gateway: it asks all keepers, checks after
each answer whether the turn may begin, and asks all of them once more if a
majority's answers were not enough. The checks themselves are the program's
own. A search looks for the order of answers that permits the most tokens.
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
# Changes that the search tries to each order that it draws.
SEARCH_STEPS = 150


class BudgetCase(NamedTuple):
    """Turns of one program that are reserved at the same moment.

    Attributes:
        keepers: number of keepers.
        max_tokens: the most tokens that each turn may generate.
        budget: tokens that all turns together may generate.
        rule: decides whether a turn may begin in its first round.
    """

    keepers: int
    max_tokens: list[int]
    budget: int
    rule: Rule = fits_with_hidden_turns


class ModelTurn:
    """One turn and the answers that its gateway has received.

    Attributes:
        answers: each keeper's entries in the present round.
        first_round: the entries of the first round, once it has ended.
        permitted: whether the turn may run.
        refused: whether the second round has refused it.
    """

    def __init__(self, case: BudgetCase, number: int) -> None:
        """Start without answers."""
        self.case = case
        self.number = number
        self.answers: dict[int, list[TokenEntry]] = {}
        self.first_round: list[list[TokenEntry]] = []
        self.permitted = False
        self.refused = False

    def receive(self, keeper: int, entries: list[TokenEntry]) -> None:
        """Receive a keeper's answer; only its first one of a round counts."""
        if self.permitted or self.refused or keeper in self.answers:
            return
        self.answers[keeper] = entries
        if self.first_round:
            self.decide_second_round()
        else:
            self.decide_first_round()

    @property
    def majority_answered(self) -> bool:
        """Return whether a majority has answered in this round."""
        return len(self.answers) > self.case.keepers // 2

    def decide_first_round(self) -> None:
        """Permit the turn if the rule allows it, else ask a second time."""
        case = self.case
        max_tokens = case.max_tokens[self.number]
        known = list(self.answers.values())
        decision = decide_reservation(known, str(self.number), max_tokens, case.budget)
        answer_count = AnswerCount(len(known), case.keepers)
        if case.rule(decision, max_tokens, case.budget, answer_count):
            self.permitted = True
        elif self.majority_answered:
            self.first_round = known
            self.answers = {}

    def decide_second_round(self) -> None:
        """Permit the turn if it fits into the budget, else refuse it."""
        if not self.majority_answered:
            return
        known = [*self.first_round, *self.answers.values()]
        max_tokens = self.case.max_tokens[self.number]
        self.permitted = decide_reservation(
            known, str(self.number), max_tokens, self.case.budget
        ).fits
        self.refused = not self.permitted


def running_tokens(case: BudgetCase, order: list[Step]) -> int:
    """Return the tokens of the turns that an order of answers permits."""
    turns = [ModelTurn(case, number) for number in range(len(case.max_tokens))]
    held: list[list[TokenEntry]] = [[] for _ in range(case.keepers)]
    for number, keeper in order:
        entry = TokenEntry(str(number), case.max_tokens[number], False)
        if entry not in held[keeper]:
            held[keeper].append(entry)
        turns[number].receive(keeper, list(held[keeper]))
    return sum(case.max_tokens[turn.number] for turn in turns if turn.permitted)


def steps(case: BudgetCase) -> list[Step]:
    """Return the answers of both rounds, as numbers of turn and keeper."""
    pairs = itertools.product(range(len(case.max_tokens)), range(case.keepers))
    return list(pairs) * ROUNDS


def moved_orders(order: list[Step], rng: random.Random) -> Iterator[list[Step]]:
    """Yield orders in which one random answer has another place."""
    while True:
        moved_order = list(order)
        step = moved_order.pop(rng.randrange(len(moved_order)))
        moved_order.insert(rng.randrange(len(order)), step)
        yield moved_order


def search_worst_order(case: BudgetCase, rng: random.Random) -> int:
    """Search for the order that permits the most tokens; return these."""
    order = steps(case)
    rng.shuffle(order)
    highest_tokens = running_tokens(case, order)
    for _ in range(SEARCH_STEPS):
        moved_order = next(moved_orders(order, rng))
        moved_tokens = running_tokens(case, moved_order)
        if moved_tokens >= highest_tokens:
            highest_tokens = moved_tokens
            order = moved_order
    return highest_tokens


def draw_cases(rng: random.Random, count: int, rule: Rule) -> Iterator[BudgetCase]:
    """Draw random numbers of keepers, turns and budgets."""
    for _ in range(count):
        max_tokens = [rng.randint(1, 3) for _ in range(rng.randint(2, 11))]
        if rng.random() < 0.5:
            max_tokens = [1 for _ in max_tokens]
        budget = rng.randint(1, sum(max_tokens))
        yield BudgetCase(rng.choice((2, 3, 3, 5, 8)), max_tokens, budget, rule)


def headroom_of_four_turns(
    decision: BudgetDecision, max_tokens: int, budget: int, _: AnswerCount
) -> bool:
    """Permit a turn if four more of the same size would fit, a former rule."""
    return decision.others + 5 * max_tokens <= budget


def no_headroom(
    decision: BudgetDecision, _max_tokens: int, _budget: int, _answer_count: AnswerCount
) -> bool:
    """Permit a turn whenever the turn itself fits."""
    return decision.fits


class BudgetRoundsTest(testtools.TestCase):
    """No order lets a program exceed its budget by more than one turn."""

    def excess(self, seed: int, count: int, rule: Rule) -> int:
        """Return by how many tokens the worst order found exceeds the bound.

        The bound is the budget and the `max_tokens` of one turn.
        """
        rng = random.Random(seed)
        return max(
            search_worst_order(case, rng) - case.budget - max(case.max_tokens)
            for case in draw_cases(rng, count, rule)
        )

    def test_worst_orders_found_stay_within_the_bound(self) -> None:
        for seed in (1, 2, 3):
            self.assertTrue(self.excess(seed, 25, fits_with_hidden_turns) <= 0, seed)

    def test_headroom_of_four_turns_is_not_enough(self) -> None:
        """The search finds orders in which the former rule breaks the bound."""
        self.assertTrue(self.excess(1, 60, headroom_of_four_turns) > 0)

    def test_search_detects_missing_headroom(self) -> None:
        self.assertTrue(self.excess(1, 25, no_headroom) > 0)

    def test_every_order_of_two_turns_at_two_keepers(self) -> None:
        for budget in (1, 2):
            case = BudgetCase(2, [1, 1], budget)
            orders = set(itertools.permutations(steps(case)))
            self.assertTrue(
                max(running_tokens(case, list(order)) for order in orders) <= 2
            )

    def test_single_turn_needs_no_second_round(self) -> None:
        alone = BudgetDecision(0, 0, True)
        for answer_count in (AnswerCount(2, 3), AnswerCount(5, 8), AnswerCount(4, 8)):
            self.assertTrue(
                fits_with_hidden_turns(alone, 10, 10, answer_count), answer_count
            )
        self.assertFalse(fits_with_hidden_turns(alone, 10, 19, AnswerCount(1, 3)))
        self.assertTrue(fits_with_hidden_turns(alone, 10, 20, AnswerCount(1, 3)))

    def test_turn_beside_others_needs_a_majority(self) -> None:
        with_others = BudgetDecision(10, 10, True)
        self.assertFalse(
            fits_with_hidden_turns(with_others, 10, 1000, AnswerCount(1, 3))
        )
        self.assertFalse(fits_with_hidden_turns(with_others, 10, 29, AnswerCount(2, 3)))
        self.assertTrue(fits_with_hidden_turns(with_others, 10, 30, AnswerCount(2, 3)))
