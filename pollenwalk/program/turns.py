"""The turns and spent tokens of programs, as keepers hold them.

Turns form a graph: several turns may continue from the same one. A record
never changes once it is written, so any copy of it is right.
"""

from typing import NamedTuple


class TurnRecord(NamedTuple):
    """A turn that was answered whole.

    Attributes:
        turn: the id of its request.
        program: that it belongs to.
        previous: the turn that it continues; empty at the start of a chain.
        input: its new input.
        output: the data of its events, each followed by a line feed.
        tokens: that were generated.
        retention_ms: how long it is kept after its last use.
        replicas: the keepers that were asked to hold it.
    """

    turn: str
    program: str
    previous: str
    input: bytes
    output: bytes
    tokens: int
    retention_ms: float
    replicas: list[str]

    @property
    def size_bytes(self) -> int:
        """Give the bytes that it adds to a prompt."""
        return len(self.input) + len(self.output)


class ReserveTokens(NamedTuple):
    """Sets aside the most that a turn can generate."""

    program: str
    turn: str
    max_tokens: int
    retention_ms: float


class SettleTokens(NamedTuple):
    """Replaces what a turn has set aside by what it has shown."""

    program: str
    turn: str
    tokens: int
    retention_ms: float


class Settlements(NamedTuple):
    """What several turns have shown."""

    settled: list[SettleTokens]


class Stored(NamedTuple):
    """A record is on a keeper's disk.

    Attributes:
        complete: whether the keeper has all that it should have.
    """

    complete: bool


class TokenEntry(NamedTuple):
    """What one turn counts for; the most of it until it is settled."""

    turn: str
    tokens: int
    settled: bool


class Spent(NamedTuple):
    """All that a keeper knows of a program's tokens."""

    complete: bool
    entries: list[TokenEntry]


class FindChain(NamedTuple):
    """Asks for a turn and those before it."""

    turn: str


class Chain(NamedTuple):
    """A turn and those before it, the oldest first.

    Attributes:
        complete: whether the keeper has all that it should have.
        turns: an unbroken part of the chain, up to the turn asked for.
        missing: the turn before the oldest; empty at the chain's start. It
            is the turn asked for where nothing was found.
    """

    complete: bool
    turns: list[TurnRecord]
    missing: str


class PullRecords(NamedTuple):
    """Asks for all accounts, and for the turns with too few copies.

    Attributes:
        lost: keepers whose copies don't count.
    """

    lost: list[str]


class FindMissing(NamedTuple):
    """Asks which of some turns a keeper has not."""

    turns: list[str]


class Missing(NamedTuple):
    """The turns that a keeper has not."""

    turns: list[str]


class RecordBatch(NamedTuple):
    """Some encoded records."""

    complete: bool
    records: list[bytes]


class ReadPrefix(NamedTuple):
    """Asks a keeper to list a prefix of the store for somebody cut off."""

    prefix: str


class ListedObject(NamedTuple):
    """One object of the store."""

    key: str
    body: bytes
    version: int


class Listing(NamedTuple):
    """What a keeper has just read in the store."""

    revision: int
    objects: list[ListedObject]


class PushRecords(NamedTuple):
    """Hands records to another keeper."""

    records: list[bytes]
