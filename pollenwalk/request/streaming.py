"""Streaming calls: their events are forwarded to the caller as they arrive."""

from typing import Protocol

from loguru import logger

from pollenwalk.errors import BrokenAnswer, Outcome, Refusal, RefusalCode
from pollenwalk.process.clock import MS_PER_SECOND
from pollenwalk.process.loop_share import LoopShare
from pollenwalk.program.streams import StreamOrigin
from pollenwalk.request.call_sender import CallSender
from pollenwalk.request.event_stream import Event, EventSplitter
from pollenwalk.request.exchange import Exchange
from pollenwalk.request.forwarding_context import ForwardingContext
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.http_messages import AnswerHead, Framing
from pollenwalk.request.program_admission import (
    admits_new_program,
    check_program_admission,
)
from pollenwalk.request.reply import Reply
from pollenwalk.request.stream_origin import find_origin, stream_lifetime_ms
from pollenwalk.request.turn_timer import TurnTimer


class Turn(Protocol):
    """What is done for a program while the answer of its turn is streamed."""

    @property
    def begins_program(self) -> bool:
        """Return whether program admission is checked before the turn is sent."""

    @property
    def held_bytes(self) -> int:
        """Return how much of the answer is kept until its end."""

    async def prepare(self) -> bytes:
        """Wait until the turn may run and return the request body to send.

        Raises:
            Refusal: the turn may not run.
        """

    async def confirm_beginning(self) -> None:
        """Wait until `begins_program` rests on the answers of enough keepers.

        Raises:
            Refusal: the turn may not run.
        """

    async def before_event(self, event: Event) -> None:
        """Wait until an event may be sent to the caller, and record it.

        Raises:
            Refusal: the event may not be sent; the outcome is unknown.
        """

    async def before_end(self) -> None:
        """Wait until the end of the stream may be sent: the turn is stored then.

        Raises:
            Refusal: the end may not be sent; the outcome is unknown.
        """

    def close(self) -> None:
        """Settle the tokens that the turn has used, however it ended."""


class StandaloneTurn:
    """Implements `Turn` for a stream that belongs to no program."""

    def __init__(self, body: bytes) -> None:
        """Use the caller's body unchanged."""
        self.body = body
        self.begins_program = False
        self.held_bytes = 0

    async def prepare(self) -> bytes:
        """Return the caller's body."""
        return self.body

    async def confirm_beginning(self) -> None:
        """Do nothing, as nobody is asked."""

    async def before_event(self, event: Event) -> None:
        """Allow every event."""

    async def before_end(self) -> None:
        """Do nothing, as the turn is not stored."""

    def close(self) -> None:
        """Do nothing, as no tokens are reserved."""


async def run_stream(
    context: ForwardingContext,
    call: Call,
    turn: Turn,
    reply: Reply,
) -> None:
    """Run a streaming call and forward its events to the caller.

    Args:
        context: the parts of the gateway that are used to forward calls.
        call: the call.
        turn: prepares the request and permits each event.
        reply: the answer to the caller.

    Raises:
        Refusal: the call was not run or did not complete.
        BrokenAnswer: the host's answer broke off and may not be resumed.
    """
    try:
        sender = await make_sender(context, call, turn)
        with sender.trial:
            await StreamForwarder(sender, turn, reply).run()
    finally:
        turn.close()


async def make_sender(context: ForwardingContext, call: Call, turn: Turn) -> CallSender:
    """Wait until a streaming call may run, and return its sender.

    Raises:
        Refusal: the call may not run.
    """
    origin = await find_origin(context, call)
    body = await turn.prepare()
    if origin is not None:
        call = call._replace(upstream=origin.upstream)
    sender = CallSender(context, call, body)
    if origin is not None:
        sender.software_version = origin.software_version
    await check_admission(sender, turn)
    return sender


async def check_admission(sender: CallSender, turn: Turn) -> None:
    """Refuse a turn that begins a program if the hosts are too busy for one more.

    The first keepers to answer may not know the earlier turns of the program, so the
    turn is refused only on the answers of a majority.

    Raises:
        Refusal: the program may not begin, or too few keepers answered.
    """
    admission = sender.context.admission
    if turn.begins_program and admission is not None:
        admission.record_demand(sender.call)
    if turn.begins_program and not admits_new_program(sender):
        await turn.confirm_beginning()
    sender.permits.begins_program = turn.begins_program
    if turn.begins_program:
        check_program_admission(sender)
        await check_load(sender, turn)


async def check_load(sender: CallSender, turn: Turn) -> None:
    """Refuse a turn that begins a program while running programs can't stay in time.

    Raises:
        Refusal: the program may not begin, or too few keepers answered.
    """
    admission = sender.context.admission
    reason = admission.reason_to_refuse(sender.call) if admission else ''
    if admission is None or not reason:
        return
    await turn.confirm_beginning()
    if turn.begins_program:
        raise admission.refuse(sender.call, reason)
    sender.permits.begins_program = False


class StreamForwarder:
    """Forwards the stream of one call to its caller.

    Attributes:
        last_event_id: id of the last event with an id that was sent to the
            caller; empty for none.
        may_resume: whether a host that goes on after `last_event_id` repeats
            nothing: the last event with data that was sent has an id.
        loop_share: lets other tasks run while many events are forwarded.
        timer: measures the turn.
    """

    def __init__(self, sender: CallSender, turn: Turn, reply: Reply) -> None:
        """Prepare to forward the stream of the sender's call to `reply`."""
        self.sender = sender
        self.call = sender.call
        self.turn = turn
        self.reply = reply
        self.last_event_id = ''
        self.may_resume = True
        self.loop_share = LoopShare()
        self.timer = TurnTimer(sender.context.clock)

    async def run(self) -> None:
        """Forward the stream; if it breaks off, resume it at another host.

        Raises:
            BrokenAnswer: the stream broke off and may not be resumed.
            Refusal: no host began to answer, or the turn may not go on.
        """
        exchange = await self.open_first_exchange()
        while not await self.try_forward_answer(exchange):
            exchange = await self.sender.open_exchange(self.last_event_id)
            self.check_resumed_status(exchange)
        if exchange.succeeded:
            self.sender.record_run_time(exchange.state)
            self.record_turn(exchange)

    def record_turn(self, exchange: Exchange) -> None:
        """Record how long the turn took, unless several hosts ran parts of it."""
        admission = self.sender.context.admission
        if admission is None or self.sender.runs > 1:
            return
        host = exchange.state.registration.id
        turn = self.timer.measure(self.call, host, self.sender.sent_ms)
        if turn is not None:
            admission.record_turn(turn)

    async def open_first_exchange(self) -> Exchange:
        """Send the call until a host begins to answer.

        A turn that finds no permit as the first of its program is refused only on the
        answers of a majority of the keepers, as others may know earlier turns.

        Raises:
            Refusal: no host accepts the call.
        """
        try:
            return await self.sender.open_exchange()
        except Refusal as refusal:
            if refusal.code != RefusalCode.HOST_LIMITS or not self.turn.begins_program:
                raise
            await self.turn.confirm_beginning()
            if self.turn.begins_program:
                raise
        self.sender.permits.treat_as_begun()
        return await self.sender.open_exchange()

    def check_resumed_status(self, exchange: Exchange) -> None:
        """Check that a host resumes a stream that the caller has a part of.

        Raises:
            BrokenAnswer: the status of its answer is not a success; the exchange
                is closed.
        """
        if self.reply.started and not exchange.succeeded:
            exchange.close()
            raise BrokenAnswer(f'resumed with status {exchange.head.status}')

    async def try_forward_answer(self, exchange: Exchange) -> bool:
        """Forward one host's answer to its end, and record success or failure.

        Returns:
            False if the answer broke off and another host may be tried.

        Raises:
            BrokenAnswer: the answer broke off and no other host may be tried.
            Refusal: likewise, but the caller has not got any part of an answer.
        """
        try:
            with exchange:
                await self.forward_answer(exchange)
        except BrokenAnswer as error:
            await self.sender.handle_broken_answer(
                exchange.state, error.message, began=True
            )
            if self.may_resume and self.sender.may_send():
                return False
            if self.reply.started:
                raise
            raise Refusal(
                RefusalCode.UPSTREAM_FAILED,
                'the upstream host broke off its answer',
                Outcome.UNKNOWN,
            ) from error
        exchange.state.record_success()
        self.sender.crashes.record_completion()
        return True

    async def forward_answer(self, exchange: Exchange) -> None:
        """Forward a stream event by event, or an unsuccessful answer in one piece.

        Raises:
            BrokenAnswer: the answer broke off, or all answers together hold too much.
            Refusal: the turn may not go on.
        """
        if not exchange.succeeded:
            body = await exchange.body()
            head = exchange.head
            await self.reply.send_complete(head.status, head.headers, body)
            return
        splitter = EventSplitter()
        async for chunk in exchange.chunks():
            for event in splitter.feed(chunk):
                await self.forward_event(exchange, event)
            exchange.held.resize(len(splitter.incomplete) + self.turn.held_bytes)
        check_end(exchange.head, splitter)
        await self.turn.before_end()
        await self.start_reply(exchange)
        if splitter.incomplete:
            await self.reply.write(bytes(splitter.incomplete))
        await self.reply.finish()

    async def forward_event(self, exchange: Exchange, event: Event) -> None:
        """Send one event to the caller once the turn permits it."""
        if event.payload is not None:
            self.timer.record_arrival(exchange)
        if self.loop_share.is_used_up():
            await self.loop_share.let_others_run()
        await self.turn.before_event(event)
        if not self.reply.started:
            await self.start_reply(exchange)
        await self.reply.write(event.raw)
        self.last_event_id = event.id or self.last_event_id
        if event.id or event.payload is not None:
            self.may_resume = bool(event.id)
        if event.payload is not None:
            self.timer.record_forwarded()

    def fix_version(self, exchange: Exchange) -> None:
        """Make the stream go on at the version of its host only, and record that."""
        self.sender.software_version = exchange.software_version
        if not self.call.route.resumable:
            return
        origin = StreamOrigin(
            self.call.owned_key(self.call.id),
            self.call.upstream,
            exchange.software_version,
            stream_lifetime_ms(self.call),
        )
        self.sender.context.streams.record(origin)

    async def start_reply(self, exchange: Exchange) -> None:
        """Send status and headers to the caller unless they are sent already."""
        if self.reply.started:
            return
        self.sender.allow_until_deadline()
        self.fix_version(exchange)
        context = self.sender.context
        took_ms = context.clock.now_ms() - self.call.request.arrived_ms
        context.metrics.first_event_seconds.observe({}, took_ms / MS_PER_SECOND)
        logger.info(
            'stream_begins',
            request=self.call.id,
            host=exchange.state.registration.id,
            status=exchange.head.status,
            framing=str(exchange.head.framing),
            after_ms=round(took_ms),
        )
        await self.reply.start(exchange.head.status, exchange.head.headers)


def check_end(head: AnswerHead, splitter: EventSplitter) -> None:
    """Check that a host's answer to a streaming call is whole.

    An answer that ends with its connection must have an event: a host that stops
    after the head ends its answer in the same way.

    Raises:
        BrokenAnswer: the answer has been broken off.
    """
    if not head.is_event_stream:
        return
    splitter.check_end()
    if head.framing == Framing.CONNECTION_END and not splitter.events:
        raise BrokenAnswer('the stream ended before its first event')
