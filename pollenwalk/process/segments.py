"""The segments of a journal, which are objects in the store.

When a journal is taken over, its successor adds a seal as the last segment. A
second successor adds another if the first one dies before it has adopted the
programs.
"""

from typing import NamedTuple

import msgspec
import zstandard

from pollenwalk.process.store import ObjectStore, StoredObject
from pollenwalk.program.records import Record, decode_records

PREFIX = 'journal'
NUMBER_DIGITS = 12
COMPRESSION_LEVEL = 3


class WitnessRef(NamedTuple):
    """A witness, identified by its incarnation so that a restart is noticed."""

    incarnation: str
    address: str


class Segment(NamedTuple):
    """One group commit, or the seal that ends a journal.

    Attributes:
        nonce: lets the writer recognise its segment when the store's answer
            to the write was lost.
        first: number of the first batch; in a segment without batches, number
            of the next batch.
        batches: encoded records of each batch.
        witnesses: the witnesses that must all acknowledge a batch after this
            segment to make it durable before the store has it.
        sealed_by: the successor's incarnation; empty in ordinary segments.
    """

    nonce: str
    first: int
    batches: list[bytes]
    witnesses: list[WitnessRef]
    sealed_by: str = ''

    @property
    def last(self) -> int:
        """Return the number of the last batch up to the end of this segment."""
        return self.first + len(self.batches) - 1


class JournalContent(NamedTuple):
    """A journal as read from the store.

    Attributes:
        segments: the segments by number, in ascending order.
    """

    segments: dict[int, Segment]

    @property
    def last_segment_number(self) -> int:
        """Return the number of the last segment; 0 for an empty journal."""
        return max(self.segments, default=0)

    @property
    def sealed_by(self) -> str:
        """Return the incarnation that sealed the journal; empty while it is open."""
        last = self.segments.get(self.last_segment_number)
        return last.sealed_by if last else ''

    @property
    def last_batch(self) -> int:
        """Return the number of the last batch in the store; 0 if there is none."""
        return max((segment.last for segment in self.segments.values()), default=0)

    @property
    def witnesses(self) -> list[WitnessRef]:
        """Return the witnesses that the last segment before the seals names."""
        ordinary = [
            segment for segment in self.segments.values() if not segment.sealed_by
        ]
        return ordinary[-1].witnesses if ordinary else []

    def records(self) -> list[Record]:
        """Return all records in journal order."""
        return [
            record
            for segment in self.segments.values()
            for batch in segment.batches
            for record in decode_records(batch)
        ]


DECODER = msgspec.msgpack.Decoder(Segment)


def journal_prefix(incarnation: str) -> str:
    """Return the key prefix of a journal's segments."""
    return f'{PREFIX}/{incarnation}/'


def segment_key(incarnation: str, number: int) -> str:
    """Return the key of a segment; keys sort by segment number."""
    return f'{journal_prefix(incarnation)}{number:0{NUMBER_DIGITS}d}'


def encode_segment(segment: Segment) -> bytes:
    """Encode and compress a segment."""
    packed = msgspec.msgpack.encode(segment)
    return zstandard.ZstdCompressor(COMPRESSION_LEVEL).compress(packed)


def decode_segment(body: bytes) -> Segment:
    """Decompress and decode a segment."""
    return DECODER.decode(zstandard.ZstdDecompressor().decompress(body))


async def read_journal(store: ObjectStore, incarnation: str) -> JournalContent:
    """Read a whole journal from the store.

    Raises:
        StoreUnavailable: the store did not answer.
    """
    changes = await store.scan(journal_prefix(incarnation))
    return JournalContent(
        {
            segment_number(stored): decode_segment(stored.body)
            for stored in changes.objects
        },
    )


def segment_number(stored: StoredObject) -> int:
    """Return a segment's number, which is the last part of its key."""
    return int(stored.key.rpartition('/')[2])
