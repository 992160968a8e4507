"""Levels of requests: an urgent kind served after a less urgent one, or starvation."""

from itertools import pairwise

import testtools

from pollenwalk.policy.request_priority import (
    LEVELS,
    PriorityScale,
    Rank,
    Urgency,
    all_ranks,
    is_late,
    is_promoted,
)

PROGRAMS = [f'p-{number}' for number in range(4000)]
PLAIN = next(name for name in PROGRAMS if not is_promoted(name))


def level(scale: PriorityScale, rank: Rank, begins: bool, late: bool) -> int:
    """Return the level of a program that is not promoted."""
    return scale.level(Urgency(rank, PLAIN, begins, late))


class RequestPriorityTest(testtools.TestCase):
    """The order and the bounds of levels."""

    def test_levels_never_invert_ranks(self) -> None:
        # Guards against a less urgent request at a lower level than a more urgent one.
        for count in range(1, 30):
            scale = PriorityScale(all_ranks(range(count), [0]))
            ordered = [
                level(scale, rank, begins, late=False)
                for rank in scale.ranks
                for begins in (False, True)
            ]
            late = [level(scale, rank, begins=False, late=True) for rank in scale.ranks]
            self.assertEqual(sorted(ordered + late), ordered + late)
            self.assertTrue(ordered[0] >= 0 and late[-1] < LEVELS)
            self.assertTrue(ordered[-1] < late[0])

    def test_up_to_nine_ranks_stay_apart(self) -> None:
        # Guards against two priorities of a small configuration sharing a level.
        for count in range(1, 10):
            scale = PriorityScale(all_ranks([0], range(count)))
            levels = [
                level(scale, rank, begins=False, late=False) for rank in scale.ranks
            ]
            self.assertTrue(all(before < after for before, after in pairwise(levels)))

    def test_organisation_goes_before_route(self) -> None:
        # Guards against an urgent route of a less urgent organisation going first.
        scale = PriorityScale(all_ranks([0, 1], [0, 2]))
        first = level(scale, (0, 2), begins=True, late=False)
        self.assertTrue(first < level(scale, (1, 0), begins=False, late=False))

    def test_a_share_of_programs_is_promoted(self) -> None:
        # Guards against starvation behind a route whose demand fills all hosts.
        scale = PriorityScale(all_ranks([0], [0, 2]))
        urgent = level(scale, (0, 0), begins=False, late=False)
        for late in (False, True):
            levels = [
                scale.level(Urgency((0, 2), name, False, late)) for name in PROGRAMS
            ]
            self.assertTrue(0.22 < levels.count(urgent) / len(levels) < 0.28)

    def test_unknown_ranks_have_a_level(self) -> None:
        # Guards against a failure for a call whose rank the configuration has dropped.
        scale = PriorityScale(all_ranks([0], [0, 2]))
        for rank in ((-1, 0), (0, 1), (9, 9)):
            for name in PROGRAMS[:20]:
                for late in (False, True):
                    one = scale.level(Urgency(rank, name, False, late))
                    self.assertTrue(0 <= one < LEVELS)

    def test_time_left_runs_from_the_arrival(self) -> None:
        # Guards against a program that waits in the gateway counting as in time.
        self.assertFalse(is_late(None, 10_000))
        self.assertFalse(is_late(500, 499))
        self.assertTrue(is_late(500, 500))
