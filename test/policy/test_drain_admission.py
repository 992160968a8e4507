"""Which requests are taken during a planned stop."""

import testtools

from pollenwalk.policy.drain_admission import LONGEST_RUN_FACTOR, may_finish

LEFT_MS = 1000.0


class DrainAdmissionTest(testtools.TestCase):
    """A request is taken only if it ends before the gateway stops."""

    def test_requests_that_end_in_time(self) -> None:
        cases = (
            (LEFT_MS, LEFT_MS * 10, True),
            (LEFT_MS + 1, LEFT_MS / LONGEST_RUN_FACTOR, True),
            (LEFT_MS + 1, LEFT_MS / LONGEST_RUN_FACTOR + 1, False),
            (LEFT_MS * 6, LEFT_MS, False),
        )
        for allowed_ms, expected_ms, taken in cases:
            self.assertEqual(
                taken, may_finish(allowed_ms, expected_ms, LEFT_MS), allowed_ms
            )

    def test_nothing_is_taken_at_the_end(self) -> None:
        self.assertFalse(may_finish(100, 20, 0))
        self.assertFalse(may_finish(100, 20, -50))
