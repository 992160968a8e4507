"""The journal's records: every change of a program's durable state.

The owner applies a record once it is in the journal, and a successor applies
the same records when it replays that journal. A program's durable state changes
in no other way.
"""

from typing import Any, NamedTuple

import msgspec

from pollenwalk.connection.call_messages import Answer, HistoryItem
from pollenwalk.errors import RefusalBody


class Begun(NamedTuple):
    """A program began.

    Attributes:
        program: id of the program.
        declaration: name of the declared program that it runs.
        caller: the caller that began it.
        key: the caller's idempotency key; empty if it gave none.
        parent: id of the parent program; empty if it has none.
        limit: tokens that the program may spend in total.
        reserve: tokens reserved for its first call.
        deadline_ms: the longest time that the whole program may take.
    """

    program: str
    declaration: str
    caller: str
    key: str
    parent: str
    limit: int
    reserve: int
    deadline_ms: int


class Claimed(NamedTuple):
    """A caller's idempotency key belongs to a program, perhaps of another owner."""

    caller: str
    key: str
    program: str


class Reserved(NamedTuple):
    """The reservation for a program's next call was set to `amount` tokens."""

    program: str
    amount: int


class Forfeited(NamedTuple):
    """An attempt was lost or cut short, and its reservation counts as spent.

    It is not known how many of the reserved tokens the attempt used.
    """

    program: str


class Intended(NamedTuple):
    """The intent to hand a non-idempotent call to a sidecar.

    It is durable before the call is handed over, so that a successor knows
    which sidecar to ask whether the call ran.

    Attributes:
        program: id of the program.
        key: the caller's key of the call.
        sequence: place of the call in the program's order.
        digest: identifies the request, to recognise a reused key.
        upstream: name of the upstream.
        operation: the upstream's operation.
        argument: input of the operation.
        address: address of the sidecar.
        boot_id: id of the sidecar's start that the call is handed to.
        incarnation: id of the owner's start that hands the call over.
    """

    program: str
    key: str
    sequence: int
    digest: str
    upstream: str
    operation: str
    argument: dict[str, Any]
    address: str
    boot_id: str
    incarnation: str


class Withdrawn(NamedTuple):
    """The call of an intent is proven not to have run."""

    program: str
    key: str


class Finished(NamedTuple):
    """A call has its final answer or refusal.

    Attributes:
        program: id of the program.
        key: the caller's key of the call.
        sequence: place of the call in the program's order.
        digest: identifies the request, to recognise a reused key.
        upstream: name of the upstream.
        operation: the upstream's operation.
        answer: None if the call was refused.
        refusal: None if the call was answered.
        entries: the items that the call adds to the program's history.
        spent: tokens that the call spent.
        reserve: tokens reserved for the program's next call.
        engine_sidecar: address of the sidecar whose engine holds memory for
            the program after a model call; empty after other calls.
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
    """An ended program was removed after its retention."""

    program: str


class Snapshot(NamedTuple):
    """The whole state of one program, which replaces its earlier records.

    Attributes:
        program: id of the program.
        origin: incarnation whose program is taken over. Such a snapshot
            counts only once the takeover's `Adopted` has followed. Empty
            for a snapshot of the owner's own program.
        state: the fields of a `ProgramState`.
    """

    program: str
    origin: str
    state: list[Any]


class Adopted(NamedTuple):
    """All programs of a sealed incarnation are in this journal now."""

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
    """A record with its type name and its body, which is still encoded."""

    kind: str
    body: msgspec.Raw


ENCODER = msgspec.msgpack.Encoder()
RAW_DECODER = msgspec.msgpack.Decoder(list[RawRecord])
BODY_DECODERS = {
    kind: msgspec.msgpack.Decoder(record_type)
    for kind, record_type in RECORD_TYPES.items()
}


def encode_records(records: list[Record]) -> bytes:
    """Encode records as a batch."""
    return ENCODER.encode(
        [(type(record).__name__, record) for record in records],
    )


def decode_records(batch: bytes) -> list[Record]:
    """Decode a batch.

    Raises:
        msgspec.DecodeError: the batch is not a valid list of records.
        KeyError: the type of a record is unknown.
    """
    return [
        BODY_DECODERS[raw.kind].decode(raw.body) for raw in RAW_DECODER.decode(batch)
    ]
