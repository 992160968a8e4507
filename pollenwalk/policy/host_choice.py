"""Choice of the upstream host that is expected to finish a call first."""

import random
from collections.abc import Iterable
from typing import NamedTuple, Protocol

# Round trips to hosts outside the gateway's zone. They are assumed, as the policy
# is given no measured ones.
SAME_REGION_ROUND_TRIP_MS = 1.0
CROSS_REGION_ROUND_TRIP_MS = 60.0
# Estimates that exceed the best one by no more than this count as equal to it.
# Choosing at random among them keeps several gateways from choosing the same host
# at the same time.
TIE_TOLERANCE_MS = 4.0
# Share by which a call's run time grows at a full host.
FULL_HOST_SLOWDOWN = 0.2


class Candidate(NamedTuple):
    """A host that could run a call.

    Attributes:
        host: id of the host.
        slots: calls that the host runs at the same time.
        load: estimated number of calls that run or wait at the host.
        same_zone: whether the host is in the gateway's zone.
        same_region: whether the host is in the gateway's region.
        cached_tokens: estimated tokens of the call's prompt in the host's cache.
        warm_up_ms: how long the host will still be slow after its start.
        suspected: whether the host has failed recently.
        permit_wait_ms: estimated time until a permit for the host is free; 0 if the
            host has no limit.
    """

    host: str
    slots: int
    load: float
    same_zone: bool
    same_region: bool
    cached_tokens: int
    warm_up_ms: float
    suspected: bool
    permit_wait_ms: float = 0


class CallCost(NamedTuple):
    """What a call costs a host.

    Attributes:
        run_ms: expected run time at an idle host.
        prompt_tokens: tokens of the prompt; prefill computes those not cached.
        prefill_ms_per_token: time to compute one token of the prompt.
    """

    run_ms: float
    prompt_tokens: int = 0
    prefill_ms_per_token: float = 0.0


class HostChoice(Protocol):
    """A policy that chooses a host for a call."""

    def choose(
        self, candidates: Iterable[Candidate], cost: CallCost
    ) -> Candidate | None:
        """Return the chosen candidate, or None if there are no candidates."""


class EarliestFinish:
    """Chooses the host that is expected to finish the call first.

    Meant for several gateways that place calls on the same few hosts, which are
    at different distances and some of which are full.
    """

    def __init__(self, rng: random.Random) -> None:
        """Use `rng` to choose among equal estimates."""
        self.rng = rng

    def choose(
        self, candidates: Iterable[Candidate], cost: CallCost
    ) -> Candidate | None:
        """Return the host with the earliest expected finish.

        Suspected hosts are considered only if all hosts are suspected. Among
        hosts within `TIE_TOLERANCE_MS` of the best one, the choice is random.
        """
        all_candidates = list(candidates)
        trusted = [one for one in all_candidates if not one.suspected] or all_candidates
        if not trusted:
            return None
        estimates = [(finish_ms(one, cost), one) for one in trusted]
        best = min(estimate for estimate, _ in estimates)
        tied = [
            one for estimate, one in estimates if estimate <= best + TIE_TOLERANCE_MS
        ]
        return self.rng.choice(tied)


def round_trip_ms(candidate: Candidate) -> float:
    """Return the assumed extra round trip compared to a host in the same zone."""
    if candidate.same_zone:
        return 0
    return (
        SAME_REGION_ROUND_TRIP_MS
        if candidate.same_region
        else CROSS_REGION_ROUND_TRIP_MS
    )


def queue_wait_ms(candidate: Candidate, cost: CallCost) -> float:
    """Return the expected wait in ms for a slot at a host."""
    slots = max(candidate.slots, 1)
    queued = max(candidate.load + 1 - slots, 0)
    return queued * cost.run_ms / slots


def wait_ms(candidate: Candidate, cost: CallCost) -> float:
    """Return the expected wait in ms at the gateway and at the host.

    While a call waits for a permit, others finish at the host.
    """
    return max(queue_wait_ms(candidate, cost), candidate.permit_wait_ms)


def finish_ms(candidate: Candidate, cost: CallCost) -> float:
    """Estimate in how many ms a host would finish a call, less its idle run time.

    The estimate is the sum of the round trip, the wait for a permit or a slot, the slowdown
    by other calls and the prefill of uncached tokens. The run time at an idle
    host is left out, as it is the same everywhere.
    """
    load_share = candidate.load / max(candidate.slots, 1)
    slowdown_ms = cost.run_ms * FULL_HOST_SLOWDOWN * min(load_share, 1)
    uncached_tokens = max(cost.prompt_tokens - candidate.cached_tokens, 0)
    prefill_ms = uncached_tokens * cost.prefill_ms_per_token
    total_wait_ms = round_trip_ms(candidate) + wait_ms(candidate, cost)
    return total_wait_ms + slowdown_ms + prefill_ms
