"""What pollenwalk needs of the platform's object store.

The store is the only place of agreement. Its answers can be lost after a
write took effect, so a write that must happen once carries a nonce and is
read back when its answer is missing.
"""

import random
from collections.abc import Callable
from typing import NamedTuple, Protocol

from pollenwalk.errors import StoreConflict, StoreHistoryGone, StoreUnavailable
from pollenwalk.process.clock import Clock

MAX_VALUE_BYTES = 1_000_000
ABSENT = 0
RETRY_FIRST_MS = 20
RETRY_LAST_MS = 1000
BACKOFF = 2
NONCE_BITS = 64


class StoredObject(NamedTuple):
    """An object; its version grows with each write in the whole store."""

    key: str
    body: bytes
    version: int


class Changes(NamedTuple):
    """What a watch saw; an object without body has been deleted."""

    revision: int
    objects: list[StoredObject]


class ObjectStore(Protocol):
    """The platform's object API.

    Every method raises `StoreUnavailable` when no answer came. A write that
    raised it may have taken effect.
    """

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""

    async def put(self, key: str, body: bytes, version: int | None) -> int:
        """Write an object and give its new version.

        Args:
            key: the object's name.
            body: at most 1 MB.
            version: the version it must have; `ABSENT` to create it, None
                to write whatever is there.

        Raises:
            StoreConflict: the object has another version.
        """

    async def delete(self, key: str) -> None:
        """Delete an object; one that is not there is no error."""

    async def scan(self, prefix: str) -> Changes:
        """Read all objects below a prefix, in the order of their names."""

    async def watch(self, prefix: str, revision: int) -> Changes:
        """Wait a bounded time for changes after a revision."""


def make_nonce(dice: random.Random) -> str:
    """Make an id that no other process makes."""
    return f'{dice.getrandbits(NONCE_BITS):016x}'


class Backoff:
    """Growing pauses between attempts."""

    def __init__(self, clock: Clock) -> None:
        """Start with the shortest pause."""
        self.clock = clock
        self.pause_ms = float(RETRY_FIRST_MS)

    async def pause(self) -> None:
        """Wait, and wait longer next time."""
        await self.clock.sleep_ms(self.pause_ms)
        self.pause_ms = min(self.pause_ms * BACKOFF, RETRY_LAST_MS)


async def create_once(
    store: ObjectStore,
    clock: Clock,
    key: str,
    body: bytes,
) -> bool:
    """Create an object exactly once, however often the answer is lost.

    The body must hold a nonce of its writer, so that reading it back tells
    whose write took effect.

    Args:
        store: the platform's store.
        clock: paces the retries.
        key: the object's name.
        body: what to write.

    Returns:
        Whether the object is ours; False when another writer was first.
    """
    backoff = Backoff(clock)
    while True:
        try:
            return await create_or_compare(store, key, body)
        except StoreUnavailable:
            await backoff.pause()


async def create_or_compare(store: ObjectStore, key: str, body: bytes) -> bool:
    """Try once to create; where something is there, compare it."""
    try:
        await store.put(key, body, ABSENT)
    except StoreConflict:
        present = await store.get(key)
        return present is not None and present.body == body
    return True


async def follow(
    store: ObjectStore,
    clock: Clock,
    prefix: str,
    take: Callable[[StoredObject], None],
    after_read: Callable[[], None] | None = None,
    on_loss: Callable[[StoreUnavailable], None] | None = None,
) -> None:
    """Hand over what is below a prefix, then each change, for ever.

    An object that has gone is handed over without a body, also when it went
    while the store could not be watched.

    Args:
        store: the platform's store.
        clock: paces the tries while the store is silent.
        prefix: what to follow.
        take: gets each object; it must bear one that it has seen.
        after_read: called after each answer.
        on_loss: called when the store gave no answer.
    """
    follower = Follower(store, prefix)
    backoff = Backoff(clock)
    while True:
        try:
            changed = await follower.read()
        except StoreUnavailable as error:
            if on_loss is not None:
                on_loss(error)
            await backoff.pause()
            continue
        backoff = Backoff(clock)
        for stored in changed:
            take(stored)
        if after_read is not None:
            after_read()


class Follower:
    """What has been read below one prefix."""

    def __init__(self, store: ObjectStore, prefix: str) -> None:
        """Start with nothing read."""
        self.store = store
        self.prefix = prefix
        self.revision = 0
        self.known: set[str] = set()

    async def read(self) -> list[StoredObject]:
        """Read everything at first, then what is newer than the last read.

        Raises:
            StoreUnavailable: the store gave no answer.
        """
        if not self.revision:
            return self.list_anew(await self.store.scan(self.prefix))
        try:
            changes = await self.store.watch(self.prefix, self.revision)
        except StoreHistoryGone:
            self.revision = 0
            return await self.read()
        self.revision = max(self.revision, changes.revision)
        for stored in changes.objects:
            self.note(stored)
        return changes.objects

    def list_anew(self, listing: Changes) -> list[StoredObject]:
        """Add a deletion for each object that is no longer listed."""
        self.revision = listing.revision
        listed = {stored.key for stored in listing.objects}
        gone = [
            StoredObject(key, b'', listing.revision)
            for key in sorted(self.known - listed)
        ]
        self.known = listed
        return [*listing.objects, *gone]

    def note(self, stored: StoredObject) -> None:
        """Remember whether an object is there."""
        if stored.body:
            self.known.add(stored.key)
        else:
            self.known.discard(stored.key)
