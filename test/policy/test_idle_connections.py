"""Shares of the idle connections to a host, and the number of gateways."""

import math

import testtools

from pollenwalk.policy.idle_connections import (
    ASSUMED_GATEWAYS,
    SETTLE_MS,
    GatewayCount,
    idle_limit,
)

SECOND_MS = 1000.0


def count_after(reports: dict[float, int]) -> int:
    """Return the number of gateways after reports at some times."""
    count = GatewayCount()
    for at_ms, reported in reports.items():
        count.record(reported, at_ms)
    return count.number


def every_second(since_s: int, until_s: int, reported: int) -> dict[float, int]:
    """Return a report for each second of a period."""
    return {at_s * SECOND_MS: reported for at_s in range(since_s, until_s)}


class IdleLimitTest(testtools.TestCase):
    """Guards against idle connections that leave no room for running requests."""

    def test_shares_fit(self) -> None:
        for connections in range(1, 300):
            for gateways in (1, 2, 7, 26, 370):
                limit = idle_limit(connections, 8, gateways)
                self.assertTrue(limit >= 1)
                if limit > 1:
                    self.assertTrue(limit * gateways + 8 <= connections)

    def test_steady_use_keeps_its_connections(self) -> None:
        self.assertTrue(idle_limit(250, 8, 26) >= 8)

    def test_unknown_maximum(self) -> None:
        self.assertEqual(math.inf, idle_limit(0, 8, 26))


class GatewayCountTest(testtools.TestCase):
    """Guards against a number that is too low, with which shares add up to too much."""

    def test_more_gateways_count_at_once(self) -> None:
        self.assertEqual(370, count_after({0: 370}))

    def test_fewer_count_once_settled(self) -> None:
        settled_s = int(SETTLE_MS / SECOND_MS)
        self.assertEqual(ASSUMED_GATEWAYS, count_after(every_second(0, settled_s, 4)))
        self.assertEqual(4, count_after(every_second(0, settled_s + 1, 4)))

    def test_keeper_that_has_just_started(self) -> None:
        reports = every_second(0, 10, 24)
        reports.update(every_second(10, 12, 1))
        reports.update(every_second(12, 30, 23))
        self.assertEqual(23, count_after(reports))

    def test_last_number_stays_without_reports(self) -> None:
        reports = every_second(0, 10, 24)
        reports.update({11 * SECOND_MS: 20, 60 * SECOND_MS: 1})
        self.assertEqual(24, count_after(reports))
