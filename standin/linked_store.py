"""The store as seen from a place: its latency, and the bytes across regions."""

from pollenwalk.process.clock import Clock
from pollenwalk.process.store import (
    WATCH_TIMEOUT_MS,
    Changes,
    ObjectStore,
    StoredObject,
)
from standin.link import Map, Place

OVERHEAD_BYTES = 200


class LinkedStore:
    """Wraps a store for a process at some place."""

    def __init__(
        self,
        inner: ObjectStore,
        where: Map,
        place: Place,
        store_place: Place,
        clock: Clock,
    ) -> None:
        """Reach `inner` at `store_place` from `place`."""
        self.inner = inner
        self.where = where
        self.place = place
        self.store_place = store_place
        self.clock = clock

    async def there(self, size: int) -> None:
        """Take the time of a request."""
        await self.travel(self.place, self.store_place, size)

    async def back(self, size: int) -> None:
        """Take the time of an answer."""
        await self.travel(self.store_place, self.place, size)

    async def travel(self, source: Place, target: Place, size: int) -> None:
        """Count a message and take its time."""
        total = size + OVERHEAD_BYTES
        now_ms = self.clock.now_ms()
        delay_ms = self.where.delay_ms(source, target, total, now_ms)
        if delay_ms:
            await self.clock.sleep_ms(delay_ms)

    async def get(self, key: str) -> StoredObject | None:
        """Read one object."""
        await self.there(0)
        stored = await self.inner.get(key)
        await self.back(len(stored.body) if stored else 0)
        return stored

    async def put(self, key: str, body: bytes, version: int | None) -> int:
        """Write an object."""
        await self.there(len(body))
        written = await self.inner.put(key, body, version)
        await self.back(0)
        return written

    async def delete(self, key: str) -> None:
        """Delete an object."""
        await self.there(0)
        await self.inner.delete(key)
        await self.back(0)

    async def scan(self, prefix: str) -> Changes:
        """Read all objects below a prefix."""
        await self.there(0)
        changes = await self.inner.scan(prefix)
        await self.back(size_of(changes))
        return changes

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait_ms: int = WATCH_TIMEOUT_MS,
    ) -> Changes:
        """Wait for changes."""
        await self.there(0)
        changes = await self.inner.watch(prefix, revision, wait_ms)
        await self.back(size_of(changes))
        return changes


def size_of(changes: Changes) -> int:
    """Count the bytes of a list."""
    return sum(len(stored.body) + len(stored.key) for stored in changes.objects)
