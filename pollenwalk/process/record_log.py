"""An append-only log on disk, in segments, with group commit.

A record is durable once its bytes are synced. Records that arrive during a sync
are written and synced together afterwards. Each start begins a new segment, as
the end of the last one may be torn.
"""

import asyncio
import os
import struct
import zlib
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple, Protocol

FRAME_HEADER = struct.Struct('<II')
SEGMENT_PREFIX = 'segment-'
SEGMENT_SUFFIX = '.log'
COMPLETE_MARKER = 'complete'


class RecordDisk(Protocol):
    """Durable storage of a keeper's records.

    Attributes:
        complete: whether the disk has all records that the keeper has ever
            acknowledged.
        bytes_since_compaction: bytes written since the last compaction started,
            or, before the first one, also those found on disk.
    """

    complete: bool
    bytes_since_compaction: int

    def open(self) -> Iterator[bytes]:
        """Yield each record, then prepare for appending."""

    async def append(self, record: bytes) -> None:
        """Append a record and wait until it is synced."""

    async def run(self) -> None:
        """Write the appended records until cancelled.

        Raises:
            OSError: the disk failed.
        """

    async def start_compaction(self) -> None:
        """Separate the records that are appended from now on from older ones."""

    async def finish_compaction(self) -> None:
        """Delete the records from before the last `start_compaction`."""

    def mark_complete(self) -> None:
        """Record on disk that the disk is complete."""

    def close(self) -> None:
        """Stop writing."""


class PendingRecord(NamedTuple):
    """A framed record that is not synced yet.

    Attributes:
        frame: the record with its header.
        synced: done once the record is synced.
    """

    frame: bytes
    synced: asyncio.Future[None]


class RecordLog:
    """The log of one keeper; implements `RecordDisk`.

    Attributes:
        segment: number of the segment to which records are appended.
        descriptor: file descriptor of that segment; -1 while there is none.
        complete: whether the folder has the marker file of a complete disk.
        pending: the records that are not written yet.
        executor: the only thread that writes to the disk.
    """

    def __init__(self, folder: Path) -> None:
        """Create a log with its segments in `folder`, without opening it."""
        self.folder = folder
        self.segment = 0
        self.bytes_since_compaction = 0
        self.descriptor = -1
        self.complete = False
        self.pending: list[PendingRecord] = []
        self.wake = asyncio.Event()
        self.executor = ThreadPoolExecutor(1, thread_name_prefix='disk')

    def segments(self) -> list[int]:
        """Return the numbers of the segments on disk, the oldest first."""
        names = (
            path.name for path in self.folder.glob(f'{SEGMENT_PREFIX}*{SEGMENT_SUFFIX}')
        )
        numbers = (
            name.removeprefix(SEGMENT_PREFIX).removesuffix(SEGMENT_SUFFIX)
            for name in names
        )
        return sorted(int(number) for number in numbers if number.isdecimal())

    def path(self, segment: int) -> Path:
        """Return the path of a segment."""
        return self.folder / f'{SEGMENT_PREFIX}{segment:08d}{SEGMENT_SUFFIX}'

    def open(self) -> Iterator[bytes]:
        """Yield each record on disk, the oldest first, then begin a new segment."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.complete = COMPLETE_MARKER in os.listdir(self.folder)
        for segment in self.segments():
            payload = self.path(segment).read_bytes()
            self.bytes_since_compaction += len(payload)
            yield from read_frames(payload)
        self.begin_segment()

    def mark_complete(self) -> None:
        """Record on disk that the disk is complete."""
        self.complete = True
        write_synced(self.folder / COMPLETE_MARKER, b'1')

    def begin_segment(self) -> None:
        """Create and open the next segment; its name survives a power loss."""
        if self.descriptor >= 0:
            os.close(self.descriptor)
        self.segment = max(self.segments(), default=0) + 1
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.descriptor = os.open(self.path(self.segment), flags)
        os.fsync(self.descriptor)
        sync_directory(self.folder)

    async def start_compaction(self) -> None:
        """Begin a new segment after the write in progress."""
        await self.run_in_executor(self.begin_segment)
        self.bytes_since_compaction = 0

    async def finish_compaction(self) -> None:
        """Delete all segments but the current one."""
        await self.run_in_executor(self.delete_older_segments)

    def delete_older_segments(self) -> None:
        """Delete all segments but the current one, in the writer's thread."""
        for segment in self.segments():
            if segment < self.segment:
                self.path(segment).unlink()
        sync_directory(self.folder)

    async def run_in_executor(
        self, function: Callable[..., None], *arguments: Any
    ) -> None:
        """Run a function in the only thread that writes to the disk."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self.executor, function, *arguments)

    async def append(self, record: bytes) -> None:
        """Append a record and wait until it is synced."""
        synced: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        frame = FRAME_HEADER.pack(len(record), zlib.crc32(record)) + record
        self.pending.append(PendingRecord(frame, synced))
        self.wake.set()
        await synced

    async def run(self) -> None:
        """Write and sync the appended records in batches, until cancelled.

        Raises:
            OSError: the disk failed.
        """
        while True:
            await self.wake.wait()
            self.wake.clear()
            batch = self.pending
            self.pending = []
            await self.run_in_executor(self.write, b''.join(one.frame for one in batch))
            for one in batch:
                if not one.synced.done():
                    one.synced.set_result(None)

    def write(self, payload: bytes) -> None:
        """Append bytes to the current segment and sync it."""
        view = memoryview(payload)
        while view:
            view = view[os.write(self.descriptor, view) :]
        os.fdatasync(self.descriptor)
        self.bytes_since_compaction += len(payload)

    def close(self) -> None:
        """Stop the writing thread and close the current segment."""
        self.executor.shutdown(wait=False)
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1


def read_frames(payload: bytes) -> Iterator[bytes]:
    """Yield the records of a segment up to the first torn or damaged one."""
    position = 0
    while position + FRAME_HEADER.size <= len(payload):
        length, checksum = FRAME_HEADER.unpack_from(payload, position)
        position += FRAME_HEADER.size
        record = payload[position : position + length]
        if len(record) < length or zlib.crc32(record) != checksum or not length:
            return
        position += length
        yield record


def write_synced(path: Path, payload: bytes) -> None:
    """Write a small file durably, so that it survives a power loss."""
    with path.open('wb') as target:
        target.write(payload)
        target.flush()
        os.fsync(target.fileno())
    sync_directory(path.parent)


def sync_directory(folder: Path) -> None:
    """Sync a directory, so that created and deleted names survive a power loss."""
    descriptor = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
