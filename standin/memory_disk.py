"""A keeper's disk in memory, which can be lost."""

import asyncio
from collections.abc import Iterator

from pollenwalk.process.clock import Clock
from pollenwalk.process.record_log import SEGMENT_BYTES
from pollenwalk.process.segment_files import Location, StoredRecord

SYNC_MS = 2.0


class MemoryDisk:
    """Implements `RecordDisk`; survives the keeper that writes to it.

    Attributes:
        segments: the records of each segment by its number, the oldest first.
        current_bytes: size of the records in the last segment.
        segment_bytes: size above which a segment gets no more records.
    """

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self.clock = clock
        self.segments: dict[int, list[bytes]] = {1: []}
        self.current_bytes = 0
        self.segment_bytes = SEGMENT_BYTES
        self.complete = False
        self.pending_bytes = 0
        self.sync_ms = SYNC_MS

    @property
    def records(self) -> list[bytes]:
        """Return all records."""
        return [record for segment in self.segments.values() for record in segment]

    @property
    def size_bytes(self) -> int:
        """Return the size of all records."""
        return sum(map(len, self.records))

    @property
    def current(self) -> int:
        """Return the number of the segment to which records are appended."""
        return max(self.segments)

    def open(self) -> Iterator[StoredRecord]:
        """Yield each record, then begin a new segment."""
        for segment, records in list(self.segments.items()):
            yield from located(segment, records)
        self.begin_segment()

    def begin_segment(self) -> None:
        """Begin the next segment."""
        self.segments[self.current + 1] = []
        self.current_bytes = 0

    def append(self, record: bytes) -> asyncio.Future[Location]:
        """Write a record; it is there once the sync has ended."""
        return asyncio.ensure_future(self.write(record))

    async def write(self, record: bytes) -> Location:
        """Write a record and sync it."""
        await self.clock.sleep_ms(self.sync_ms)
        if self.current_bytes >= self.segment_bytes:
            self.begin_segment()
        current = self.segments[self.current]
        current.append(record)
        self.current_bytes += len(record)
        return Location(self.current, len(current) - 1, len(record))

    async def run(self) -> None:
        """Do nothing: `append` writes by itself."""

    async def read_each(self, locations: list[Location]) -> list[bytes | None]:
        """Return the records at some locations."""
        return [
            self.segments[one.segment][one.offset]
            if one.segment in self.segments
            else None
            for one in locations
        ]

    async def read_batch(
        self, segment: int, offset: int, max_bytes: int
    ) -> list[StoredRecord]:
        """Return all records of a segment at once."""
        return [] if offset else list(located(segment, self.segments[segment]))

    def closed_segments(self) -> dict[int, int]:
        """Return the sizes of the segments that get no more records."""
        return {
            segment: sum(map(len, records))
            for segment, records in self.segments.items()
            if segment != self.current
        }

    async def delete_segment(self, segment: int) -> None:
        """Delete a segment."""
        self.segments.pop(segment)

    def mark_complete(self) -> None:
        """Remember that the disk is complete."""
        self.complete = True

    def close(self) -> None:
        """Leave everything as it is."""

    def wipe(self) -> None:
        """Lose everything."""
        self.segments = {1: []}
        self.current_bytes = 0
        self.complete = False


def located(segment: int, records: list[bytes]) -> Iterator[StoredRecord]:
    """Yield records with their places in a segment."""
    for place, record in enumerate(records):
        yield StoredRecord(Location(segment, place, len(record)), record)
