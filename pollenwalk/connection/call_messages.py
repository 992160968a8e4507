"""Messages by which an entry has a call run by the sidecar of an upstream host.

`Answer` and `Tokens` also go from the owner of a program to the entry of its caller.
"""

from typing import Any, NamedTuple


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
