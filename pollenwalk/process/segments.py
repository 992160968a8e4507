"""The journal's objects in the store: segments of batches, ended by a seal."""

from typing import NamedTuple

import msgspec
import zstandard

from pollenwalk.process.store import ObjectStore, StoredObject
from pollenwalk.program.records import Record, decode_records

PREFIX = 'journal'
NUMBER_DIGITS = 12
COMPRESSION_LEVEL = 3


class WitnessRef(NamedTuple):
    """A witness, named by its incarnation so that a restart is noticed."""

    incarnation: str
    address: str


class Segment(NamedTuple):
    """One group commit, or the seal that ends a journal.

    Attributes:
        nonce: tells the writer whether a lost answer was a success.
        first: number of the first batch.
        batches: encoded records.
        witnesses: who must acknowledge what follows this segment.
        sealed_by: the successor's incarnation; empty in ordinary segments.
    """

    nonce: str
    first: int
    batches: list[bytes]
    witnesses: list[WitnessRef]
    sealed_by: str = ''

    @property
    def last(self) -> int:
        """Give the number of the last batch up to and with this segment."""
        return self.first + len(self.batches) - 1


class JournalContent(NamedTuple):
    """A journal as read from the store."""

    segments: dict[int, Segment]

    @property
    def last_segment_number(self) -> int:
        """Give the number of the last segment; 0 for an empty journal."""
        return max(self.segments, default=0)

    @property
    def sealed_by(self) -> str:
        """Give who sealed the journal; empty while it is open."""
        last = self.segments.get(self.last_segment_number)
        return last.sealed_by if last else ''

    @property
    def last_batch(self) -> int:
        """Give the number of the last batch in the store."""
        return max((part.last for part in self.segments.values()), default=0)

    @property
    def witnesses(self) -> list[WitnessRef]:
        """Give the witnesses that the last ordinary segment names."""
        ordinary = [part for part in self.segments.values() if not part.sealed_by]
        return ordinary[-1].witnesses if ordinary else []

    def records(self) -> list[Record]:
        """Give all records in order."""
        return [
            record
            for segment in self.segments.values()
            for batch in segment.batches
            for record in decode_records(batch)
        ]


DECODER = msgspec.msgpack.Decoder(Segment)


def journal_prefix(incarnation: str) -> str:
    """Name the folder of a journal."""
    return f'{PREFIX}/{incarnation}/'


def segment_key(incarnation: str, number: int) -> str:
    """Name a segment so that names sort by number."""
    return f'{journal_prefix(incarnation)}{number:0{NUMBER_DIGITS}d}'


def encode_segment(segment: Segment) -> bytes:
    """Pack and compress a segment."""
    packed = msgspec.msgpack.encode(segment)
    return zstandard.ZstdCompressor(COMPRESSION_LEVEL).compress(packed)


def decode_segment(body: bytes) -> Segment:
    """Unpack a segment."""
    return DECODER.decode(zstandard.ZstdDecompressor().decompress(body))


async def read_journal(store: ObjectStore, incarnation: str) -> JournalContent:
    """Read a whole journal.

    Raises:
        StoreUnavailable: the store gave no answer.
    """
    changes = await store.scan(journal_prefix(incarnation))
    return JournalContent(
        {
            segment_number(stored): decode_segment(stored.body)
            for stored in changes.objects
        },
    )


def segment_number(stored: StoredObject) -> int:
    """Read a segment's number off its name."""
    return int(stored.key.rpartition('/')[2])
