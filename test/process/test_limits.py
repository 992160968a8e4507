"""Tests of the write limiter, the retry budget and the choice of report targets."""

import random

import testtools

from pollenwalk.connection.fleet_messages import Report
from pollenwalk.process.directory import (
    Directory,
    EntryRecord,
    encode_record,
    record_key,
)
from pollenwalk.process.report_targets import (
    MAX_TARGETS,
    ReportTargets,
    report_interval_ms,
)
from pollenwalk.process.store import ABSENT
from pollenwalk.process.write_limiter import WriteLimiter
from pollenwalk.request.retry import MAX_BALANCE, RetryBudget, backoff_ms
from standin.store import MemoryStore
from test.helper import make_clock, virtual

REGIONS = {'rimouski': 'est', 'gatineau': 'ouest'}


class WriteLimiterTest(testtools.TestCase):
    """Writes to the store within an entry's share of the common budget."""

    @virtual
    async def test_rate_is_an_equal_share(self) -> None:
        clock = make_clock()
        write_limiter = WriteLimiter(clock, 200, lambda: 4)
        for _ in range(150):
            await write_limiter.acquire()
        begun_ms = clock.now_ms()
        for _ in range(100):
            await write_limiter.acquire()
        self.assertAlmostEqual(2000, clock.now_ms() - begun_ms, delta=30)

    @virtual
    async def test_unused_permits_allow_a_burst(self) -> None:
        clock = make_clock()
        write_limiter = WriteLimiter(clock, 200, lambda: 4)
        await clock.sleep_ms(60_000)
        begun_ms = clock.now_ms()
        for _ in range(90):
            await write_limiter.acquire()
        self.assertEqual(begun_ms, clock.now_ms())

    @virtual
    async def test_share_falls_on_failures_and_recovers(self) -> None:
        write_limiter = WriteLimiter(make_clock(), 200, lambda: 4)
        for _ in range(20):
            write_limiter.record_failure()
        self.assertAlmostEqual(2.5, write_limiter.rate)
        for _ in range(60):
            write_limiter.record_answer(5)
        self.assertAlmostEqual(50, write_limiter.rate)
        write_limiter.record_answer(5000)
        self.assertAlmostEqual(25, write_limiter.rate)


class RetryTest(testtools.TestCase):
    """Retries that successes have earned."""

    def test_an_outage_ends_retries(self) -> None:
        budget = RetryBudget()
        allowed = sum(budget.spend() for _ in range(1000))
        self.assertEqual(MAX_BALANCE, allowed)

    def test_successes_earn_a_fifth(self) -> None:
        budget = RetryBudget()
        sum(budget.spend() for _ in range(100))
        for _ in range(20):
            budget.earn()
        self.assertEqual(4, sum(budget.spend() for _ in range(100)))

    def test_pauses_grow_within_bounds(self) -> None:
        rng = random.Random(1)
        for attempt, ceiling in ((1, 50), (2, 100), (4, 400), (20, 2000)):
            pauses = [backoff_ms(attempt, rng) for _ in range(200)]
            self.assertLessEqual(max(pauses), ceiling)
            self.assertGreater(max(pauses), ceiling * 0.9)


class ReportTargetsTest(testtools.TestCase):
    """The choice of the entries that a sidecar reports to, and how often."""

    async def make_directory(self, count: int) -> Directory:
        """Return a directory of `count` entries in one region."""
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
    async def test_all_entries_are_targets_while_few(self) -> None:
        report_targets = ReportTargets(await self.make_directory(5), REGIONS)
        self.assertEqual(
            5, len(report_targets.entries_for(self.report(1), 10).addresses)
        )

    @virtual
    async def test_many_entries_share_the_sidecars(self) -> None:
        report_targets = ReportTargets(await self.make_directory(40), REGIONS)
        sidecars: dict[str, int] = {}
        for number in range(1000):
            chosen = report_targets.entries_for(self.report(number), 100).addresses
            self.assertEqual(MAX_TARGETS, len(chosen))
            for address in chosen:
                sidecars[address] = sidecars.get(address, 0) + 1
        self.assertLess(max(sidecars.values()), 150)
        self.assertGreater(min(sidecars.values()), 60)

    @virtual
    async def test_only_targets_of_a_removed_entry_change(self) -> None:
        directory = await self.make_directory(40)
        report_targets = ReportTargets(directory, REGIONS)
        before = {
            number: set(report_targets.entries_for(self.report(number), 100).addresses)
            for number in range(500)
        }
        gone = directory.records['e7']._replace(successor='e8')
        await directory.store.put(record_key('e7'), encode_record(gone), None)
        await directory.refresh()
        for number, addresses in before.items():
            after = set(report_targets.entries_for(self.report(number), 100).addresses)
            self.assertEqual(addresses - {'e7:1'}, addresses & after)

    def test_interval_grows_with_the_number_of_hosts(self) -> None:
        for hosts, expected in (
            (1, 1000),
            (13, 1000),
            (14, 2000),
            (130, 10_000),
            (9999, 10_000),
        ):
            self.assertEqual(expected, report_interval_ms(hosts), hosts)
