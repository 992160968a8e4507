"""Reservation of tokens of a program's budget for one turn."""

import asyncio

from loguru import logger

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.clock import MS_PER_SECOND
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.turn_replication import keepers_unavailable
from pollenwalk.program.ledger import (
    AnswerCount,
    BudgetDecision,
    decide_reservation,
    entries_to_repair,
    entry_to_record,
    fits_with_hidden_turns,
)
from pollenwalk.program.turns import ReserveTokens, Spent, TokenEntry
from pollenwalk.request.gateway_call import Call


class Reservation:
    """Tokens reserved for one turn.

    Attributes:
        permitted: done once the turn may run; fails if it may not. The recording
            can still find that the budget does not cover the turn.
        recorded: task that ends once a majority of the keepers have answered, the
            reservation is on enough disks and the budget covers the turn; fails
            if any of these does not happen. Replaced by a new task when the
            recording is repeated.
        permitted_early: whether the turn was permitted before `recorded` was done.
        permitting_answers: how many answers that permission rests on, out of how
            many keepers; None unless `permitted_early`.
        other_tokens: tokens that the program's other turns have spent or reserved,
            as of the permission, then as of the end of the recording.
        max_tokens: the most tokens that the turn may generate.
        budget: tokens that all turns of the program may generate.
        message: the request to the keepers.
        asked: names of the keepers that have been asked.
    """

    def __init__(
        self,
        group: KeeperGroup,
        call: Call,
        metrics: GatewayMetrics,
    ) -> None:
        """Start to record the reservation at keepers."""
        self.group = group
        self.metrics = metrics
        self.call = call
        metadata = call.request.metadata
        self.permitted_early = False
        self.permitting_answers: AnswerCount | None = None
        self.other_tokens = 0
        self.max_tokens = metadata.max_tokens
        self.budget = metadata.budget or 0
        self.message = ReserveTokens(
            call.account,
            metadata.id,
            self.max_tokens,
            call.route.retention_ms,
        )
        self.asked: set[str] = set()
        loop = asyncio.get_running_loop()
        self.permitted: asyncio.Future[None] = loop.create_future()
        self.start_recording()

    def start_recording(self) -> None:
        """Start a task that records the reservation."""
        self.recorded = asyncio.ensure_future(self.record())
        self.recorded.add_done_callback(self.propagate_result)

    def propagate_result(self, recorded: asyncio.Future[None]) -> None:
        """Complete `permitted` with the result of the recording."""
        # Reading the exception keeps asyncio from logging it as never retrieved.
        error = None if recorded.cancelled() else recorded.exception()
        if self.permitted.done():
            return
        if recorded.cancelled():
            self.permitted.cancel()
        elif error is None:
            self.permitted.set_result(None)
        else:
            self.permitted.set_exception(error)

    async def wait_until_recorded(self) -> None:
        """Wait until the reservation of a turn that has begun to run is recorded.

        The answer of such a turn is ready or soon will be, and a late answer is
        better than none. So while keepers are unavailable, the recording is
        repeated until the caller's deadline cancels it.

        Raises:
            Refusal: the budget does not cover the turn.
        """
        await self.group.retry_until_acknowledged(self.wait_or_record_again)

    async def wait_or_record_again(self) -> None:
        """Wait for the recording; start a new one if keepers were unavailable.

        Raises:
            Refusal: the budget does not cover the turn, or too few keepers
                answered.
        """
        try:
            await asyncio.shield(self.recorded)
        except Refusal as refusal:
            if refusal.code == RefusalCode.KEEPERS_UNAVAILABLE:
                self.start_recording()
            raise

    @property
    def confirmed(self) -> bool:
        """Return whether the recording has ended and the budget covers the turn."""
        if not self.recorded.done() or self.recorded.cancelled():
            return False
        return self.recorded.exception() is None

    async def record(self) -> None:
        """Record the reservation at a majority of the keepers and check the budget.

        Raises:
            Refusal: the budget does not cover the turn, or too few keepers
                answered.
        """
        started_ms = self.group.clock.now_ms()
        recent = self.group.recent
        known_entries = await recent.run(self.ask_majority)
        rounds = 1
        decision = self.decide(known_entries)
        exhausted = decision.settled_tokens + self.max_tokens > self.budget
        if not (exhausted or self.has_headroom(decision, len(known_entries))):
            # A second round sees the turns that were reserved during the first. It
            # is left out if settled turns alone leave too few tokens for this turn.
            known_entries.extend(await recent.run(self.ask_majority))
            rounds = 2
            decision = self.decide(known_entries)
        took_ms = self.group.clock.now_ms() - started_ms
        self.metrics.reserve_seconds.observe({}, took_ms / MS_PER_SECOND)
        self.log_decision(decision, len(known_entries), rounds)
        self.repair(known_entries)
        self.other_tokens = decision.others
        if not decision.fits:
            raise Refusal(
                RefusalCode.BUDGET_EXHAUSTED, 'the budget does not cover the turn'
            )

    def repair(self, known_entries: list[list[TokenEntry]]) -> None:
        """Send the keepers that were asked what some of them lack of the account."""
        lacking = entries_to_repair(known_entries)
        if not lacking:
            return
        logger.info(
            'account_repaired',
            request=self.call.id,
            program=self.message.program,
            turns=len(lacking),
        )
        message = self.message
        records = (
            entry_to_record(message.program, entry, message.retention_ms)
            for entry in lacking
        )
        self.group.push_records(records, self.asked)

    def log_decision(self, decision: BudgetDecision, answers: int, rounds: int) -> None:
        """Log the decision on the reservation and what it rests on.

        Args:
            decision: the comparison that all answers give.
            answers: number of keepers' complete answers, in all rounds together.
            rounds: how many times the keepers were asked.
        """
        permitting = self.permitting_answers
        logger.info(
            'budget',
            request=self.call.id,
            program=self.message.program,
            budget=self.budget,
            others=decision.others,
            most=self.max_tokens,
            fits=decision.fits,
            answers=answers,
            keepers=self.listed_keepers,
            unsettled=decision.unsettled,
            early=permitting is not None and not permitting.is_majority,
            permitted_by=permitting.answers if permitting else None,
            rounds=rounds,
        )

    async def ask_majority(self) -> list[list[TokenEntry]]:
        """Reserve at enough keepers and wait until a majority has answered.

        Returns:
            For each answer of a keeper whose records are complete, the entries
            that it knows.

        Raises:
            Refusal: too few keepers answered.
        """
        known_entries: list[list[TokenEntry]] = []
        # A keeper answers once the reservation is on its disk.
        stored_copies = 0
        # Read only once, since the list of keepers may change while they answer.
        majority = self.group.links.majority
        answers = self.group.request_quorum(
            self.message.program, self.message, self.asked
        )
        async for spent in answers:
            stored_copies += 1
            self.add_answer(spent, known_entries)
            if (
                len(known_entries) >= majority
                and stored_copies >= self.group.required_copies
            ):
                return known_entries
        raise keepers_unavailable(
            f'{len(known_entries)} keepers with complete records answered a '
            f'reservation; a majority is {majority}',
        )

    def add_answer(self, spent: Spent, known_entries: list[list[TokenEntry]]) -> None:
        """Add one keeper's entries; permit the turn if the answers suffice.

        The turn is permitted here only while a majority of the keepers is not
        lost and their list is newer than the last pause. Entries of a keeper whose
        records are incomplete are ignored.
        """
        if not spent.complete:
            return
        known_entries.append(spent.entries)
        if self.permitted.done() or not self.group.links.has_majority:
            return
        if not self.group.recent.is_current:
            return
        decision = self.decide(known_entries)
        if self.has_headroom(decision, len(known_entries)):
            self.permitted_early = True
            self.permitting_answers = self.count_answers(len(known_entries))
            self.other_tokens = decision.others
            self.permitted.set_result(None)

    def decide(self, known_entries: list[list[TokenEntry]]) -> BudgetDecision:
        """Compare the turn with the budget, given the keepers' entries."""
        return decide_reservation(
            known_entries, self.call.id, self.max_tokens, self.budget
        )

    def has_headroom(self, decision: BudgetDecision, answers: int) -> bool:
        """Return whether the budget also covers turns not seen by these answers.

        Args:
            decision: the comparison that the answers give.
            answers: number of keepers with complete records that answered.
        """
        return fits_with_hidden_turns(
            decision, self.max_tokens, self.budget, self.count_answers(answers)
        )

    @property
    def listed_keepers(self) -> int:
        """Return how many keepers are listed now."""
        return len(self.group.links.members.by_name)

    def count_answers(self, answers: int) -> AnswerCount:
        """Return a number of answers together with that of the listed keepers."""
        return AnswerCount(answers, self.listed_keepers)

    def close(self) -> None:
        """Cancel the recording if it still runs."""
        self.recorded.cancel()
