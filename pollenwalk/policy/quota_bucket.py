"""Token buckets of one owner of an organisation's quota.

All times are on the clock that leases are measured on. The part of the quota that the
owner may grant changes with the leases, so buckets are filled piece by piece.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

MS_PER_SECOND = 1000
# Tokens are valid for at most this long: several pauses between the calls of a program.
MAX_VALIDITY_MS = 1000.0
# Below the time of a round trip between regions, tokens would expire on their way.
MIN_VALIDITY_MS = 100.0
# What the quota's bound allows beyond rate and burst is divided. At most VALIDITY_SHARE
# of it is for tokens that are used later than they are granted. What that leaves of
# USED_SHARE is capacity of the buckets: a program of a small organisation sends faster
# than its rate for seconds. The rest is for clocks that run at different speeds.
VALIDITY_SHARE = 0.6
USED_SHARE = 0.9
# Mean number of requests of a program before any was seen, and its limits.
EXPECTED_CALLS = 8.0
MAX_CALLS = 64.0
# Weight of that expectation, in program starts.
PRIOR_STARTS = 2.0
# Time constant of what is learned of programs: several times the length of one.
LEARNING_MS = 20_000.0
# Above this level of the bucket, programs begin without a token for starts: the quota
# is not used up, whatever was learned of programs.
IDLE_LEVEL_SHARE = 0.9
# Programs also begin without one while the bucket and what it gains in this time cover
# the calls that begun programs are expected to make. Most calls of a program come
# within it.
PROGRAM_MS = 3000.0
# Calls that are expected of programs that have ended early are forgotten in this time.
PENDING_MEMORY_MS = 2 * PROGRAM_MS
# Tokens for expected requests are granted above this level only.
SPARE_LEVEL_SHARE = 0.5

# Least rate that times are computed with.
MIN_RATE_PER_S = 0.001
# Fractions of tokens that are lost when times are rounded.
ROUNDING = 1e-6

# A piece of time: when it ends, and the part of the quota that may be granted in it.
Piece = tuple[float, float]


class QuotaBound(NamedTuple):
    """How exactly quotas are kept over all gateways.

    Attributes:
        window_ms: length of the sliding windows in which requests are counted.
        excess: share by which the count may exceed rate and burst.
        slack: number of requests by which it may exceed them besides.
    """

    window_ms: float
    excess: float
    slack: float

    def most(self, rate_per_s: float, burst: float) -> float:
        """Return the most requests of an organisation within a window."""
        owed = rate_per_s * self.window_ms / MS_PER_SECOND + burst
        return owed * (1 + self.excess) + self.slack

    def beyond(self, rate_per_s: float, burst: float) -> float:
        """Return by how many requests a window may exceed rate and burst."""
        owed = rate_per_s * self.window_ms / MS_PER_SECOND + burst
        return owed * self.excess + self.slack

    def validity_ms(self, rate_per_s: float, burst: float) -> float:
        """Return how long tokens may be used.

        Tokens that are used in a window were granted in it or at most this long before.
        """
        if rate_per_s <= 0:
            return MAX_VALIDITY_MS
        usable = VALIDITY_SHARE * self.beyond(rate_per_s, burst)
        longest_ms = usable / max(rate_per_s, MIN_RATE_PER_S) * MS_PER_SECOND
        return max(min(MAX_VALIDITY_MS, longest_ms), MIN_VALIDITY_MS)

    def capacity(self, rate_per_s: float, burst: float) -> float:
        """Return how many tokens the buckets of all owners hold together."""
        validity_s = self.validity_ms(rate_per_s, burst) / MS_PER_SECOND
        unused = USED_SHARE * self.beyond(rate_per_s, burst) - rate_per_s * validity_s
        return burst + max(unused, 0)


class TokenBucket:
    """A bucket that fills at the part of a rate that its owner may grant.

    Attributes:
        level: tokens in the bucket; negative if some were granted ahead of time.
        at_ms: time of that level.
    """

    def __init__(self, at_ms: float) -> None:
        """Create an empty bucket."""
        self.level = 0.0
        self.at_ms = at_ms

    def fill(self, pieces: Iterable[Piece], rate_per_s: float, capacity: float) -> None:
        """Let time pass.

        Args:
            pieces: the time since `at_ms`, in order.
            rate_per_s: rate of the whole quota.
            capacity: tokens that the buckets of all owners hold together.
        """
        for end_ms, part in pieces:
            gained = rate_per_s * part * (end_ms - self.at_ms) / MS_PER_SECOND
            self.level = min(self.level + gained, capacity_of(part, capacity))
            self.at_ms = end_ms

    def wait_ms(
        self, wanted: float, future: Iterable[Piece], rate_per_s: float
    ) -> float:
        """Return the time until the bucket has some tokens; infinite for never.

        Args:
            wanted: number of tokens.
            future: the time from `at_ms` on, as far as leases are known.
            rate_per_s: rate of the whole quota.
        """
        missing = wanted - self.level
        begin_ms = self.at_ms
        if missing <= 0:
            return 0
        for end_ms, part in future:
            per_ms = rate_per_s * part / MS_PER_SECOND
            if per_ms and missing <= per_ms * (end_ms - begin_ms):
                return begin_ms + missing / per_ms - self.at_ms
            if math.isinf(end_ms):
                break
            missing -= per_ms * (end_ms - begin_ms)
            begin_ms = end_ms
        return math.inf

    def take(self, wanted: int, least: float = 0) -> int:
        """Take up to `wanted` whole tokens that leave the level at `least` or above."""
        available = math.floor(self.level - least + ROUNDING)
        taken = max(min(wanted, available), 0)
        self.level -= taken
        return taken


def capacity_of(part: float, capacity: float) -> float:
    """Return how many tokens the bucket of an owner holds.

    An owner that has a part can grant at least one token.
    """
    return max(part * capacity, 1) if part else 0


class CallsPerProgram:
    """The mean number of requests of a program, learned from what is asked for.

    Attributes:
        requests: number of requests, with decaying weights.
        starts: number of program starts, likewise.
        at_ms: time of these numbers.
        others: the mean of all organisations, which is expected of one that has begun
            few programs; None to expect EXPECTED_CALLS.
    """

    def __init__(self, now_ms: float, others: 'CallsPerProgram | None' = None) -> None:
        """Start with the expectation."""
        self.others = others
        self.requests = 0.0
        self.starts = 0.0
        self.at_ms = now_ms

    def add(self, requests: int, starts: int, now_ms: float) -> None:
        """Count requests, of which some begin a program."""
        weight = math.exp((self.at_ms - now_ms) / LEARNING_MS)
        self.requests = self.requests * weight + requests
        self.starts = self.starts * weight + starts
        self.at_ms = now_ms

    @property
    def mean(self) -> float:
        """Return the mean number of requests of a program."""
        expected = EXPECTED_CALLS if self.others is None else self.others.mean
        requests = self.requests + PRIOR_STARTS * expected
        return min(max(requests / (self.starts + PRIOR_STARTS), 1), MAX_CALLS)
