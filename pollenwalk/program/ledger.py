"""What the turns of programs have spent of their token budgets.

Every keeper counts a turn at its most from before it runs until it is
settled. A gateway unites what a majority of the keepers know; any two
majorities share a keeper, so of two turns at least one sees the other.
"""

import itertools
from collections.abc import Iterable
from typing import NamedTuple

from pollenwalk.process.clock import Clock
from pollenwalk.program.turn_index import kept_ms
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
        self.used_ms = 0.0
        self.kept_ms = 0.0


class Ledger:
    """The accounts that one keeper holds."""

    def __init__(self, clock: Clock) -> None:
        """Start without accounts."""
        self.clock = clock
        self.accounts: dict[str, Account] = {}

    def account(self, program: str, promised_ms: float) -> Account:
        """Give a program's account, which counts as used."""
        account = self.accounts.setdefault(program, Account())
        account.used_ms = self.clock.now_ms()
        account.kept_ms = max(account.kept_ms, promised_ms)
        return account

    def reserve(self, asked: ReserveTokens) -> list[TokenEntry]:
        """Count a turn at its most, unless it is known already.

        Returns:
            All that is known of the program's turns, this one included.
        """
        account = self.account(asked.program, asked.kept_ms)
        entry = TokenEntry(asked.turn, asked.most, False)
        account.entries.setdefault(asked.turn, entry)
        return list(account.entries.values())

    def settle(self, asked: SettleTokens) -> None:
        """Count what a turn has shown."""
        account = self.account(asked.program, asked.kept_ms)
        account.entries[asked.turn] = TokenEntry(asked.turn, asked.tokens, True)

    def expire(self) -> None:
        """Drop the accounts whose time is over."""
        now_ms = self.clock.now_ms()
        over = [
            program
            for program, account in self.accounts.items()
            if account.used_ms + kept_ms(account.kept_ms) < now_ms
        ]
        for program in over:
            self.accounts.pop(program)


class Verdict(NamedTuple):
    """What a turn's reservation comes to.

    Attributes:
        others: tokens of all other turns of the program.
        fits: whether the turn fits into the budget at its most.
    """

    others: int
    fits: bool


def judge(
    known: Iterable[Iterable[TokenEntry]],
    turn: str,
    most: int,
    budget: int,
) -> Verdict:
    """Unite what keepers know and hold a turn against the budget.

    Args:
        known: the entries that each keeper gave.
        turn: the one that is to run.
        most: the tokens that it may generate.
        budget: of the whole program.
    """
    united: dict[str, TokenEntry] = {}
    for entry in itertools.chain.from_iterable(known):
        if entry.settled or entry.turn not in united:
            united[entry.turn] = entry
    united.pop(turn, None)
    others = sum(other.tokens for other in united.values())
    return Verdict(others, others + most <= budget)
