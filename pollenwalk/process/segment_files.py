"""The files of a record log: framed records in numbered segments.

A segment is a sequence of frames: the length and the CRC-32 of a record, then the record.
Its end may be torn after a power loss, so it is read up to the first frame that is not
whole.
"""

import os
import struct
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import BinaryIO, NamedTuple

# Length in bytes and CRC-32 of the record that follows.
FRAME_HEADER = struct.Struct('<II')
SEGMENT_PREFIX = 'segment-'
SEGMENT_SUFFIX = '.log'


class Location(NamedTuple):
    """Where a record is on disk.

    Attributes:
        segment: number of the segment.
        offset: position of the frame in the segment, in bytes.
        size: size of the frame with its header, in bytes.
    """

    segment: int
    offset: int
    size: int

    @property
    def end(self) -> int:
        """Return the position after the frame."""
        return self.offset + self.size


class StoredRecord(NamedTuple):
    """A record and where it is on disk."""

    location: Location
    record: bytes


def frame_size(record: bytes) -> int:
    """Return the size of a record's frame, in bytes."""
    return FRAME_HEADER.size + len(record)


def make_frame(record: bytes) -> bytes:
    """Return a record with its header."""
    return FRAME_HEADER.pack(len(record), zlib.crc32(record)) + record


def read_frame(source: BinaryIO) -> bytes | None:
    """Read the record at the present position.

    Returns:
        The record; None at the end, and if its frame is torn or damaged.
    """
    header = source.read(FRAME_HEADER.size)
    if len(header) < FRAME_HEADER.size:
        return None
    length, checksum = FRAME_HEADER.unpack(header)
    # Zero bytes would otherwise pass as empty records: the CRC-32 of no bytes is 0. A
    # damaged length must not make a process read what its memory can't hold.
    if not length or length > os.fstat(source.fileno()).st_size:
        return None
    record = source.read(length)
    if len(record) < length or zlib.crc32(record) != checksum:
        return None
    return record


def read_frames(
    source: BinaryIO, segment: int, offset: int = 0
) -> Iterator[StoredRecord]:
    """Yield the records of a segment up to the first torn or damaged one, one by one.

    Args:
        source: the file of the segment.
        segment: its number.
        offset: position of the first frame that is read, in bytes.
    """
    source.seek(offset)
    record = read_frame(source)
    while record is not None:
        location = Location(segment, offset, frame_size(record))
        yield StoredRecord(location, record)
        offset = location.end
        record = read_frame(source)


class SegmentFolder:
    """The folder with the segments of one log."""

    def __init__(self, folder: Path) -> None:
        """Name a folder, which need not exist yet."""
        self.folder = folder

    def numbers(self) -> list[int]:
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

    def size(self, segment: int) -> int:
        """Return the size of a segment in bytes."""
        return self.path(segment).stat().st_size

    def create(self, segment: int) -> int:
        """Create a segment whose name survives a power loss; return its descriptor."""
        flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
        descriptor = os.open(self.path(segment), flags)
        try:
            os.fsync(descriptor)
            sync_directory(self.folder)
        except OSError:
            os.close(descriptor)
            raise
        return descriptor

    def delete(self, segment: int) -> None:
        """Delete a segment; that survives a power loss."""
        self.path(segment).unlink()
        sync_directory(self.folder)

    def read(self, segment: int) -> Iterator[StoredRecord]:
        """Yield the records of a segment; see `read_frames`."""
        with self.path(segment).open('rb') as source:
            yield from read_frames(source, segment)

    def read_batch(
        self, segment: int, offset: int, max_bytes: int
    ) -> list[StoredRecord]:
        """Return records of a segment from an offset on.

        Returns:
            At least one record, up to the one that exceeds `max_bytes`; none at the end
            of the segment.
        """
        batch: list[StoredRecord] = []
        size_bytes = 0
        with self.path(segment).open('rb') as source:
            for stored in read_frames(source, segment, offset):
                batch.append(stored)
                size_bytes += stored.location.size
                if size_bytes >= max_bytes:
                    break
        return batch

    def read_each(self, locations: list[Location]) -> list[bytes | None]:
        """Return the records at some locations.

        Returns:
            For each location its record; None if it is damaged, or if its segment has
            been deleted.
        """
        return [self.read_one(location) for location in locations]

    def read_one(self, location: Location) -> bytes | None:
        """Return the record at a location; see `read_each`."""
        try:
            with self.path(location.segment).open('rb', buffering=0) as source:
                source.seek(location.offset)
                payload = read_whole(source, location.size)
        except FileNotFoundError:
            return None
        return record_of(payload, location.size)


def read_whole(source: BinaryIO, size: int) -> bytes:
    """Read a number of bytes, or less at the end of the file."""
    payload = source.read(size)
    while len(payload) < size:
        more = source.read(size - len(payload))
        if not more:
            break
        payload += more
    return payload


def record_of(payload: bytes, size: int) -> bytes | None:
    """Return the record of a frame; None if the frame is damaged or not whole."""
    if len(payload) < size:
        return None
    length, checksum = FRAME_HEADER.unpack_from(payload)
    record = payload[FRAME_HEADER.size :]
    if len(record) != length or zlib.crc32(record) != checksum:
        return None
    return record


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
