"""Stretch admission: whether a new program may begin while turns take longer.

Without it, all programs share the shortage in a burst above the capacity of the hosts,
and nearly all end late. Programs may take some time longer than at idle hosts. A
gateway observes which part of that spare time their turns use up. While it is too
much, it lets programs begin only as fast as the turns of others end.
"""

from collections import deque
from statistics import fmean as mean
from typing import NamedTuple

from pollenwalk.policy.decayed_count import DecayedCount
from pollenwalk.policy.turn_times import TurnTime, TurnTimes

# A program is in time if its turns take no longer than this multiple of their
# uncrowded time and this allowance for each: the least of the multiples that callers
# allow, and what the objective leaves for a turn of a program of a few turns.
TOLERATED_STRETCH = 1.3
ALLOWANCE_MS = 150.0
# All new programs are admitted while turns use less than this part of that time. At
# low load the variation of prompts alone uses about a tenth.
ADMIT_ALL_BELOW = 0.4
# The part at which programs begin as fast as others end. Programs that have begun still
# end in time there; others begin faster below it and slower above.
TARGET_USED = 0.8
GAIN = 1.0
MIN_FACTOR = 0.3
MAX_FACTOR = 1.2
# Programs that may begin at once after a pause.
MAX_TOKENS = 4.0
# A rank that is one step less urgent leaves this many of them to the others, and the
# least urgent one all but one.
TOKENS_PER_RANK = 1.0
MAX_RANK_STEPS = 3
# The last turns that ended within this time count, if there are enough without those of
# the slowest host. More turns show the beginning of a burst later.
RECENT_MS = 1000.0
MIN_RECENT = 8
MAX_RECENT = 32
# A turn counts at most this much: one that was held up for another reason than load
# outweighs few others.
MAX_USED = 2.0
# Below this mean load of the hosts that ran the turns (calls by slots) nothing is
# refused: turns that take longer then do so for another reason, or the uncrowded time
# is wrong.
MIN_HOST_LOAD = 0.75
# Turns that end are counted over this time for the present rate, and over the longer
# one for the number of turns of a program.
RATE_MEMORY_MS = 1000.0
SIZE_MEMORY_MS = 60_000.0
# Until this many programs have begun, the number of turns of a program is not known.
MIN_BEGUN = 4.0


class RecentTurn(NamedTuple):
    """How much of its spare time a turn used, and where and when it ended.

    Attributes:
        ended_ms: when the turn ended.
        host: id of the host that ran it.
        host_load: calls at that host, as a share of its slots.
        used: share of its spare time that it used.
    """

    ended_ms: float
    host: str
    host_load: float
    used: float


class Crowding(NamedTuple):
    """The mean share of spare time used, and of the hosts' slots taken."""

    used: float
    host_load: float


class UpstreamLoad:
    """What one gateway observes of the programs at one upstream.

    Attributes:
        recent: the last turns.
        ended: turns that ended, for the present rate.
        turns: turns that ended, over a longer time.
        begun: programs that began over the same time.
        tokens: how many programs may begin now.
    """

    def __init__(self, now_ms: float) -> None:
        """Start without observations."""
        self.recent: deque[RecentTurn] = deque(maxlen=MAX_RECENT)
        self.ended = DecayedCount(RATE_MEMORY_MS)
        self.turns = DecayedCount(SIZE_MEMORY_MS)
        self.begun = DecayedCount(SIZE_MEMORY_MS)
        self.tokens = MAX_TOKENS
        self.filled_at_ms = now_ms

    def record(self, turn: RecentTurn) -> None:
        """Add a turn that ended just now."""
        self.recent.append(turn)
        self.ended.add(1, turn.ended_ms)
        self.turns.add(1, turn.ended_ms)

    def spare_time_used(self, now_ms: float) -> float:
        """Return the mean share of their spare time that recent turns used.

        Returns:
            The share; 0 if there are too few turns, or their hosts are not full.
        """
        crowding = self.crowding(now_ms)
        return crowding.used if crowding.host_load >= MIN_HOST_LOAD else 0

    def crowding(self, now_ms: float) -> Crowding:
        """Return the means of recent turns; zeros if there are too few."""
        recent = [turn for turn in self.recent if turn.ended_ms >= now_ms - RECENT_MS]
        counted = without_worst_host(recent)
        if len(counted) < MIN_RECENT:
            return Crowding(0, 0)
        return Crowding(
            mean(turn.used for turn in counted),
            mean(turn.host_load for turn in counted),
        )

    def programs_per_ms(self, now_ms: float) -> float:
        """Return how many programs the turns that end now make up."""
        begun = max(self.begun.at(now_ms), 1)
        return self.ended.per_ms(now_ms) / max(self.turns.at(now_ms) / begun, 1)

    def fill(self, used: float, now_ms: float) -> None:
        """Add the programs that may begin since the last time.

        Args:
            used: the share of their spare time that turns use now.
            now_ms: the current time.
        """
        factor = min(max(1 + (TARGET_USED - used) * GAIN, MIN_FACTOR), MAX_FACTOR)
        since_ms = now_ms - self.filled_at_ms
        gained = self.programs_per_ms(now_ms) * factor * since_ms
        has_room = used < ADMIT_ALL_BELOW or self.begun.at(now_ms) < MIN_BEGUN
        self.tokens = MAX_TOKENS if has_room else min(self.tokens + gained, MAX_TOKENS)
        self.filled_at_ms = now_ms


class StretchAdmission:
    """Decides from the turns of one gateway whether a new program may begin.

    Attributes:
        times: the uncrowded times, by route.
        loads: what was observed, by upstream.
    """

    def __init__(self) -> None:
        """Start without observations: everything is admitted."""
        self.times: dict[str, TurnTimes] = {}
        self.loads: dict[str, UpstreamLoad] = {}

    def record(self, turn: TurnTime, now_ms: float) -> None:
        """Add a turn that ended just now without an error."""
        times = self.times.setdefault(turn.route, TurnTimes(now_ms))
        times.record(turn, now_ms)
        uncrowded = times.uncrowded()
        used = 0.0
        if uncrowded is not None:
            expected_ms = uncrowded.expected_ms(turn.events)
            spare_ms = expected_ms * (TOLERATED_STRETCH - 1) + ALLOWANCE_MS
            used = min(max((turn.total_ms - expected_ms) / spare_ms, 0), MAX_USED)
        load = self.load_of(turn.upstream, now_ms)
        load.record(RecentTurn(now_ms, turn.host, turn.host_load, used))

    def may_begin(self, upstream: str, rank_steps: float, now_ms: float) -> bool:
        """Return whether one more program may begin now, and count it if so.

        Args:
            upstream: the upstream of its first turn.
            rank_steps: steps from the most urgent rank to its own.
            now_ms: the current time.
        """
        load = self.load_of(upstream, now_ms)
        load.fill(load.spare_time_used(now_ms), now_ms)
        left = min(rank_steps, MAX_RANK_STEPS) * TOKENS_PER_RANK
        if load.tokens < 1 + left:
            return False
        load.tokens -= 1
        load.begun.add(1, now_ms)
        return True

    def load_of(self, upstream: str, now_ms: float) -> UpstreamLoad:
        """Return what was observed of an upstream."""
        return self.loads.setdefault(upstream, UpstreamLoad(now_ms))


def without_worst_host(turns: list[RecentTurn]) -> list[RecentTurn]:
    """Return the turns without those of the host on which they used most.

    New programs need not be refused because one host is slow. All turns are returned
    if they ran on one host.
    """
    used: dict[str, float] = {}
    for one in turns:
        used[one.host] = used.get(one.host, 0) + one.used
    if len(used) <= 1:
        return turns
    worst = max(used, key=lambda host: used[host])
    return [turn for turn in turns if turn.host != worst]
