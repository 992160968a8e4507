"""Unary calls: each answer is forwarded to the caller when it is complete."""

from typing import NamedTuple

from pollenwalk.errors import BrokenAnswer, Outcome, Refusal, RefusalCode
from pollenwalk.request.call_sender import CallSender
from pollenwalk.request.exchange import Exchange
from pollenwalk.request.forwarding_context import ForwardingContext
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.hedged_unary import may_be_hedged, run_hedged
from pollenwalk.request.http_messages import AnswerHead
from pollenwalk.request.reply import Reply


class UnaryAnswer(NamedTuple):
    """A complete answer.

    Attributes:
        head: status and headers.
        body: the whole body.
    """

    head: AnswerHead
    body: bytes


async def run_unary(context: ForwardingContext, call: Call, reply: Reply) -> None:
    """Run a call and forward its answer once it is complete.

    Args:
        context: the parts of the gateway that are used to forward calls.
        call: the call.
        reply: the answer to the caller.

    Raises:
        Refusal: no host gave a complete answer.
    """
    if context.hedging is not None and may_be_hedged(call.route):
        await run_hedged(context, call, reply, context.hedging)
        return
    sender = CallSender(context, call, call.request.body)
    with sender.trial:
        answer = await obtain_answer(sender)
    await reply.send_complete(answer.head.status, answer.head.headers, answer.body)


async def obtain_answer(sender: CallSender) -> UnaryAnswer:
    """Send a call until a host gives a complete answer, and return the answer.

    Raises:
        Refusal: no host gave a complete answer.
    """
    while True:
        exchange = await sender.open_exchange()
        body = await read_body_or_none(sender, exchange)
        if body is not None:
            sender.record_run_time(exchange.state)
            sender.crashes.record_completion()
            return UnaryAnswer(exchange.head, body)
        if not sender.may_send():
            raise Refusal(
                RefusalCode.UPSTREAM_FAILED,
                'the upstream host broke off its answer',
                Outcome.UNKNOWN,
            )


async def read_body_or_none(sender: CallSender, exchange: Exchange) -> bytes | None:
    """Read the body of an answer; record a failure and return None if it broke off."""
    try:
        with exchange:
            return await exchange.body()
    except BrokenAnswer as error:
        await sender.handle_broken_answer(exchange.state, error.message, began=True)
        return None
