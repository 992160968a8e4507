"""What a keeper has in memory of its turns, whose records are on its disk.

A keeper has more turns than fit into its memory. So it keeps for each one where its
record is, and the records that were used last.
"""

from collections import Counter
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from loguru import logger

from pollenwalk.process.clock import Clock
from pollenwalk.process.segment_files import Location
from pollenwalk.program.turn_index import TurnIndex
from pollenwalk.program.turns import TurnRecord

# Size of the records that are kept in memory. The smallest keeper has 128 MB.
CACHE_BYTES = 12_000_000


class IndexedRecord(NamedTuple):
    """What a keeper has in memory of each turn; see `TurnRecord` for the other fields.

    Attributes:
        retention_ms: the longest retention that is on disk for the turn itself, in its
            record or in an `ExtendTurns`.
        location: where the record is on disk; None until it is synced.
    """

    turn: str
    previous: str
    size_bytes: int
    retention_ms: float
    replicas: tuple[str, ...]
    location: Location | None


class StoredTurns:
    """The turns of one keeper.

    Attributes:
        index: all turns.
        cache: the records that were used last.
        unsynced: the records that are not on disk yet.
        live_bytes: for each segment, the size of the records there that are needed.
        damaged: turns that this keeper had and can't read any more.
        replica_names: the replicas of all turns, each combination once.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty collection."""
        self.index: TurnIndex[IndexedRecord] = TurnIndex(clock)
        self.cache: TurnIndex[TurnRecord] = TurnIndex(clock, CACHE_BYTES)
        self.unsynced: dict[str, TurnRecord] = {}
        self.live_bytes: Counter[int] = Counter()
        self.damaged: set[str] = set()
        self.replica_names: dict[tuple[str, ...], tuple[str, ...]] = {}

    def __len__(self) -> int:
        """Return the number of turns."""
        return len(self.index.records)

    def __contains__(self, turn: str) -> bool:
        """Return whether this keeper has a turn."""
        return turn in self.index.records

    def __iter__(self) -> Iterator[str]:
        """Iterate over the ids of all turns as they are now."""
        return iter(list(self.index.records))

    @property
    def size_bytes(self) -> int:
        """Return the size of all inputs and outputs."""
        return self.index.size_bytes

    def entries(self) -> list[IndexedRecord]:
        """Return what is known in memory of all turns."""
        return list(self.index.records.values())

    def is_synced(self, turn: str) -> bool:
        """Return whether this keeper has a turn on its disk."""
        entry = self.index.records.get(turn)
        return entry is not None and entry.location is not None

    def is_at(self, turn: str, location: Location) -> bool:
        """Return whether the needed record of a turn is at a location."""
        entry = self.index.records.get(turn)
        return entry is not None and entry.location == location

    def add_unsynced(self, record: TurnRecord) -> None:
        """Add a turn whose record is being written."""
        self.damaged.discard(record.turn)
        self.unsynced.setdefault(record.turn, record)
        self.index.put(self.indexed(record))

    def add_from_disk(self, record: TurnRecord, location: Location) -> None:
        """Add a turn whose record has been read from the disk."""
        self.index.put(self.indexed(record))
        self.place(record.turn, location)

    def indexed(self, record: TurnRecord) -> IndexedRecord:
        """Return what is kept in memory of a record that is not synced."""
        names = tuple(record.replicas)
        return IndexedRecord(
            record.turn,
            record.previous,
            record.size_bytes,
            record.retention_ms,
            self.replica_names.setdefault(names, names),
            None,
        )

    def place(self, turn: str, location: Location) -> None:
        """Note where the record of a turn is; an earlier copy is not needed any more."""
        record = self.unsynced.pop(turn, None)
        entry = self.index.records.get(turn)
        if entry is None:
            return
        self.forget_location(entry)
        self.index.records[turn] = entry._replace(location=location)
        self.live_bytes[location.segment] += location.size
        if record is not None:
            self.cache.put(record)

    def forget_location(self, entry: IndexedRecord) -> None:
        """Note that a record on disk is not needed any more."""
        if entry.location is not None:
            self.live_bytes[entry.location.segment] -= entry.location.size

    def remove(self, turn: str) -> None:
        """Remove a turn."""
        self.forget_location(self.index.records[turn])
        self.index.remove(turn)
        self.unsynced.pop(turn, None)
        self.drop_cached(turn)

    def add_to_cache(self, records: Iterable[TurnRecord]) -> None:
        """Keep records in memory while these are used more than others."""
        for record in records:
            self.cache.put(record)

    def drop_cached(self, turn: str) -> None:
        """Remove a turn from the cache."""
        if turn in self.cache.records:
            self.cache.remove(turn)

    def expire(self) -> list[str]:
        """Remove the turns whose retention has passed; return their ids."""
        expired = self.index.expire()
        for entry in expired:
            self.forget_location(entry)
            self.unsynced.pop(entry.turn, None)
            self.drop_cached(entry.turn)
        return [one.turn for one in expired]

    def in_segment(self, segment: int) -> list[str]:
        """Return the turns whose needed records are in a segment."""
        return [
            entry.turn
            for entry in self.index.records.values()
            if entry.location is not None and entry.location.segment == segment
        ]

    def mark_damaged(self, turn: str) -> None:
        """Remove a turn whose record can't be read; it can't be denied either."""
        logger.error('record_damaged', turn=turn)
        self.damaged.add(turn)
        self.remove(turn)

    def in_memory(self, turn: str) -> TurnRecord | None:
        """Return the record of a turn if it is in memory."""
        return self.unsynced.get(turn) or self.cache.records.get(turn)

    def entries_of(self, turns: Iterable[str]) -> Iterator[IndexedRecord]:
        """Yield what is known in memory of those turns that this keeper has."""
        entries = map(self.index.records.get, turns)
        return (entry for entry in entries if entry is not None)

    def locations(self, turns: Iterable[str]) -> dict[str, Location]:
        """Return where the records of turns are on disk, by turn."""
        return {
            entry.turn: entry.location
            for entry in self.entries_of(turns)
            if entry.location is not None
        }
