"""A turn of a program: its prompt, its budget and its record."""

import asyncio
from collections.abc import Awaitable
from typing import Any

from loguru import logger

from pollenwalk.errors import Outcome, Refusal, RefusalCode
from pollenwalk.process.clock import MS_PER_SECOND
from pollenwalk.process.copies import keepers_unavailable
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.program.ledger import Heard, fits_unseen, judge
from pollenwalk.program.turn_index import prompt_of
from pollenwalk.program.turns import (
    ReserveTokens,
    SettleTokens,
    Spent,
    TokenEntry,
    TurnRecord,
)
from pollenwalk.request.call_state import Call
from pollenwalk.request.event_stream import Event

# Pause before keepers that gave no answer are asked again: half of the pause
# after which a lost one is probed.
ASK_AGAIN_MS = 100.0


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
        traits = call.request.traits
        self.early = False
        self.others = 0
        self.most = traits.most_tokens
        self.budget = traits.budget or 0
        self.message = ReserveTokens(
            traits.program,
            traits.id,
            self.most,
            call.route.retention_ms,
        )
        loop = asyncio.get_running_loop()
        self.permitted: asyncio.Future[None] = loop.create_future()
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
        while True:
            try:
                await asyncio.shield(self.recorded)
            except Refusal as refusal:
                if refusal.code != RefusalCode.KEEPERS_UNAVAILABLE:
                    raise
            else:
                return
            await self.group.clock.sleep_ms(ASK_AGAIN_MS)
            self.recorded = asyncio.ensure_future(self.record())
            self.recorded.add_done_callback(self.pass_on)

    async def record(self) -> None:
        """Wait until a majority has the reservation, and judge it.

        Raises:
            Refusal: the budget is spent, or too few keepers answer.
        """
        begun_ms = self.group.clock.now_ms()
        known = await self.ask_majority()
        if not (self.has_headroom(known) or self.is_spent(known)):
            # Whoever reserved at the same time is seen by the second round.
            known.extend(await self.ask_majority())
        took_ms = self.group.clock.now_ms() - begun_ms
        self.metrics.reserve_seconds.observe({}, took_ms / MS_PER_SECOND)
        verdict = judge(known, self.call.id, self.most, self.budget)
        logger.info(
            'budget',
            request=self.call.id,
            program=self.message.program,
            budget=self.budget,
            others=verdict.others,
            most=self.most,
            fits=verdict.fits,
        )
        self.others = verdict.others
        if not verdict.fits:
            raise Refusal(RefusalCode.BUDGET_EXHAUSTED, 'the budget is spent')

    async def ask_majority(self) -> list[list[TokenEntry]]:
        """Ask all keepers; give what a majority of complete ones know."""
        known: list[list[TokenEntry]] = []
        disks = 0
        # The list of keepers may change before they have answered.
        majority = self.group.links.majority
        async for spent in self.group.answers(self.message):
            disks += 1
            self.take(spent, known)
            if len(known) >= majority and disks >= self.group.copies:
                return known
        raise keepers_unavailable(f'{len(known)} of {majority} know the budget')

    def take(self, spent: Spent, known: list[list[TokenEntry]]) -> None:
        """Take one keeper's word; it may be enough to begin."""
        if not spent.complete:
            return
        known.append(spent.entries)
        if self.permitted.done() or not self.group.links.can_decide:
            return
        if self.has_headroom(known):
            self.early = True
            self.others = judge(known, self.call.id, self.most, self.budget).others
            self.permitted.set_result(None)

    def has_headroom(self, known: list[list[TokenEntry]]) -> bool:
        """Tell whether the budget bears even turns that are not seen yet."""
        verdict = judge(known, self.call.id, self.most, self.budget)
        heard = Heard(len(known), len(self.group.links.members.by_name))
        return fits_unseen(verdict, self.most, self.budget, heard)

    def is_spent(self, known: list[list[TokenEntry]]) -> bool:
        """Tell whether what was shown leaves no room, whatever else ends."""
        verdict = judge(known, self.call.id, self.most, self.budget)
        shown = verdict.others - verdict.unsettled
        return shown + self.most > self.budget

    @property
    def holds_events(self) -> bool:
        """Tell whether events wait for the recording, or for its failure."""
        return self.recorded.done() or not self.early

    def close(self) -> None:
        """Stop waiting."""
        self.recorded.cancel()


class ProgramTurn:
    """Implements `Turn` for a turn that belongs to a program."""

    def __init__(
        self,
        group: KeeperGroup,
        call: Call,
        metrics: GatewayMetrics,
    ) -> None:
        """Prepare; nothing is reserved yet."""
        self.group = group
        self.metrics = metrics
        self.call = call
        self.made: list[bytes] = []
        self.tokens = 0
        self.reservation: Reservation | None = None
        self.begins_program = False

    async def prepare(self) -> bytes:
        """Reserve the tokens and put the prompt together."""
        try:
            return await self.permitted_prompt()
        except Refusal as refusal:
            program = self.call.request.traits.program
            raise self.group.returns.advise(refusal, program) from refusal

    async def permitted_prompt(self) -> bytes:
        """Reserve the tokens while the prompt is put together."""
        if self.call.request.traits.budget is not None:
            self.reservation = Reservation(
                self.group,
                self.call,
                self.metrics,
            )
        body = await self.prompt()
        if self.reservation is not None:
            await self.reservation.permitted
            self.begins_program = not self.reservation.others
        return body

    async def prompt(self) -> bytes:
        """Give the chain's inputs and outputs, then the new input."""
        request = self.call.request
        if not self.call.route.keeps_history or not request.traits.previous:
            return request.body
        chain = await self.group.chain(request.traits.previous)
        return prompt_of(chain, request.body)

    async def before_event(self, event: Event) -> None:
        """Show tokens only once they are counted.

        Far from the budget one keeper's disk is enough to begin; the others
        have it long before the stream ends, which waits for them.
        """
        if event.payload is None:
            return
        if self.reservation is not None and self.reservation.holds_events:
            await self.require(self.reservation.record_late())
        self.made.extend((event.payload, b'\n'))
        self.tokens += self.call.tokens_per_event

    async def before_end(self) -> None:
        """Have the turn counted and kept before its end is shown."""
        if self.reservation is not None:
            await self.require(self.reservation.record_late())
        if self.call.route.keeps_history:
            await self.keep()

    async def require(self, work: Awaitable[Any]) -> Any:
        """Wait for what a turn that has begun to run depends on.

        Raises:
            Refusal: it was not done; the turn has run.
        """
        try:
            return await work
        except Refusal as refusal:
            raise as_unknown(refusal) from refusal

    async def keep(self) -> None:
        """Have the turn kept by enough keepers."""
        traits = self.call.request.traits
        record = TurnRecord(
            turn=traits.id,
            program=traits.program,
            previous=traits.previous,
            given=self.call.request.body,
            made=b''.join(self.made),
            tokens=self.tokens,
            kept_ms=self.call.route.retention_ms,
            holders=[],
        )
        begun_ms = self.group.clock.now_ms()
        holders = await self.require(self.keep_late(record))
        took_ms = self.group.clock.now_ms() - begun_ms
        self.metrics.keep_seconds.observe({}, took_ms / MS_PER_SECOND)
        logger.info(
            'turn_kept',
            request=traits.id,
            previous=traits.previous,
            keepers=holders,
            took_ms=round(took_ms),
        )

    async def keep_late(self, record: TurnRecord) -> list[str]:
        """Have a turn kept, however long the keepers take.

        Copies that were made before count: a record never changes.
        """
        while True:
            try:
                return await self.group.keep(record)
            except Refusal as refusal:
                if refusal.code != RefusalCode.KEEPERS_UNAVAILABLE:
                    raise
            await self.group.clock.sleep_ms(ASK_AGAIN_MS)

    def close(self) -> None:
        """Settle what was shown."""
        if self.reservation is None:
            return
        self.reservation.close()
        message = self.reservation.message
        self.group.settle(
            SettleTokens(
                message.program,
                message.turn,
                self.tokens,
                message.kept_ms,
            ),
        )


def as_unknown(refusal: Refusal) -> Refusal:
    """Say the same of a turn that has begun to run."""
    return Refusal(refusal.code, refusal.message, Outcome.UNKNOWN)
