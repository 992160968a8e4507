"""Compaction of a keeper's log, one segment after the other.

A segment of which little is needed is read in batches. What is needed is appended to the
log again, and the segment is deleted once that is synced. So at any time everything that
is needed is on disk at least once, and only a batch of it is in memory.
"""

from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

from loguru import logger

from pollenwalk.connection.crash_messages import CrashNote
from pollenwalk.connection.wire import decode_datagram, encode_datagram
from pollenwalk.errors import PollenwalkError
from pollenwalk.process.clock import Clock
from pollenwalk.process.crash_records import CrashRecords
from pollenwalk.process.disk_room import DiskRoom
from pollenwalk.process.record_log import RecordDisk
from pollenwalk.process.segment_files import Location, StoredRecord
from pollenwalk.process.stored_turns import StoredTurns
from pollenwalk.process.turn_extensions import TurnExtensions
from pollenwalk.process.turn_reader import TurnReader
from pollenwalk.program.ledger import Ledger, entry_to_record
from pollenwalk.program.turn_index import expiry_delay_ms
from pollenwalk.program.turns import (
    ExtendTurns,
    ReserveTokens,
    SettleTokens,
    TurnRecord,
)

# A segment is compacted once at most this share of it is needed, so that the log has at
# most about twice the size of what is needed.
MAX_LIVE_SHARE = 0.5
# The same on a full disk. In between it follows the share of the disk that is used.
FULL_LIVE_SHARE = 0.9
# Size of the records of a segment that are in memory at the same time.
BATCH_BYTES = 262_144

TokenKey = tuple[str, str]


class SmallRecords(NamedTuple):
    """The records of a segment that are not turns.

    Attributes:
        size_bytes: their size.
        needed_until_ms: time until which most of them are regarded as needed.
    """

    size_bytes: int = 0
    needed_until_ms: float = 0


class LogCompaction:
    """Compacts the log of one keeper.

    Attributes:
        small: the records that are not turns, by segment.
    """

    def __init__(
        self,
        disk: RecordDisk,
        clock: Clock,
        turns: StoredTurns,
        reader: TurnReader,
        extensions: TurnExtensions,
        ledger: Ledger,
        crashes: CrashRecords,
        room: DiskRoom,
    ) -> None:
        """Create the compaction of a log, of which nothing has been read yet."""
        self.disk = disk
        self.clock = clock
        self.turns = turns
        self.reader = reader
        self.extensions = extensions
        self.ledger = ledger
        self.crashes = crashes
        self.room = room
        self.small: dict[int, SmallRecords] = {}

    def note_small(self, location: Location, retention_ms: float) -> None:
        """Note where a record is that is not a turn, and how long it is kept."""
        known = self.small.get(location.segment, SmallRecords())
        until_ms = self.clock.now_ms() + expiry_delay_ms(retention_ms)
        self.small[location.segment] = SmallRecords(
            known.size_bytes + location.size, max(known.needed_until_ms, until_ms)
        )

    async def run(self) -> None:
        """Compact the segments of which little is needed now, the emptiest first."""
        for segment in self.due_segments():
            await self.compact(segment)

    def due_segments(self) -> list[int]:
        """Return the segments of which little is needed, the emptiest first."""
        shares = {
            segment: self.live_bytes(segment) / max(size, 1)
            for segment, size in self.disk.closed_segments().items()
        }
        max_share = min(max(self.room.used_share, MAX_LIVE_SHARE), FULL_LIVE_SHARE)
        due = (segment for segment, share in shares.items() if share <= max_share)
        return sorted(due, key=lambda segment: (shares[segment], segment))

    def live_bytes(self, segment: int) -> int:
        """Return about how much of a segment is needed, in bytes."""
        small = self.small.get(segment, SmallRecords())
        is_needed = self.clock.now_ms() < small.needed_until_ms
        return self.turns.live_bytes[segment] + small.size_bytes * int(is_needed)

    async def compact(self, segment: int) -> None:
        """Append what is needed of a segment to the log, then delete the segment."""
        moved = 0
        offset = 0
        tokens: dict[TokenKey, None] = {}
        has_notes = False
        extensions: list[ExtendTurns] = []
        while batch := await self.disk.read_batch(segment, offset, BATCH_BYTES):
            offset = batch[-1].location.end
            messages = [decode_or_log(stored.record) for stored in batch]
            moved += await self.move_turns(batch, messages)
            tokens.update(dict.fromkeys(token_keys(messages)))
            has_notes = has_notes or any(isinstance(one, CrashNote) for one in messages)
            extensions.extend(one for one in messages if isinstance(one, ExtendTurns))
        moved += await self.append_tokens(tokens)
        moved += await self.append_small(self.extensions.needed(extensions))
        if has_notes:
            moved += await self.append_small(self.crashes.notes())
        # What is left can't be read, as a frame before it is damaged.
        for turn in await self.rescue(segment):
            self.turns.mark_damaged(turn)
        await self.disk.delete_segment(segment)
        self.small.pop(segment, None)
        self.turns.live_bytes.pop(segment, None)
        logger.info('compacted', segment=segment, records=moved)

    async def move_turns(self, batch: list[StoredRecord], messages: list[Any]) -> int:
        """Append the needed turns of a batch to the log; return how many."""
        needed = [
            (message.turn, self.updated(message, stored.record))
            for stored, message in zip(batch, messages, strict=True)
            if isinstance(message, TurnRecord)
            and self.turns.is_at(message.turn, stored.location)
        ]
        appended = [(turn, self.disk.append(record)) for turn, record in needed]
        for turn, synced in appended:
            self.turns.place(turn, await synced)
        return len(needed)

    def updated(self, message: TurnRecord, record: bytes) -> bytes:
        """Return the encoded record of a turn with the retention that it has by now."""
        present = self.reader.with_retention(message)
        return record if present is message else encode_datagram(present)

    async def rescue(self, segment: int) -> list[str]:
        """Move turns that are still in a segment; return those that can't be read."""
        left = self.turns.in_segment(segment)
        records = await self.reader.read(left)
        for record in records.values():
            if record.turn in self.turns:
                synced = self.disk.append(encode_datagram(record))
                self.turns.place(record.turn, await synced)
        return self.turns.in_segment(segment)

    async def append_tokens(self, keys: Iterable[TokenKey]) -> int:
        """Append the present entries of some accounts; return how many there are."""
        records = (self.token_record(*key) for key in keys)
        return await self.append_small(one for one in records if one is not None)

    def token_record(
        self, program: str, turn: str
    ) -> ReserveTokens | SettleTokens | None:
        """Return the record of an account's entry; None if there is none any more."""
        account = self.ledger.accounts.get(program)
        entry = account.entries.get(turn) if account else None
        if account is None or entry is None:
            return None
        return entry_to_record(program, entry, account.retention_ms)

    async def append_small(self, messages: Iterable[Any]) -> int:
        """Append records that are not turns; return how many."""
        appended = [
            (message, self.disk.append(encode_datagram(message)))
            for message in messages
        ]
        for message, synced in appended:
            self.note_small(await synced, getattr(message, 'retention_ms', 0))
        return len(appended)


def decode_or_log(record: bytes) -> Any:
    """Decode a record from the disk; log an unreadable one and return None."""
    try:
        return decode_datagram(record)
    except PollenwalkError as error:
        logger.error('record_unreadable', reason=error.message)
        return None


def token_keys(messages: Iterable[Any]) -> Iterator[TokenKey]:
    """Yield the account entries that records are about; a turn settles one, too."""
    for message in messages:
        if isinstance(message, TurnRecord | ReserveTokens | SettleTokens):
            yield message.program, message.turn
