"""Tests of the spacing of permits and of the returns of refused callers."""

import testtools

from pollenwalk.policy.permit_schedule import (
    MAX_CREDIT_MS,
    MIN_PER_SECOND,
    PermitSchedule,
)
from pollenwalk.policy.program_admission import max_permit_wait_ms, max_program_wait_ms
from pollenwalk.policy.return_times import MAX_RETRY_AFTER_MS, ReturnTimes

NOW_MS = 1000.0


class PermitScheduleTest(testtools.TestCase):
    """Permits at a rate."""

    def test_starts_empty(self) -> None:
        schedule = PermitSchedule(NOW_MS)
        self.assertIsNone(schedule.take(4, NOW_MS, 249))
        self.assertEqual(250, schedule.take(4, NOW_MS, 250))

    def test_permits_are_evenly_spaced(self) -> None:
        schedule = PermitSchedule(NOW_MS)
        waits = [schedule.take(4, NOW_MS, 2000) for _ in range(3)]
        self.assertEqual([250, 500, 750], waits)

    def test_refused_permit_is_not_used_up(self) -> None:
        schedule = PermitSchedule(NOW_MS)
        for _ in range(5):
            self.assertIsNone(schedule.take(4, NOW_MS, 0))
        self.assertEqual(250, schedule.wait_ms(4, NOW_MS))

    def test_idle_time_saves_one_permit(self) -> None:
        schedule = PermitSchedule(NOW_MS)
        later_ms = NOW_MS + 60_000
        self.assertEqual(0, schedule.take(2, later_ms, 0))
        self.assertIsNone(schedule.take(2, later_ms, 0))

    def test_credit_is_bounded_at_high_rates(self) -> None:
        schedule = PermitSchedule(NOW_MS)
        later_ms = NOW_MS + 60_000
        rate = 1000
        taken = 0
        while schedule.take(rate, later_ms, 0) is not None:
            taken += 1
        self.assertEqual(MAX_CREDIT_MS + 1, taken)

    def test_higher_rate_counts_at_once(self) -> None:
        schedule = PermitSchedule(NOW_MS)
        self.assertEqual(10_000, schedule.wait_ms(0.1, NOW_MS))
        self.assertEqual(100, schedule.wait_ms(10, NOW_MS))

    def test_host_that_takes_nothing_is_asked_at_times(self) -> None:
        schedule = PermitSchedule(NOW_MS)
        self.assertEqual(1000 / MIN_PER_SECOND, schedule.wait_ms(0, NOW_MS))


class PermitWaitTest(testtools.TestCase):
    """How long calls may wait for a permit."""

    def test_begun_programs_may_wait_longer(self) -> None:
        for priority in range(4):
            begun_ms = max_permit_wait_ms(3000, priority)
            self.assertTrue(begun_ms > max_program_wait_ms(300, priority), priority)

    def test_urgent_calls_may_wait_longer(self) -> None:
        waits = [max_permit_wait_ms(3000, priority) for priority in range(4)]
        self.assertEqual(sorted(waits, reverse=True), waits)
        self.assertEqual(len(waits), len(set(waits)))

    def test_wait_leaves_time_for_the_run(self) -> None:
        self.assertTrue(max_permit_wait_ms(1000, 0) <= 500)
        self.assertTrue(max_permit_wait_ms(1000, 100) > 0)
        self.assertEqual(0, max_permit_wait_ms(-5, 0))


class ReturnTimesTest(testtools.TestCase):
    """Retry-After of callers that found no permit."""

    def test_returns_are_spread_at_the_rate(self) -> None:
        times = ReturnTimes()
        returns = [times.retry_after_ms('up', NOW_MS + 100, 4, NOW_MS) for _ in 'abc']
        self.assertEqual([100, 350, 600], returns)

    def test_upstreams_are_independent(self) -> None:
        times = ReturnTimes()
        for upstream in ('one', 'other'):
            self.assertEqual(0, times.retry_after_ms(upstream, NOW_MS, 4, NOW_MS))

    def test_longest(self) -> None:
        times = ReturnTimes()
        returns = [times.retry_after_ms('up', NOW_MS, 0, NOW_MS) for _ in range(20)]
        self.assertEqual(MAX_RETRY_AFTER_MS, max(returns))
