"""The typed messages between pollenwalk's own processes and their codec.

Each message is a `NamedTuple` and travels as a msgpack array inside a frame
that names its kind. A frame that does not decode ends the connection.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from pollenwalk.errors import Outcome, Refusal, RefusalBody, RefusalCode
from pollenwalk.program.turns import (
    Chain,
    FindChain,
    FindMissing,
    Listing,
    Missing,
    PullRecords,
    PushRecords,
    ReadPrefix,
    RecordBatch,
    ReserveTokens,
    Settlements,
    SettleTokens,
    Spent,
    Stored,
    TurnRecord,
)

PROTOCOL_VERSION = 1
CANCEL_KIND = 'cancel'
END_KIND = 'end'


class Hello(NamedTuple):
    """First message of a connection, from the side that connects.

    `epoch` grows with each connection of one incarnation to the same peer,
    so the peer can drop what an older connection still holds.
    """

    protocol: int
    incarnation: str
    epoch: int
    zone: str


class Welcome(NamedTuple):
    """The answer to `Hello`; `boot_id` names this start of the peer."""

    protocol: int
    boot_id: str


class HistoryItem(NamedTuple):
    """One entry of a program's history, as a chat message."""

    role: str
    content: str


class Dispatch(NamedTuple):
    """A call handed to the sidecar of the chosen upstream host.

    `base` is the digest of the history the sidecar is believed to hold and
    `delta` what follows it; an empty `base` means the delta is everything.
    `age_ms` is the time since the program began.
    """

    call: str
    program: str
    boot_id: str
    operation: str
    idempotent: bool
    argument: dict[str, Any]
    base: str
    delta: list[HistoryItem]
    digest: str
    max_tokens: int
    priority: int
    program_age_ms: float
    time_left_ms: float
    trace: str


class Tokens(NamedTuple):
    """Streamed tokens from `offset` on."""

    offset: int
    texts: list[str]


class Answer(NamedTuple):
    """The whole answer of an upstream.

    `prefilled` counts prompt tokens that the engine had to compute, and
    `ahead` the calls that the sidecar still has, so that load is known sooner
    than by reports.
    """

    output: dict[str, Any]
    tokens: int = 0
    prefilled: int = 0
    remaining_calls: int = 0


class NeedHistory(NamedTuple):
    """The sidecar lacks the history that `Dispatch.base` names."""

    program: str


class Resolve(NamedTuple):
    """Ask what became of a call; `fence` names a sealed incarnation."""

    call: str
    boot_id: str
    fence: str


class Resolution(NamedTuple):
    """What a sidecar knows of a call: 'done', 'running' or 'not_run'."""

    state: str


class Follow(NamedTuple):
    """Attach to a call that the sidecar runs or has finished."""

    call: str
    boot_id: str
    offset: int


class Settle(NamedTuple):
    """The results of these calls are durable; the sidecar may drop them."""

    calls: list[str]


class Renew(NamedTuple):
    """Programs that still want their engine memory here."""

    programs: list[str]


class Release(NamedTuple):
    """Programs that have ended; their engine memory must be returned."""

    programs: list[str]


class Drain(NamedTuple):
    """An operator lets a sidecar take no new calls."""


class Done(NamedTuple):
    """Nothing to report."""


class BeginProgram(NamedTuple):
    """Begin a declared program; `program` is its id once that is settled."""

    declaration: str
    caller: str
    key: str
    budget: int | None = None
    deadline_ms: int | None = None
    parent: str | None = None
    program: str = ''


class CallProgram(NamedTuple):
    """One call of a program, as its caller gave it."""

    program: str
    key: str
    sequence: int
    upstream: str
    operation: str
    argument: dict[str, Any]
    offset: int = 0
    time_left_ms: float = 120_000.0
    trace: str = ''


class ViewProgram(NamedTuple):
    """Ask for a program's state."""

    program: str


class ViewCall(NamedTuple):
    """Ask for a kept answer."""

    program: str
    key: str


class EndProgram(NamedTuple):
    """End a program and cancel what it runs."""

    program: str


class View(NamedTuple):
    """A resource of the callers' API as JSON."""

    body: dict[str, Any]


class ClaimKey(NamedTuple):
    """Settle which program a key has begun.

    The first claim wins; an empty `program` only asks.
    """

    caller: str
    key: str
    program: str


class Claim(NamedTuple):
    """The program of a key; empty when there is none."""

    program: str


class WitnessAppend(NamedTuple):
    """Batches that are not in the store yet; those up to `base` are."""

    incarnation: str
    base: int
    first: int
    batches: list[bytes]


class WitnessSeal(NamedTuple):
    """Stop accepting batches of a dead incarnation and hand them over."""

    incarnation: str
    base: int


class WitnessBatches(NamedTuple):
    """What a witness holds after the asked-for base."""

    first: int
    batches: list[bytes]


class HandOver(NamedTuple):
    """A stopping entry asks for its programs to be taken over now."""

    incarnation: str


class Report(NamedTuple):
    """A sidecar's load, by datagram."""

    sidecar: str
    boot_id: str
    upstream: str
    address: str
    zone: str
    number: int
    running: int
    queued: int
    slots: int
    leaving: bool
    version: int
    digest: str


class Beat(NamedTuple):
    """An entry's heartbeat, by datagram."""

    incarnation: str
    number: int


class Entries(NamedTuple):
    """The entries that a sidecar should report to, and how often.

    `digest` comes back in the reports; nothing is sent while it is the same.
    """

    addresses: list[str]
    interval_ms: int
    digest: str


class UpstreamConfig(NamedTuple):
    """A newer accepted declaration, sent back to a reporting sidecar."""

    name: str
    version: int
    spec: dict[str, Any]


MESSAGE_TYPES: tuple[type[Any], ...] = (
    Hello,
    Welcome,
    Dispatch,
    Tokens,
    Answer,
    NeedHistory,
    Resolve,
    Resolution,
    Follow,
    Settle,
    Renew,
    Release,
    Drain,
    Done,
    BeginProgram,
    CallProgram,
    ViewProgram,
    ViewCall,
    EndProgram,
    View,
    ClaimKey,
    Claim,
    WitnessAppend,
    WitnessSeal,
    WitnessBatches,
    HandOver,
    Report,
    Beat,
    Entries,
    UpstreamConfig,
    RefusalBody,
    TurnRecord,
    ReserveTokens,
    SettleTokens,
    Settlements,
    Stored,
    Spent,
    FindChain,
    Chain,
    FindMissing,
    Listing,
    Missing,
    PullRecords,
    PushRecords,
    ReadPrefix,
    RecordBatch,
)
DECODERS = {
    message_type.__name__: msgspec.msgpack.Decoder(message_type)
    for message_type in MESSAGE_TYPES
}


class Frame(NamedTuple):
    """One message of one exchange."""

    exchange: int
    kind: str
    body: Any


class RawFrame(NamedTuple):
    """A frame whose body is still encoded."""

    exchange: int
    kind: str
    body: msgspec.Raw


ENCODER = msgspec.msgpack.Encoder()
FRAMES_DECODER = msgspec.msgpack.Decoder(list[RawFrame])
DATAGRAM_DECODER = msgspec.msgpack.Decoder(RawFrame)


def encode_frames(frames: Iterable[Frame]) -> bytes:
    """Pack frames into one transport message."""
    return ENCODER.encode(list(frames))


def decode_frames(payload: bytes) -> list[Frame]:
    """Unpack a transport message.

    Raises:
        Refusal: with code `protocol` when it is no valid message.
    """
    try:
        return [decode_body(raw) for raw in FRAMES_DECODER.decode(payload)]
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise malformed(error) from error


def decode_body(raw: RawFrame) -> Frame:
    """Decode one body by the kind that its frame names."""
    if raw.kind in {CANCEL_KIND, END_KIND}:
        return Frame(raw.exchange, raw.kind, None)
    decoder = DECODERS.get(raw.kind)
    if decoder is None:
        raise Refusal(RefusalCode.PROTOCOL, f'unknown kind {raw.kind!r}')
    return Frame(raw.exchange, raw.kind, decoder.decode(raw.body))


def encode_datagram(message: Any) -> bytes:
    """Pack one message for a datagram."""
    return ENCODER.encode(Frame(0, type(message).__name__, message))


def decode_datagram(payload: bytes) -> Any:
    """Unpack a datagram.

    Raises:
        Refusal: with code `protocol` when it is no valid message.
    """
    try:
        return decode_body(DATAGRAM_DECODER.decode(payload)).body
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise malformed(error) from error


def malformed(error: Exception) -> Refusal:
    """Describe a payload that does not decode."""
    return Refusal(
        RefusalCode.PROTOCOL,
        f'malformed message: {error}',
        Outcome.UNKNOWN,
    )
