"""Tests of what is expected of a host that says how slow it is now."""

import random

import testtools

from pollenwalk.policy.host_choice import CallCost, Candidate, EarliestFinish
from pollenwalk.policy.host_pace import (
    HALF_LIFE_MS,
    MAX_RUN_EXCESS,
    ReportedPace,
    expected_slowness,
    run_excess,
)

REPORT = ReportedPace(5, 1000)


class HostPaceTest(testtools.TestCase):
    """A report, its decay and the choice that rests on it."""

    def test_report_fades_to_what_was_observed(self) -> None:
        """A pace that changes many times a second must not be held against a host."""
        for age, expected in ((0, 5), (HALF_LIFE_MS, 3), (60_000, 1)):
            slowness = expected_slowness(REPORT, 1000 + age, 1, 0)
            self.assertTrue(abs(slowness - expected) < 0.02, slowness)
        self.assertEqual(2, expected_slowness(REPORT, 61_000, 1, 1.25))

    def test_report_matters_less_for_a_long_run(self) -> None:
        """A stream of seconds outlasts the slow time that a report tells of."""
        slowness = [expected_slowness(REPORT, 1000, run, 0) for run in (1, 100, 3000)]
        self.assertEqual(sorted(slowness, reverse=True), slowness)
        self.assertTrue(slowness[2] < 1.7, slowness)

    def test_chance_differences_of_runs_do_not_count(self) -> None:
        self.assertEqual(1, expected_slowness(REPORT, 61_000, 1, 0.2))
        self.assertEqual(MAX_RUN_EXCESS, run_excess(1e9, 0))

    def test_slow_host_gets_less_work_but_some(self) -> None:
        """A burst of 40 calls on a usual host and one that is three times as slow."""
        choice = EarliestFinish(random.Random(1))
        loads = {'usual': 0, 'slow': 0}
        for _ in range(40):
            hosts = [
                Candidate(name, 8, load, True, True, 0, 0, False, 0, slowness)
                for (name, load), slowness in zip(loads.items(), (1, 3), strict=True)
            ]
            loads[choice.choose(hosts, CallCost(100)).host] += 1
        self.assertTrue(4 <= loads['slow'] < loads['usual'] / 2, loads)
