"""Watches the requests that hosts have not begun to answer.

A host that is found to be silent is suspected, and the requests at it that may run
more than once are cancelled there, which makes their senders choose another host.
"""

from collections.abc import Callable
from typing import Protocol

from loguru import logger

from pollenwalk.policy.silent_hosts import (
    SILENT_SUSPICION_MS,
    HostEvidence,
    LatestAnswers,
    SentRequest,
    is_silent,
    is_timely,
    shows_silence,
)
from pollenwalk.process.clock import Clock
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.host_table import SMOOTHING, HostState
from pollenwalk.request.gateway_call import Call

# A silent host is found at most this much later than it could be.
CHECK_INTERVAL_MS = 50.0
# If a check is later than this, the gateway itself was held up, and answers may have
# arrived that it has not read yet: the next check decides.
MAX_CHECK_DELAY_MS = 100.0


class Waiter(Protocol):
    """A sender that waits for the beginning of an answer."""

    @property
    def call(self) -> Call:
        """Return the call that was sent."""

    @property
    def has_response_bytes(self) -> bool:
        """Return whether a byte of the answer has arrived."""

    def prepare_move(self) -> bool:
        """Return whether the call may be sent to another host; pay for the send."""

    def cancel(self) -> None:
        """Close the connection, so that the wait ends."""


class AwaitedAnswer:
    """A send whose answer has not begun.

    Attributes:
        state: the host.
        waiter: waits for the answer.
        request: when the request was sent, and what was expected; None before it is
            written.
        began_ms: time at which the host was chosen.
        moved: whether it was cancelled, to be sent to another host.
        ended: whether the answer has begun, or the wait has ended without it.
    """

    def __init__(self, state: HostState, waiter: Waiter, began_ms: float) -> None:
        """Start with a request that is not written yet."""
        self.state = state
        self.waiter = waiter
        self.request: SentRequest | None = None
        self.began_ms = began_ms
        self.moved = False
        self.ended = False


class SilentHosts:
    """Finds hosts that answer none of this gateway's requests.

    Attributes:
        awaited: the sends that have no byte of an answer, by host.
        answers: the latest timely answers of each upstream.
        head_times: moving average of the time in ms until a stream's answer begins, by
            route name.
        checked_at_ms: time of the last check.
    """

    def __init__(
        self, clock: Clock, metrics: GatewayMetrics, is_enabled: Callable[[], bool]
    ) -> None:
        """Create the watch of a gateway that has sent nothing.

        Args:
            clock: the clock of the gateway.
            metrics: the gateway's metrics.
            is_enabled: returns whether silent hosts are avoided now.
        """
        self.clock = clock
        self.metrics = metrics
        self.is_enabled = is_enabled
        self.awaited: dict[HostState, list[AwaitedAnswer]] = {}
        self.answers: dict[str, LatestAnswers] = {}
        self.head_times: dict[str, float] = {}
        self.checked_at_ms = clock.now_ms()

    async def run(self) -> None:
        """Check all hosts at regular intervals."""
        while True:
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)
            late_ms = self.clock.now_ms() - self.checked_at_ms - CHECK_INTERVAL_MS
            self.checked_at_ms = self.clock.now_ms()
            if late_ms <= MAX_CHECK_DELAY_MS and self.is_enabled():
                self.check()

    def begin(self, state: HostState, waiter: Waiter) -> AwaitedAnswer:
        """Record that a host was chosen for a request, which is not written yet."""
        awaited = AwaitedAnswer(state, waiter, self.clock.now_ms())
        self.awaited.setdefault(state, []).append(awaited)
        state.silence.begin(awaited)
        return awaited

    def record_sent(
        self, awaited: AwaitedAnswer, run_ms: float, queue_ms: float
    ) -> None:
        """Record that a request is written now.

        Args:
            awaited: the send.
            run_ms: expected run time of the call.
            queue_ms: expected wait for a slot of the host; 0 if one is free.
        """
        route = awaited.waiter.call.route
        if route.is_streaming:
            run_ms = self.head_times.get(route.name, run_ms)
        awaited.request = SentRequest(self.clock.now_ms(), run_ms, queue_ms)

    def record_answer(self, awaited: AwaitedAnswer, has_run: bool) -> None:
        """Record that a host has sent the head of an answer.

        Args:
            awaited: the send.
            has_run: whether the host runs the request; a refusal does not show how
                long requests take.
        """
        self.remove(awaited)
        request = awaited.request
        if not has_run or request is None:
            return
        took_ms = self.clock.now_ms() - request.sent_ms
        if is_timely(request, took_ms):
            registration = awaited.state.registration
            answers = self.answers.setdefault(registration.upstream, LatestAnswers())
            answers.record(registration.id, request.sent_ms)
        route = awaited.waiter.call.route
        if route.is_streaming and not request.queue_ms:
            former_ms = self.head_times.get(route.name, took_ms)
            updated_ms = former_ms + (took_ms - former_ms) * SMOOTHING
            self.head_times[route.name] = updated_ms

    def end(self, awaited: AwaitedAnswer) -> None:
        """Record that nothing waits for an answer any more.

        Without a byte of it, that is a failure of the host if the host is silent.
        """
        if awaited.ended:
            return
        state = awaited.state
        is_unanswered = awaited.request and not awaited.waiter.has_response_bytes
        if is_unanswered and self.is_enabled():
            self.find_silence(state)
            if state.silence.is_silent:
                state.record_failure(self.clock.now_ms(), SILENT_SUSPICION_MS)
        self.remove(awaited)

    def remove(self, awaited: AwaitedAnswer) -> None:
        """Stop watching a send."""
        if awaited.ended:
            return
        awaited.ended = True
        state = awaited.state
        state.silence.end(awaited)
        self.awaited[state].remove(awaited)
        if not self.awaited[state]:
            self.awaited.pop(state)

    def check(self) -> None:
        """Find silent hosts, and cancel the requests at them that may be moved."""
        for state in list(self.awaited):
            self.find_silence(state)
            if state.silence.is_silent:
                self.move_requests(state)

    def evidence(self, state: HostState) -> HostEvidence:
        """Return what was seen of a host and the others of its upstream."""
        registration = state.registration
        answers = self.answers.get(registration.upstream, LatestAnswers())
        pace = state.reported_pace
        return HostEvidence(
            state.silence.last_sign_ms,
            1 if pace is None else pace.slowness,
            answers.sent_ms_except(registration.id),
        )

    def find_silence(self, state: HostState) -> None:
        """Suspect a host that is found to be silent now."""
        now_ms = self.clock.now_ms()
        sends = self.awaited.get(state, [])
        requests = [one.request for one in sends if one.request is not None]
        if state.silence.is_silent or not is_silent(
            requests, self.evidence(state), now_ms
        ):
            return
        state.silence.silent_since_ms = now_ms
        state.record_failure(now_ms, SILENT_SUSPICION_MS)
        logger.warning(
            'host_silent',
            host=state.registration.id,
            upstream=state.registration.upstream,
            waiting=len(requests),
            waited_ms=round(now_ms - min(one.sent_ms for one in requests)),
        )

    def move_requests(self, state: HostState) -> None:
        """Cancel the requests at a silent host that may be sent to another one."""
        evidence = self.evidence(state)
        for awaited in list(self.awaited.get(state, ())):
            if not awaited.moved and self.is_stuck(awaited, evidence):
                self.move(awaited)

    def is_stuck(self, awaited: AwaitedAnswer, evidence: HostEvidence) -> bool:
        """Return whether a request waits at a silent host in vain.

        A request that was sent after the host was found to be silent shows by its own
        wait whether the host still is.
        """
        since_ms = awaited.state.silence.silent_since_ms
        if awaited.request is None or since_ms is None:
            return False
        if awaited.waiter.has_response_bytes:
            return False
        if awaited.began_ms < since_ms:
            return True
        return shows_silence(awaited.request, evidence, self.clock.now_ms())

    def move(self, awaited: AwaitedAnswer) -> None:
        """Cancel a request, unless its sender may not send it again."""
        if not awaited.waiter.prepare_move():
            return
        awaited.moved = True
        self.metrics.moved_total.inc({})
        logger.info(
            'request_moved',
            request=awaited.waiter.call.id,
            host=awaited.state.registration.id,
            waited_ms=round(self.clock.now_ms() - awaited.began_ms),
        )
        awaited.waiter.cancel()
