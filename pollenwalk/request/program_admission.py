"""Refusal of the call that begins a program while the hosts or the gateway are busy."""

from loguru import logger

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.policy.program_admission import (
    draw_elsewhere_retry_ms,
    draw_retry_after_ms,
    is_wait_acceptable,
)
from pollenwalk.request.call_sender import CallSender


def admits_new_program(sender: CallSender) -> bool:
    """Return whether the wait at the best host allows one more program now."""
    route = sender.call.route
    call_placer = sender.context.call_placer
    wait_ms = counted_wait_ms(sender)
    wait_ms += call_placer.own_load.expected_wait_ms
    return is_wait_acceptable(wait_ms, route.target_ms, route.priority)


def check_program_admission(sender: CallSender) -> None:
    """Refuse a new program if the wait at the best host is too long.

    Raises:
        Refusal: the hosts or this gateway are too busy for one more program; no
            work was done for it.
    """
    if admits_new_program(sender):
        return
    call = sender.call
    call_placer = sender.context.call_placer
    wait_ms = counted_wait_ms(sender)
    retry_after_ms = program_retry_after_ms(sender, wait_ms)
    logger.info(
        'turned_back',
        request=call.id,
        program=call.request.metadata.program,
        organisation=call.organisation_name,
        wait_ms=round(wait_ms),
        own_wait_ms=round(call_placer.own_load.expected_wait_ms),
        run_ms=round(sender.cost.run_ms),
        priority=call.route.priority,
        retry_after_ms=round(retry_after_ms),
    )
    sender.context.metrics.count_send('turned_back')
    sender.context.metrics.count_refused_program('wait')
    raise Refusal(
        RefusalCode.OVERLOADED,
        f'upstream {call.upstream} or this gateway is too busy for one more program',
        retry_after_ms=round(retry_after_ms),
    )


def program_retry_after_ms(sender: CallSender, wait_ms: float) -> float:
    """Return the Retry-After of a new program that is refused.

    Args:
        sender: the sender of its first call.
        wait_ms: the wait at the best host.
    """
    call = sender.call
    route = call.route
    context = sender.context
    hosts_have_room = is_wait_acceptable(wait_ms, route.target_ms, route.priority)
    if hosts_have_room and context.call_placer.own_load.others_have_room:
        return draw_elsewhere_retry_ms(context.rng)
    if are_all_hosts_limited(sender):
        return context.permits.retry_after_ms(call.upstream)
    remaining_ms = call.remaining_ms(context.clock.now_ms())
    return draw_retry_after_ms(remaining_ms, context.rng)


def are_all_hosts_limited(sender: CallSender) -> bool:
    """Return whether each host of the upstream has a limit."""
    host_table = sender.context.call_placer.host_table
    upstream = sender.call.upstream
    limited = len(host_table.limited_hosts(upstream))
    return limited == sum(1 for _ in host_table.available_hosts(upstream))


def counted_wait_ms(sender: CallSender) -> float:
    """Return the wait at the best host that counts for a new program."""
    context = sender.context
    wait_ms = context.call_placer.min_wait_ms(sender.call, sender.cost)
    if context.admission is None:
        return wait_ms
    return context.admission.counted_wait_ms(sender.call, wait_ms)
