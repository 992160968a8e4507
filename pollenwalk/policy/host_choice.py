"""Choice of the upstream host that is expected to finish a call first."""

import random
import zlib
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
# An odd multiplier with irregular bits (2^64 divided by the golden ratio), which lets
# each bit of a key affect the rank, and the bits that are kept.
RANK_MULTIPLIER = 0x9E3779B97F4A7C15
RANK_BITS = 0xFFFFFFFFFFFFFFFF


class CachedPart(NamedTuple):
    """A part of a prompt that hosts may have cached.

    Attributes:
        key: stands for the part's id.
        tokens: number of tokens of the part.
    """

    key: int
    tokens: int


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
        slowness: how long a run takes at the host now, as a multiple of the usual
            time.
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
    slowness: float = 1


class CallCost(NamedTuple):
    """What a call costs a host.

    Attributes:
        run_ms: expected run time at an idle host.
        prompt_tokens: tokens of the prompt; prefill computes those not cached.
        prefill_ms_per_token: time to compute one token of the prompt.
        batch_delay_share: share of the delay by which the prefill holds up each
            other call of the batch that counts as a cost of this call.
        parts: parts of the prompt in order, as tables of cached parts hold them.
        affinity: key that all calls share that gain at the same host; None if the call
            gains at none.
        repeatable: whether the call may run more than once.
    """

    run_ms: float
    prompt_tokens: int = 0
    prefill_ms_per_token: float = 0.0
    batch_delay_share: float = 0.0
    parts: tuple[CachedPart, ...] = ()
    affinity: int | None = None
    repeatable: bool = False


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
        hosts within `TIE_TOLERANCE_MS` of the best one, the choice is random, unless
        the call gains at some hosts by what they have cached.
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
        return self.choose_equal(tied, cost) if cost.parts else self.rng.choice(tied)

    def choose_equal(self, tied: list[Candidate], cost: CallCost) -> Candidate:
        """Choose for a call that gains at some hosts among estimates that count as equal.

        Full hosts are left out if there are others: at short run times they count as
        equal too, and all calls with the same object would queue there. Of the others,
        those with the longest cached part of the prompt go first. Among them, the
        choice is by rendezvous hashing for a call with an affinity, so that several
        gateways choose the same host for the same program or object, but others for
        others; else it is random.
        """
        free = [one for one in tied if one.load < one.slots] or tied
        most_cached = max(one.cached_tokens for one in free)
        equal = [one for one in free if one.cached_tokens >= most_cached]
        affinity = cost.affinity
        if affinity is None:
            return self.rng.choice(equal)
        return max(equal, key=lambda one: rendezvous_rank(one.host, affinity))


def rendezvous_rank(host: str, affinity: int) -> int:
    """Return the rank of a host for an affinity, the same at all gateways."""
    checksum = zlib.crc32(host.encode())
    return ((checksum ^ affinity) * RANK_MULTIPLIER) & RANK_BITS


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
    queued = candidate.load + 1 - slots
    if queued <= 0:
        return 0
    return queued * cost.run_ms / slots * candidate.slowness


def wait_ms(candidate: Candidate, cost: CallCost) -> float:
    """Return the expected wait in ms at the gateway and at the host.

    While a call waits for a permit, others finish at the host.
    """
    return max(queue_wait_ms(candidate, cost), candidate.permit_wait_ms)


def finish_ms(candidate: Candidate, cost: CallCost) -> float:
    """Estimate in how many ms a host would finish a call, less its usual run time.

    The estimate is the sum of the round trip, the wait for a permit or a slot, the slowdown
    by other calls and the prefill of uncached tokens. At a slow host the wait for a
    slot, the slowdown, the prefill and the run take longer. The usual run time at
    an idle host is left out, as it is the same everywhere.
    """
    load_share = candidate.load / max(candidate.slots, 1)
    slowdown_ms = cost.run_ms * FULL_HOST_SLOWDOWN * min(load_share, 1)
    busy_ms = slowdown_ms + prefill_ms(candidate, cost)
    total_wait_ms = round_trip_ms(candidate) + wait_ms(candidate, cost)
    slowness = candidate.slowness
    return total_wait_ms + busy_ms * slowness + cost.run_ms * (slowness - 1)


def prefill_ms(candidate: Candidate, cost: CallCost) -> float:
    """Return the time to compute the uncached part of a prompt, as it is weighed.

    The prefill also holds up the batch, so it counts for more at a host with many calls.
    """
    uncached_tokens = cost.prompt_tokens - candidate.cached_tokens
    if uncached_tokens <= 0:
        return 0
    delayed_calls = cost.batch_delay_share * min(candidate.load, candidate.slots)
    return uncached_tokens * cost.prefill_ms_per_token * (1 + delayed_calls)
