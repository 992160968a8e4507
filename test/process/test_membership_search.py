"""Some seeds of the search for states from which keepers don't come back."""

import testtools

from test.process.membership_search import play_seed

# The first six stop the keepers for good if a lost one is removed only after its
# successor has been listed beside it.
SEEDS = (5, 8, 9, 16, 17, 21, 1, 2, 3, 4, 6, 7)


class MembershipSearchTest(testtools.TestCase):
    """Joins, retirements and losses in random orders."""

    def test_keepers_come_back_from_each_order(self) -> None:
        failed = [report for report in map(play_seed, SEEDS) if report]
        self.assertEqual([], failed)
