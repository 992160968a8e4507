"""Messages by which callers' requests reach the entry that owns a program or key."""

from typing import Any, NamedTuple


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
