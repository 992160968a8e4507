"""A keeper's disk in memory, which can be lost."""

from collections.abc import Iterator

from pollenwalk.process.clock import Clock

SYNC_MS = 2.0


class MemoryDisk:
    """Implements `RecordDisk`; survives the keeper that writes to it."""

    def __init__(self, clock: Clock) -> None:
        """Start empty."""
        self.clock = clock
        self.records: list[bytes] = []
        self.older = 0
        self.complete = False
        self.bytes_since_compaction = 0
        self.sync_ms = SYNC_MS

    def open(self) -> Iterator[bytes]:
        """Yield each record."""
        yield from list(self.records)

    async def append(self, record: bytes) -> None:
        """Write a record; it is there once the sync has ended."""
        await self.clock.sleep_ms(self.sync_ms)
        self.records.append(record)
        self.bytes_since_compaction += len(record)

    async def run(self) -> None:
        """Do nothing: `append` writes by itself."""

    async def start_compaction(self) -> None:
        """Remember what is older."""
        self.older = len(self.records)
        self.bytes_since_compaction = 0

    async def finish_compaction(self) -> None:
        """Delete what is older."""
        self.records = self.records[self.older :]

    def mark_complete(self) -> None:
        """Remember that the disk is complete."""
        self.complete = True

    def close(self) -> None:
        """Leave everything as it is."""

    def wipe(self) -> None:
        """Lose everything."""
        self.records = []
        self.complete = False
