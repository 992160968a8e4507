"""Reads the records of a keeper's turns, from memory or from its disk."""

from collections.abc import AsyncIterator, Iterable, Iterator

from loguru import logger

from pollenwalk.connection.wire import decode_datagram
from pollenwalk.errors import PollenwalkError
from pollenwalk.process.record_batches import MAX_BATCH_BYTES, MAX_BATCH_RECORDS
from pollenwalk.process.record_log import RecordDisk
from pollenwalk.process.segment_files import Location
from pollenwalk.process.stored_turns import IndexedRecord, StoredTurns
from pollenwalk.program.turn_index import UsedChain
from pollenwalk.program.turns import Chain, TurnRecord

# A keeper sends at most so much of a chain at once, or one turn.
MAX_CHAIN_BYTES = 1_000_000
# How often records are looked up that have been moved while they were being read.
MAX_READS = 3

Records = dict[str, TurnRecord]


class TurnReader:
    """Reads the records of one keeper's turns."""

    def __init__(self, disk: RecordDisk, turns: StoredTurns) -> None:
        """Create a reader of the turns whose records are on `disk`."""
        self.disk = disk
        self.turns = turns

    async def find_chain(self, turn: str, complete: bool) -> Chain:
        """Return a turn and its predecessors, and mark them as just used.

        Of a long chain it is only the last part.

        Args:
            turn: the turn.
            complete: whether this keeper has all records that it should have.
        """
        part = last_part(self.turns.index.use_chain(turn))
        records = await self.read([entry.turn for entry in part])
        self.turns.add_to_cache(records.values())
        found: list[TurnRecord] = []
        missing = turn
        while missing in records:
            found.append(records[missing])
            missing = found[-1].previous
        found.reverse()
        return Chain(complete and missing not in self.turns.damaged, found, missing)

    async def read(self, turns: list[str]) -> Records:
        """Return the records of those turns that this keeper has and can read.

        They have the retentions that the turns have by now.
        """
        found: Records = {}
        for _ in range(MAX_READS):
            in_memory = ((turn, self.turns.in_memory(turn)) for turn in turns)
            found.update((turn, record) for turn, record in in_memory if record)
            left = self.turns.locations(turn for turn in turns if turn not in found)
            if not left:
                break
            found.update(await self.read_from_disk(left))
        return {turn: self.with_retention(record) for turn, record in found.items()}

    def with_retention(self, record: TurnRecord) -> TurnRecord:
        """Return a record with the retention that the turn has by now."""
        entry = self.turns.index.records.get(record.turn)
        if entry is None:
            return record
        retention_ms = self.turns.index.retention_of(entry)
        if retention_ms <= record.retention_ms:
            return record
        return record._replace(retention_ms=retention_ms)

    async def read_from_disk(self, locations: dict[str, Location]) -> Records:
        """Return the records of turns that can be read where these are expected.

        Args:
            locations: the expected places by turn.
        """
        found: Records = {}
        payloads = await self.disk.read_each(list(locations.values()))
        for (turn, location), raw in zip(locations.items(), payloads, strict=True):
            record = decode_turn(turn, raw)
            if record is not None:
                found[turn] = record
            elif self.turns.is_at(turn, location):
                self.turns.mark_damaged(turn)
        return found

    async def batches(self, turns: Iterable[str]) -> AsyncIterator[list[TurnRecord]]:
        """Yield the records of those turns that this keeper has.

        Each batch fits a message; only one of them is in memory at a time.
        """
        for group in self.groups(turns):
            records = await self.read(group)
            yield list(records.values())

    def groups(self, turns: Iterable[str]) -> Iterator[list[str]]:
        """Yield the ids of those turns that this keeper has, in groups for a message."""
        group: list[str] = []
        size_bytes = 0
        for turn in turns:
            entry = self.turns.index.records.get(turn)
            if entry is None:
                continue
            group.append(turn)
            size_bytes += entry.size_bytes
            if len(group) >= MAX_BATCH_RECORDS or size_bytes >= MAX_BATCH_BYTES:
                yield group
                group = []
                size_bytes = 0
        if group:
            yield group


def last_part(chain: UsedChain[IndexedRecord]) -> list[IndexedRecord]:
    """Return the last turns of a chain, up to the one that exceeds MAX_CHAIN_BYTES."""
    part: list[IndexedRecord] = []
    size_bytes = 0
    for entry in reversed(chain.turns):
        part.append(entry)
        size_bytes += entry.size_bytes
        if size_bytes >= MAX_CHAIN_BYTES:
            break
    part.reverse()
    return part


def decode_turn(turn: str, raw: bytes | None) -> TurnRecord | None:
    """Decode what was read of a turn; None if it is not the record of this turn."""
    if raw is None:
        return None
    try:
        record = decode_datagram(raw)
    except PollenwalkError as error:
        logger.error('record_unreadable', turn=turn, reason=error.message)
        return None
    is_right = isinstance(record, TurnRecord) and record.turn == turn
    return record if is_right else None
