"""Sending one call to upstream hosts until one of them begins to answer.

A host that did not run the call is followed by another one. A host that may
have run it is followed by another one only where the call is idempotent and
the route allows one more attempt.
"""

import random
from typing import NamedTuple

from loguru import logger

from pollenwalk.connection.link_pool import LinkPool
from pollenwalk.errors import BrokenAnswer, NotSent, Outcome, Refusal, RefusalCode
from pollenwalk.platform.headers import added_headers, resume_header
from pollenwalk.policy.host_choice import CallCost
from pollenwalk.policy.program_admission import is_wait_acceptable, retry_delay_ms
from pollenwalk.process.call_placer import CallPlacer
from pollenwalk.process.clock import Clock
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.host_table import HostState
from pollenwalk.request.call_state import Call
from pollenwalk.request.exchange import Exchange
from pollenwalk.request.http_messages import Headers

# A share of the objective within which a refused caller can still come back
# and be served on time.
HOLD_SHARE = 0.25
# Pause before hosts that refused are asked again.
ASK_AGAIN_MS = 25.0
# Retry-After where nothing better is known: about one service time.
RETRY_AFTER_MS = 200


class ForwardingContext(NamedTuple):
    """What sending needs of the process."""

    clock: Clock
    pool: LinkPool
    call_placer: CallPlacer
    metrics: GatewayMetrics
    rng: random.Random


class CallSender:
    """The sends of one call.

    Attributes:
        runs: hosts that have run the call, or may have.
        sent_ms: time of the last send.
        waited: whether it met a host that had no free slot.
        tried: hosts that are not asked again.
    """

    def __init__(self, context: ForwardingContext, call: Call, body: bytes) -> None:
        """Prepare to send `body`."""
        self.context = context
        self.call = call
        self.body = body
        self.cost = CallCost(context.call_placer.expected_run_ms(call))
        self.runs = 0
        self.sent_ms = 0.0
        self.waited = False
        self.tried: set[str] = set()

    def check_program_admission(self) -> None:
        """Turn a program back before any work is done for it.

        Raises:
            Refusal: the hosts are too busy for one more program.
        """
        call = self.call
        call_placer = self.context.call_placer
        wait_ms = call_placer.min_wait_ms(call, self.cost)
        if is_wait_acceptable(wait_ms, call.route.target_ms, call.route.priority):
            return
        remaining_ms = call.remaining_ms(self.context.clock.now_ms())
        retry_after_ms = retry_delay_ms(remaining_ms, self.context.rng)
        logger.info(
            'turned_back',
            request=call.id,
            program=call.request.metadata.program,
            wait_ms=round(wait_ms),
            run_ms=round(self.cost.run_ms),
            priority=call.route.priority,
            retry_after_ms=round(retry_after_ms),
        )
        self.context.metrics.count_send('turned_back')
        raise Refusal(
            RefusalCode.OVERLOADED,
            f'{call.upstream}: too busy for one more program',
            retry_after_ms=round(retry_after_ms),
        )

    def note_run(self) -> None:
        """Learn how long a call that was answered whole has run."""
        if self.waited:
            return
        run_ms = self.context.clock.now_ms() - self.sent_ms
        self.context.call_placer.record_run_time(self.call, run_ms)

    def may_run(self) -> bool:
        """Tell whether one more host may run the call."""
        if not self.runs:
            return True
        route = self.call.route
        return route.idempotent and self.runs < route.max_attempts

    async def begin(self, last_event: str = '') -> Exchange:
        """Find a host that begins to answer.

        Args:
            last_event: where an interrupted stream goes on; empty for the
                beginning.

        Raises:
            Refusal: none does.
        """
        while self.may_run():
            state = await self.next_host()
            try:
                return await self.send(state, last_event)
            except NotSent as error:
                self.bounced(state, error.message)
            except BrokenAnswer as error:
                self.broke(state, error.message)
        raise Refusal(
            RefusalCode.UPSTREAM_FAILED,
            'the upstream host broke off its answer',
            Outcome.UNKNOWN,
        )

    async def next_host(self) -> HostState:
        """Choose a host; once all have refused, ask them again for a while.

        Raises:
            Refusal: no host takes the call.
        """
        clock = self.context.clock
        target_ms = self.call.route.target_ms
        limit_ms = self.call.request.arrived_ms + target_ms * HOLD_SHARE
        while True:
            state = self.context.call_placer.choose_host(
                self.call, self.cost, self.tried
            )
            if state is not None:
                return state
            if not self.tried or clock.now_ms() + ASK_AGAIN_MS > limit_ms:
                raise self.nobody()
            await clock.sleep_ms(ASK_AGAIN_MS)
            self.tried.clear()

    def nobody(self) -> Refusal:
        """Refuse a call that no host takes."""
        if self.runs:
            return Refusal(
                RefusalCode.UPSTREAM_FAILED,
                'no other upstream host takes the call',
                Outcome.UNKNOWN,
            )
        code = RefusalCode.OVERLOADED if self.tried else RefusalCode.NO_UPSTREAM
        return Refusal(
            code,
            f'{self.call.upstream}: no host takes the call',
            retry_after_ms=RETRY_AFTER_MS,
        )

    async def send(self, state: HostState, last_event: str) -> Exchange:
        """Send to one host and wait for the beginning of its answer.

        Raises:
            NotSent: the host did not run the call.
            BrokenAnswer: the host may have run the call.
        """
        self.sent_ms = self.context.clock.now_ms()
        self.waited = state.load(self.sent_ms) >= state.registration.slots
        state.in_flight += 1
        try:
            link = await self.context.pool.take(state.registration)
        except BaseException:
            state.in_flight -= 1
            raise
        exchange = Exchange(self.context.pool, state, link)
        try:
            await self.ask(exchange, last_event)
        except BaseException:
            exchange.close()
            raise
        return exchange

    async def ask(self, exchange: Exchange, last_event: str) -> None:
        """Send on one connection and read the beginning of the answer."""
        request = self.call.request
        state = exchange.state
        self.log_send(state)
        await exchange.link.send(
            request.method,
            request.target,
            self.headers(state, last_event),
            self.body,
        )
        self.runs += 1
        head = await exchange.link.head(self.call.id)
        exchange.head = head
        if head.load is not None:
            state.record_load(head.load, self.context.clock.now_ms())
        if head.refused:
            self.runs -= 1
            await exchange.body()
            raise NotSent(f'refused with status {head.status}')
        if not head.signed or head.encoded:
            raise BrokenAnswer(f'status {head.status} without a signature')
        self.context.metrics.count_send('answered')

    def log_send(self, state: HostState) -> None:
        """Log which host was chosen and what that rested on."""
        now_ms = self.context.clock.now_ms()
        logger.info(
            'sent',
            request=self.call.id,
            host=state.registration.id,
            load=round(state.load(now_ms), 1),
            load_age_ms=state.report_age_ms(now_ms),
            run=self.runs + 1,
            version=self.call.version,
        )

    def headers(self, state: HostState, last_event: str) -> Headers:
        """Write the headers for one host."""
        remaining_ms = self.call.remaining_ms(self.context.clock.now_ms())
        added = added_headers(state.registration.id, remaining_ms, None)
        given = self.call.request.headers
        if last_event:
            resume = resume_header(last_event)
            given = [one for one in given if one[0] != resume[0]]
            added.append(resume)
        return [*given, *added]

    def bounced(self, state: HostState, reason: str) -> None:
        """Note a host that did not run the call."""
        self.tried.add(state.registration.id)
        self.context.call_placer.record_rejection(state, reason)
        self.context.metrics.count_send('not_run')
        logger.info(
            'not_run',
            request=self.call.id,
            host=state.registration.id,
            reason=reason,
        )

    def broke(self, state: HostState, reason: str) -> None:
        """Note a host that may have run the call and gave no answer."""
        self.tried.add(state.registration.id)
        state.record_failure(self.context.clock.now_ms())
        self.context.metrics.count_send('broken')
        logger.warning(
            'broken_answer',
            request=self.call.id,
            host=state.registration.id,
            reason=reason,
            runs=self.runs,
        )
