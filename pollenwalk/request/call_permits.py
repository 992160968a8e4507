"""Permits of one call for hosts that limit what they take from all gateways."""

import math

from loguru import logger

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.policy.program_admission import max_permit_wait_ms, max_program_wait_ms
from pollenwalk.process.call_placer import CallPlacer
from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.host_table import HostState
from pollenwalk.process.permit_client import PermitAnswer, PermitClient
from pollenwalk.request.gateway_call import Call

# After this many refused permits, a call no longer compares the waits at several
# hosts, as their estimates don't settle; it takes any permit that comes in time.
MAX_COMPARED_PERMITS = 4
# After this many, each host that refuses one more is given up.
MAX_REFUSED_PERMITS = 8


class CallPermits:
    """Obtains permits for the sends of one call.

    A call waits for a permit only if it comes in time and no other host is expected
    to finish the call earlier.

    Attributes:
        begins_program: whether the call is held to the wait for which a new program
            is admitted.
        hosts_without_permit: ids of the hosts at which no permit comes in time.
        refused: how many permits were refused.
    """

    def __init__(
        self,
        client: PermitClient,
        call_placer: CallPlacer,
        metrics: GatewayMetrics,
        call: Call,
    ) -> None:
        """Prepare to obtain permits for a call of a begun program."""
        self.client = client
        self.host_table = call_placer.host_table
        self.clock = call_placer.clock
        self.metrics = metrics
        self.call = call
        self.begins_program = False
        self.hosts_without_permit: set[str] = set()
        self.refused = 0

    def treat_as_begun(self) -> None:
        """Hold the call to the wait of a begun program from now on."""
        self.begins_program = False
        self.hosts_without_permit.clear()

    async def obtain(self, state: HostState, useful_ms: float) -> bool:
        """Wait until the call may be sent to a host, if that is in time.

        Args:
            state: the host, which need not have a limit.
            useful_ms: the longest wait before another host is the better one.

        Returns:
            False if another host must be chosen: no permit comes in time, another
            host is expected to finish earlier, or the host leaves.
        """
        limit = self.host_table.limit_of(state)
        if limit is None:
            return True
        longest_ms = self.longest_wait_ms()
        if self.refused >= MAX_COMPARED_PERMITS:
            useful_ms = longest_ms
        permit = await self.request(state, min(longest_ms, useful_ms))
        if not permit.granted:
            self.handle_refusal(state, permit.wait_ms, longest_ms)
            return False
        self.metrics.count_permit('waited' if permit.wait_ms else 'granted')
        return not permit.wait_ms or await self.wait(state, permit.wait_ms)

    async def request(self, state: HostState, max_wait_ms: float) -> PermitAnswer:
        """Ask for a permit, unless all within `max_wait_ms` are known to be taken."""
        wait_ms = self.host_table.permit_wait_ms(state, self.clock.now_ms())
        if wait_ms > max_wait_ms:
            return PermitAnswer(False, wait_ms)
        return await self.client.request(state, max_wait_ms)

    def longest_wait_ms(self) -> float:
        """Return the longest wait for a permit after which the call is in time."""
        route = self.call.route
        remaining_ms = self.call.remaining_ms(self.clock.now_ms())
        longest_ms = max_permit_wait_ms(remaining_ms, route.priority)
        if not self.begins_program:
            return longest_ms
        return min(longest_ms, max_program_wait_ms(route.target_ms, route.priority))

    async def wait(self, state: HostState, wait_ms: float) -> bool:
        """Wait for a permit; return whether its host still accepts the call."""
        logger.info(
            'held',
            request=self.call.id,
            host=state.registration.id,
            limit=self.host_table.limit_of(state),
            wait_ms=round(wait_ms),
        )
        was_leaving = state.registration.leaving
        await self.clock.sleep_ms(wait_ms)
        is_listed = self.host_table.is_listed(state)
        return is_listed and state.registration.leaving == was_leaving

    def handle_refusal(
        self, state: HostState, wait_ms: float, longest_ms: float
    ) -> None:
        """Exclude a host that gave no permit, unless its next one comes in time.

        Args:
            state: the host.
            wait_ms: time until its next permit; infinite if no keeper gives any now.
            longest_ms: the longest wait after which the call is in time.
        """
        self.refused += 1
        in_time = wait_ms <= longest_ms and self.refused < MAX_REFUSED_PERMITS
        if not in_time:
            self.hosts_without_permit.add(state.registration.id)
        self.metrics.count_permit('refused')
        logger.info(
            'no_permit',
            request=self.call.id,
            host=state.registration.id,
            limit=self.host_table.limit_of(state),
            next_wait_ms=None if math.isinf(wait_ms) else round(wait_ms),
            longest_ms=round(longest_ms),
            excluded=not in_time,
        )

    def refusal(self) -> Refusal:
        """Return the refusal of a call for which no permit comes in time."""
        upstream = self.call.upstream
        return Refusal(
            RefusalCode.HOST_LIMITS,
            f'hosts of upstream {upstream} have named limits, and none of them is '
            'free in time',
            retry_after_ms=round(self.client.retry_after_ms(upstream)),
        )
