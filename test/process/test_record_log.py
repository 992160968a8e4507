"""Tests of the log on disk, with segments torn by a power loss."""

import asyncio
import tempfile
from pathlib import Path

import testtools

from pollenwalk.process.record_log import FRAME_HEADER, RecordLog, read_frames
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
        records = list(log.open())
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
        path = log.path(log.segment)
        payload = path.read_bytes()
        first_size = FRAME_HEADER.size + len(b'one')
        for cut, _ in enumerate(payload):
            expected = [b'one'] if cut >= first_size else []
            self.assertEqual(expected, list(read_frames(payload[:cut])))

    @on_loop
    async def test_torn_segment_does_not_hide_the_next_one(self) -> None:
        log = await self.write(b'one')
        log.close()
        with log.path(log.segment).open('ab') as target:
            target.write(FRAME_HEADER.pack(100, 1) + b'torn')
        (await self.write(b'two')).close()
        self.assertEqual([b'one', b'two'], self.read())

    @on_loop
    async def test_segment_ends_before_a_damaged_record(self) -> None:
        log = await self.write(b'one', b'two')
        log.close()
        path = log.path(log.segment)
        path.write_bytes(path.read_bytes().replace(b'two', b'twx'))
        self.assertEqual([b'one'], self.read())

    @on_loop
    async def test_compaction_deletes_older_records(self) -> None:
        log = RecordLog(self.folder)
        list(log.open())
        running = asyncio.ensure_future(log.run())
        await log.append(b'old')
        await log.start_compaction()
        await log.append(b'new')
        await log.finish_compaction()
        running.cancel()
        log.close()
        self.assertEqual([b'new'], self.read())

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
