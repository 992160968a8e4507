"""Compaction of a keeper's log on a real disk, with power losses and damage."""

import asyncio
import random
import shutil
import tempfile
from pathlib import Path

import testtools

from pollenwalk.process.clock import LoopClock
from pollenwalk.process.keeper_state import KeeperState
from pollenwalk.process.log_compaction import MAX_LIVE_SHARE
from pollenwalk.process.record_log import SEGMENT_BYTES, RecordLog, run_in
from pollenwalk.process.turn_reader import MAX_CHAIN_BYTES
from pollenwalk.program.turns import ReserveTokens, SettleTokens, TurnRecord
from test.helper import on_loop

SEEDS = range(12)
STEPS = 60
LONG_MS = 100_000_000.0
# Longer than a record without retention is kept.
EXPIRED_AFTER_MS = 40_000.0
LARGE_BYTES = 100_000


class ShiftedClock(LoopClock):
    """A clock that can be set forward by `shift_ms`."""

    shift_ms = 0.0

    def now_ms(self) -> float:
        """Return the shifted monotonic time in ms."""
        return super().now_ms() + self.shift_ms


class LogUser:
    """A keeper's state on a folder, which can be taken over by another one.

    Attributes:
        kept: the acknowledged turns that must be there, by id.
        tokens: the tokens of acknowledged settlements, by turn.
    """

    def __init__(self, folder: Path, rng: random.Random) -> None:
        """Open an empty folder."""
        self.folder = folder
        self.rng = rng
        self.kept: dict[str, TurnRecord] = {}
        self.tokens: dict[str, int] = {}
        self.count = 0
        self.start()

    def start(self) -> None:
        """Open the folder as a process does that starts."""
        self.clock = ShiftedClock()
        self.state = KeeperState(RecordLog(self.folder), self.clock)
        self.state.open(False)
        self.writing = asyncio.ensure_future(self.state.log.run())

    def stop(self) -> None:
        """End without closing anything properly."""
        self.writing.cancel()
        self.state.log.close()

    async def store(self) -> None:
        """Store a turn of some size, kept for long or not, or a settlement."""
        self.count += 1
        turn = f't{self.count}'
        is_long = self.rng.random() < MAX_LIVE_SHARE / 2
        if self.rng.random() < 0.3:
            await self.state.reserve(ReserveTokens('p', turn, 9, LONG_MS))
            settled = SettleTokens('p', turn, self.count, LONG_MS)
            await self.state.store_record(settled)
            self.tokens[turn] = self.count
            return
        size = self.rng.choice((10, 5000, LARGE_BYTES, 600_000))
        text = self.rng.randbytes(size)
        retention_ms = LONG_MS if is_long else 0
        record = TurnRecord(turn, 'p', '', text, b'', 5, retention_ms, ['a', 'b'])
        await self.state.store_record(record)
        if is_long:
            self.kept[turn] = record

    async def expire_and_compact(self) -> None:
        """Let everything that is not kept for long expire, and compact the log."""
        self.clock.shift_ms += EXPIRED_AFTER_MS
        self.state.expire()
        await self.state.compact()

    async def lose_power(self) -> None:
        """Go on with the folder as it is now, with a torn end."""
        copy = self.folder.with_name(f'{self.folder.name}-{self.count}')
        # In the thread that writes and deletes, so that the copy is of one moment.
        await run_in(self.state.log.writer, shutil.copytree, self.folder, copy)
        self.stop()
        last = sorted(copy.glob('segment-*'))[-1]
        with last.open('ab') as target:
            target.write(self.rng.randbytes(self.rng.randrange(30)))
        self.folder = copy
        self.start()

    async def missing(self) -> set[str]:
        """Return which acknowledged turns and settlements are not there as they were."""
        found = await self.state.reader.read(list(self.kept))
        turns = {turn for turn, one in self.kept.items() if found.get(turn) != one}
        account = self.state.ledger.accounts.get('p')
        entries = account.entries if account else {}
        tokens = {
            turn
            for turn, count in self.tokens.items()
            if turn not in entries or entries[turn].tokens != count
        }
        return turns | tokens


class LogCompactionTest(testtools.TestCase):
    """What a compaction must keep."""

    def setUp(self) -> None:
        """Make a folder."""
        super().setUp()
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.scratch = Path(directory.name)

    @on_loop
    async def test_power_loss_during_a_compaction(self) -> None:
        # Guards against a turn or settlement that is lost if a compaction breaks off.
        for seed in SEEDS:
            rng = random.Random(seed)
            user = LogUser(self.scratch / f'keeper{seed}', rng)
            for _ in range(STEPS):
                await asyncio.gather(*(user.store() for _ in range(4)))
                if rng.random() < 0.2:
                    await self.compact_and_lose_power(user, rng)
            self.assertEqual(set(), await user.missing(), seed)
            user.stop()

    async def compact_and_lose_power(self, user: LogUser, rng: random.Random) -> None:
        """Begin a compaction, lose power somewhere in it or after it, and go on."""
        compacting = asyncio.ensure_future(user.expire_and_compact())
        await asyncio.wait({compacting}, timeout=rng.choice((0, 0.001, 0.01, 1)))
        await user.lose_power()
        compacting.cancel()

    @on_loop
    async def test_log_stays_small(self) -> None:
        # Guards against a log that grows with what has expired.
        user = LogUser(self.scratch / 'keeper', random.Random(1))
        for _ in range(STEPS):
            await asyncio.gather(*(user.store() for _ in range(10)))
            await user.expire_and_compact()
        size = sum(path.stat().st_size for path in user.folder.iterdir())
        needed = sum(record.size_bytes for record in user.kept.values())
        self.assertTrue(size < needed / MAX_LIVE_SHARE + 2 * SEGMENT_BYTES, size)
        self.assertEqual(set(), await user.missing())
        user.stop()

    @on_loop
    async def test_damaged_turn_is_not_denied(self) -> None:
        # Guards against 404 for a turn whose record on disk is damaged.
        user = LogUser(self.scratch / 'keeper', random.Random(1))
        text = b'x' * LARGE_BYTES
        for turn, previous in (('t1', ''), ('t2', 't1')):
            record = TurnRecord(turn, 'p', previous, text, b'', 5, LONG_MS, [])
            await user.state.store_record(record)
        user.state.log.mark_complete()
        user.state.turns.drop_cached('t1')
        user.state.turns.drop_cached('t2')
        path = user.state.log.files.path(user.state.log.segment)
        path.write_bytes(path.read_bytes().replace(b'x', b'y', 1))
        chain = await user.state.find_chain('t2')
        self.assertEqual(
            (['t2'], 't1'), ([one.turn for one in chain.turns], chain.missing)
        )
        self.assertFalse((await user.state.find_chain('t1')).complete)
        self.assertTrue((await user.state.find_chain('t9')).complete)
        user.stop()

    @on_loop
    async def test_long_chain_is_answered_in_parts(self) -> None:
        # Guards against one answer with a whole long history.
        user = LogUser(self.scratch / 'keeper', random.Random(1))
        previous = ''
        names = [f't{number:02}' for number in range(40)]
        for turn in names:
            text = b'x' * LARGE_BYTES
            record = TurnRecord(turn, 'p', previous, text, b'', 5, LONG_MS, [])
            await user.state.store_record(record)
            previous = turn
        found: list[str] = []
        missing = names[-1]
        while missing:
            chain = await user.state.find_chain(missing)
            size = sum(one.size_bytes for one in chain.turns)
            self.assertTrue(0 < size < MAX_CHAIN_BYTES + LARGE_BYTES)
            found = [*(one.turn for one in chain.turns), *found]
            missing = chain.missing
        self.assertEqual(names, found)
        user.stop()
