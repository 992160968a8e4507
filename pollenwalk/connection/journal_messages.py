"""Messages about the journal and the programs of an entry that stops or has died."""

from typing import NamedTuple


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
