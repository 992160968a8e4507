"""Messages and records of keepers: programs' turns and token accounts.

Turns form trees, as several turns may continue the same one. A turn record
never changes once it is written, so every copy of it is current.
"""

from typing import NamedTuple


class TurnRecord(NamedTuple):
    """A turn whose answer is complete.

    Attributes:
        turn: id of the turn, which is that of its request.
        program: id of the program that the turn belongs to.
        previous: id of the turn that it continues; empty for the first turn
            of a chain.
        input: the input that this turn added to the prompt.
        output: the data of the answer's events, each followed by a line feed.
        tokens: number of tokens that these events count for.
        retention_ms: how long the record is kept after its last use, if no turn that
            continues it is needed for longer.
        replicas: names of the keepers that were asked to keep a copy.
        organisation: name of the organisation that the turn belongs to; empty for
            none.
    """

    turn: str
    program: str
    previous: str
    input: bytes
    output: bytes
    tokens: int
    retention_ms: float
    replicas: list[str]
    organisation: str = ''

    @property
    def size_bytes(self) -> int:
        """Return how many bytes the turn adds to a prompt."""
        return len(self.input) + len(self.output)


class ReserveTokens(NamedTuple):
    """Reserves the most tokens that a turn can generate.

    `retention_ms` is how long the account is kept after its last use.
    """

    program: str
    turn: str
    max_tokens: int
    retention_ms: float


class SettleTokens(NamedTuple):
    """Replaces a turn's reservation by the number of tokens sent to its caller.

    `retention_ms` is how long the account is kept after its last use.
    """

    program: str
    turn: str
    tokens: int
    retention_ms: float


class Settlements(NamedTuple):
    """The settlements of several turns in one message."""

    settled: list[SettleTokens]


class Stored(NamedTuple):
    """Confirms that records are on a keeper's disk.

    Attributes:
        complete: whether the keeper has all records that it should have: none
            were lost, or the lost ones were fetched from other keepers.
    """

    complete: bool


class TokenEntry(NamedTuple):
    """The tokens that count for one turn: its reservation until it is settled."""

    turn: str
    tokens: int
    settled: bool


class Spent(NamedTuple):
    """The entries of all turns of a program that a keeper knows.

    Attributes:
        complete: whether the keeper has all its records; see `Stored`.
        entries: one for each turn.
    """

    complete: bool
    entries: list[TokenEntry]


class FindChain(NamedTuple):
    """Asks a keeper for a turn and its predecessors."""

    turn: str


class Chain(NamedTuple):
    """A turn and its predecessors, the oldest first.

    Attributes:
        complete: whether the keeper has all its records; see `Stored`.
        turns: the chain without gaps, up to the requested turn; empty if the
            keeper does not have that turn.
        missing: id of the turn before the first of `turns`, which the keeper
            does not have; empty if `turns` begins with the chain's first turn.
            If `turns` is empty, the requested turn.
    """

    complete: bool
    turns: list[TurnRecord]
    missing: str


class PullAccounts(NamedTuple):
    """Asks a keeper for the reservations and settlements of all accounts."""


class ListTurns(NamedTuple):
    """Asks a keeper for the ids of all turns that it has."""


class TurnList(NamedTuple):
    """The ids of the turns that a keeper has.

    Attributes:
        complete: whether the keeper has all its records; see `Stored`.
        turns: the ids.
    """

    complete: bool
    turns: list[str]


class PullTurns(NamedTuple):
    """Asks a keeper for those of the given turns that it has."""

    turns: list[str]


class KeepTurns(NamedTuple):
    """Tells a keeper that turns have been used; it answers with those it lacks.

    Former gateways send it, and former keepers know no other; see `ExtendTurns`.
    """

    turns: list[str]


class ExtendTurns(NamedTuple):
    """Tells a keeper for how long turns are needed; it answers with those it lacks.

    They and their predecessors are kept for `retention_ms` after each use from now on,
    or for their own retention if that is longer. It is also the record of this on disk.
    """

    turns: list[str]
    retention_ms: float


class RaiseRetention(NamedTuple):
    """Tells a keeper that a retention of turns and accounts was raised.

    What is kept for at least `former_ms` is kept for `retention_ms` from now on.
    """

    former_ms: float
    retention_ms: float


class FindMissing(NamedTuple):
    """Asks a keeper which of the given turns it does not have."""

    turns: list[str]


class Missing(NamedTuple):
    """The requested turns that a keeper does not have."""

    turns: list[str]


class CheckReachable(NamedTuple):
    """Asks a keeper whether it reaches another one; `keeper` is that one's name."""

    keeper: str


class Reachable(NamedTuple):
    """Whether a keeper has just been reached by the one that was asked."""

    reachable: bool


class EnsureCopies(NamedTuple):
    """Asks a keeper to copy its turns until each is on enough of some keepers.

    Attributes:
        keepers: names of the keepers whose copies will count.
    """

    keepers: list[str]


class CopiesEnsured(NamedTuple):
    """Whether each turn of a keeper is on enough of the named keepers.

    `done` is false while the keeper still copies, and after a failure.
    """

    done: bool


class RecordBatch(NamedTuple):
    """A batch of encoded records; a keeper's answer may have several batches.

    Attributes:
        complete: whether the keeper has all its records; see `Stored`.
        records: each encoded like the payload of a datagram.
    """

    complete: bool
    records: list[bytes]


class PushRecords(NamedTuple):
    """Sends encoded records for another keeper to keep."""

    records: list[bytes]
