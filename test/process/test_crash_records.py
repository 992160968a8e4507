"""What processes know of requests on which hosts crash."""

import random

import testtools

from pollenwalk.connection.crash_messages import CrashNote, CrashReport
from pollenwalk.policy.crash_verdict import MAX_CRASHES
from pollenwalk.process.clock import Clock
from pollenwalk.process.crash_records import (
    MAX_RECORDS,
    RETENTION_MS,
    CrashRecords,
)
from pollenwalk.process.keeper_state import KeeperState
from standin.memory_disk import MemoryDisk
from test.helper import make_clock, virtual

COMPACTED_MS = 60_000.0
# Hosts and times of their crashes on a clock that has started anew since.
LATER = (('a', 100_000.0), ('b', 101_000.0), ('c', 102_000.0))


def report(request: str, number: int, cleared: bool = False) -> CrashReport:
    """Return a report of the n-th of several crashes, each a second after the last."""
    age_ms = 60_000.0 - 1000 * number
    return CrashReport(request, f'h{number}/0', cleared, age_ms, age_ms + 500)


class CrashRecordsTest(testtools.TestCase):
    """Reports in any order, how often they come, and how many there may be."""

    @virtual
    async def test_order_and_repeats_of_reports_change_nothing(self) -> None:
        reports = [report('r', number) for number in range(MAX_CRASHES)]
        reports = [*reports, report('r', 0, cleared=True)]
        for seed in range(20):
            rng = random.Random(seed)
            records = CrashRecords(make_clock())
            for one in rng.choices(reports, k=50) + reports:
                records.learn(one, 'message')
            self.assertEqual(MAX_CRASHES - 1, records.crashes('r'), seed)

    @virtual
    async def test_complete_run_clears_and_later_crashes_count(self) -> None:
        records = CrashRecords(make_clock())
        for number in range(2):
            records.learn(report('r', number), 'message')
        changed = records.clear('r')
        self.assertEqual([True, True], [one.cleared for one in changed])
        self.assertEqual(0, records.crashes('r'))
        records.learn(report('r', 2), 'message')
        self.assertEqual(1, records.crashes('r'))

    @virtual
    async def test_crashes_of_a_host_that_states_no_start(self) -> None:
        clock = make_clock()
        records = CrashRecords(clock)
        for number in range(1, MAX_CRASHES + 1):
            await clock.sleep_ms(1000)
            for sent_age_ms in (500, 400):
                name = records.name_crash('r', 'h/0', sent_age_ms)
                self.assertEqual(f'h/0/{number}', name)
                records.learn(CrashReport('r', name, False, 0, sent_age_ms), 'test')
        self.assertEqual(MAX_CRASHES, records.crashes('r'))

    @virtual
    async def test_only_news_is_told(self) -> None:
        records = CrashRecords(make_clock())
        records.learn(report('r', 0), 'message')
        revision = records.revision
        self.assertFalse(records.learn(report('r', 0), 'message'))
        self.assertEqual((), records.news_since(revision))
        records.learn(report('q', 0), 'message')
        told = records.news_since(revision)
        self.assertEqual(['q'], [one.request for one in told])

    @virtual
    async def test_flood_of_requests_is_bounded(self) -> None:
        records = CrashRecords(make_clock())
        for number in range(MAX_CRASHES):
            records.learn(report('deadly', number), 'message')
        for number in range(2 * MAX_RECORDS):
            records.learn(report(f'r{number}', 0), 'message')
        self.assertTrue(records.size <= MAX_RECORDS)
        self.assertEqual(MAX_CRASHES, records.crashes('deadly'))

    @virtual
    async def test_crashes_are_forgotten(self) -> None:
        clock = make_clock()
        records = CrashRecords(clock)
        records.learn(report('r', 0), 'message')
        await clock.sleep_ms(RETENTION_MS)
        self.assertEqual(0, records.crashes('r'))
        records.remove_old()
        self.assertEqual((0, {}), (records.size, records.by_request))


class StoredCrashesTest(testtools.TestCase):
    """Crashes that a keeper has on disk."""

    async def start(self, clock: Clock, disk: MemoryDisk) -> KeeperState:
        """Start a keeper's state with what is on a disk."""
        disk.clock = clock
        state = KeeperState(disk, clock)
        state.open(True)
        return state

    async def crash_thrice(self, clock: Clock, state: KeeperState) -> None:
        """Let three hosts crash on a request, one after the other."""
        for host in 'abc':
            report = CrashReport('digest', host, False, 0, 10)
            state.crashes.learn(report, 'test')
            await state.store_crash(state.crashes.note(report))
            await clock.sleep_ms(1000)

    @virtual
    async def test_crashes_survive_a_restart(self) -> None:
        clock = make_clock()
        disk = MemoryDisk(clock)
        await self.crash_thrice(clock, await self.start(clock, disk))
        self.assertEqual(3, (await self.start(clock, disk)).crashes.crashes('digest'))

    @virtual
    async def test_crashes_survive_a_compaction(self) -> None:
        clock = make_clock()
        disk = MemoryDisk(clock)
        state = await self.start(clock, disk)
        await self.crash_thrice(clock, state)
        disk.begin_segment()
        await clock.sleep_ms(COMPACTED_MS)
        await state.compact()
        self.assertEqual({}, disk.closed_segments())
        self.assertEqual(3, (await self.start(clock, disk)).crashes.crashes('digest'))

    @virtual
    async def test_crashes_count_if_the_clock_starts_anew(self) -> None:
        clock = make_clock()
        await clock.sleep_ms(1000)
        records = CrashRecords(clock)
        records.restore(
            [CrashNote('digest', host, False, at_ms, at_ms) for host, at_ms in LATER]
        )
        self.assertEqual(3, records.crashes('digest'))
        self.assertTrue(records.had_crash_lately)

    @virtual
    async def test_cleared_crashes_stay_cleared(self) -> None:
        clock = make_clock()
        disk = MemoryDisk(clock)
        state = await self.start(clock, disk)
        await self.crash_thrice(clock, state)
        for report in state.crashes.clear('digest'):
            await state.store_crash(state.crashes.note(report))
        self.assertEqual(0, (await self.start(clock, disk)).crashes.crashes('digest'))
