"""The crashes of hosts on one call."""

from loguru import logger

from pollenwalk.connection.connection_pool import ConnectionPool, ProbeResult
from pollenwalk.errors import Outcome
from pollenwalk.policy.crash_verdict import may_be_to_blame, needs_idle_host
from pollenwalk.process.crash_guard import CrashGuard
from pollenwalk.process.host_table import HostState
from pollenwalk.request.gateway_call import Call

# Why a broken answer is no sign of a crash on the call, beside the results of a probe: the
# host had other calls and had not begun to answer this one, or the same call has ended
# whole elsewhere a moment ago.
OTHERS_RUNNING = 'others_running'
JUST_ENDED = 'just_ended'


class CallCrashes:
    """Finds and records crashes of hosts on one call."""

    def __init__(self, guard: CrashGuard, pool: ConnectionPool, call: Call) -> None:
        """Prepare to record crashes on `call`."""
        self.guard = guard
        self.pool = pool
        self.call = call

    @property
    def need_idle_host(self) -> bool:
        """Return whether the call should run on a host without other calls."""
        return needs_idle_host(self.known)

    @property
    def known(self) -> int:
        """Return how many crashes count against the call, as far as is known here."""
        return self.guard.crashes(self.call)

    def check(self, runs: int) -> None:
        """Refuse the call if too many hosts have crashed on it.

        Args:
            runs: how many times a host has run the call or may have run it.

        Raises:
            Refusal: the call is not sent to any host any more.
        """
        self.guard.check(self.call, Outcome.UNKNOWN if runs else Outcome.NOT_RUN)

    async def record_if_crashed(
        self, state: HostState, sent_ms: float, began: bool
    ) -> None:
        """Record a crash if a host that broke off its answer refuses connections.

        Args:
            state: the host.
            sent_ms: time at which the call was sent to it.
            began: whether it had begun to answer.
        """
        now_ms = self.guard.group.clock.now_ms()
        if not may_be_to_blame(began, state.load(now_ms)):
            self.log_not_counted(state, OTHERS_RUNNING, now_ms)
            return
        if self.guard.is_acquitted(self.call):
            self.log_not_counted(state, JUST_ENDED, now_ms)
            return
        result = await self.pool.probe(state.registration)
        if result == ProbeResult.REFUSED:
            self.guard.record_crash(self.call, state, now_ms - sent_ms)
        else:
            self.log_not_counted(state, result, now_ms)

    def log_not_counted(self, state: HostState, reason: str, broken_ms: float) -> None:
        """Log why a broken answer is not counted as a crash of its host.

        Args:
            state: the host.
            reason: why it is not counted.
            broken_ms: time at which the answer was found to be broken.
        """
        now_ms = self.guard.group.clock.now_ms()
        self.guard.metrics.count_crash_check(reason)
        logger.info(
            'crash_not_counted',
            request=self.call.id,
            host=state.registration.id,
            reason=str(reason),
            load=round(state.load(now_ms), 1),
            probe_ms=round(now_ms - broken_ms),
        )

    def record_completion(self) -> None:
        """Record that a host has run the call to its end."""
        self.guard.record_completion(self.call)
