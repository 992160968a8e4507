"""The journal's records: every change of a program that must last.

The same records drive the running home and a successor's replay, so there is
one way in which a program's state can change.
"""

from typing import Any, NamedTuple

import msgspec

from pollenwalk.connection.wire import Answer, HistoryItem
from pollenwalk.errors import RefusalBody


class Begun(NamedTuple):
    """A program began; `reserve` is set aside for its first call."""

    program: str
    declaration: str
    caller: str
    key: str
    parent: str
    limit: int
    reserve: int
    deadline_ms: int


class Claimed(NamedTuple):
    """A caller's key has begun a program, here or at another home."""

    caller: str
    key: str
    program: str


class Reserved(NamedTuple):
    """The reservation of a program's next call was set."""

    program: str
    amount: int


class Forfeited(NamedTuple):
    """An attempt was lost; its reservation counts as spent."""

    program: str


class Intended(NamedTuple):
    """A non-idempotent call is about to be handed to a sidecar.

    `incarnation` is the home that hands it over, `boot` the sidecar's start.
    """

    program: str
    key: str
    sequence: int
    digest: str
    upstream: str
    operation: str
    argument: dict[str, Any]
    address: str
    boot: str
    incarnation: str


class Withdrawn(NamedTuple):
    """An intent was proven not to have run."""

    program: str
    key: str


class Finished(NamedTuple):
    """A call has its final answer or refusal.

    `engine_sidecar` is the sidecar whose engine now holds memory for the program.
    """

    program: str
    key: str
    sequence: int
    digest: str
    upstream: str
    operation: str
    answer: Answer | None
    refusal: RefusalBody | None
    entries: list[HistoryItem]
    spent: int
    reserve: int
    engine_sidecar: str


class Ended(NamedTuple):
    """A program ended."""

    program: str


class Dropped(NamedTuple):
    """An ended program's results have passed their retention."""

    program: str


class Snapshot(NamedTuple):
    """The whole state of one program; replaces all before it.

    A snapshot with an `origin` is part of a takeover and counts only once
    the takeover's `Adopted` has followed.
    """

    program: str
    origin: str
    state: list[Any]


class Adopted(NamedTuple):
    """All programs of a sealed incarnation are now in this journal."""

    incarnation: str


Record = (
    Begun
    | Claimed
    | Reserved
    | Forfeited
    | Intended
    | Withdrawn
    | Finished
    | Ended
    | Dropped
    | Snapshot
    | Adopted
)
RECORD_TYPES = {
    record_type.__name__: record_type
    for record_type in (
        Begun,
        Claimed,
        Reserved,
        Forfeited,
        Intended,
        Withdrawn,
        Finished,
        Ended,
        Dropped,
        Snapshot,
        Adopted,
    )
}


class RawRecord(NamedTuple):
    """A record whose body is still encoded."""

    kind: str
    body: msgspec.Raw


ENCODER = msgspec.msgpack.Encoder()
RAW_DECODER = msgspec.msgpack.Decoder(list[RawRecord])
BODY_DECODERS = {
    kind: msgspec.msgpack.Decoder(record_type)
    for kind, record_type in RECORD_TYPES.items()
}


def encode_records(records: list[Record]) -> bytes:
    """Pack records into a batch."""
    return ENCODER.encode(
        [(type(record).__name__, record) for record in records],
    )


def decode_records(batch: bytes) -> list[Record]:
    """Unpack a batch.

    Raises:
        msgspec.DecodeError: the batch is damaged.
    """
    return [
        BODY_DECODERS[raw.kind].decode(raw.body) for raw in RAW_DECODER.decode(batch)
    ]
