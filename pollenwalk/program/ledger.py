"""Accounts of the tokens that the turns of programs reserve and spend.

Before a turn runs, it reserves the largest number of tokens that it may
generate. Every keeper counts this reservation until the turn is settled with
the tokens of the events that were sent to the caller. Tokens that were
generated but not sent are not counted. A gateway merges the accounts of a
majority of the keepers. Any two majorities have a keeper in common, so of any
two turns at least one sees the other. A keeper that was not asked for long has dropped
the account of a program that goes on elsewhere, so what an answer lacks is sent to it:
after each turn a majority knows all turns of the program.
"""

import itertools
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from pollenwalk.process.clock import Clock
from pollenwalk.program.turn_index import expiry_delay_ms
from pollenwalk.program.turns import (
    RaiseRetention,
    ReserveTokens,
    SettleTokens,
    TokenEntry,
)


class Account:
    """The tokens reserved and spent by one program's turns.

    Attributes:
        entries: one for each turn, by the turn's id.
        last_used_ms: when a turn was last reserved or settled, on the
            process's clock.
        retention_ms: the longest retention that any turn has asked for.
    """

    def __init__(self) -> None:
        """Start without turns."""
        self.entries: dict[str, TokenEntry] = {}
        self.last_used_ms = 0.0
        self.retention_ms = 0.0


class Ledger:
    """The accounts that one keeper holds.

    Attributes:
        accounts: by program id.
    """

    def __init__(self, clock: Clock) -> None:
        """Start without accounts; times of last use are read from `clock`."""
        self.clock = clock
        self.accounts: dict[str, Account] = {}

    def touch_account(self, program: str, retention_ms: float) -> Account:
        """Return a program's account and mark it as just used.

        Args:
            program: the program's id; an account is opened if it has none.
            retention_ms: how long the account is needed after its last use.
        """
        account = self.accounts.setdefault(program, Account())
        account.last_used_ms = self.clock.now_ms()
        account.retention_ms = max(account.retention_ms, retention_ms)
        return account

    def reserve(self, request: ReserveTokens) -> list[TokenEntry]:
        """Reserve a turn's `max_tokens` unless the turn is already known.

        Returns:
            The entries of all turns of the program, this one included.
        """
        account = self.touch_account(request.program, request.retention_ms)
        entry = TokenEntry(request.turn, request.max_tokens, False)
        account.entries.setdefault(request.turn, entry)
        return list(account.entries.values())

    def settle(self, request: SettleTokens) -> None:
        """Replace a turn's reservation by the tokens sent to its caller."""
        account = self.touch_account(request.program, request.retention_ms)
        account.entries[request.turn] = TokenEntry(request.turn, request.tokens, True)

    def raised(self, message: RaiseRetention) -> Iterator[ReserveTokens | SettleTokens]:
        """Yield a record for each account that a raised retention is to hold for."""
        for program, account in self.accounts.items():
            if message.former_ms <= account.retention_ms < message.retention_ms:
                entry = next(iter(account.entries.values()))
                yield entry_to_record(program, entry, message.retention_ms)

    def expire(self) -> None:
        """Remove the accounts whose retention has passed."""
        now_ms = self.clock.now_ms()
        expired = [
            program
            for program, account in self.accounts.items()
            if account.last_used_ms + expiry_delay_ms(account.retention_ms) < now_ms
        ]
        for program in expired:
            self.accounts.pop(program)


def entry_to_record(
    program: str, entry: TokenEntry, retention_ms: float
) -> ReserveTokens | SettleTokens:
    """Return the record that creates an account entry."""
    kind = SettleTokens if entry.settled else ReserveTokens
    return kind(program, entry.turn, entry.tokens, retention_ms)


class BudgetDecision(NamedTuple):
    """How a turn's reservation compares with the program's budget.

    Attributes:
        others: tokens spent or reserved by all other turns of the program.
        unsettled: the part of `others` that is only reserved.
        fits: whether the budget covers `others` and the turn's `max_tokens`.
    """

    others: int
    unsettled: int
    fits: bool

    @property
    def settled_tokens(self) -> int:
        """Return the tokens that other, settled turns have spent."""
        return self.others - self.unsettled


def decide_reservation(
    entries_by_keeper: Iterable[Iterable[TokenEntry]],
    turn: str,
    max_tokens: int,
    budget: int,
) -> BudgetDecision:
    """Merge the keepers' entries and check a turn against the budget.

    A settled entry takes precedence over a reserved one of the same turn.

    Args:
        entries_by_keeper: the entries that each keeper returned.
        turn: id of the turn that is to run.
        max_tokens: the most tokens that the turn may generate.
        budget: tokens that all turns of the program may generate.
    """
    merged = merge_entries(entries_by_keeper)
    merged.pop(turn, None)
    others = sum(other.tokens for other in merged.values())
    unsettled = sum(other.tokens for other in merged.values() if not other.settled)
    return BudgetDecision(others, unsettled, others + max_tokens <= budget)


def merge_entries(
    entries_by_keeper: Iterable[Iterable[TokenEntry]],
) -> dict[str, TokenEntry]:
    """Return the entries of several keepers by turn, settled ones where there are any."""
    merged: dict[str, TokenEntry] = {}
    for entry in itertools.chain.from_iterable(entries_by_keeper):
        if entry.settled or entry.turn not in merged:
            merged[entry.turn] = entry
    return merged


def entries_to_repair(
    entries_by_keeper: Sequence[Sequence[TokenEntry]],
) -> list[TokenEntry]:
    """Return what some of the keepers that answered lack of a program's account.

    That is nothing unless one lacks a turn that is settled. A turn that is just being
    reserved reaches the others by itself.
    """
    merged = merge_entries(entries_by_keeper)
    known = [{entry.turn for entry in entries} for entries in entries_by_keeper]
    common = set.intersection(*known)
    lacking = [entry for turn, entry in merged.items() if turn not in common]
    return lacking if any(entry.settled for entry in lacking) else []


class AnswerCount(NamedTuple):
    """How many keepers have answered a reservation.

    Attributes:
        answers: answers of keepers whose records are complete; at least 1.
        keepers: number of all keepers.
    """

    answers: int
    keepers: int

    @property
    def is_majority(self) -> bool:
        """Return whether a majority of the keepers has answered."""
        return self.answers > self.keepers // 2

    @property
    def disjoint_turns(self) -> int:
        """Return how many turns can each have this many answers and no common keeper.

        Such turns do not see each other's reservations.
        """
        return self.keepers // self.answers

    @property
    def hidden_from_majority(self) -> int:
        """Return how many such turns can be unknown to a majority of the keepers."""
        minority = (self.keepers - 1) // 2
        return minority // self.answers


def fits_with_hidden_turns(
    decision: BudgetDecision, max_tokens: int, budget: int, answer_count: AnswerCount
) -> bool:
    """Return whether a turn may begin, allowing for turns it has not seen yet.

    Turns that are reserved at the same moment may reach the keepers in
    different orders. With answers of a majority, of any two turns at least one
    sees the other. The turns that this one does not see have all seen this one.
    To allow for them, as many tokens of the budget must be free as other turns
    have reserved and not settled. With fewer answers a turn begins only if it
    sees no other unsettled turn, and only if at most one such turn can be
    hidden from a majority. A program therefore exceeds its budget by the
    `max_tokens` of at most one turn.

    Args:
        decision: the comparison that the answers received so far give.
        max_tokens: the most tokens that the turn itself may generate.
        budget: tokens that all turns of the program may generate.
        answer_count: how many keepers have answered.
    """
    if answer_count.is_majority:
        unseen = decision.unsettled
    elif decision.unsettled or answer_count.hidden_from_majority > 1:
        return False
    else:
        # Of the turns that can't see each other, this one is counted below and
        # one may exceed the budget, hence 2 less.
        unseen = max(answer_count.disjoint_turns - 2, 0) * max_tokens
    return decision.others + max_tokens + unseen <= budget
