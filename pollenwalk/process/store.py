"""What pollenwalk needs of the platform's object store.

The store is the only place of agreement. Its answers can be lost after a
write took effect, so a write that must happen once carries a nonce and is
read back when its answer is missing.
"""

import random
from typing import NamedTuple, Protocol

from pollenwalk.errors import StoreConflict, StoreUnavailable
from pollenwalk.process.clock import Clock

MAX_VALUE_BYTES = 1_000_000
ABSENT = 0
# Fewer and longer watches cost the store less.
LONG_WAIT_MS = 25_000
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

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait_ms: int = LONG_WAIT_MS,
    ) -> Changes:
        """Wait a bounded time for changes after a revision.

        Raises:
            StoreHistoryGone: the store has forgotten that revision.
        """


def make_nonce(rng: random.Random) -> str:
    """Make an id that no other process makes."""
    return f'{rng.getrandbits(NONCE_BITS):016x}'


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
