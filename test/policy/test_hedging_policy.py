"""Tests of the budget of second attempts and of the delay before one."""

import random
from fractions import Fraction

import testtools

from pollenwalk.policy.answer_times import (
    MAX_IDLE_MS,
    MAX_ROUTES,
    MAX_SAMPLES,
    MIN_DELAY_MS,
    MIN_SAMPLES,
    AnswerTimes,
)
from pollenwalk.policy.hedge_budget import HedgeBudget

NOW_MS = 5000.0
SENDS = 3000
KEY = ('r', 'up')


def sends_with_hedges(share: float, rng: random.Random) -> list[int]:
    """Return sends in order, 1 for a second attempt, with quiet and eager phases."""
    budget = HedgeBudget(share)
    sends = []
    for number in range(SENDS):
        is_eager = number // 100 % 2 == 0 or rng.random() < 0.02
        sends.append(int(is_eager and budget.take()))
        budget.count_send()
    return sends


def times_of(*samples: float) -> AnswerTimes:
    """Return times with enough samples, `samples` in turn."""
    times = AnswerTimes()
    for number in range(MIN_SAMPLES):
        times.record(KEY, NOW_MS - samples[number % len(samples)], NOW_MS)
    return times


class HedgeBudgetTest(testtools.TestCase):
    """The share of sends that may be second attempts."""

    def test_limit_holds_over_any_window(self) -> None:
        """Guards against second attempts that are saved up and sent at once."""
        for share in (0.01, 0.05, 0.07, 0.2):
            sends = sends_with_hedges(share, random.Random(1))
            exact = Fraction(str(share))
            # The greatest excess over all windows that end at each send.
            excess = Fraction(0)
            for hedge in sends:
                excess = max(excess, Fraction(0)) + hedge - exact
                self.assertTrue(excess <= 1 - exact, (share, excess))

    def test_share_is_usable(self) -> None:
        """Guards against a limit that allows far less than the share."""
        budget = HedgeBudget(0.05)
        hedges = 0
        for _ in range(SENDS):
            hedges += budget.take()
            budget.count_send()
        self.assertEqual(SENDS * 0.05, hedges + 1)

    def test_starts_empty(self) -> None:
        budget = HedgeBudget(0.2)
        for _ in range(4):
            budget.count_send()
            self.assertFalse(budget.take())
        budget.count_send()
        self.assertTrue(budget.take())
        self.assertFalse(budget.take())


class AnswerTimesTest(testtools.TestCase):
    """The delay before a second attempt."""

    def test_too_few_samples(self) -> None:
        times = AnswerTimes()
        for _ in range(MIN_SAMPLES - 1):
            times.record(KEY, NOW_MS - 50, NOW_MS)
        self.assertIsNone(times.delay_ms(KEY, NOW_MS))
        times.record(KEY, NOW_MS - 50, NOW_MS)
        self.assertEqual(100, times.delay_ms(KEY, NOW_MS))
        self.assertIsNone(times.delay_ms((KEY[0], 'other'), NOW_MS))

    def test_one_slow_host_of_ten_leaves_the_delay(self) -> None:
        """Guards against a delay that is the time of the slow host."""
        times = times_of(*[50] * 9, 900)
        self.assertEqual(100, times.delay_ms(KEY, NOW_MS))

    def test_widely_spread_times(self) -> None:
        times = times_of(50, 50, 50, 400)
        self.assertEqual(400, times.delay_ms(KEY, NOW_MS))

    def test_short_answers(self) -> None:
        """Guards against a loop that never sleeps."""
        self.assertEqual(MIN_DELAY_MS, times_of(0).delay_ms(KEY, NOW_MS))

    def test_only_timely_answers_show_an_outlier(self) -> None:
        """Guards against extra work while all hosts are slow."""
        times = times_of(50)
        later_ms = NOW_MS + 500
        times.record(KEY, later_ms - 51, later_ms)
        self.assertFalse(times.is_outlier(KEY, NOW_MS))
        times.record(KEY, later_ms - 50, later_ms)
        self.assertTrue(times.is_outlier(KEY, later_ms - 50))
        self.assertFalse(times.is_outlier(KEY, later_ms - 49))

    def test_memory_is_bounded(self) -> None:
        times = AnswerTimes()
        for number in range(MAX_ROUTES + 5):
            times.record(('r', f'up{number}'), NOW_MS, NOW_MS)
        for _ in range(MAX_SAMPLES + 5):
            times.record(('r', 'up99'), NOW_MS, NOW_MS)
        self.assertEqual(MAX_ROUTES, len(times.routes))
        self.assertEqual(MAX_SAMPLES, len(times.routes['r', 'up99'].samples))

    def test_old_times_are_forgotten(self) -> None:
        times = times_of(50)
        later_ms = NOW_MS + MAX_IDLE_MS + 1
        self.assertIsNone(times.delay_ms(KEY, later_ms))
        times.record(KEY, later_ms - 50, later_ms)
        self.assertIsNone(times.delay_ms(KEY, later_ms))
