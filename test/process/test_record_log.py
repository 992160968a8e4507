"""The log on disk, with ends that a power loss has torn."""

import asyncio
import tempfile
from pathlib import Path

import testtools

from pollenwalk.process.record_log import FRAME_HEADER, RecordLog, read_frames
from test.helper import on_loop


class RecordLogTest(testtools.TestCase):
    """Writing, and reading again."""

    def setUp(self) -> None:
        """Make a folder."""
        super().setUp()
        made = tempfile.TemporaryDirectory()
        self.addCleanup(made.cleanup)
        self.folder = Path(made.name) / 'keeper'

    async def write(self, *records: bytes) -> RecordLog:
        """Open the log and append."""
        log = RecordLog(self.folder)
        list(log.open())
        running = asyncio.ensure_future(log.run())
        await asyncio.gather(*map(log.append, records))
        running.cancel()
        return log

    def read(self) -> list[bytes]:
        """Read what is there."""
        log = RecordLog(self.folder)
        found = list(log.open())
        log.close()
        return found

    @on_loop
    async def test_what_was_synced_is_read_again(self) -> None:
        (await self.write(b'one', b'two')).close()
        (await self.write(b'three')).close()
        self.assertEqual([b'one', b'two', b'three'], self.read())

    @on_loop
    async def test_torn_ends(self) -> None:
        log = await self.write(b'one', b'two')
        log.close()
        path = log.path(log.segment)
        whole = path.read_bytes()
        first = FRAME_HEADER.size + len(b'one')
        for cut, _ in enumerate(whole):
            expected = [b'one'] if cut >= first else []
            self.assertEqual(expected, list(read_frames(whole[:cut])))

    @on_loop
    async def test_a_torn_segment_does_not_hide_the_next(self) -> None:
        log = await self.write(b'one')
        log.close()
        with log.path(log.segment).open('ab') as target:
            target.write(FRAME_HEADER.pack(100, 1) + b'torn')
        (await self.write(b'two')).close()
        self.assertEqual([b'one', b'two'], self.read())

    @on_loop
    async def test_wrong_bytes_end_a_segment(self) -> None:
        log = await self.write(b'one', b'two')
        log.close()
        path = log.path(log.segment)
        path.write_bytes(path.read_bytes().replace(b'two', b'twx'))
        self.assertEqual([b'one'], self.read())

    @on_loop
    async def test_written_anew(self) -> None:
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

    def test_the_mark_of_completeness(self) -> None:
        log = RecordLog(self.folder)
        list(log.open())
        self.assertFalse(log.complete)
        log.mark_complete()
        log.close()
        again = RecordLog(self.folder)
        list(again.open())
        again.close()
        self.assertTrue(again.complete)
