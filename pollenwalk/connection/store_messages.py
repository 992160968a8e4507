"""Messages by which keepers pass on what the platform's store holds.

Few keepers watch the store. The other processes follow it through them, so that the
number of calls to the store does not grow with the number of processes.
"""

from typing import NamedTuple


class ReadPrefix(NamedTuple):
    """Asks a keeper to list a store prefix for a process that can't reach the store."""

    prefix: str


class ListedObject(NamedTuple):
    """An object of the store; one without a body was deleted."""

    key: str
    body: bytes
    version: int


class Listing(NamedTuple):
    """The objects below a store prefix, as a keeper has just read them."""

    revision: int
    objects: list[ListedObject]


class FollowPrefix(NamedTuple):
    """Asks a keeper for the changes below a store prefix after a revision.

    Attributes:
        prefix: the prefix.
        revision: the last revision that is known; None asks for all objects.
        wait_ms: how long the keeper waits for a change.
        watch_ms: longest duration of the watches by which the keeper follows the prefix
            itself; None leaves it as it is.
    """

    prefix: str
    revision: int | None
    wait_ms: int
    watch_ms: int | None = None


class FollowedPrefix(NamedTuple):
    """The answer to `FollowPrefix`.

    Attributes:
        revision: revision up to which the keeper knows the prefix.
        age_ms: the keeper knows all changes made until this long before its answer.
        held_ms: how long the keeper kept the question waiting.
        failure_age_ms: time since the store last failed to answer the keeper; None if
            it always has.
        history_gone: whether the keeper no longer knows which objects were deleted
            since the revision that was asked for, so that all must be asked for.
        objects: the objects, or those changed and deleted.
    """

    revision: int
    age_ms: float
    held_ms: float
    failure_age_ms: float | None
    history_gone: bool
    objects: list[ListedObject]
