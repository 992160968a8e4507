"""What a host's answer says besides the answer itself, and refusals of hosts."""

import contextlib

from loguru import logger

from pollenwalk.errors import BrokenAnswer
from pollenwalk.policy.host_pace import ReportedPace
from pollenwalk.process.clock import Clock
from pollenwalk.process.host_table import HostState
from pollenwalk.request.exchange import Exchange
from pollenwalk.request.forwarding_context import ForwardingContext
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.http_messages import AnswerHead

# Maximum size of the body of a host's refusal, and maximum time until its end, for
# which the connection is kept.
MAX_REFUSAL_BODY_BYTES = 65_536
REFUSAL_BODY_TIMEOUT_MS = 50.0


async def skip_refusal_body(clock: Clock, exchange: Exchange) -> None:
    """Read the body of a host's refusal, so that the connection can be reused.

    The exchange stays incomplete, which closes the connection, if the body is
    broken, exceeds MAX_REFUSAL_BODY_BYTES or takes longer than
    REFUSAL_BODY_TIMEOUT_MS. The head alone proves that the call was not run.
    """
    with contextlib.suppress(BrokenAnswer, TimeoutError):
        async with clock.timeout_ms(REFUSAL_BODY_TIMEOUT_MS):
            await exchange.skip_body(MAX_REFUSAL_BODY_BYTES)


def record_head(
    context: ForwardingContext, call: Call, state: HostState, head: AnswerHead
) -> None:
    """Record what a host says of itself with an answer."""
    now_ms = context.clock.now_ms()
    if head.load is not None:
        state.record_load(head.load, now_ms)
    if head.slowness is not None and head.speaks_for_host:
        state.reported_pace = ReportedPace(head.slowness, now_ms)
    if head.speaks_for_host:
        context.permits.record_answer(state, head.limit)
    if head.leaving and not head.misdirected and state.record_leaving(now_ms):
        context.metrics.leaving_total.inc({})
        context.permits.tell_leaving(state.registration.start)
        logger.info(
            'host_says_it_leaves',
            request=call.id,
            host=state.registration.id,
            started_ms=state.registration.started_ms,
            status=head.status,
        )
