"""Interface to the platform's object store, and helpers for writing to it.

Processes agree with each other only through the store. Its answer can be lost
after a write took effect, so a write that must happen exactly once carries a
nonce and is read back if its answer did not arrive.
"""

import random
from typing import NamedTuple, Protocol

from pollenwalk.errors import StoreConflict, StoreUnavailable
from pollenwalk.process.clock import Clock

MAX_VALUE_BYTES = 1_000_000
ABSENT = 0
# A long timeout keeps the number of watches, and so the store's load, low.
WATCH_TIMEOUT_MS = 25_000
FIRST_RETRY_DELAY_MS = 20
MAX_RETRY_DELAY_MS = 1000
BACKOFF_FACTOR = 2
NONCE_BITS = 64


class StoredObject(NamedTuple):
    """An object of the store.

    Attributes:
        key: key of the object.
        body: content of the object.
        version: grows with each write; all objects share one counter.
    """

    key: str
    body: bytes
    version: int


class Changes(NamedTuple):
    """The result of a scan or a watch.

    Attributes:
        revision: revision of the store at the answer.
        objects: the objects found or changed; one without a body was deleted.
        known_until_ms: time until which all changes are known, on `Clock.boot_ms`;
            None for the beginning of the call.
    """

    revision: int
    objects: list[StoredObject]
    known_until_ms: float | None = None


class FollowedStore(Protocol):
    """What is needed to follow the objects below a prefix.

    Every method raises `StoreUnavailable` if no answer arrived.
    """

    async def scan(self, prefix: str) -> Changes:
        """Return all objects below a prefix, sorted by key."""

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait_ms: int = WATCH_TIMEOUT_MS,
    ) -> Changes:
        """Wait for changes below a prefix.

        Args:
            prefix: prefix of the keys.
            revision: only changes after this revision of the store count.
            wait_ms: maximum time to wait for a change, in ms.

        Returns:
            The changes; no objects if there was none in time.

        Raises:
            StoreHistoryGone: the store no longer has the changes since
                `revision`.
        """


class ObjectStore(FollowedStore, Protocol):
    """The platform's object API.

    Every method raises `StoreUnavailable` if no answer arrived. A write that
    raised it may have taken effect.
    """

    async def get(self, key: str) -> StoredObject | None:
        """Return one object, or None if there is none with this key."""

    async def put(self, key: str, body: bytes, version: int | None) -> int:
        """Write an object and return its new version.

        Args:
            key: key of the object.
            body: content of the object, at most MAX_VALUE_BYTES.
            version: the version that the object must have; `ABSENT` to create
                it, None to write it unconditionally.

        Raises:
            StoreConflict: the object has another version.
        """

    async def delete(self, key: str) -> None:
        """Delete an object, if it exists."""


def make_nonce(rng: random.Random) -> str:
    """Return a random 64-bit id in hexadecimal, which marks one writer's object."""
    return f'{rng.getrandbits(NONCE_BITS):016x}'


class Backoff:
    """Exponential back-off between retries."""

    def __init__(self, clock: Clock, longest_ms: float = MAX_RETRY_DELAY_MS) -> None:
        """Start with a delay of FIRST_RETRY_DELAY_MS."""
        self.clock = clock
        self.longest_ms = longest_ms
        self.delay_ms = float(FIRST_RETRY_DELAY_MS)

    async def pause(self) -> None:
        """Wait for `delay_ms`, then double it up to `longest_ms`."""
        await self.clock.sleep_ms(self.delay_ms)
        self.delay_ms = min(self.delay_ms * BACKOFF_FACTOR, self.longest_ms)


async def create_once(
    store: ObjectStore,
    clock: Clock,
    key: str,
    body: bytes,
) -> bool:
    """Create an object exactly once, even if answers of the store are lost.

    Retries until the store answers. The body must contain a nonce of its
    writer, so that reading it back shows whose write took effect.

    Args:
        store: the platform's store.
        clock: clock for the delays between retries.
        key: key of the object.
        body: content of the object.

    Returns:
        Whether this call created the object; False if another writer did.
    """
    backoff = Backoff(clock)
    while True:
        try:
            return await create_or_compare(store, key, body)
        except StoreUnavailable:
            await backoff.pause()


async def create_or_compare(store: ObjectStore, key: str, body: bytes) -> bool:
    """Try once to create an object; compare the body if it exists already.

    Returns:
        Whether the object has this body.

    Raises:
        StoreUnavailable: the store did not answer.
    """
    try:
        await store.put(key, body, ABSENT)
    except StoreConflict:
        present = await store.get(key)
        return present is not None and present.body == body
    return True
