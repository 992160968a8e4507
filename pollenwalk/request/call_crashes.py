"""The crashes of hosts on one call."""

from pollenwalk.connection.connection_pool import ConnectionPool
from pollenwalk.errors import Outcome
from pollenwalk.policy.crash_verdict import may_be_to_blame, needs_idle_host
from pollenwalk.process.crash_guard import CrashGuard
from pollenwalk.process.host_table import HostState
from pollenwalk.request.gateway_call import Call


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
        return needs_idle_host(self.guard.crashes(self.call.request))

    @property
    def any_known(self) -> bool:
        """Return whether a host is known to have crashed on the call."""
        return self.guard.crashes(self.call.request) > 0

    def check(self, runs: int) -> None:
        """Refuse the call if too many hosts have crashed on it.

        Args:
            runs: how many times a host has run the call or may have run it.

        Raises:
            Refusal: the call is not sent to any host any more.
        """
        self.guard.check(
            self.call.request, Outcome.UNKNOWN if runs else Outcome.NOT_RUN
        )

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
            return
        if await self.pool.is_refused(state.registration):
            self.guard.record_crash(self.call.request, state, now_ms - sent_ms)

    def record_completion(self) -> None:
        """Record that a host has run the call to its end."""
        self.guard.record_completion(self.call.request)
