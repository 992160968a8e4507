"""A turn of a program: its prompt, its budget and its record."""

from collections.abc import Awaitable
from typing import Any

from loguru import logger

from pollenwalk.errors import Outcome, Refusal
from pollenwalk.process.clock import MS_PER_SECOND
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.program.turn_index import build_prompt
from pollenwalk.program.turns import SettleTokens, TurnRecord
from pollenwalk.request.call_state import Call
from pollenwalk.request.event_stream import Event
from pollenwalk.request.reservation import Reservation


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
        self.output: list[bytes] = []
        self.tokens = 0
        self.reservation: Reservation | None = None

    @property
    def begins_program(self) -> bool:
        """Tell whether nothing was done for the program before."""
        return self.reservation is not None and not self.reservation.others

    async def prepare(self) -> bytes:
        """Reserve the tokens and put the prompt together."""
        try:
            return await self.permitted_prompt()
        except Refusal as refusal:
            program = self.call.request.metadata.program
            raise self.group.retry_advisor.advise(refusal, program) from refusal

    async def permitted_prompt(self) -> bytes:
        """Reserve the tokens while the prompt is put together."""
        if self.call.request.metadata.budget is not None:
            self.reservation = Reservation(
                self.group,
                self.call,
                self.metrics,
            )
        body = await self.prompt()
        if self.reservation is not None:
            await self.reservation.permitted
        return body

    async def prompt(self) -> bytes:
        """Give the chain's inputs and outputs, then the new input."""
        request = self.call.request
        if not self.call.route.keeps_history or not request.metadata.previous:
            return request.body
        chain = await self.group.load_chain(request.metadata.previous)
        return build_prompt(chain, request.body)

    async def before_event(self, event: Event) -> None:
        """Show tokens only once they are counted.

        Far from the budget one keeper's disk is enough to begin; the others
        have it long before the stream ends, which waits for them.
        """
        if event.payload is None:
            return
        if self.reservation is not None and self.reservation.holds_events:
            await self.require(self.reservation.record_late())
        self.output.extend((event.payload, b'\n'))
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
        metadata = self.call.request.metadata
        record = TurnRecord(
            turn=metadata.id,
            program=metadata.program,
            previous=metadata.previous,
            input=self.call.request.body,
            output=b''.join(self.output),
            tokens=self.tokens,
            retention_ms=self.call.route.retention_ms,
            replicas=[],
        )
        begun_ms = self.group.clock.now_ms()
        # Copies that were made before count: a record never changes.
        keeping = self.group.retry_until_acknowledged(
            lambda: self.group.store_turn(record)
        )
        replicas = await self.require(keeping)
        took_ms = self.group.clock.now_ms() - begun_ms
        self.metrics.keep_seconds.observe({}, took_ms / MS_PER_SECOND)
        logger.info(
            'turn_kept',
            request=metadata.id,
            previous=metadata.previous,
            keepers=replicas,
            took_ms=round(took_ms),
        )

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
                message.retention_ms,
            ),
        )


def as_unknown(refusal: Refusal) -> Refusal:
    """Say the same of a turn that has begun to run."""
    return Refusal(refusal.code, refusal.message, Outcome.UNKNOWN)
