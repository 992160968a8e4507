"""Some seeds of the search for turns that are lost before their retention has passed."""

import testtools

from test.process.retention_search import play_seed

# The code that kept each turn by its own retention fails with the first three, the code
# without raises with the last.
SEEDS = (2, 11, 12, 8)


class RetentionSearchTest(testtools.TestCase):
    """Routes, raises, restarts, cuts and replacements in random orders."""

    def test_turns_are_found_until_their_retention_ends(self) -> None:
        failed = [report for report in map(play_seed, SEEDS) if report]
        self.assertEqual([], failed)
