"""Unary calls with a second attempt at another host when the first is slow.

Both attempts run at the same time. The first complete and valid answer is forwarded,
and the other attempt is cancelled. The call is sent again only once both have failed.
"""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple

from loguru import logger

from pollenwalk.errors import BrokenAnswer, NotSent, Outcome, Refusal, RefusalCode
from pollenwalk.process.hedging import Hedging
from pollenwalk.process.host_table import HostState
from pollenwalk.request.call_sender import CallSender
from pollenwalk.request.exchange import Exchange
from pollenwalk.request.forwarding_context import ForwardingContext
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.http_messages import AnswerHead
from pollenwalk.request.reply import Reply
from pollenwalk.version.routes import Route

# While no call of the route that was sent after a slow call has been answered in time,
# the slow call is checked again after this share of the hedge delay.
RECHECK_SHARE = 0.5


class Answer(NamedTuple):
    """A complete answer.

    Attributes:
        sender: sent the call to the host that gave the answer.
        host: the host.
        head: status and headers.
        succeeded: whether the status is a success.
        body: the whole body.
    """

    sender: CallSender
    host: HostState
    head: AnswerHead
    succeeded: bool
    body: bytes


class HedgeRefused(Exception):  # noqa: N818
    """A second attempt is not sent, as the budget or the quota does not allow it."""


class FirstSender(CallSender):
    """Sends a call and counts its sends for the budget of second attempts.

    Attributes:
        is_hedged: whether a second attempt is under way.
        second_runs: runs of the second attempt that are not counted in `runs` yet.
    """

    def __init__(
        self, context: ForwardingContext, call: Call, hedging: Hedging
    ) -> None:
        """Prepare to send `call`; nothing is sent yet."""
        super().__init__(context, call, call.request.body)
        self.hedging = hedging
        self.is_hedged = False
        self.second_runs = 0

    def may_move(self, runs: int) -> bool:
        """Return whether the call may run once more while its host may run it.

        Not beside a second attempt, which is at another host already.

        Args:
            runs: the runs, with the present one but without those of a second attempt.
        """
        return not self.is_hedged and super().may_move(runs + self.second_runs)

    def record_sent(self) -> None:
        """Count a request that has been written."""
        super().record_sent()
        self.hedging.budget.count_send()

    async def try_host(self, state: HostState) -> Answer | None:
        """Send the call to one host and read its answer; return None if it failed.

        Raises:
            Refusal: the host has crashed, and so have others on this call.
        """
        try:
            return await self.read_answer(await self.send_to_host(state, ''))
        except NotSent as refused:
            self.handle_not_run(state, refused.message)
        except BrokenAnswer as error:
            await self.handle_broken_answer(state, error.message, began=True)
        return None

    async def read_answer(self, exchange: Exchange) -> Answer:
        """Read the body of an answer.

        Raises:
            BrokenAnswer: the answer broke off.
        """
        with exchange:
            body = await exchange.body()
        return Answer(self, exchange.state, exchange.head, exchange.succeeded, body)


class SecondSender(FirstSender):
    """Sends a call to a second host while the first attempt runs.

    Attributes:
        former_runs: runs of the call before this attempt; the first attempt counts as
            one, also if its request has not been written yet.
        was_sent: whether this attempt has been allowed and its request is written.
    """

    def __init__(self, first: FirstSender, former_runs: int, host: HostState) -> None:
        """Prepare a second attempt.

        Args:
            first: sends the first attempt.
            former_runs: runs of the call, including the first attempt.
            host: the host of the first attempt.
        """
        super().__init__(first.context, first.call, first.hedging)
        self.former_runs = former_runs
        self.runs = former_runs
        self.tried_hosts = first.tried_hosts | {host.registration.id}
        self.was_sent = False

    async def send_request(self, exchange: Exchange, last_event_id: str) -> None:
        """Send the request if the budget and the quota allow it now.

        Both are asked when the connection is ready, so that the request is written
        in the same turn of the event loop: the budget then limits what the hosts see.

        Raises:
            HedgeRefused: nothing was sent.
            NotSent: the host did not run the call.
            BrokenAnswer: the host may have run it but gave no valid head.
        """
        reason = self.take_room()
        if reason:
            self.hedging.record_refusal(self.call, reason)
            raise HedgeRefused(reason)
        self.was_sent = True
        self.hedging.metrics.count_hedge('started')
        logger.info(
            'hedge_started',
            request=self.call.id,
            route=self.call.route.name,
            host=exchange.state.registration.id,
            run=self.runs + 1,
        )
        await super().send_request(exchange, last_event_id)

    def may_move(self, runs: int) -> bool:
        """Return False, as a second attempt is not repeated."""
        return False

    def take_room(self) -> str:
        """Charge the quota and the budget; return what does not allow the attempt."""
        if not self.hedging.budget.has_room:
            return 'budget'
        if not self.hedging.charge(self.call):
            return 'quota'
        self.hedging.budget.take()
        return ''

    async def run(self) -> Answer | None:
        """Choose a host and try it; return None without an answer.

        Raises:
            Refusal: the host has crashed, and so have others on this call.
        """
        state = self.free_host()
        if state is None:
            self.hedging.record_refusal(self.call, 'host')
            return None
        # The permit must be free now: the first attempt may end before a later one.
        if not await self.permits.obtain(state, 0):
            self.hedging.record_refusal(self.call, 'permit')
            return None
        if not self.is_free(state):
            self.hedging.record_refusal(self.call, 'host')
            return None
        try:
            return await self.try_host(state)
        except HedgeRefused:
            return None

    def free_host(self) -> HostState | None:
        """Return the best host with a free slot that is not suspected; None if none."""
        placer = self.context.call_placer
        hosts = placer.host_table.available_hosts(self.call.upstream)
        unusable = {one.registration.id for one in hosts if not self.is_free(one)}
        return placer.choose_host(self.call, self.cost, self.tried_hosts | unusable)

    def is_free(self, state: HostState) -> bool:
        """Return whether a host accepts calls, is not suspected and has room.

        The last load report counts in full, whatever its age: a slot of which nothing
        new is known is not known to be free.
        """
        now_ms = self.context.clock.now_ms()
        registration = state.registration
        if registration.leaving or state.is_suspected(now_ms):
            return False
        if state.silence.is_silent:
            return False
        calls = state.in_flight + state.other_calls
        is_listed = self.context.call_placer.host_table.is_listed(state)
        has_slot = is_listed and calls < registration.slots
        return has_slot and self.body_room.fits(registration.id)


class HedgedAttempt:
    """One attempt to answer a call, and a second one if the first is slow.

    Attributes:
        second: sends the second attempt; None before the first is slow.
    """

    def __init__(self, first: FirstSender, host: HostState) -> None:
        """Prepare an attempt; nothing is sent yet.

        Args:
            first: sends the first attempt.
            host: the host of the first attempt.
        """
        self.first = first
        self.hedging = first.hedging
        self.host = host
        self.runs_with_first = first.runs + 1
        self.second: SecondSender | None = None

    async def run(self) -> Answer | None:
        """Return the first complete and valid answer; None if all attempts failed.

        Raises:
            Refusal: hosts have crashed on the call, and no other attempt was answered.
        """
        delay_ms = self.hedge_delay_ms()
        if delay_ms is None:
            return await self.first.try_host(self.host)
        first = asyncio.ensure_future(self.first.try_host(self.host))
        second = asyncio.ensure_future(self.run_second(delay_ms))
        try:
            return await self.first_answer(first, second)
        finally:
            await cancel_all((first, second))
            self.merge_second()

    def hedge_delay_ms(self) -> float | None:
        """Return after which time the first attempt is slow; None for no second one."""
        call = self.first.call
        if self.runs_with_first >= call.route.max_attempts:
            return None
        now_ms = self.first.context.clock.now_ms()
        return self.hedging.answer_times.delay_ms(call.route_key, now_ms)

    async def run_second(self, delay_ms: float) -> Answer | None:
        """Start the second attempt once the first is slow; return its answer, if any.

        Raises:
            Refusal: the host has crashed, and so have others on this call.
        """
        await self.wait_until_slow(delay_ms)
        if self.first.crashes.known:
            self.hedging.record_refusal(self.first.call, 'crash')
            return None
        if not self.hedging.budget.has_room:
            self.hedging.record_refusal(self.first.call, 'budget')
            return None
        self.second = SecondSender(self.first, self.runs_with_first, self.host)
        self.first.is_hedged = True
        try:
            return await self.second.run()
        finally:
            self.first.is_hedged = False
            self.first.second_runs = self.second.runs - self.second.former_runs

    async def wait_until_slow(self, delay_ms: float) -> None:
        """Wait until the first attempt is slow and another call was answered in time.

        Args:
            delay_ms: the hedge delay when the first attempt began.
        """
        clock = self.first.context.clock
        began_ms = clock.now_ms()
        remaining_ms = delay_ms
        while remaining_ms > 0:
            await clock.sleep_ms(remaining_ms)
            remaining_ms = self.remaining_ms(began_ms, delay_ms)

    def remaining_ms(self, began_ms: float, former_ms: float) -> float:
        """Return the time until the next check of whether the first is slow.

        The delay may have risen since the attempt began. What counts as in time rises
        with it, so the delay at the beginning must not be compared with that.

        Args:
            began_ms: when the first attempt began.
            former_ms: the hedge delay at that time.

        Returns:
            The time in ms; 0 if the first attempt is slow.
        """
        times = self.hedging.answer_times
        route = self.first.call.route_key
        now_ms = self.first.context.clock.now_ms()
        delay_ms = times.delay_ms(route, now_ms) or former_ms
        if began_ms + delay_ms > now_ms:
            return began_ms + delay_ms - now_ms
        return 0 if times.is_outlier(route, began_ms) else delay_ms * RECHECK_SHARE

    async def first_answer(
        self,
        first: asyncio.Future[Answer | None],
        second: asyncio.Future[Answer | None],
    ) -> Answer | None:
        """Return the first answer of two attempts; None if both failed.

        A second attempt that was not sent yet when the first fails is not waited for.

        Raises:
            Refusal: one attempt was refused, and the other one was not answered.
        """
        await asyncio.wait((first, second), return_when=asyncio.FIRST_COMPLETED)
        if not first.done() and answer_of(second) is None:
            await asyncio.wait((first,))
        elif first.done() and answer_of(first) is None and self.is_second_sent:
            await asyncio.wait((second,))
        done = [one for one in (first, second) if one.done()]
        for attempt in done:
            answer = answer_of(attempt)
            if answer is not None:
                return answer
        for failed in done:
            failed.result()
        return None

    @property
    def is_second_sent(self) -> bool:
        """Return whether the request of the second attempt has been written."""
        return self.second is not None and self.second.was_sent

    def merge_second(self) -> None:
        """Count the second attempt's runs and failed hosts with those of the first."""
        second = self.second
        if second is None:
            return
        self.first.runs += second.runs - second.former_runs
        self.first.second_runs = 0
        failed = second.tried_hosts - {self.host.registration.id}
        self.first.tried_hosts |= failed


async def cancel_all(attempts: Sequence[asyncio.Future[Answer | None]]) -> None:
    """Cancel attempts that still run and wait until their connections are closed."""
    for attempt in attempts:
        attempt.cancel()
    for ended in await asyncio.gather(*attempts, return_exceptions=True):
        # Not raised, as the other attempt may have been answered.
        if isinstance(ended, Exception) and not isinstance(ended, Refusal):
            logger.error('attempt_failed', reason=repr(ended))


def answer_of(attempt: asyncio.Future[Answer | None]) -> Answer | None:
    """Return the answer of an attempt that has ended; None if it has none."""
    return None if attempt.exception() else attempt.result()


def may_be_hedged(route: Route) -> bool:
    """Return whether a call of a route may have two attempts at the same time."""
    return route.idempotent and not route.is_streaming and route.max_attempts > 1


async def run_hedged(
    context: ForwardingContext, call: Call, reply: Reply, hedging: Hedging
) -> None:
    """Run a call and forward its first complete answer.

    Args:
        context: the parts of the gateway that are used to forward calls.
        call: the call; its route allows second attempts.
        reply: the answer to the caller.
        hedging: what is known and allowed about second attempts.

    Raises:
        Refusal: no host gave a complete answer.
    """
    sender = FirstSender(context, call, hedging)
    with sender.trial:
        answer = await obtain_answer(sender)
        sender.crashes.record_completion()
    now_ms = context.clock.now_ms()
    if answer.succeeded:
        hedging.answer_times.record(call.route_key, answer.sender.sent_ms, now_ms)
    if answer.sender is not sender:
        hedging.metrics.count_hedge('won')
        logger.info(
            'hedge_won',
            request=call.id,
            route=call.route.name,
            host=answer.host.registration.id,
            took_ms=round(now_ms - answer.sender.sent_ms),
        )
    answer.sender.record_run_time(answer.host)
    await reply.send_complete(answer.head.status, answer.head.headers, answer.body)


async def obtain_answer(sender: FirstSender) -> Answer:
    """Send a call until an attempt gives a complete answer, and return the answer.

    Raises:
        Refusal: no host gave a complete answer.
    """
    while sender.may_send():
        host = await sender.choose_host()
        sender.crashes.check(sender.runs)
        answer = await HedgedAttempt(sender, host).run()
        if answer is not None:
            return answer
    raise Refusal(
        RefusalCode.UPSTREAM_FAILED,
        'no upstream host gave a complete and valid answer',
        Outcome.UNKNOWN,
    )
