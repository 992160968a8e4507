"""Which upstream host runs a call next: the one expected to finish it first."""

import random
from collections.abc import Iterable
from typing import NamedTuple, Protocol

# The way to a host and back, in ms, where nothing else is known.
SAME_REGION_ROUND_TRIP_MS = 1.0
CROSS_REGION_ROUND_TRIP_MS = 60.0
# Estimates closer than this are as good as equal; choosing at random among
# them keeps several gateways from going the same way at once.
TIE_MS = 4.0
# The share by which a full host is slower than an idle one.
FULL_HOST_SLOWDOWN = 0.2


class Candidate(NamedTuple):
    """A host that could run a call.

    Attributes:
        host: its id.
        slots: calls that it runs at a time.
        load: calls believed to be there.
        same_zone: whether it stands in the gateway's zone.
        same_region: whether it stands in the gateway's region.
        cached_tokens: of the call's prompt, believed to be in its memory.
        warm_up_ms: how much longer it is slow.
        suspected: whether it has just failed.
    """

    host: str
    slots: int
    load: float
    same_zone: bool
    same_region: bool
    cached_tokens: int
    warm_up_ms: float
    suspected: bool


class CallCost(NamedTuple):
    """What a call costs a host.

    Attributes:
        run_ms: on an idle host.
        prompt_tokens: to be read where they are not cached.
        read_ms_per_token: time to read one of them.
    """

    run_ms: float
    prompt_tokens: int = 0
    read_ms_per_token: float = 0.0


class HostChoice(Protocol):
    """A policy that picks a host."""

    def choose(
        self, candidates: Iterable[Candidate], cost: CallCost
    ) -> Candidate | None:
        """Pick one of the candidates; None where there is none."""


class EarliestFinish:
    """Picks the host that is expected to finish first.

    Answers the load of several gateways that place on the same few hosts,
    unevenly far away, some of them full.
    """

    def __init__(self, rng: random.Random) -> None:
        """Break ties by `rng`."""
        self.rng = rng

    def choose(
        self, candidates: Iterable[Candidate], cost: CallCost
    ) -> Candidate | None:
        """Compare the expected finish at every host that isn't suspected."""
        all_candidates = list(candidates)
        trusted = [one for one in all_candidates if not one.suspected] or all_candidates
        if not trusted:
            return None
        estimates = [(finish_ms(one, cost), one) for one in trusted]
        best = min(estimate for estimate, _ in estimates)
        near_ties = [one for estimate, one in estimates if estimate <= best + TIE_MS]
        return self.rng.choice(near_ties)


def round_trip_ms(candidate: Candidate) -> float:
    """Give the way to a host and back, beyond what the nearest one has."""
    if candidate.same_zone:
        return 0
    return (
        SAME_REGION_ROUND_TRIP_MS
        if candidate.same_region
        else CROSS_REGION_ROUND_TRIP_MS
    )


def queue_wait_ms(candidate: Candidate, cost: CallCost) -> float:
    """Estimate the wait for a slot at a host."""
    slots = max(candidate.slots, 1)
    queued = max(candidate.load + 1 - slots, 0)
    return queued * cost.run_ms / slots


def finish_ms(candidate: Candidate, cost: CallCost) -> float:
    """Estimate way, wait, reading and running at a host."""
    load_share = candidate.load / max(candidate.slots, 1)
    slowdown_ms = cost.run_ms * FULL_HOST_SLOWDOWN * min(load_share, 1)
    uncached_tokens = max(cost.prompt_tokens - candidate.cached_tokens, 0)
    reading_ms = uncached_tokens * cost.read_ms_per_token
    total_wait_ms = round_trip_ms(candidate) + queue_wait_ms(candidate, cost)
    return total_wait_ms + slowdown_ms + reading_ms
