"""Calls whose answers are streams of events, passed on as they come."""

from typing import Protocol

from loguru import logger

from pollenwalk.errors import BrokenAnswer
from pollenwalk.process.clock import MS_PER_SECOND
from pollenwalk.request.call_sender import CallSender, ForwardingContext
from pollenwalk.request.call_state import Call
from pollenwalk.request.event_stream import Event, EventSplitter
from pollenwalk.request.exchange import Exchange
from pollenwalk.request.reply import Reply


class Turn(Protocol):
    """What a stream means to the program that it belongs to."""

    @property
    def begins_program(self) -> bool:
        """Tell whether nothing was done for the program before."""

    async def prepare(self) -> bytes:
        """Give the body to send, once the turn may run.

        Raises:
            Refusal: it may not.
        """

    async def before_event(self, event: Event) -> None:
        """Make sure that an event may be shown, and note it."""

    async def before_end(self) -> None:
        """Make sure that the turn is kept before its end is shown.

        Raises:
            Refusal: it is not.
        """

    def close(self) -> None:
        """Settle what the turn has used, however it ended."""


class StandaloneTurn:
    """A stream that belongs to no program."""

    def __init__(self, body: bytes) -> None:
        """Send the caller's body as it is."""
        self.body = body
        self.begins_program = False

    async def prepare(self) -> bytes:
        """Give the caller's body."""
        return self.body

    async def before_event(self, event: Event) -> None:
        """Show every event."""

    async def before_end(self) -> None:
        """Keep nothing."""

    def close(self) -> None:
        """Settle nothing."""


async def run_stream(
    context: ForwardingContext,
    call: Call,
    turn: Turn,
    reply: Reply,
) -> None:
    """Run a call and pass its events on.

    Raises:
        Refusal: there is no complete stream.
        BrokenAnswer: the stream broke off after its beginning was shown.
    """
    try:
        body = await turn.prepare()
        sender = CallSender(context, call, body)
        if turn.begins_program:
            sender.check_program_admission()
        await StreamForwarder(sender, call, turn, reply).run()
    finally:
        turn.close()


class StreamForwarder:
    """One stream on its way to the caller.

    Attributes:
        last_event: id of the last event that was shown.
    """

    def __init__(
        self, sender: CallSender, call: Call, turn: Turn, reply: Reply
    ) -> None:
        """Prepare to pass a stream on."""
        self.sender = sender
        self.call = call
        self.turn = turn
        self.reply = reply
        self.last_event = ''

    async def run(self) -> None:
        """Pass the stream on, from several hosts if it may be resumed."""
        exchange = await self.sender.begin()
        while not await self.passed_on(exchange):
            exchange = await self.sender.begin(self.last_event)
            self.check_resumed(exchange)
        if exchange.succeeded:
            self.sender.note_run()

    def check_resumed(self, exchange: Exchange) -> None:
        """Refuse to join a failure to a stream that has begun."""
        if self.reply.started and not exchange.succeeded:
            exchange.close()
            raise BrokenAnswer(f'resumed with status {exchange.head.status}')

    async def passed_on(self, exchange: Exchange) -> bool:
        """Pass on what one host gives; False where another may go on.

        Raises:
            BrokenAnswer: it broke off and no other host may go on.
        """
        try:
            with exchange:
                await self.pass_answer(exchange)
        except BrokenAnswer as error:
            self.sender.broke(exchange.state, error.message)
            if self.sender.may_run():
                return False
            raise
        exchange.state.record_success()
        return True

    async def pass_answer(self, exchange: Exchange) -> None:
        """Pass on a stream, or an answer that is none."""
        if not exchange.succeeded:
            body = await exchange.body()
            head = exchange.head
            await self.reply.whole(head.status, head.headers, body)
            return
        splitter = EventSplitter()
        async for chunk in exchange.chunks():
            for event in splitter.feed(chunk):
                await self.pass_event(exchange, event)
        await self.turn.before_end()
        await self.start(exchange)
        if splitter.left:
            await self.reply.write(splitter.left)
        await self.reply.finish()

    async def pass_event(self, exchange: Exchange, event: Event) -> None:
        """Show one event."""
        await self.turn.before_event(event)
        await self.start(exchange)
        await self.reply.write(event.raw)
        self.last_event = event.id or self.last_event

    async def start(self, exchange: Exchange) -> None:
        """Show the caller that the stream begins, unless it was shown."""
        if self.reply.started:
            return
        context = self.sender.context
        took_ms = context.clock.now_ms() - self.call.request.arrived_ms
        context.metrics.first_event_seconds.observe({}, took_ms / MS_PER_SECOND)
        logger.info(
            'stream_begins',
            request=self.call.id,
            host=exchange.state.registration.id,
            status=exchange.head.status,
            after_ms=round(took_ms),
        )
        await self.reply.start(exchange.head.status, exchange.head.headers)
