"""An append-only log on disk, in segments, with group commit.

A record counts once its bytes are synced; records that arrive during a sync
share the next one. A start never appends to an older segment, whose end may
be torn.
"""

import asyncio
import os
import struct
import zlib
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple

FRAME = struct.Struct('<II')
PREFIX = 'segment-'
SUFFIX = '.log'
# A segment is rewritten as a whole when it is old: small enough to do so
# within one group commit.
SEGMENT_BYTES = 8_000_000


class Waiting(NamedTuple):
    """A framed record and who waits for it."""

    frame: bytes
    synced: asyncio.Future[int]


class RecordLog:
    """The log of one keeper.

    Attributes:
        segment: number of the segment that is written.
    """

    def __init__(self, folder: Path) -> None:
        """Keep segments in `folder`."""
        self.folder = folder
        self.segment = 0
        self.written = 0
        self.handle = -1
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

    def replay(self) -> Iterator[tuple[int, bytes]]:
        """Give each record on disk with its segment, the oldest first."""
        for segment in self.segments():
            for record in read_frames(self.path(segment).read_bytes()):
                yield segment, record

    def open(self) -> None:
        """Begin a new segment."""
        self.begin_segment(max(self.segments(), default=0) + 1)

    def begin_segment(self, segment: int) -> None:
        """Create a segment so that its name survives a power loss."""
        if self.handle >= 0:
            os.close(self.handle)
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        self.handle = os.open(self.path(segment), flags)
        os.fsync(self.handle)
        sync_folder(self.folder)
        self.segment = segment
        self.written = 0

    async def append(self, record: bytes) -> int:
        """Write a record and wait until it is synced.

        Returns:
            The segment that it is in.
        """
        synced: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        frame = FRAME.pack(len(record), zlib.crc32(record)) + record
        self.waiting.append(Waiting(frame, synced))
        self.wake.set()
        return await synced

    async def run(self) -> None:
        """Write and sync what waits, for ever."""
        loop = asyncio.get_running_loop()
        while True:
            await self.wake.wait()
            self.wake.clear()
            batch = self.waiting
            self.waiting = []
            payload = b''.join(one.frame for one in batch)
            segment = await loop.run_in_executor(self.disk, self.write, payload)
            for one in batch:
                if not one.synced.done():
                    one.synced.set_result(segment)

    def write(self, payload: bytes) -> int:
        """Write bytes and sync them; gives their segment."""
        if self.written > SEGMENT_BYTES:
            self.begin_segment(self.segment + 1)
        segment = self.segment
        view = memoryview(payload)
        while view:
            view = view[os.write(self.handle, view) :]
        os.fdatasync(self.handle)
        self.written += len(payload)
        return segment

    def remove(self, segment: int) -> None:
        """Delete a segment whose records are all elsewhere or over."""
        self.path(segment).unlink(missing_ok=True)
        sync_folder(self.folder)

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
