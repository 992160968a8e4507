"""The types of all messages between pollenwalk processes, and their decoders.

Each message is a `NamedTuple` and is encoded as a msgpack array, so the order of its
fields is part of the protocol and their names are not. The name of a message type is
part of the protocol.
"""

from typing import Any

import msgspec

from pollenwalk.connection.call_messages import (
    Answer,
    Dispatch,
    Follow,
    NeedHistory,
    Resolution,
    Resolve,
    Settle,
    Tokens,
)
from pollenwalk.connection.crash_messages import CrashNote
from pollenwalk.connection.fleet_messages import Beat, Entries, Report, UpstreamConfig
from pollenwalk.connection.journal_messages import (
    HandOver,
    WitnessAppend,
    WitnessBatches,
    WitnessSeal,
)
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
from pollenwalk.connection.peer_messages import Done, Hello, Welcome
from pollenwalk.connection.program_messages import (
    BeginProgram,
    CallProgram,
    Claim,
    ClaimKey,
    EndProgram,
    View,
    ViewCall,
    ViewProgram,
)
from pollenwalk.connection.quota_messages import (
    BorrowQuotas,
    FindQuota,
    LentQuotas,
    QuotaGrant,
    QuotaState,
    RequestQuota,
)
from pollenwalk.connection.sidecar_messages import Drain, Release, Renew
from pollenwalk.connection.store_messages import (
    FollowedPrefix,
    FollowPrefix,
    Listing,
    ReadPrefix,
)
from pollenwalk.connection.trial_messages import (
    EndTrial,
    RequestTrial,
    TrialDecision,
)
from pollenwalk.errors import RefusalBody
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
    ExtendTurns,
    FindChain,
    FindMissing,
    KeepTurns,
    ListTurns,
    Missing,
    PullAccounts,
    PullTurns,
    PushRecords,
    RaiseRetention,
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
    ExtendTurns,
    RaiseRetention,
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
    RequestTrial,
    TrialDecision,
    EndTrial,
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
