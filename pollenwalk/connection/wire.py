"""The messages between pollenwalk processes, and their encoding.

Each message is a `NamedTuple` and is encoded as a msgpack array, so the order
of its fields is part of the protocol and their names are not. A `Frame` contains
one message and states its kind, which is the name of the message type. Several
frames can be encoded together as one payload for a channel. A payload that can't
be decoded ends the connection.
"""

from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from pollenwalk.connection.crash_messages import CrashNote
from pollenwalk.connection.limit_messages import (
    BorrowShares,
    ExchangeLimits,
    KnownLimits,
    LentShares,
    PermitDecision,
    RequestPermit,
    TellLimits,
)
from pollenwalk.connection.load_messages import (
    CountedFleetState,
    FleetState,
    GatewayLoad,
)
from pollenwalk.connection.quota_messages import (
    BorrowQuotas,
    FindQuota,
    LentQuotas,
    QuotaGrant,
    QuotaState,
    RequestQuota,
)
from pollenwalk.connection.store_messages import (
    FollowedPrefix,
    FollowPrefix,
    Listing,
    ReadPrefix,
)
from pollenwalk.errors import Outcome, Refusal, RefusalBody, RefusalCode
from pollenwalk.program.streams import (
    FindStreamOrigin,
    FoundStreamOrigin,
    StreamOrigin,
)
from pollenwalk.program.turns import (
    Chain,
    CheckReachable,
    CopiesEnsured,
    EnsureCopies,
    FindChain,
    FindMissing,
    KeepTurns,
    ListTurns,
    Missing,
    PullAccounts,
    PullTurns,
    PushRecords,
    Reachable,
    RecordBatch,
    ReserveTokens,
    Settlements,
    SettleTokens,
    Spent,
    Stored,
    TurnList,
    TurnRecord,
)

PROTOCOL_VERSION = 1
CANCEL_KIND = 'cancel'
END_KIND = 'end'


class Hello(NamedTuple):
    """First message on a connection, sent by the side that connects.

    Attributes:
        protocol: protocol version of the sender.
        incarnation: id of this start of the sending process.
        epoch: a number that increases with each connection from this incarnation
            to the same peer, so that the peer can reject requests that still
            arrive on an earlier connection.
        zone: availability zone of the sender.
    """

    protocol: int
    incarnation: str
    epoch: int
    zone: str


class Welcome(NamedTuple):
    """The answer to `Hello`.

    Attributes:
        protocol: protocol version of the answering process.
        boot_id: id of this start of the answering process.
    """

    protocol: int
    boot_id: str


class HistoryItem(NamedTuple):
    """A chat message in a program's history."""

    role: str
    content: str


class Dispatch(NamedTuple):
    """A call, sent to the sidecar of the chosen upstream host.

    Attributes:
        call: id of the call.
        program: id of the program.
        boot_id: the start of the sidecar that the call is meant for.
        operation: name of the operation.
        idempotent: whether the call may be run more than once.
        argument: input of the operation.
        base: digest of the first part of the history, which the sidecar is
            expected to have cached; empty if `delta` is the whole history.
        delta: the rest of the history.
        digest: digest of the whole history.
        max_tokens: limit on the generated tokens.
        priority: priority of the call.
        program_age_ms: time since the program began.
        time_left_ms: time until the call's deadline.
        trace: trace context of the call.
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
    """Streamed tokens of an answer; `offset` tokens come before them."""

    offset: int
    texts: list[str]


class Answer(NamedTuple):
    """The complete answer of an upstream.

    Attributes:
        output: output of the operation.
        tokens: number of generated tokens.
        prefilled: number of prompt tokens that were not in the engine's cache
            and had to be computed.
        remaining_calls: number of calls that are still running or queued at the
            sidecar. The entry thereby knows the load before the next report.
    """

    output: dict[str, Any]
    tokens: int = 0
    prefilled: int = 0
    remaining_calls: int = 0


class NeedHistory(NamedTuple):
    """Answer to `Dispatch`: the sidecar has no history with the digest `base`."""

    program: str


class Resolve(NamedTuple):
    """Request for the state of a dispatched call.

    Attributes:
        call: id of the call.
        boot_id: the start of the sidecar that the call was sent to.
        fence: a sealed incarnation, whose dispatches the sidecar must refuse
            from now on; empty if none.
    """

    call: str
    boot_id: str
    fence: str


class Resolution(NamedTuple):
    """The answer to `Resolve`.

    Attributes:
        state: 'done' if the call has ended at the sidecar, 'running' if it is
            queued or running there, 'not_run' if the sidecar does not have it.
    """

    state: str


class Follow(NamedTuple):
    """Request for the tokens, after `offset`, and the answer of a known call."""

    call: str
    boot_id: str
    offset: int


class Settle(NamedTuple):
    """Notice that the results of these calls are durable.

    The sidecar may discard its copies of them.
    """

    calls: list[str]


class Renew(NamedTuple):
    """Request to renew the leases of these programs on engine memory."""

    programs: list[str]


class Release(NamedTuple):
    """Request to free the engine memory of these programs, which have ended."""

    programs: list[str]


class Drain(NamedTuple):
    """Request of an operator that a sidecar accept no new calls."""


class Done(NamedTuple):
    """Answer without content to a request that has succeeded."""


class BeginProgram(NamedTuple):
    """Request to begin a declared program.

    Attributes:
        declaration: name of the declared program.
        caller: name of the caller.
        key: idempotency key; empty if none.
        budget: token budget, limited by that of the declaration; None to use
            the declaration's.
        deadline_ms: time that the program may take, limited by that of the
            declaration; None to use the declaration's.
        parent: id of the program from whose budget the new program's budget is
            taken; None if there is none.
        program: id of the new program; empty until it is determined.
    """

    declaration: str
    caller: str
    key: str
    budget: int | None = None
    deadline_ms: int | None = None
    parent: str | None = None
    program: str = ''


class CallProgram(NamedTuple):
    """A call of a program, as its caller sent it.

    Attributes:
        program: id of the program.
        key: idempotency key.
        sequence: sequence number of the call within the program.
        upstream: name of the upstream.
        operation: name of the operation.
        argument: input of the operation.
        offset: number of tokens that the caller already has.
        time_left_ms: time until the call's deadline.
        trace: trace context of the call.
    """

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
    """Request for the state of a program."""

    program: str


class ViewCall(NamedTuple):
    """Request for the stored answer to the call with this idempotency key."""

    program: str
    key: str


class EndProgram(NamedTuple):
    """Request to end a program and cancel its running calls."""

    program: str


class View(NamedTuple):
    """A resource of the callers' API, as the JSON object to be returned."""

    body: dict[str, Any]


class ClaimKey(NamedTuple):
    """Request to bind an idempotency key of a caller to a program id.

    The first claim of a key wins. An empty `program` only asks which program
    the key is bound to.
    """

    caller: str
    key: str
    program: str


class Claim(NamedTuple):
    """The answer to `ClaimKey`: the program bound to the key; empty if none."""

    program: str


class WitnessAppend(NamedTuple):
    """Journal batches that are not in the store yet, sent to a witness.

    Attributes:
        incarnation: the owner whose journal it is.
        base: number of the last batch that is in the store; the witness can
            discard batches up to it.
        first: number of the first of `batches`.
        batches: consecutive encoded batches.
    """

    incarnation: str
    base: int
    first: int
    batches: list[bytes]


class WitnessSeal(NamedTuple):
    """Request to accept no more batches of a dead incarnation.

    The witness answers with the batches after number `base`.
    """

    incarnation: str
    base: int


class WitnessBatches(NamedTuple):
    """The answer to `WitnessSeal`; `first` is the number of the first batch."""

    first: int
    batches: list[bytes]


class HandOver(NamedTuple):
    """Request that a stopping entry sends to another, to take over its programs.

    Attributes:
        incarnation: incarnation of the stopping entry.
    """

    incarnation: str


class Report(NamedTuple):
    """Load report of a sidecar, sent by datagram.

    Attributes:
        sidecar: name of the sidecar.
        boot_id: id of this start of the sidecar.
        upstream: name of the upstream that it serves.
        address: `ip:port` of the sidecar.
        zone: availability zone of the sidecar.
        number: number of the report; later reports have higher numbers.
        running: number of running calls.
        queued: number of calls waiting for a slot.
        slots: number of calls that may run concurrently.
        leaving: whether the sidecar accepts no new calls.
        version: version of the upstream's declaration in use.
        digest: digest of the `Entries` message received last.
    """

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
    """Heartbeat of an entry, sent by datagram.

    It is also sent as a request, to check whether a process answers; its number
    is then 0.

    Attributes:
        incarnation: incarnation of the sender; empty if it is a command.
        number: number of the heartbeat, which increases with each.
    """

    incarnation: str
    number: int


class Entries(NamedTuple):
    """The entries that a sidecar has to report to, and the interval.

    The sidecar's reports state the `digest` that it received last. The message
    is sent again only if that differs from the current one.
    """

    addresses: list[str]
    interval_ms: int
    digest: str


class UpstreamConfig(NamedTuple):
    """The accepted declaration of an upstream, sent to its sidecars.

    It is sent when it is accepted, and in response to each report that states
    an older version.
    """

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
    CrashNote,
    FindChain,
    Chain,
    FindMissing,
    KeepTurns,
    CheckReachable,
    Reachable,
    ListTurns,
    TurnList,
    PullTurns,
    EnsureCopies,
    CopiesEnsured,
    Listing,
    Missing,
    PullAccounts,
    PushRecords,
    ReadPrefix,
    FollowPrefix,
    FollowedPrefix,
    RecordBatch,
    StreamOrigin,
    FindStreamOrigin,
    FoundStreamOrigin,
    RequestPermit,
    PermitDecision,
    TellLimits,
    ExchangeLimits,
    KnownLimits,
    BorrowShares,
    LentShares,
    GatewayLoad,
    FleetState,
    CountedFleetState,
    RequestQuota,
    QuotaGrant,
    BorrowQuotas,
    LentQuotas,
    FindQuota,
    QuotaState,
)
DECODERS = {
    message_type.__name__: msgspec.msgpack.Decoder(message_type)
    for message_type in MESSAGE_TYPES
}


class Frame(NamedTuple):
    """One message of an exchange, which is a request with its answers.

    Attributes:
        exchange: number of the exchange on its connection.
        kind: name of the message type, CANCEL_KIND or END_KIND.
        body: the message; None for CANCEL_KIND and END_KIND.
    """

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


def encode_frame(frame: Frame) -> bytes:
    """Encode one frame, as a part of a payload."""
    return ENCODER.encode(frame)


def encode_frames(frames: Iterable[Frame | msgspec.Raw]) -> bytes:
    """Encode frames, or put encoded ones together, as one payload for a channel."""
    return ENCODER.encode(list(frames))


def decode_frames(payload: bytes) -> list[Frame]:
    """Decode the frames in one payload of a channel.

    Raises:
        Refusal: the payload is malformed; the code is `protocol`.
    """
    try:
        return [decode_body(raw) for raw in FRAMES_DECODER.decode(payload)]
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise malformed(error) from error


def decode_body(raw: RawFrame) -> Frame:
    """Decode the body of a frame according to its kind.

    Raises:
        Refusal: the kind is unknown; the code is `protocol`.
        msgspec.DecodeError: the body is malformed.
    """
    if raw.kind in {CANCEL_KIND, END_KIND}:
        return Frame(raw.exchange, raw.kind, None)
    decoder = DECODERS.get(raw.kind)
    if decoder is None:
        raise Refusal(RefusalCode.PROTOCOL, f'unknown message kind {raw.kind!r}')
    return Frame(raw.exchange, raw.kind, decoder.decode(raw.body))


def encode_datagram(message: Any) -> bytes:
    """Encode a message as the payload of a datagram."""
    return ENCODER.encode(Frame(0, type(message).__name__, message))


def decode_datagram(payload: bytes) -> Any:
    """Decode the message in a datagram.

    Raises:
        Refusal: the payload is malformed; the code is `protocol`.
    """
    try:
        return decode_body(DATAGRAM_DECODER.decode(payload)).body
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise malformed(error) from error


def malformed(error: Exception) -> Refusal:
    """Return the refusal of a payload that can't be decoded."""
    return Refusal(
        RefusalCode.PROTOCOL,
        f'malformed message: {error}',
        Outcome.UNKNOWN,
    )
