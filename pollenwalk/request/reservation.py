"""Tokens of a program's budget that are set aside for one turn."""

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
    fits_with_hidden_turns,
)
from pollenwalk.program.turns import ReserveTokens, Spent, TokenEntry
from pollenwalk.request.call_state import Call


class Reservation:
    """Tokens set aside for one turn.

    Attributes:
        permitted: done once the turn may run.
        recorded: done once a majority of the keepers have it on disk.
        early: whether less than a majority's word was enough to begin.
        others: tokens of the program's other turns, as known when this one
            was permitted.
    """

    def __init__(
        self,
        group: KeeperGroup,
        call: Call,
        metrics: GatewayMetrics,
    ) -> None:
        """Ask all keepers at once."""
        self.group = group
        self.metrics = metrics
        self.call = call
        metadata = call.request.metadata
        self.early = False
        self.others = 0
        self.max_tokens = metadata.max_tokens
        self.budget = metadata.budget or 0
        self.message = ReserveTokens(
            metadata.program,
            metadata.id,
            self.max_tokens,
            call.route.retention_ms,
        )
        loop = asyncio.get_running_loop()
        self.permitted: asyncio.Future[None] = loop.create_future()
        self.begin()

    def begin(self) -> None:
        """Have the reservation recorded."""
        self.recorded = asyncio.ensure_future(self.record())
        self.recorded.add_done_callback(self.pass_on)

    def pass_on(self, recorded: asyncio.Future[None]) -> None:
        """End whoever waits for the permission as the recording ended."""
        # Also looked at where nobody waits for it any more.
        error = None if recorded.cancelled() else recorded.exception()
        if self.permitted.done():
            return
        if recorded.cancelled():
            self.permitted.cancel()
        elif error is None:
            self.permitted.set_result(None)
        else:
            self.permitted.set_exception(error)

    async def record_late(self) -> None:
        """Wait for the recording of a turn that has begun to run.

        Its answer is there or soon will be, so it is better late than cut:
        the reservation is asked for again until the caller's time is over.

        Raises:
            Refusal: the budget is spent.
        """
        await self.group.retry_until_acknowledged(self.recorded_again)

    async def recorded_again(self) -> None:
        """Wait for the recording; where keepers were silent, begin a new one."""
        try:
            await asyncio.shield(self.recorded)
        except Refusal as refusal:
            if refusal.code == RefusalCode.KEEPERS_UNAVAILABLE:
                self.begin()
            raise

    @property
    def failed(self) -> bool:
        """Tell whether the recording has ended without a success."""
        if not self.recorded.done():
            return False
        return self.recorded.cancelled() or self.recorded.exception() is not None

    async def record(self) -> None:
        """Wait until a majority has the reservation, and judge it.

        Raises:
            Refusal: the budget is spent, or too few keepers answer.
        """
        begun_ms = self.group.clock.now_ms()
        known = await self.ask_majority()
        decision = self.decision_on(known)
        spent = decision.settled_tokens + self.max_tokens > self.budget
        if not (spent or self.has_headroom(decision, len(known))):
            # Whoever reserved at the same time is seen by the second round.
            known.extend(await self.ask_majority())
            decision = self.decision_on(known)
        took_ms = self.group.clock.now_ms() - begun_ms
        self.metrics.reserve_seconds.observe({}, took_ms / MS_PER_SECOND)
        logger.info(
            'budget',
            request=self.call.id,
            program=self.message.program,
            budget=self.budget,
            others=decision.others,
            most=self.max_tokens,
            fits=decision.fits,
        )
        self.others = decision.others
        if not decision.fits:
            raise Refusal(RefusalCode.BUDGET_EXHAUSTED, 'the budget is spent')

    async def ask_majority(self) -> list[list[TokenEntry]]:
        """Ask all keepers; give what a majority of complete ones know."""
        known: list[list[TokenEntry]] = []
        disks = 0
        # The list of keepers may change before they have answered.
        majority = self.group.links.majority
        async for spent in self.group.ask_all(self.message):
            disks += 1
            self.take(spent, known)
            if len(known) >= majority and disks >= self.group.required_copies:
                return known
        raise keepers_unavailable(f'{len(known)} of {majority} know the budget')

    def take(self, spent: Spent, known: list[list[TokenEntry]]) -> None:
        """Take one keeper's word; it may be enough to begin."""
        if not spent.complete:
            return
        known.append(spent.entries)
        if self.permitted.done() or not self.group.links.has_majority:
            return
        decision = self.decision_on(known)
        if self.has_headroom(decision, len(known)):
            self.early = True
            self.others = decision.others
            self.permitted.set_result(None)

    def decision_on(self, known: list[list[TokenEntry]]) -> BudgetDecision:
        """Hold the turn against the budget by what keepers know."""
        return decide_reservation(known, self.call.id, self.max_tokens, self.budget)

    def has_headroom(self, decision: BudgetDecision, answers: int) -> bool:
        """Tell whether the budget bears even turns that are not seen yet."""
        answer_count = AnswerCount(answers, len(self.group.links.members.by_name))
        return fits_with_hidden_turns(
            decision, self.max_tokens, self.budget, answer_count
        )

    @property
    def holds_events(self) -> bool:
        """Tell whether events wait for the recording, or for its failure."""
        return self.failed or not (self.recorded.done() or self.early)

    def close(self) -> None:
        """Stop waiting."""
        self.recorded.cancel()
