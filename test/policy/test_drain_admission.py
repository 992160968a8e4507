"""Which requests are taken during a planned stop."""

import testtools

from pollenwalk.policy.drain_admission import (
    BALANCER_REMOVAL_MS,
    LONGEST_RUN_FACTOR,
    PlannedStop,
)

LEFT_MS = 1000.0
# Just after the stop began, and once callers don't come back.
EARLY = PlannedStop(0, LEFT_MS)
LATE = PlannedStop(-BALANCER_REMOVAL_MS, LEFT_MS)


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
                taken, EARLY.may_finish(0, allowed_ms, expected_ms), allowed_ms
            )

    def test_late_request_is_taken_only_if_it_must_end(self) -> None:
        # Guards against a stream that is cut though another gateway could have served it.
        self.assertTrue(LATE.may_finish(0, LEFT_MS, LEFT_MS * 10))
        self.assertFalse(LATE.may_finish(0, LEFT_MS + 1, 1))

    def test_nothing_is_taken_at_the_end(self) -> None:
        for stop in (EARLY, LATE):
            self.assertFalse(stop.may_finish(LEFT_MS, 100, 20))
            self.assertFalse(stop.may_finish(LEFT_MS + 50, 100, 20))
