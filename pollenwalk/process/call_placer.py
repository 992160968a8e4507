"""Chooses an upstream host for a call from this gateway's estimates."""

import math
from collections.abc import Iterable, Iterator

from pollenwalk.policy.host_choice import (
    TIE_TOLERANCE_MS,
    CallCost,
    Candidate,
    HostChoice,
    finish_ms,
    queue_wait_ms,
    round_trip_ms,
    wait_ms,
)
from pollenwalk.policy.host_pace import run_excess
from pollenwalk.policy.own_load import OwnLoad
from pollenwalk.policy.prompt_cost import PromptHeaders, prompt_cost
from pollenwalk.process.clock import Clock
from pollenwalk.process.host_table import SMOOTHING, HostState, HostTable
from pollenwalk.process.prompt_cache import PromptCache
from pollenwalk.request.gateway_call import Call

# Expected run time of a route's calls at an idle host, until one is measured.
DEFAULT_RUN_MS = 150.0


class CallPlacer:
    """Places calls on the hosts of their upstreams by a host selection policy.

    Attributes:
        run_times: the moving average of the run time in ms, by route name.
        prompt_cache: keeps what the hosts are believed to have cached in bounds.
    """

    def __init__(
        self,
        clock: Clock,
        host_table: HostTable,
        choice: HostChoice,
        zone: str,
        regions: dict[str, str],
        resume_at_leaving_ms: float = 0,
        own_load: OwnLoad | None = None,
    ) -> None:
        """Create a placer for a gateway.

        Args:
            clock: the clock of the gateway.
            host_table: the known upstream hosts.
            choice: the policy that picks one of the hosts.
            zone: availability zone of the gateway.
            regions: the region of each zone.
            resume_at_leaving_ms: how long a host that leaves is still used for
                streams that can go on nowhere else.
            own_load: the load of the gateway itself; None for an idle one.
        """
        self.clock = clock
        self.host_table = host_table
        self.choice = choice
        self.zone = zone
        self.regions = regions
        self.resume_at_leaving_ms = resume_at_leaving_ms
        self.own_load = own_load or OwnLoad()
        self.run_times: dict[str, float] = {}
        self.prompt_cache = PromptCache()

    def choose_host(
        self, call: Call, cost: CallCost, avoid: set[str]
    ) -> HostState | None:
        """Pick a host for a call; None if there is none.

        Args:
            call: the call; its upstream determines the hosts.
            cost: the expected cost of the call.
            avoid: ids of hosts that must not be picked.
        """
        hosts = self.host_table.available_hosts(call.upstream)
        return self.pick(without(hosts, avoid), cost)

    def choose_host_of_version(
        self, call: Call, cost: CallCost, avoid: set[str], software_version: str
    ) -> HostState | None:
        """Pick a host on which a stream can go on; None if there is none.

        A host that has begun to leave a moment ago still accepts the stream. It is
        picked if no other host runs the version.

        Args:
            call: the call; its upstream determines the hosts.
            cost: the expected cost of the call.
            avoid: ids of hosts that must not be picked.
            software_version: version of the software that the host must run.
        """
        since_ms = self.clock.now_ms() - self.resume_at_leaving_ms
        choices = (
            self.host_table.available_hosts(call.upstream),
            self.host_table.hosts_that_left_since(call.upstream, since_ms),
        )
        for hosts in choices:
            matching = (
                state
                for state in without(hosts, avoid)
                if state.registration.software_version == software_version
            )
            state = self.pick(matching, cost)
            if state is not None:
                return state
        return None

    def pick(self, hosts: Iterable[HostState], cost: CallCost) -> HostState | None:
        """Pick one of some hosts by the policy; None if there are none."""
        now_ms = self.clock.now_ms()
        states = {state.registration.id: state for state in hosts}
        candidates = (self.candidate(state, now_ms, cost) for state in states.values())
        chosen = self.choice.choose(candidates, cost)
        return None if chosen is None else states[chosen.host]

    def min_wait_ms(self, call: Call, cost: CallCost) -> float:
        """Estimate the shortest wait at any host that is not suspected, in ms.

        The wait includes the extra round trip to a host in another zone. It is 0
        if there is no such host.
        """
        now_ms = self.clock.now_ms()
        candidates = (
            self.candidate(state, now_ms, cost)._replace(
                permit_wait_ms=self.host_table.usual_permit_wait_ms(state, now_ms)
            )
            for state in self.host_table.available_hosts(call.upstream)
        )
        waits = (
            round_trip_ms(candidate) + wait_ms(candidate, cost)
            for candidate in candidates
            if not candidate.suspected
        )
        return min(waits, default=0)

    def useful_wait_ms(
        self, state: HostState, call: Call, cost: CallCost, avoid: set[str]
    ) -> float:
        """Return the longest wait at a host after which it still finishes first.

        Args:
            state: the host.
            call: the call; its upstream determines the other hosts.
            cost: the expected cost of the call.
            avoid: ids of hosts that are not considered.

        Returns:
            The wait in ms; infinite if no other host can be used.
        """
        now_ms = self.clock.now_ms()
        hosts = self.host_table.available_hosts(call.upstream)
        others = [
            self.candidate(other, now_ms, cost)
            for other in without(hosts, avoid | {state.registration.id})
        ]
        finishes = [finish_ms(one, cost) for one in others if not one.suspected]
        if not finishes:
            return math.inf
        own = self.candidate(state, now_ms, cost)
        without_wait = own._replace(permit_wait_ms=0)
        gain_ms = min(finishes) - finish_ms(without_wait, cost)
        return max(gain_ms, own.permit_wait_ms + TIE_TOLERANCE_MS)

    def has_trusted_host(
        self, call: Call, avoid: set[str], software_version: str | None
    ) -> bool:
        """Return whether a host that is not suspected can take a call at once.

        Args:
            call: the call; its upstream determines the hosts.
            avoid: ids of hosts that are not considered.
            software_version: version of the software that the host must run; None for
                any.
        """
        now_ms = self.clock.now_ms()
        hosts = self.host_table.available_hosts(call.upstream)
        return any(
            software_version in {None, state.registration.software_version}
            and not state.silence.is_silent
            and not state.is_suspected(now_ms)
            and not self.host_table.permit_wait_ms(state, now_ms)
            for state in without(hosts, avoid)
        )

    def queue_wait_ms(self, state: HostState, cost: CallCost) -> float:
        """Return the expected wait in ms for a slot at a host."""
        return queue_wait_ms(self.candidate(state, self.clock.now_ms(), cost), cost)

    def candidate(self, state: HostState, now_ms: float, cost: CallCost) -> Candidate:
        """Return a host in the form in which the policy compares hosts."""
        cached_tokens = (
            state.cached_parts.prefix_tokens(cost.parts) if cost.parts else 0
        )
        registration = state.registration
        same_zone = registration.zone == self.zone
        region = self.regions.get(self.zone)
        return Candidate(
            host=registration.id,
            slots=registration.slots,
            load=state.load(now_ms),
            same_zone=same_zone,
            same_region=same_zone or self.regions.get(registration.zone) == region,
            cached_tokens=cached_tokens,
            warm_up_ms=registration.warm_up_ms,
            suspected=state.is_suspected(now_ms, cost.repeatable),
            permit_wait_ms=self.host_table.permit_wait_ms(state, now_ms),
            slowness=state.slowness(now_ms, cost.run_ms),
        )

    def record_refusal(self, state: HostState, _reason: str) -> None:
        """Suspect a host that can't be reached or refuses calls.

        The reason makes no difference.
        """
        state.record_failure(self.clock.now_ms())

    def record_prompt(self, state: HostState, call: Call, cost: CallCost) -> None:
        """Record that a host has begun to answer, so that it has read the prompt."""
        if cost.parts:
            self.prompt_cache.record(state.cached_parts, cost.parts, call.memory_tokens)

    def expected_cost(self, call: Call) -> CallCost:
        """Return the expected cost of a call, with its prompt if the route is sticky."""
        route = call.route
        run_ms = self.expected_run_ms(call)
        repeatable = route.idempotent and route.max_attempts > 1
        if not route.sticky:
            return CallCost(run_ms, repeatable=repeatable)
        metadata = call.request.metadata
        sequence = metadata.session or metadata.program
        cost = prompt_cost(
            run_ms,
            PromptHeaders(metadata.prompt_parts, metadata.affinity, sequence),
        )
        return cost._replace(repeatable=repeatable)

    def expected_run_ms(self, call: Call) -> float:
        """Return the expected run time of a call that does not wait for a slot."""
        return self.run_times.get(call.route.name, DEFAULT_RUN_MS)

    def record_run_time(self, state: HostState, call: Call, run_ms: float) -> None:
        """Update the average run time of a route, and what is seen of a host's pace.

        Streams tell nothing of the pace, as their lengths differ several-fold.

        Args:
            state: the host.
            call: a call that was answered completely and did not wait for a
                slot.
            run_ms: its run time.
        """
        mean_ms = self.expected_run_ms(call)
        if not call.route.is_streaming:
            state.run_excess.add(run_excess(run_ms, mean_ms), self.clock.now_ms())
        updated_ms = mean_ms + (run_ms - mean_ms) * SMOOTHING
        self.run_times[call.route.name] = updated_ms


def without(hosts: Iterable[HostState], avoid: set[str]) -> Iterator[HostState]:
    """Yield the hosts whose ids are not to be avoided."""
    return (state for state in hosts if state.registration.id not in avoid)
