"""Tests of the log on disk, with segments torn by a power loss."""

import asyncio
import tempfile
from pathlib import Path

import testtools

from pollenwalk.process.record_log import SEGMENT_BYTES, RecordLog
from pollenwalk.process.segment_files import FRAME_HEADER, Location, read_frames
from test.helper import on_loop


class RecordLogTest(testtools.TestCase):
    """Records are written, and read again by the next start."""

    def setUp(self) -> None:
        """Choose a folder that does not exist yet."""
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.folder = Path(directory.name) / 'keeper'

    async def write(self, *records: bytes) -> RecordLog:
        """Open the log, append records and return it, still open."""
        log = RecordLog(self.folder)
        list(log.open())
        running = asyncio.ensure_future(log.run())
        await asyncio.gather(*map(log.append, records))
        running.cancel()
        return log

    def read(self) -> list[bytes]:
        """Open the log, return all its records and close it."""
        log = RecordLog(self.folder)
        records = [stored.record for stored in log.open()]
        log.close()
        return records

    @on_loop
    async def test_synced_records_are_read_again(self) -> None:
        (await self.write(b'one', b'two')).close()
        (await self.write(b'three')).close()
        self.assertEqual([b'one', b'two', b'three'], self.read())

    @on_loop
    async def test_torn_segment_ends_before_the_torn_record(self) -> None:
        log = await self.write(b'one', b'two')
        log.close()
        path = log.files.path(log.segment)
        payload = path.read_bytes()
        first_size = FRAME_HEADER.size + len(b'one')
        for cut, _ in enumerate(payload):
            path.write_bytes(payload[:cut])
            expected = [b'one'] if cut >= first_size else []
            with path.open('rb') as source:
                records = [stored.record for stored in read_frames(source, 1)]
            self.assertEqual(expected, records)

    @on_loop
    async def test_torn_segment_does_not_hide_the_next_one(self) -> None:
        log = await self.write(b'one')
        log.close()
        with log.files.path(log.segment).open('ab') as target:
            target.write(FRAME_HEADER.pack(100, 1) + b'torn')
        (await self.write(b'two')).close()
        self.assertEqual([b'one', b'two'], self.read())

    @on_loop
    async def test_segment_ends_before_a_damaged_record(self) -> None:
        log = await self.write(b'one', b'two')
        log.close()
        path = log.files.path(log.segment)
        path.write_bytes(path.read_bytes().replace(b'two', b'twx'))
        self.assertEqual([b'one'], self.read())

    @on_loop
    async def test_deleted_segment_takes_only_its_records(self) -> None:
        log = RecordLog(self.folder)
        list(log.open())
        running = asyncio.ensure_future(log.run())
        old = await log.append(b'old' * SEGMENT_BYTES)
        new = await log.append(b'new')
        self.assertEqual([old.segment], list(log.closed_segments()))
        self.assertNotEqual(old.segment, new.segment)
        await log.delete_segment(old.segment)
        self.assertEqual([None, b'new'], await log.read_each([old, new]))
        running.cancel()
        log.close()
        self.assertEqual([b'new'], self.read())

    @on_loop
    async def test_records_are_read_where_they_are(self) -> None:
        # Guards against a wrong place after a batch, a new segment or a restart.
        records = [bytes([number]) * (number + 1) * 9000 for number in range(100)]
        log = await self.write()
        running = asyncio.ensure_future(log.run())
        locations: list[Location] = []
        for start in range(0, len(records), 7):
            appended = map(log.append, records[start : start + 7])
            locations.extend(await asyncio.gather(*appended))
        self.assertTrue(len({one.segment for one in locations}) > 1)
        self.assertEqual(records, await log.read_each(locations))
        running.cancel()
        log.close()
        again = RecordLog(self.folder)
        self.assertEqual(
            list(zip(locations, records, strict=True)), list(map(tuple, again.open()))
        )
        again.close()

    @on_loop
    async def test_damaged_record_is_noticed_when_it_is_read(self) -> None:
        # Guards against a checksum that is compared at the start only.
        log = await self.write(b'one', b'two', b'three')
        path = log.files.path(log.segment)
        sizes = [FRAME_HEADER.size + len(one) for one in (b'one', b'two', b'three')]
        offsets = (0, sizes[0], sizes[0] + sizes[1])
        path.write_bytes(path.read_bytes().replace(b'two', b'twx'))
        places = [
            Location(log.segment, offset, size)
            for offset, size in zip(offsets, sizes, strict=True)
        ]
        self.assertEqual([b'one', None, b'three'], await log.read_each(places))
        log.close()

    @on_loop
    async def test_batches_of_a_segment_are_bounded(self) -> None:
        log = await self.write(*(b'x' * 1000 for _ in range(50)))
        offset = 0
        count = 0
        while batch := await log.read_batch(log.segment, offset, 5000):
            self.assertTrue(len(batch) <= 5)
            count += len(batch)
            offset = batch[-1].location.end
        self.assertEqual(50, count)
        log.close()

    def test_completeness_survives_a_restart(self) -> None:
        log = RecordLog(self.folder)
        list(log.open())
        self.assertFalse(log.complete)
        log.mark_complete()
        log.close()
        reopened = RecordLog(self.folder)
        list(reopened.open())
        reopened.close()
        self.assertTrue(reopened.complete)
