"""An append-only log on disk, in segments, with group commit.

A record counts once its bytes are synced; records that arrive during a sync
share the next one. A start never appends to an older segment, whose end may
be torn.
"""

import asyncio
import os
import struct
import zlib
from collections.abc import Callable, Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple, Protocol

FRAME = struct.Struct('<II')
PREFIX = 'segment-'
SUFFIX = '.log'
COMPLETE_MARK = 'complete'


class RecordDisk(Protocol):
    """Where a keeper's records survive it.

    Attributes:
        complete: whether the disk holds all that was ever acknowledged.
        bytes_since_compaction: bytes since the records were last written anew.
    """

    complete: bool
    bytes_since_compaction: int

    def open(self) -> Iterator[bytes]:
        """Give each record, then be ready to append."""

    async def append(self, record: bytes) -> None:
        """Write a record and wait until it is synced."""

    async def run(self) -> None:
        """Write what is appended, for ever.

        Raises:
            OSError: the disk failed.
        """

    async def start_compaction(self) -> None:
        """Append from now on apart from all that is there."""

    async def finish_compaction(self) -> None:
        """Delete all that was there before the last `start_compaction`."""

    def mark_complete(self) -> None:
        """Remember across restarts that the disk is complete."""

    def close(self) -> None:
        """Stop writing."""


class Waiting(NamedTuple):
    """A framed record and who waits for it."""

    frame: bytes
    synced: asyncio.Future[None]


class RecordLog:
    """The log of one keeper; implements `RecordDisk`.

    Attributes:
        segment: number of the segment that is written.
        complete: whether the mark of completeness is in the folder.
    """

    def __init__(self, folder: Path) -> None:
        """Keep segments in `folder`."""
        self.folder = folder
        self.segment = 0
        self.bytes_since_compaction = 0
        self.handle = -1
        self.complete = False
        self.waiting: list[Waiting] = []
        self.wake = asyncio.Event()
        self.disk = ThreadPoolExecutor(1, thread_name_prefix='disk')

    def segments(self) -> list[int]:
        """List the numbers of the segments on disk, the oldest first."""
        names = (path.name for path in self.folder.glob(f'{PREFIX}*{SUFFIX}'))
        numbers = (name.removeprefix(PREFIX).removesuffix(SUFFIX) for name in names)
        return sorted(int(number) for number in numbers if number.isdecimal())

    def path(self, segment: int) -> Path:
        """Give the path of a segment."""
        return self.folder / f'{PREFIX}{segment:08d}{SUFFIX}'

    def open(self) -> Iterator[bytes]:
        """Give each record on disk, the oldest first; begin a new segment."""
        self.folder.mkdir(parents=True, exist_ok=True)
        self.complete = COMPLETE_MARK in os.listdir(self.folder)
        for segment in self.segments():
            payload = self.path(segment).read_bytes()
            self.bytes_since_compaction += len(payload)
            yield from read_frames(payload)
        self.begin_segment()

    def mark_complete(self) -> None:
        """Remember across restarts that the disk is complete."""
        self.complete = True
        write_synced(self.folder / COMPLETE_MARK, b'1')

    def begin_segment(self) -> None:
        """Create a segment so that its name survives a power loss."""
        if self.handle >= 0:
            os.close(self.handle)
        self.segment = max(self.segments(), default=0) + 1
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.handle = os.open(self.path(self.segment), flags)
        os.fsync(self.handle)
        sync_folder(self.folder)

    async def start_compaction(self) -> None:
        """Begin a segment behind what is being written."""
        await self.on_disk(self.begin_segment)
        self.bytes_since_compaction = 0

    async def finish_compaction(self) -> None:
        """Delete all segments but the last."""
        await self.on_disk(self.remove_older)

    def remove_older(self) -> None:
        """Delete all segments but the one that is written."""
        for segment in self.segments():
            if segment < self.segment:
                self.path(segment).unlink()
        sync_folder(self.folder)

    async def on_disk(self, work: Callable[..., None], *parts: Any) -> None:
        """Run something in the thread that alone touches the disk."""
        loop = asyncio.get_running_loop()
        await loop.run_in_executor(self.disk, work, *parts)

    async def append(self, record: bytes) -> None:
        """Write a record and wait until it is synced."""
        synced: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        frame = FRAME.pack(len(record), zlib.crc32(record)) + record
        self.waiting.append(Waiting(frame, synced))
        self.wake.set()
        await synced

    async def run(self) -> None:
        """Write and sync what waits, for ever."""
        while True:
            await self.wake.wait()
            self.wake.clear()
            batch = self.waiting
            self.waiting = []
            await self.on_disk(self.write, b''.join(one.frame for one in batch))
            for one in batch:
                if not one.synced.done():
                    one.synced.set_result(None)

    def write(self, payload: bytes) -> None:
        """Write bytes and sync them."""
        view = memoryview(payload)
        while view:
            view = view[os.write(self.handle, view) :]
        os.fdatasync(self.handle)
        self.bytes_since_compaction += len(payload)

    def close(self) -> None:
        """Close the file."""
        self.disk.shutdown(wait=False)
        if self.handle >= 0:
            os.close(self.handle)
            self.handle = -1


def read_frames(payload: bytes) -> Iterator[bytes]:
    """Give the records of a segment, up to the first that is torn."""
    position = 0
    while position + FRAME.size <= len(payload):
        length, checksum = FRAME.unpack_from(payload, position)
        position += FRAME.size
        record = payload[position : position + length]
        if len(record) < length or zlib.crc32(record) != checksum or not length:
            return
        position += length
        yield record


def write_synced(path: Path, payload: bytes) -> None:
    """Write a small file that survives a power loss."""
    with path.open('wb') as target:
        target.write(payload)
        target.flush()
        os.fsync(target.fileno())
    sync_folder(path.parent)


def sync_folder(folder: Path) -> None:
    """Make created and removed names survive a power loss."""
    handle = os.open(folder, os.O_RDONLY)
    try:
        os.fsync(handle)
    finally:
        os.close(handle)
