"""What the turns of programs have spent of their token budgets.

Every keeper counts a turn at its most from before it runs until it is
settled. A gateway unites what a majority of the keepers know; any two
majorities share a keeper, so of two turns at least one sees the other.
"""

import itertools
from collections.abc import Iterable
from typing import NamedTuple

from pollenwalk.process.clock import Clock
from pollenwalk.program.turn_index import expiry_delay_ms
from pollenwalk.program.turns import (
    ReserveTokens,
    SettleTokens,
    TokenEntry,
)


class Account:
    """The tokens of one program."""

    def __init__(self) -> None:
        """Start with nothing spent."""
        self.entries: dict[str, TokenEntry] = {}
        self.last_used_ms = 0.0
        self.retention_ms = 0.0


class Ledger:
    """The accounts that one keeper holds."""

    def __init__(self, clock: Clock) -> None:
        """Start without accounts."""
        self.clock = clock
        self.accounts: dict[str, Account] = {}

    def account(self, program: str, retention_ms: float) -> Account:
        """Give a program's account, which counts as used."""
        account = self.accounts.setdefault(program, Account())
        account.last_used_ms = self.clock.now_ms()
        account.retention_ms = max(account.retention_ms, retention_ms)
        return account

    def reserve(self, asked: ReserveTokens) -> list[TokenEntry]:
        """Count a turn at its most, unless it is known already.

        Returns:
            All that is known of the program's turns, this one included.
        """
        account = self.account(asked.program, asked.retention_ms)
        entry = TokenEntry(asked.turn, asked.max_tokens, False)
        account.entries.setdefault(asked.turn, entry)
        return list(account.entries.values())

    def settle(self, asked: SettleTokens) -> None:
        """Count what a turn has shown."""
        account = self.account(asked.program, asked.retention_ms)
        account.entries[asked.turn] = TokenEntry(asked.turn, asked.tokens, True)

    def expire(self) -> None:
        """Drop the accounts whose time is over."""
        now_ms = self.clock.now_ms()
        over = [
            program
            for program, account in self.accounts.items()
            if account.last_used_ms + expiry_delay_ms(account.retention_ms) < now_ms
        ]
        for program in over:
            self.accounts.pop(program)


class BudgetDecision(NamedTuple):
    """What a turn's reservation comes to.

    Attributes:
        others: tokens of all other turns of the program.
        unsettled: the part of them that counts at its most.
        fits: whether the turn fits into the budget at its most.
    """

    others: int
    unsettled: int
    fits: bool

    @property
    def settled_tokens(self) -> int:
        """Give the tokens of other turns that are over."""
        return self.others - self.unsettled


def decide_reservation(
    known: Iterable[Iterable[TokenEntry]],
    turn: str,
    max_tokens: int,
    budget: int,
) -> BudgetDecision:
    """Unite what keepers know and hold a turn against the budget.

    Args:
        known: the entries that each keeper gave.
        turn: the one that is to run.
        max_tokens: the tokens that it may generate.
        budget: of the whole program.
    """
    united: dict[str, TokenEntry] = {}
    for entry in itertools.chain.from_iterable(known):
        if entry.settled or entry.turn not in united:
            united[entry.turn] = entry
    united.pop(turn, None)
    others = sum(other.tokens for other in united.values())
    unsettled = sum(other.tokens for other in united.values() if not other.settled)
    return BudgetDecision(others, unsettled, others + max_tokens <= budget)


class AnswerCount(NamedTuple):
    """How many keepers have answered.

    Attributes:
        answers: of complete keepers, at least one.
        keepers: all of them.
    """

    answers: int
    keepers: int

    @property
    def is_majority(self) -> bool:
        """Tell whether it is a majority."""
        return self.answers > self.keepers // 2

    @property
    def disjoint_turns(self) -> int:
        """Give how many turns can have heard as many and not of each other."""
        return self.keepers // self.answers

    @property
    def hidden_from_majority(self) -> int:
        """Give how many of these turns a majority can know nothing of."""
        minority = (self.keepers - 1) // 2
        return minority // self.answers


def fits_with_hidden_turns(
    decision: BudgetDecision, max_tokens: int, budget: int, answer_count: AnswerCount
) -> bool:
    """Tell whether a turn may begin, whatever it can't have seen yet.

    Turns reserved at the same moment may have reached the keepers in different
    orders. With a majority's answers, of any two turns at least one sees the
    other; leaving as much free as is still unsettled makes up for those that
    saw this turn first. With fewer answers only a turn that sees no other
    begins, and only if at most one such turn can be hidden from a majority.
    So a program never gets more than the most of one turn beyond its budget.

    Args:
        decision: what the answers received so far add up to.
        max_tokens: the tokens that the turn itself may generate.
        budget: of the whole program.
        answer_count: how many keepers have answered.
    """
    if answer_count.is_majority:
        unseen = decision.unsettled
    elif decision.unsettled or answer_count.hidden_from_majority > 1:
        return False
    else:
        # One of them may go beyond the budget.
        unseen = max(answer_count.disjoint_turns - 2, 0) * max_tokens
    return decision.others + max_tokens + unseen <= budget
