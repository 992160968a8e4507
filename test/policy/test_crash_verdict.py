"""When a request is given up because hosts crash on it."""

import testtools

from pollenwalk.policy.crash_verdict import (
    MAX_CRASHES,
    RETRIAL_AFTER_MS,
    CrashTime,
    count_successive,
    is_given_up,
    may_be_to_blame,
)


class CrashVerdictTest(testtools.TestCase):
    """Which crashes count against a request."""

    def test_crashes_one_after_the_other_count(self) -> None:
        crashes = [CrashTime(0, 100), CrashTime(130, 200), CrashTime(400, 500)]
        self.assertEqual(3, count_successive(crashes))
        self.assertEqual(3, count_successive(reversed(crashes)))
        self.assertTrue(is_given_up(3))
        self.assertFalse(is_given_up(2))

    def test_one_more_attempt_at_growing_intervals(self) -> None:
        for crashes, after_ms in enumerate(RETRIAL_AFTER_MS, start=MAX_CRASHES):
            self.assertTrue(is_given_up(crashes, after_ms - 1))
            self.assertFalse(is_given_up(crashes, after_ms))
        most = MAX_CRASHES + len(RETRIAL_AFTER_MS)
        self.assertTrue(is_given_up(most, 10 * max(RETRIAL_AFTER_MS)))

    def test_hosts_that_crash_at_once_count_as_one(self) -> None:
        crashes = [CrashTime(number, 100 + number) for number in range(8)]
        self.assertEqual(1, count_successive(crashes))

    def test_parallel_repeats_count(self) -> None:
        crashes = [CrashTime(0, 200), CrashTime(100, 350), CrashTime(150, 500)]
        self.assertEqual(3, count_successive(crashes))

    def test_no_crash_counts_nothing(self) -> None:
        self.assertEqual(0, count_successive([]))

    def test_call_that_waited_is_not_to_blame(self) -> None:
        self.assertFalse(may_be_to_blame(began=False, other_calls=3))
        self.assertTrue(may_be_to_blame(began=False, other_calls=0))
        self.assertTrue(may_be_to_blame(began=True, other_calls=3))
