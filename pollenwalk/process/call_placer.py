"""Choosing an upstream host with what this gateway believes of all of them."""

from pollenwalk.policy.host_choice import (
    CallCost,
    Candidate,
    HostChoice,
    queue_wait_ms,
    round_trip_ms,
)
from pollenwalk.process.clock import Clock
from pollenwalk.process.host_table import SMOOTHING, HostState, HostTable
from pollenwalk.request.call_state import Call

# Expected time of a call on an idle host before any was seen.
UNKNOWN_RUN_MS = 150.0


class CallPlacer:
    """Applies the policy to the hosts of an upstream."""

    def __init__(
        self,
        clock: Clock,
        host_table: HostTable,
        choice: HostChoice,
        zone: str,
        regions: dict[str, str],
    ) -> None:
        """Place for a gateway in `zone`."""
        self.clock = clock
        self.host_table = host_table
        self.choice = choice
        self.zone = zone
        self.regions = regions
        self.run_times: dict[str, float] = {}

    def choose_host(
        self, call: Call, cost: CallCost, avoid: set[str]
    ) -> HostState | None:
        """Pick a host that has not been tried; None where there is none."""
        now_ms = self.clock.now_ms()
        states = {
            state.registration.id: state
            for state in self.host_table.available_hosts(call.upstream)
            if state.registration.id not in avoid
        }
        candidates = (self.candidate(state, now_ms) for state in states.values())
        chosen = self.choice.choose(candidates, cost)
        return None if chosen is None else states[chosen.host]

    def min_wait_ms(self, call: Call, cost: CallCost) -> float:
        """Estimate the wait at the best host; 0 where there is none."""
        now_ms = self.clock.now_ms()
        states = self.host_table.available_hosts(call.upstream)
        candidates = (self.candidate(state, now_ms) for state in states)
        waits = (
            round_trip_ms(one) + queue_wait_ms(one, cost)
            for one in candidates
            if not one.suspected
        )
        return min(waits, default=0)

    def candidate(self, state: HostState, now_ms: float) -> Candidate:
        """Describe a host to the policy."""
        registration = state.registration
        region = self.regions.get(self.zone)
        return Candidate(
            host=registration.id,
            slots=registration.slots,
            load=state.load(now_ms),
            same_zone=registration.zone == self.zone,
            same_region=self.regions.get(registration.zone) == region,
            cached_tokens=0,
            warm_up_ms=registration.warm_up_ms,
            suspected=state.suspected_until_ms > now_ms,
        )

    def record_rejection(self, state: HostState, _reason: str) -> None:
        """Pass over a host that can't be reached or takes nothing."""
        state.record_failure(self.clock.now_ms())

    def expected_run_ms(self, call: Call) -> float:
        """Give the expected time of a call once it runs."""
        return self.run_times.get(call.route.name, UNKNOWN_RUN_MS)

    def record_run_time(self, call: Call, run_ms: float) -> None:
        """Learn from a call that was answered whole and did not wait."""
        known = self.expected_run_ms(call)
        learnt = known + (run_ms - known) * SMOOTHING
        self.run_times[call.route.name] = learnt
