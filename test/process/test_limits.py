"""Tests of limits: paced writes, retry budgets and subsets of entries."""

import random

import testtools

from pollenwalk.connection.wire import Report
from pollenwalk.process.directory import (
    Directory,
    EntryRecord,
    encode_record,
    record_key,
)
from pollenwalk.process.pacing import Pace
from pollenwalk.process.store import ABSENT
from pollenwalk.process.subsets import TARGETS, Subsets, interval
from pollenwalk.request.retry import MAX_SAVED_RETRIES, RetryBudget, pause_ms
from standin.store import MemoryStore
from test.helper import make_clock, virtual

REGIONS = {'rimouski': 'est', 'gatineau': 'ouest'}


class PaceTest(testtools.TestCase):
    """Writes to the store stay within the process's share of the fleet's rate."""

    @virtual
    async def test_rate_is_the_share_of_one_process(self) -> None:
        clock = make_clock()
        pace = Pace(clock, 200, lambda: 4)
        for _ in range(150):
            await pace.turn()
        begun_ms = clock.now_ms()
        for _ in range(100):
            await pace.turn()
        self.assertAlmostEqual(2000, clock.now_ms() - begun_ms, delta=30)

    @virtual
    async def test_saved_turns_allow_a_burst(self) -> None:
        clock = make_clock()
        pace = Pace(clock, 200, lambda: 4)
        await clock.sleep_ms(60_000)
        begun_ms = clock.now_ms()
        for _ in range(90):
            await pace.turn()
        self.assertEqual(begun_ms, clock.now_ms())

    @virtual
    async def test_rate_falls_on_refusals_and_recovers(self) -> None:
        pace = Pace(make_clock(), 200, lambda: 4)
        for _ in range(20):
            pace.refused()
        self.assertAlmostEqual(2.5, pace.rate)
        for _ in range(60):
            pace.answered(5)
        self.assertAlmostEqual(50, pace.rate)
        pace.answered(5000)
        self.assertAlmostEqual(25, pace.rate)


class RetryTest(testtools.TestCase):
    """Retries are limited by earlier successes."""

    def test_retries_end_without_successes(self) -> None:
        budget = RetryBudget()
        allowed = sum(budget.spend() for _ in range(1000))
        self.assertEqual(MAX_SAVED_RETRIES, allowed)

    def test_one_retry_for_five_successes(self) -> None:
        budget = RetryBudget()
        sum(budget.spend() for _ in range(100))
        for _ in range(20):
            budget.earn()
        self.assertEqual(4, sum(budget.spend() for _ in range(100)))

    def test_pauses_grow_within_bounds(self) -> None:
        rng = random.Random(1)
        for attempt, ceiling in ((1, 50), (2, 100), (4, 400), (20, 2000)):
            pauses = [pause_ms(attempt, rng) for _ in range(200)]
            self.assertLessEqual(max(pauses), ceiling)
            self.assertGreater(max(pauses), ceiling * 0.9)


class SubsetsTest(testtools.TestCase):
    """The entries to which a sidecar reports."""

    async def make_directory(self, count: int) -> Directory:
        """Return a directory with `count` entries in one region."""
        directory = Directory(MemoryStore(make_clock()), make_clock())
        for number in range(count):
            record = EntryRecord(f'e{number}', f'e{number}:1', 'rimouski', 'est', 0)
            await directory.store.put(
                record_key(record.incarnation),
                encode_record(record),
                ABSENT,
            )
        await directory.refresh()
        return directory

    def report(self, number: int) -> Report:
        """Return a report of one sidecar."""
        return Report(
            f's{number}',
            *('boot', 'advisory', 's:1', 'rimouski'),
            *(1, 0, 0, 8),
            leaving=False,
            version=0,
            digest='',
        )

    @virtual
    async def test_few_entries_get_all_reports(self) -> None:
        subsets = Subsets(await self.make_directory(5), REGIONS)
        self.assertEqual(5, len(subsets.entries(self.report(1), 10).addresses))

    @virtual
    async def test_reports_are_spread_over_many_entries(self) -> None:
        subsets = Subsets(await self.make_directory(40), REGIONS)
        reports_by_entry: dict[str, int] = {}
        for number in range(1000):
            chosen = subsets.entries(self.report(number), 100).addresses
            self.assertEqual(TARGETS, len(chosen))
            for address in chosen:
                reports_by_entry[address] = reports_by_entry.get(address, 0) + 1
        self.assertLess(max(reports_by_entry.values()), 150)
        self.assertGreater(min(reports_by_entry.values()), 60)

    @virtual
    async def test_other_targets_stay_when_an_entry_goes(self) -> None:
        directory = await self.make_directory(40)
        subsets = Subsets(directory, REGIONS)
        before = {
            number: set(subsets.entries(self.report(number), 100).addresses)
            for number in range(500)
        }
        gone = directory.records['e7']._replace(successor='e8')
        await directory.store.put(record_key('e7'), encode_record(gone), None)
        await directory.refresh()
        for number, addresses in before.items():
            after = set(subsets.entries(self.report(number), 100).addresses)
            self.assertEqual(addresses - {'e7:1'}, addresses & after)

    def test_interval_grows_with_the_number_of_hosts(self) -> None:
        for hosts, expected in (
            (1, 1000),
            (13, 1000),
            (14, 2000),
            (130, 10_000),
            (9999, 10_000),
        ):
            self.assertEqual(expected, interval(hosts), hosts)
