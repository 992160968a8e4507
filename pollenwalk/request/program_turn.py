"""A turn of a program: its prompt, its token reservation and its record."""

import asyncio
from collections.abc import Awaitable
from typing import Any, TypeVar

from loguru import logger

from pollenwalk.errors import BrokenAnswer, Outcome, Refusal
from pollenwalk.process.clock import MS_PER_SECOND
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.turn_search import unknown_turn
from pollenwalk.program.turn_index import build_prompt
from pollenwalk.program.turns import SettleTokens, TurnRecord
from pollenwalk.request.event_stream import Event
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.reservation import Reservation

# Maximum size of a turn's output, which is kept in memory until it is stored.
MAX_OUTPUT_BYTES = 8_388_608

Result = TypeVar('Result')


class ProgramTurn:
    """Implements `Turn` for a turn that belongs to a program.

    Attributes:
        output: the data of the events so far, each followed by a line feed;
            empty on routes that keep no history.
        tokens: number of tokens that these events count for.
        chain: ids of the turns that it continues, the oldest first.
        reservation: the turn's reservation; None before `prepare` and for
            requests without a token budget.
    """

    def __init__(
        self,
        group: KeeperGroup,
        call: Call,
        metrics: GatewayMetrics,
    ) -> None:
        """Prepare a turn of `call`; nothing is reserved yet.

        Args:
            group: the keepers that hold the program's turns and budget.
            call: the call that runs the turn.
            metrics: records how long the reservation and the storing take.
        """
        self.group = group
        self.metrics = metrics
        self.call = call
        self.output = bytearray()
        self.tokens = 0
        self.chain: list[str] = []
        self.reservation: Reservation | None = None

    @property
    def held_bytes(self) -> int:
        """Return the size of the output, which is kept until the turn is stored."""
        return len(self.output)

    @property
    def retention_ms(self) -> float:
        """Return how long the turn and its chain are needed if it ends now."""
        return self.group.raises.retention_ms(self.call.route)

    @property
    def begins_program(self) -> bool:
        """Return whether no other turn of the program has used or reserved tokens.

        False if the request has no token budget, as other turns are not known
        then.
        """
        return self.reservation is not None and not self.reservation.other_tokens

    async def prepare(self) -> bytes:
        """Reserve the turn's tokens and return the request body with the prompt.

        Raises:
            Refusal: the budget does not cover the turn, a previous turn is
                unknown, too few keepers answered, or too few of them have room.
                `RetryAdvisor` sets Retry-After if too few keepers answered.
        """
        return await self.with_advice(self.prepare_within_budget())

    async def confirm_beginning(self) -> None:
        """Wait until a majority of the keepers has answered.

        Raises:
            Refusal: the budget does not cover the turn, or too few keepers
                answered.
        """
        if self.reservation is not None:
            await self.with_advice(asyncio.shield(self.reservation.recorded))

    async def with_advice(self, work: Awaitable[Result]) -> Result:
        """Wait for `work`; let `RetryAdvisor` set Retry-After of its refusal.

        Raises:
            Refusal: that of `work`.
        """
        try:
            return await work
        except Refusal as refusal:
            program = self.call.request.metadata.program
            raise self.group.retry_advisor.advise(refusal, program) from refusal

    async def prepare_within_budget(self) -> bytes:
        """Build the prompt and meanwhile reserve tokens if there is a budget.

        Raises:
            Refusal: see `prepare`.
        """
        if self.call.route.keeps_history:
            self.group.require_room()
        if self.call.request.metadata.budget is not None:
            self.reservation = Reservation(
                self.group,
                self.call,
                self.metrics,
            )
        body = await self.build_prompt()
        if self.reservation is not None:
            await self.reservation.permitted
        return body

    async def build_prompt(self) -> bytes:
        """Return the inputs and outputs of the previous turns and the new input.

        On routes that keep no history, and for the first turn of a chain, it is
        the new input alone.

        Raises:
            Refusal: a previous turn is unknown, or belongs to another organisation.
        """
        request = self.call.request
        if not self.call.route.keeps_history or not request.metadata.previous:
            return request.body
        previous = request.metadata.previous
        chain = await self.group.chains.load(previous, self.retention_ms)
        self.chain = [record.turn for record in chain]
        if chain[-1].organisation != self.call.organisation_name:
            raise turn_of_another_organisation(self.call)
        return build_prompt(chain, request.body)

    async def before_event(self, event: Event) -> None:
        """Wait until the turn's reservation is recorded, and count the event's tokens.

        Far from the budget, one keeper's answer can be enough to run the turn, but
        not to show its answer: the answers of a majority can still refuse it, and
        an answer that has begun must not be cut. The turn does not end later, as
        its end also waits for the recording. Events without data are not counted.

        Raises:
            Refusal: the budget does not cover the turn, whose outcome is unknown.
            BrokenAnswer: the output exceeds MAX_OUTPUT_BYTES.
        """
        await self.wait_for_reservation()
        if event.payload is None:
            return
        if self.call.route.keeps_history:
            self.keep_output(event.payload)
        self.tokens += self.call.tokens_per_event

    def keep_output(self, payload: bytes) -> None:
        """Append an event's data to the output.

        Raises:
            BrokenAnswer: the output exceeds MAX_OUTPUT_BYTES.
        """
        if len(self.output) + len(payload) > MAX_OUTPUT_BYTES:
            raise BrokenAnswer(f'the output exceeds {MAX_OUTPUT_BYTES} bytes')
        self.output.extend(payload)
        self.output.extend(b'\n')

    async def before_end(self) -> None:
        """Wait until the reservation is recorded and the turn is stored.

        From then on the turn and its chain are kept for the route's retention.

        Raises:
            Refusal: the budget does not cover the turn, whose outcome is unknown.
        """
        await self.wait_for_reservation()
        if self.call.route.keeps_history:
            await self.store_turn()
            await self.confirm_chain()

    async def wait_for_reservation(self) -> None:
        """Wait until the reservation is recorded, if there is one.

        Raises:
            Refusal: the budget does not cover the turn, whose outcome is unknown.
        """
        if self.reservation is None or self.reservation.confirmed:
            return
        await self.await_for_running_turn(self.reservation.wait_until_recorded())

    async def await_for_running_turn(self, work: Awaitable[Any]) -> Any:
        """Wait for `work` on behalf of a turn that has begun to run.

        Raises:
            Refusal: that of `work`, with an unknown outcome.
        """
        try:
            return await work
        except Refusal as refusal:
            raise with_unknown_outcome(refusal) from refusal

    async def store_turn(self) -> None:
        """Store the turn at enough keepers.

        It is sent again until they have acknowledged it or the caller's deadline
        cancels the call.
        """
        metadata = self.call.request.metadata
        record = TurnRecord(
            turn=metadata.id,
            program=self.call.account,
            previous=metadata.previous,
            input=self.call.request.body,
            output=bytes(self.output),
            tokens=self.tokens,
            retention_ms=self.retention_ms,
            replicas=[],
            organisation=self.call.organisation_name,
        )
        started_ms = self.group.clock.now_ms()
        # Storing is idempotent, since a record never changes: a keeper that has a
        # copy from an earlier attempt acknowledges it again.
        storing = self.group.retry_until_acknowledged(
            lambda: self.group.store_turn(record)
        )
        replicas = await self.await_for_running_turn(storing)
        took_ms = self.group.clock.now_ms() - started_ms
        self.metrics.keep_seconds.observe({}, took_ms / MS_PER_SECOND)
        logger.info(
            'turn_kept',
            request=metadata.id,
            previous=metadata.previous,
            keepers=replicas,
            took_ms=round(took_ms),
        )

    async def confirm_chain(self) -> None:
        """Wait until the turn and those before it are kept for the retention from now.

        It usually waits for nothing: the keepers were told when the turn began. If too
        few have answered, they are asked again until the caller's deadline.
        """
        turns = [*self.chain, self.call.request.metadata.id]
        confirming = self.group.retry_until_acknowledged(
            lambda: self.group.chains.confirm(turns, self.retention_ms)
        )
        await self.await_for_running_turn(confirming)

    def close(self) -> None:
        """Cancel the reservation's task and settle the tokens of the events.

        Events count from just before they are sent to the caller.
        """
        if self.reservation is None:
            return
        self.reservation.close()
        message = self.reservation.message
        self.group.settle(
            SettleTokens(
                message.program,
                message.turn,
                self.tokens,
                message.retention_ms,
            ),
            self.reservation.asked,
        )


def turn_of_another_organisation(call: Call) -> Refusal:
    """Return the refusal of a call that continues another organisation's turn.

    It reads as if there were no such turn, so that callers can't find out which turns
    others have.
    """
    previous = call.request.metadata.previous
    logger.warning(
        'turn_of_another_organisation',
        request=call.id,
        previous=previous,
        organisation=call.organisation_name,
    )
    return unknown_turn(previous)


def with_unknown_outcome(refusal: Refusal) -> Refusal:
    """Return a copy of a refusal that leaves open whether the turn ran.

    The copy has no Retry-After.
    """
    return Refusal(refusal.code, refusal.message, Outcome.UNKNOWN)
