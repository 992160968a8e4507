"""An append-only log on disk, in segments, with group commit.

A record is durable once its bytes are synced. Records that arrive during a sync
are written and synced together afterwards. Each start begins a new segment, as
the end of the last one may be torn. Segments are bounded, so that each can be rewritten
and deleted by itself.
"""

import asyncio
import errno
import os
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple, Protocol, TypeVar

from loguru import logger

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.segment_files import (
    Location,
    SegmentFolder,
    StoredRecord,
    frame_size,
    make_frame,
    write_synced,
)

COMPLETE_MARKER = 'complete'
# A segment ends with the batch that exceeds this size.
SEGMENT_BYTES = 4_000_000
# Frames are written together up to this size.
WRITE_BYTES = 262_144
NO_ROOM = frozenset((errno.ENOSPC, errno.EDQUOT))

Result = TypeVar('Result')


class RecordDisk(Protocol):
    """Durable storage of a keeper's records.

    Attributes:
        complete: whether the disk has all records that the keeper has ever
            acknowledged.
        pending_bytes: size of the records that are not synced yet.
    """

    complete: bool
    pending_bytes: int

    @property
    def size_bytes(self) -> int:
        """Return the size of all segments."""

    def open(self) -> Iterator[StoredRecord]:
        """Yield each record, then prepare for appending."""

    def append(self, record: bytes) -> asyncio.Future[Location]:
        """Append a record; the result is where it is, once it is synced.

        The future raises `Refusal` if the disk has no room for it.
        """

    async def run(self) -> None:
        """Write the appended records until cancelled.

        Raises:
            OSError: the disk failed.
        """

    async def read_each(self, locations: list[Location]) -> list[bytes | None]:
        """Return the records at some locations; None for one that can't be read."""

    async def read_batch(
        self, segment: int, offset: int, max_bytes: int
    ) -> list[StoredRecord]:
        """Return records of a segment from an offset on; none at its end."""

    def closed_segments(self) -> dict[int, int]:
        """Return the sizes of the segments that get no more records, by number."""

    async def delete_segment(self, segment: int) -> None:
        """Delete a closed segment."""

    def mark_complete(self) -> None:
        """Record on disk that the disk is complete."""

    def close(self) -> None:
        """Stop writing."""


class PendingRecord(NamedTuple):
    """A record that is not synced yet.

    Attributes:
        frame: the record with its header.
        synced: gets the location of the record once it is synced.
    """

    frame: bytes
    synced: asyncio.Future[Location]


class RecordLog:
    """The log of one keeper; implements `RecordDisk`.

    Attributes:
        files: the segments.
        segment: number of the segment to which records are appended.
        size: its size in bytes.
        closed: sizes of the other segments, by number.
        descriptor: file descriptor of the current segment; -1 while there is none.
        complete: whether the folder has the marker file of a complete disk.
        pending: the records that are not written yet.
        wake: set when a record has been added to `pending`.
        writer: the only thread that writes and deletes segments, once the
            first one has been begun.
        reader: the thread that reads records, so that no reading waits for a sync.
    """

    def __init__(self, folder: Path) -> None:
        """Create a log with its segments in `folder`, without opening it."""
        self.folder = folder
        self.files = SegmentFolder(folder)
        self.segment = 0
        self.size = 0
        self.closed: dict[int, int] = {}
        self.descriptor = -1
        self.complete = False
        self.pending: list[PendingRecord] = []
        self.pending_bytes = 0
        self.wake = asyncio.Event()
        self.writer = ThreadPoolExecutor(1, thread_name_prefix='disk')
        self.reader = ThreadPoolExecutor(1, thread_name_prefix='disk_read')

    def open(self) -> Iterator[StoredRecord]:
        """Yield each record on disk, the oldest first, then begin a new segment."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.complete = COMPLETE_MARKER in os.listdir(self.folder)
        for segment in self.files.numbers():
            self.closed[segment] = self.files.size(segment)
            yield from self.files.read(segment)
        self.segment = max(self.closed, default=0)
        self.begin_segment()

    def mark_complete(self) -> None:
        """Record on disk that the disk is complete."""
        self.complete = True
        write_synced(self.folder / COMPLETE_MARKER, b'1')

    def begin_segment(self) -> None:
        """Create the next segment, and close the current one, if there is one."""
        descriptor = self.files.create(self.segment + 1)
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.closed[self.segment] = self.size
        self.descriptor = descriptor
        self.segment += 1
        self.size = 0

    @property
    def size_bytes(self) -> int:
        """Return the size of all segments."""
        return sum(self.closed.values()) + self.size

    def closed_segments(self) -> dict[int, int]:
        """Return the sizes of the segments that get no more records, by number."""
        return dict(self.closed)

    async def delete_segment(self, segment: int) -> None:
        """Delete a closed segment, in the writer's thread."""
        await run_in(self.writer, self.files.delete, segment)
        self.closed.pop(segment)

    async def read_each(self, locations: list[Location]) -> list[bytes | None]:
        """Return the records at some locations; None for one that can't be read."""
        return await run_in(self.reader, self.files.read_each, locations)

    async def read_batch(
        self, segment: int, offset: int, max_bytes: int
    ) -> list[StoredRecord]:
        """Return records of a segment from an offset on; none at its end."""
        return await run_in(
            self.reader, self.files.read_batch, segment, offset, max_bytes
        )

    def append(self, record: bytes) -> asyncio.Future[Location]:
        """Append a record; the result is where it is, once it is synced.

        The future raises `Refusal` if the disk has no room for it.
        """
        synced: asyncio.Future[Location] = asyncio.get_running_loop().create_future()
        self.pending.append(PendingRecord(make_frame(record), synced))
        self.pending_bytes += frame_size(record)
        self.wake.set()
        return synced

    async def run(self) -> None:
        """Write and sync the appended records in batches, until cancelled.

        Raises:
            OSError: the disk failed; that it is full is no failure.
        """
        while True:
            await self.wake.wait()
            self.wake.clear()
            batch = self.pending
            self.pending = []
            await self.write_batch(batch)
            self.pending_bytes -= sum(len(one.frame) for one in batch)

    async def write_batch(self, batch: list[PendingRecord]) -> None:
        """Write records together, and tell those that wait for them.

        Raises:
            OSError: the disk failed.
        """
        waiting = [one.synced for one in batch]
        try:
            locations = await run_in(
                self.writer, self.write, [one.frame for one in batch]
            )
        except OSError as error:
            if error.errno not in NO_ROOM:
                raise
            logger.error('disk_full', segment=self.segment, records=len(batch))
            refuse_all(waiting)
            return
        for synced, location in zip(waiting, locations, strict=True):
            if not synced.done():
                synced.set_result(location)

    def write(self, frames: list[bytes]) -> list[Location]:
        """Append frames to the current segment and sync it; return where they are.

        Raises:
            OSError: that failed; none of the frames is in the segment.
        """
        if self.size >= SEGMENT_BYTES:
            self.begin_segment()
        try:
            for payload in joined(frames):
                write_all(self.descriptor, payload)
            os.fdatasync(self.descriptor)
        except OSError:
            os.ftruncate(self.descriptor, self.size)
            raise
        return list(self.place(frames))

    def place(self, frames: list[bytes]) -> Iterator[Location]:
        """Yield the locations of frames that have been appended, and count them."""
        for frame in frames:
            yield Location(self.segment, self.size, len(frame))
            self.size += len(frame)

    def close(self) -> None:
        """Stop the threads, and close the current segment after a write in progress."""
        self.writer.submit(self.close_segment)
        self.writer.shutdown(wait=False)
        self.reader.shutdown(wait=False)

    def close_segment(self) -> None:
        """Close the current segment, in the writer's thread."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1


def refuse_all(waiting: list[asyncio.Future[Location]]) -> None:
    """Refuse records for which the disk has no room."""
    for synced in waiting:
        if not synced.done():
            synced.set_exception(Refusal(RefusalCode.STORAGE_FULL, 'the disk is full'))


async def run_in(
    executor: ThreadPoolExecutor, function: Callable[..., Result], *arguments: Any
) -> Result:
    """Run a function in a thread."""
    loop = asyncio.get_running_loop()
    return await loop.run_in_executor(executor, function, *arguments)


def joined(frames: list[bytes]) -> Iterator[bytes]:
    """Yield frames put together up to WRITE_BYTES; a larger one stays by itself."""
    group: list[bytes] = []
    size_bytes = 0
    for frame in frames:
        if group and size_bytes + len(frame) > WRITE_BYTES:
            yield b''.join(group)
            group = []
            size_bytes = 0
        group.append(frame)
        size_bytes += len(frame)
    yield b''.join(group)


def write_all(descriptor: int, payload: bytes) -> None:
    """Write all bytes to a file."""
    view = memoryview(payload)
    while view:
        view = view[os.write(descriptor, view) :]
