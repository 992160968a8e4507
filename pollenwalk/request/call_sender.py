"""Sending of one call to upstream hosts until one of them begins to answer.

If a host did not run the call, the call is sent to another host. If a host may
have run it, the call is sent again only if it is idempotent and the route allows
one more attempt.
"""

import math

from loguru import logger

from pollenwalk.errors import BrokenAnswer, NotSent, Outcome, Refusal, RefusalCode
from pollenwalk.platform.headers import added_headers, resume_header
from pollenwalk.process.host_table import HostState
from pollenwalk.request.answer_wait import AnswerWait
from pollenwalk.request.body_room import BodyRoom
from pollenwalk.request.call_crashes import CallCrashes
from pollenwalk.request.call_permits import CallPermits
from pollenwalk.request.call_trial import CallTrial
from pollenwalk.request.exchange import Exchange
from pollenwalk.request.forwarding_context import ForwardingContext
from pollenwalk.request.gateway_call import Call
from pollenwalk.request.host_answers import record_head, skip_refusal_body
from pollenwalk.request.http_messages import Headers

# If all hosts have been tried in vain, they are tried again until this share of the
# route's target time has passed since the call arrived. A caller that is refused
# then can still retry and be served on time. A caller that has a part of the answer
# cannot retry, so this limit ends when the answer begins.
HOST_RETRY_SHARE = 0.25
# Pause before all hosts are tried again.
HOST_RETRY_INTERVAL_MS = 25.0
# Retry-After in the refusal of a call that no host accepts. No better estimate is
# known, so it is about one service time.
RETRY_AFTER_MS = 200


class CallSender:
    """Sends one call to one host after the other.

    Attributes:
        cost: expected cost of the call, for the choice of a host.
        runs: how many times a host has run the call or may have run it.
        sent_ms: time on the process's clock at which the last send began, before
            a connection was acquired.
        found_no_free_slot: whether the last host was estimated to have no free
            slot.
        give_up_at_ms: time on the process's clock after which hosts that were tried
            in vain are not tried again.
        tried_hosts: ids of the hosts that must not be chosen; emptied when all
            hosts may be tried again.
        software_version: version of the software that a host must run; None for
            any, as long as no event has been shown.
        permits: obtains the call's permits for hosts with a limit.
        crashes: records crashes of hosts on the call.
        trial: lets the call run alone once a host has crashed on it; entered while the
            call is sent.
        answer_wait: the wait for the answer to the last send.
        body_room: tells whether hosts have room for the call's body.
    """

    def __init__(self, context: ForwardingContext, call: Call, body: bytes) -> None:
        """Prepare to send `call` with `body`; nothing is sent yet."""
        self.context = context
        self.call = call
        self.body = body
        self.body_room = BodyRoom(
            context.pool.bodies,
            context.call_placer.host_table,
            call.upstream,
            len(body),
        )
        self.cost = context.call_placer.expected_cost(call)
        self.runs = 0
        self.sent_ms = 0.0
        self.found_no_free_slot = False
        self.give_up_at_ms = (
            call.request.arrived_ms + call.route.target_ms * HOST_RETRY_SHARE
        )
        self.tried_hosts: set[str] = set()
        self.software_version: str | None = None
        self.permits = CallPermits(
            context.permits, context.call_placer, context.metrics, call
        )
        self.crashes = CallCrashes(context.permits.crash_guard, context.pool, call)
        self.trial = CallTrial(context.permits.crash_guard, call)
        self.answer_wait = AnswerWait(self)

    def record_run_time(self, state: HostState) -> None:
        """Record the time since the last send, once a host's answer is complete.

        A call that may have waited for a slot is left out, so that run times do
        not include waits.
        """
        if self.found_no_free_slot:
            return
        run_ms = self.context.clock.now_ms() - self.sent_ms
        self.context.call_placer.record_run_time(state, self.call, run_ms)

    def may_send(self) -> bool:
        """Return whether the call may be sent once more."""
        if not self.runs:
            return True
        route = self.call.route
        return route.idempotent and self.runs < route.max_attempts

    def may_move(self, runs: int) -> bool:
        """Return whether the call may run once more while its host may run it.

        Args:
            runs: how many times a host has run the call or may have run it, with the
                present one.
        """
        return self.call.route.idempotent and runs < self.call.route.max_attempts

    def allow_until_deadline(self) -> None:
        """Allow that hosts are tried again until the caller's deadline."""
        self.give_up_at_ms = self.call.deadline_at_ms

    async def open_exchange(self, last_event_id: str = '') -> Exchange:
        """Send the call until a host begins to answer, and return the exchange.

        Args:
            last_event_id: id of the event after which a stream is to be resumed;
                empty to start from the beginning.

        Raises:
            Refusal: no host accepts the call, or the call may have run and may
                not be sent again.
        """
        while self.may_send():
            state = await self.choose_host()
            self.crashes.check(self.runs)
            try:
                return await self.send_to_host(state, last_event_id)
            except NotSent as error:
                self.handle_not_run(state, error.message)
            except BrokenAnswer as error:
                # An answer in one piece does not show when its run began.
                began = not self.call.route.is_streaming
                await self.handle_broken_answer(state, error.message, began)
        raise Refusal(
            RefusalCode.UPSTREAM_FAILED,
            'the upstream host gave no complete and valid answer',
            Outcome.UNKNOWN,
        )

    async def choose_host(self) -> HostState:
        """Choose the host for the next send.

        Once all hosts have been tried, they are tried again at intervals of
        HOST_RETRY_INTERVAL_MS until `give_up_at_ms`. A call on which a host has crashed
        waits first until no other attempt of it runs.

        Raises:
            Refusal: no host accepts the call, or it may not be sent now.
        """
        await self.trial.begin(self.runs, self.give_up_at_ms)
        clock = self.context.clock
        while True:
            state = self.best_host()
            if state is not None:
                permitted = await self.obtain_permit(state)
                if permitted and self.body_room.fits(state.registration.id):
                    return state
                continue
            if not may_try_again(self):
                raise self.no_host_refusal()
            await clock.sleep_ms(HOST_RETRY_INTERVAL_MS)
            self.tried_hosts.clear()

    def best_host(self) -> HostState | None:
        """Return the best host that has not been tried; None if there is none."""
        if self.body_room.is_short:
            return None
        call_placer = self.context.call_placer
        if self.software_version is None:
            return self.idle_host() or call_placer.choose_host(
                self.call, self.cost, self.avoided_hosts
            )
        return call_placer.choose_host_of_version(
            self.call, self.cost, self.avoided_hosts, self.software_version
        )

    def idle_host(self) -> HostState | None:
        """Return an idle host for a call on which a host has crashed.

        None if there is none, or if the call need not run alone.
        """
        context = self.context
        if not self.crashes.need_idle_host:
            return None
        now_ms = context.clock.now_ms()
        hosts = context.call_placer.host_table.available_hosts(self.call.upstream)
        busy = {one.registration.id for one in hosts if one.load(now_ms) >= 1}
        return context.call_placer.choose_host(
            self.call, self.cost, self.avoided_hosts | busy
        )

    @property
    def avoided_hosts(self) -> set[str]:
        """Return the ids of the hosts that must not be chosen now."""
        unusable = self.permits.hosts_without_permit | self.body_room.full_hosts
        return self.tried_hosts | unusable

    async def obtain_permit(self, state: HostState) -> bool:
        """Wait until the call may be sent to a host; False if another must be chosen."""
        if self.software_version is not None:
            return await self.permits.obtain(state, math.inf)
        useful_ms = self.context.call_placer.useful_wait_ms(
            state, self.call, self.cost, self.avoided_hosts
        )
        return await self.permits.obtain(state, useful_ms)

    def no_host_refusal(self) -> Refusal:
        """Return the refusal of a call that no host accepts."""
        if self.runs:
            return Refusal(
                RefusalCode.UPSTREAM_FAILED,
                'no other upstream host accepts the call',
                Outcome.UNKNOWN,
            )
        if self.permits.hosts_without_permit:
            return self.permits.refusal()
        if self.body_room.is_missing:
            return self.body_room.refusal()
        if not self.tried_hosts and self.software_version is not None:
            return Refusal(
                RefusalCode.NO_UPSTREAM,
                f'no host of upstream {self.call.upstream} runs version '
                f'{self.software_version!r}, which began the stream',
            )
        code = RefusalCode.OVERLOADED if self.tried_hosts else RefusalCode.NO_UPSTREAM
        return Refusal(
            code,
            f'no host of upstream {self.call.upstream} accepts the call',
            retry_after_ms=RETRY_AFTER_MS,
        )

    async def send_to_host(self, state: HostState, last_event_id: str) -> Exchange:
        """Send the call to one host and wait for the head of its answer.

        Raises:
            NotSent: the host did not run the call.
            BrokenAnswer: the host may have run the call but gave no valid head.
        """
        self.sent_ms = self.context.clock.now_ms()
        self.found_no_free_slot = state.load(self.sent_ms) >= state.registration.slots
        with self.answer_wait.begin(state):
            return await self.open_connection_and_send(state, last_event_id)

    async def open_connection_and_send(
        self, state: HostState, last_event_id: str
    ) -> Exchange:
        """Open a connection to a host, send the call and wait for the answer's head.

        Raises:
            NotSent: the host did not run the call.
            BrokenAnswer: the host may have run the call but gave no valid head.
        """
        exchange = await connect(self, state)
        try:
            await self.send_request(exchange, last_event_id)
        except BaseException:
            exchange.close()
            raise
        return exchange

    async def send_request(self, exchange: Exchange, last_event_id: str) -> None:
        """Send the request on one connection and read the head of the answer.

        Raises:
            NotSent: the connection ended before the request was sent, or the
                host refused the request.
            BrokenAnswer: the answer broke off, is not valid HTTP, has no host's
                signature, or has an encoded body.
            Refusal: the quota of the organisation does not cover one more send.
        """
        await pay_for_send(self.context, self.call, self.runs)
        state = exchange.state
        self.log_send(state, last_event_id)
        headers = self.build_headers(state, last_event_id)
        await self.answer_wait.send(exchange, headers, self.body)
        self.record_sent()
        head = await self.answer_wait.read_head(exchange)
        record_head(self.context, self.call, state, head)
        if head.refused:
            self.runs -= 1
            await skip_refusal_body(self.context.clock, exchange)
            raise NotSent(f'refused with status {head.status}')
        if not head.signed or head.encoded:
            raise BrokenAnswer(
                f'status {head.status}, but the answer is unsigned or encoded'
            )
        if exchange.succeeded:
            self.context.call_placer.record_prompt(state, self.call, self.cost)
        self.context.metrics.count_send('answered')

    def record_sent(self) -> None:
        """Count a request that has been written, which the host may run."""
        self.runs += 1

    def log_send(self, state: HostState, last_event_id: str) -> None:
        """Log the chosen host and its estimated load, just before the send.

        Args:
            state: the host.
            last_event_id: id of the event after which this gateway resumes the
                stream; empty if it does not.
        """
        now_ms = self.context.clock.now_ms()
        metadata = self.call.request.metadata
        logger.info(
            'sent',
            request=self.call.id,
            host=state.registration.id,
            load=round(state.load(now_ms), 1),
            load_age_ms=state.report_age_ms(now_ms),
            slowness=round(state.slowness(now_ms, self.cost.run_ms), 2),
            limit=self.context.call_placer.host_table.limit_of(state),
            run=self.runs + 1,
            crashes=self.crashes.known,
            version=self.call.version,
            software=state.registration.software_version,
            resumes_after=last_event_id,
            resumes_attempt=metadata.resumed_attempt,
        )

    def build_headers(self, state: HostState, last_event_id: str) -> Headers:
        """Return the caller's headers with those added for one host.

        Args:
            state: the host.
            last_event_id: if not empty, replaces the caller's Last-Event-ID.

        Raises:
            NotSent: no header can carry the host's id, so the host can't be used.
        """
        remaining_ms = self.call.remaining_ms(self.context.clock.now_ms())
        try:
            added = added_headers(
                state.registration.id,
                remaining_ms,
                host_priority(self.context, self.call, self.permits.begins_program),
                self.call.organisation_name,
            )
        except ValueError as error:
            raise NotSent(f'unusable id of the host: {error}') from error
        request_headers = self.call.request.headers
        if last_event_id:
            resume = resume_header(last_event_id)
            request_headers = [one for one in request_headers if one[0] != resume[0]]
            added.append(resume)
        return [*request_headers, *added]

    def handle_not_run(self, state: HostState, reason: str) -> None:
        """Suspect a host that did not run the call and exclude it.

        It is excluded until all hosts may be tried again.
        """
        self.tried_hosts.add(state.registration.id)
        self.context.call_placer.record_refusal(state, reason)
        self.context.metrics.count_send('not_run')
        logger.info(
            'not_run',
            request=self.call.id,
            host=state.registration.id,
            reason=reason,
        )

    async def handle_broken_answer(
        self, state: HostState, reason: str, began: bool
    ) -> None:
        """Suspect and exclude a host that may have run the call.

        It gave no complete and valid answer. It is excluded until all hosts may
        be tried again.

        Args:
            state: the host.
            reason: what was wrong with its answer.
            began: whether the host may have begun to run the call.

        Raises:
            Refusal: the host has crashed, and so have others on this call.
        """
        self.tried_hosts.add(state.registration.id)
        if self.answer_wait.was_moved:
            # The host accepts connections, so it has not crashed, and its failure is
            # recorded by the end of the wait.
            self.context.metrics.count_send('moved')
            return
        state.record_failure(self.context.clock.now_ms())
        self.context.metrics.count_send('broken')
        logger.warning(
            'broken_answer',
            request=self.call.id,
            host=state.registration.id,
            reason=reason,
            runs=self.runs,
        )
        await self.crashes.record_if_crashed(state, self.sent_ms, began)
        self.crashes.check(self.runs)


async def connect(sender: CallSender, state: HostState) -> Exchange:
    """Return an exchange on a connection to a host, for a call that is sent next.

    Raises:
        NotSent: the host can't be reached.
    """
    pool = sender.context.pool
    state.in_flight += 1
    body_sent = pool.bodies.send(state.registration.id, len(sender.body))
    try:
        connection = await pool.acquire(state.registration, sender.call.id)
    except BaseException:
        state.in_flight -= 1
        body_sent.end()
        raise
    return Exchange(pool, state, connection, body_sent)


def may_try_again(sender: CallSender) -> bool:
    """Return whether hosts that do not accept a call now are tried again."""
    retry_at_ms = sender.context.clock.now_ms() + HOST_RETRY_INTERVAL_MS
    is_of_use = bool(sender.tried_hosts) or sender.body_room.is_missing
    return is_of_use and retry_at_ms <= sender.give_up_at_ms


async def pay_for_send(context: ForwardingContext, call: Call, runs: int) -> None:
    """Take a token of the organisation's quota for a send beyond the first.

    Args:
        context: the parts of the gateway that are used to forward calls.
        call: the call.
        runs: how many times a host has run the call or may have run it.

    Raises:
        Refusal: no token comes in time.
    """
    if context.quotas is None or await context.quotas.pay(call):
        return
    reason = 'the quota of the organisation does not cover one more send'
    if runs:
        raise Refusal(RefusalCode.UPSTREAM_FAILED, reason, Outcome.UNKNOWN)
    raise Refusal(RefusalCode.QUOTA_EXHAUSTED, reason, retry_after_ms=RETRY_AFTER_MS)


def host_priority(
    context: ForwardingContext, call: Call, begins_program: bool
) -> int | None:
    """Return the priority that a host is told with a call; None for its default."""
    if context.admission is None:
        return None
    return context.admission.host_priority(call, begins_program)
