"""Tests of what a process knows of limits: late, repeated and old reports."""

import testtools

from pollenwalk.connection.limit_messages import HostStart, LimitNews
from pollenwalk.process.host_limits import (
    ENDED_RETENTION_MS,
    LIMIT_RETENTION_MS,
    HostLimits,
)
from standin.experiments.limits import SetClock
from test.helper import logged

HOST = HostStart('i-1', 'a', 1, 'v1')


class HostLimitsTest(testtools.TestCase):
    """Limits as reports on them arrive."""

    def setUp(self) -> None:
        """Create an empty table."""
        super().setUp()
        self.clock = SetClock()
        self.limits = HostLimits(self.clock)

    def learn(self, per_second: float | None, age_ms: float = 0) -> bool:
        """Report a limit whose answer has an age."""
        return self.limits.learn(LimitNews(HOST, per_second, age_ms), 'test')

    def test_later_answer_holds(self) -> None:
        self.assertTrue(self.learn(3, 100))
        self.assertTrue(self.learn(2, 50))
        self.assertFalse(self.learn(3, 70))
        self.assertEqual(2, self.limits.limit_of(HOST))

    def test_end_of_a_limit_outlasts_late_reports(self) -> None:
        self.learn(3, 100)
        self.assertTrue(self.learn(None, 50))
        self.assertFalse(self.learn(3, 60))
        self.assertIsNone(self.limits.limit_of(HOST))

    def test_host_without_a_limit_is_not_remembered(self) -> None:
        self.assertFalse(self.learn(None))
        self.assertEqual({}, self.limits.by_start)

    def test_same_limit_again_is_no_change(self) -> None:
        self.learn(3, 100)
        self.assertFalse(self.learn(3))
        self.assertEqual(1, self.limits.revision)

    def test_another_start_of_the_host_has_no_limit(self) -> None:
        self.learn(3)
        self.assertIsNone(self.limits.limit_of(HOST._replace(started_ms=2)))
        self.assertIsNone(self.limits.limit_of(HOST._replace(software_version='v2')))

    def test_changes_since_a_revision(self) -> None:
        self.learn(3, 100)
        revision = self.limits.revision
        other = HOST._replace(id='i-2')
        self.limits.learn(LimitNews(other, 5, 0), 'test')
        changed = [news.host for news in self.limits.news_since(revision)]
        self.assertEqual([other], changed)

    def test_old_limits_are_forgotten(self) -> None:
        for per_second, retention_ms in (
            (3, LIMIT_RETENTION_MS),
            (None, ENDED_RETENTION_MS),
        ):
            self.clock.time_ms += 1
            self.learn(4)
            self.clock.time_ms += 1
            self.learn(per_second)
            self.clock.time_ms += retention_ms
            self.limits.remove_old()
            self.assertIn(HOST, self.limits.by_start)
            self.clock.time_ms += 1
            self.limits.remove_old()
            self.assertNotIn(HOST, self.limits.by_start)

    def test_sum_of_limits(self) -> None:
        self.learn(3)
        self.limits.learn(LimitNews(HOST._replace(id='i-2'), 0.5, 0), 'test')
        self.assertEqual(3.5, self.limits.total_per_second())

    def test_log_of_a_change(self) -> None:
        with logged('host_limit') as lines:
            self.learn(3, 100)
            self.learn(3, 90)
            self.learn(2, 80)
        self.assertEqual([None, 3], [line['former'] for line in lines])
        self.assertEqual([3, 2], [line['limit'] for line in lines])
