"""What a keeper does when its disk is full."""

import asyncio
import errno
import os
import tempfile
from pathlib import Path

import testtools

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process import record_log
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.keeper_state import KeeperState
from pollenwalk.process.record_log import SEGMENT_BYTES, RecordLog
from pollenwalk.program.turns import TurnRecord
from test.helper import on_loop

RETENTION_MS = 60_000.0
COMPACTED_S = 10.0


class BoundedDisk:
    """Replaces the writing of a log: takes a number of bytes, and no more.

    Attributes:
        room_bytes: how many more it takes.
    """

    def __init__(self, room_bytes: int) -> None:
        """Create a disk with some room."""
        self.room_bytes = room_bytes

    def write_all(self, descriptor: int, payload: bytes) -> None:
        """Write as much as there is room for.

        Raises:
            OSError: that is not all.
        """
        written = os.write(descriptor, payload[: self.room_bytes])
        self.room_bytes -= written
        if written < len(payload):
            raise OSError(errno.ENOSPC, 'no space left on device')


def make_turn(turn: str, size: int = 1000) -> TurnRecord:
    """Return a turn with an input of some size."""
    return TurnRecord(turn, 'p', '', b'x' * size, b'', 5, RETENTION_MS, [])


class FullDiskTest(testtools.TestCase):
    """What fits no more is refused; what was acknowledged stays."""

    def setUp(self) -> None:
        """Choose a folder, and a disk without room."""
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.folder = Path(directory.name) / 'keeper'
        self.disk = BoundedDisk(SEGMENT_BYTES)
        self.patch(record_log, 'write_all', self.disk.write_all)

    async def open(self) -> KeeperState:
        """Open the folder and let its log be written."""
        state = KeeperState(RecordLog(self.folder), LoopClock())
        state.open(True)
        self.writing = asyncio.ensure_future(state.log.run())
        return state

    async def outcome_of(self, state: KeeperState, record: TurnRecord) -> str:
        """Store a turn; return `stored`, or the code of the refusal."""
        storing = asyncio.ensure_future(state.store_record(record))
        await asyncio.wait({storing, self.writing}, return_when=asyncio.FIRST_COMPLETED)
        if self.writing.done():
            return f'the process ends: {self.writing.exception()}'
        try:
            await storing
        except Refusal as refusal:
            return str(refusal.code)
        return 'stored'

    @on_loop
    async def test_turn_without_room_is_refused(self) -> None:
        # Guards against a keeper that ends, start after start, when its disk is full.
        state = await self.open()
        self.assertEqual('stored', await self.outcome_of(state, make_turn('t1')))
        self.disk.room_bytes = 300
        refused = await self.outcome_of(state, make_turn('t2'))
        self.assertEqual(RefusalCode.STORAGE_FULL, refused)
        self.assertEqual(['t1'], list(state.turns))
        self.assertEqual(0, state.log.pending_bytes)
        self.disk.room_bytes = SEGMENT_BYTES
        self.assertEqual('stored', await self.outcome_of(state, make_turn('t2')))
        self.writing.cancel()
        state.log.close()
        again = await self.open()
        self.assertEqual(['t1', 't2'], list(again.turns))
        self.assertEqual(1, len((await again.find_chain('t2')).turns))
        self.writing.cancel()
        again.log.close()

    @on_loop
    async def test_attempts_at_the_same_time(self) -> None:
        # Guards against a turn that one attempt has stored and a failed one forgets.
        state = await self.open()
        self.disk.room_bytes = 300
        outcomes = []
        for _ in range(2):
            storing = asyncio.ensure_future(self.outcome_of(state, make_turn('t1')))
            outcomes.append(storing)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        self.assertEqual(
            [RefusalCode.STORAGE_FULL] * 2, list(await asyncio.gather(*outcomes))
        )
        self.disk.room_bytes = SEGMENT_BYTES
        self.assertEqual('stored', await self.outcome_of(state, make_turn('t1')))
        self.assertEqual('t1', (await state.find_chain('t1')).turns[0].turn)
        self.writing.cancel()
        state.log.close()

    @on_loop
    async def test_compaction_without_room(self) -> None:
        # Guards against a compaction that ends the process or loses what it moves.
        state = await self.open()
        self.disk.room_bytes = 3 * SEGMENT_BYTES
        for number in range(5):
            size = SEGMENT_BYTES if number == 1 else 1000
            await state.store_record(make_turn(f't{number}', size))
        state.turns.remove('t1')
        self.disk.room_bytes = 300
        async with asyncio.timeout(COMPACTED_S):
            await state.compact()
        self.assertEqual(['t0', 't2', 't3', 't4'], list(state.turns))
        self.assertEqual(1, len((await state.find_chain('t0')).turns))
        self.disk.room_bytes = SEGMENT_BYTES
        await state.compact()
        self.assertEqual(1, len((await state.find_chain('t0')).turns))
        self.assertEqual({}, state.log.closed_segments())
        self.writing.cancel()
        state.log.close()
