"""Request priority: the level at which hosts admit a request before others.

It matters in bursts in which urgent and other programs compete for slots: a
host with more requests than slots runs those of a lower level first and preempts
others for them. Programs that can't end in time any more yield to those that can, as
the time that a late program takes may make another one late.
"""

import zlib
from bisect import bisect_left
from collections.abc import Iterable
from itertools import product
from typing import NamedTuple

# The priority of an organisation and that of a route; lower ones are more urgent.
Rank = tuple[int, int]

LEVELS = 10
# One program in this many is sent as if its route were the most urgent one and it were
# in time. Hosts serve levels strictly in order, so the others may get nothing while
# the demand of more urgent ones fills the hosts; a less urgent route must be served at
# least a quarter as often as all.
PROMOTED_ONE_IN = 4


class Urgency(NamedTuple):
    """What the priority of a request depends on.

    Attributes:
        rank: the priorities of its organisation and of its route.
        program: id of its program, or of the request if it belongs to none.
        begins_program: whether it is the first of its program.
        is_late: whether its program can't end in time any more.
    """

    rank: Rank
    program: str
    begins_program: bool
    is_late: bool


class PriorityScale:
    """Assigns levels to the ranks of a configuration.

    From the most to the least urgent, the levels are those of begun programs and of
    first turns of each rank, then those of late programs of each rank. Where there
    are too many for ten levels, first turns share the level of begun programs, then
    late programs of all ranks share the last level, then neighbouring ranks share one.

    Attributes:
        ranks: the ranks in use, the most urgent first.
    """

    def __init__(self, ranks: Iterable[Rank]) -> None:
        """Create the scale of some ranks; other ranks count as the next one in use."""
        self.ranks = sorted(set(ranks)) or [(0, 0)]
        count = len(self.ranks)
        # At least one level is left for late programs.
        self.steps = 2 if count * 2 < LEVELS else 1
        self.levels_in_time = min(count * self.steps, LEVELS - 1)
        self.levels_late = min(count, LEVELS - self.levels_in_time)

    def level(self, urgency: Urgency) -> int:
        """Return the level of a request, from 0, the most urgent, to 9."""
        promoted = is_promoted(urgency.program)
        position = self.position(urgency.rank, promoted)
        count = len(self.ranks)
        if urgency.is_late and not promoted:
            return self.levels_in_time + position * self.levels_late // count
        step = position * self.steps
        if urgency.begins_program:
            step += self.steps - 1
        return step * self.levels_in_time // (count * self.steps)

    def position(self, rank: Rank, promoted: bool) -> int:
        """Return the index of a rank among those in use.

        Args:
            rank: the rank.
            promoted: whether the route counts as the most urgent one. The priority
                of the organisation stays, as it goes before that of the route.
        """
        sought = rank[:1] if promoted else rank
        return min(bisect_left(self.ranks, sought), len(self.ranks) - 1)


def all_ranks(
    organisation_priorities: Iterable[int], route_priorities: Iterable[int]
) -> set[Rank]:
    """Return each combination of an organisation's and a route's priority."""
    return set(product(set(organisation_priorities), set(route_priorities)))


def is_promoted(program: str) -> bool:
    """Return whether a program is one of those that are sent as the most urgent.

    All gateways agree on them, so all requests of a program are promoted or none.
    """
    return not zlib.crc32(program.encode('latin-1', 'replace')) % PROMOTED_ONE_IN


def is_late(program_remaining_ms: float | None, since_arrival_ms: float) -> bool:
    """Return whether the time that a program may take is used up.

    Args:
        program_remaining_ms: time left for the program when the request arrived;
            None if the caller did not state it.
        since_arrival_ms: time since then.
    """
    if program_remaining_ms is None:
        return False
    return program_remaining_ms <= since_arrival_ms
