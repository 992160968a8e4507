"""Following what is below a prefix of the store.

A watch is not enough: it may hear nothing while changes are made, or be cut
without a word. So each watch is short enough for what depends on it, and an
answer without changes never moves the revision that the next one starts from:
that one is answered at once if the last has missed anything.
"""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

from pollenwalk.errors import StoreHistoryGone, StoreUnavailable
from pollenwalk.process.clock import Clock
from pollenwalk.process.store import (
    WATCH_TIMEOUT_MS,
    Backoff,
    Changes,
    ObjectStore,
    StoredObject,
)


class WatchHandlers(NamedTuple):
    """Who hears of what is followed.

    Attributes:
        on_object: gets each object; it must bear one that it has seen. An object
            that is gone comes without a body, also when it went while the
            store could not be watched.
        on_read: called after each answer.
        on_unavailable: called when the store gave no answer.
        relay: lists the prefix by way of another process while the store
            gives no answer here; None where that can't be done either.
    """

    on_object: Callable[[StoredObject], None]
    on_read: Callable[[], None] | None = None
    on_unavailable: Callable[[StoreUnavailable], None] | None = None
    relay: Callable[[str], Awaitable[Changes | None]] | None = None


class PrefixWatcher:
    """Reads everything below a prefix, then each change, for ever.

    Attributes:
        revision: that the next watch starts from; None to list anew.
        checked: of the store, at its last answer.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        prefix: str,
        handlers: WatchHandlers,
        wait_ms: float = WATCH_TIMEOUT_MS,
    ) -> None:
        """Prepare to follow.

        Args:
            store: the platform's store.
            clock: paces the tries while the store is silent.
            prefix: what to follow.
            handlers: who hears of it.
            wait_ms: how long a watch may stay quiet, and so the longest
                until a change is heard of while the store answers.
        """
        self.store = store
        self.clock = clock
        self.prefix = prefix
        self.handlers = handlers
        self.wait_ms = int(wait_ms)
        self.revision: int | None = None
        self.checked = 0
        self.known_keys: set[str] = set()

    async def run(self) -> None:
        """Follow until cancelled."""
        backoff = Backoff(self.clock)
        while True:
            try:
                changed = await self.read()
            except StoreUnavailable as error:
                if self.handlers.on_unavailable is not None:
                    self.handlers.on_unavailable(error)
                await self.read_via_relay()
                await backoff.pause()
                continue
            backoff = Backoff(self.clock)
            self.notify(changed)

    def notify(self, changed: list[StoredObject]) -> None:
        """Hand over what was read."""
        for stored in changed:
            self.handlers.on_object(stored)
        if self.handlers.on_read is not None:
            self.handlers.on_read()

    async def read_via_relay(self) -> None:
        """List by way of another process, if there is one."""
        if self.handlers.relay is None:
            return
        listing = await self.handlers.relay(self.prefix)
        if listing is not None and listing.revision >= self.checked:
            self.notify(self.apply_listing(listing))

    async def read(self) -> list[StoredObject]:
        """Read everything at first, then what is newer than the last read.

        Raises:
            StoreUnavailable: the store gave no answer.
        """
        if self.revision is None:
            return self.apply_listing(await self.store.scan(self.prefix))
        try:
            changes = await self.store.watch(
                self.prefix,
                self.revision,
                self.wait_ms,
            )
        except StoreHistoryGone:
            self.revision = None
            return await self.read()
        self.checked = max(self.checked, changes.revision)
        if changes.objects:
            self.revision = max(self.revision, changes.revision)
        for stored in changes.objects:
            self.note_object(stored)
        return changes.objects

    def apply_listing(self, listing: Changes) -> list[StoredObject]:
        """Add a deletion for each object that is no longer listed."""
        self.revision = listing.revision
        self.checked = max(self.checked, listing.revision)
        listed = {stored.key for stored in listing.objects}
        gone = [
            StoredObject(key, b'', listing.revision)
            for key in sorted(self.known_keys - listed)
        ]
        self.known_keys = listed
        return [*listing.objects, *gone]

    def note_object(self, stored: StoredObject) -> None:
        """Remember whether an object is there."""
        if stored.body:
            self.known_keys.add(stored.key)
        else:
            self.known_keys.discard(stored.key)


async def watch_prefix(
    store: ObjectStore,
    clock: Clock,
    prefix: str,
    on_object: Callable[[StoredObject], None],
    on_read: Callable[[], None] | None = None,
) -> None:
    """Follow a prefix on its own, for ever."""
    await PrefixWatcher(store, clock, prefix, WatchHandlers(on_object, on_read)).run()
