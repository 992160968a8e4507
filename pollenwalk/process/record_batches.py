"""Encoded records in batches that fit a message between keepers."""

from collections.abc import Iterable, Iterator

# A message has at most so many records, and ends with the one that exceeds so many bytes:
# their transfer takes 150 ms on the slowest link.
MAX_BATCH_RECORDS = 64
MAX_BATCH_BYTES = 262_144


def batched(records: Iterable[bytes]) -> Iterator[list[bytes]]:
    """Yield records in batches, at least one, of which the last may be empty."""
    batch: list[bytes] = []
    size_bytes = 0
    for record in records:
        batch.append(record)
        size_bytes += len(record)
        if len(batch) >= MAX_BATCH_RECORDS or size_bytes >= MAX_BATCH_BYTES:
            yield batch
            batch = []
            size_bytes = 0
    yield batch
