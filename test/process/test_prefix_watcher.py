"""Tests of watching the store when watches stall or fail unnoticed."""

import asyncio

import testtools

from pollenwalk.errors import StoreHistoryGone
from pollenwalk.process.clock import Clock
from pollenwalk.process.prefix_watcher import PrefixWatcher, WatchHandlers
from pollenwalk.process.store import WATCH_TIMEOUT_MS, Changes, StoredObject
from standin.store import Faults, MemoryStore
from test.helper import make_clock, virtual


class StalledStore(MemoryStore):
    """A store whose watches may stall, or which may have lost its history.

    Attributes:
        watches: how many watches were started.
        stalled: whether watches of more than 1 s miss all changes.
        history_gone: whether watches from an old revision fail.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a store that has seen no watch."""
        super().__init__(clock)
        self.watches = 0

    stalled = False
    history_gone = False

    async def watch(
        self,
        prefix: str,
        revision: int,
        wait_ms: int = WATCH_TIMEOUT_MS,
    ) -> Changes:
        """Watch a prefix; a stalled watch ends without changes."""
        if self.history_gone and revision < self.revision:
            raise StoreHistoryGone('compacted')
        self.watches += 1
        if self.stalled and wait_ms > 1000:
            await self.clock.sleep_ms(wait_ms)
            return Changes(self.revision, [])
        return await super().watch(prefix, revision, wait_ms)


class PrefixWatcherTest(testtools.TestCase):
    """The objects that a watcher passes to its handlers."""

    def watcher(self, store: MemoryStore, **options: object) -> PrefixWatcher:
        """Return a watcher of `a/` that fills `self.objects`."""
        self.objects: dict[str, bytes] = {}
        handlers = WatchHandlers(self.on_object, relay=self.relay)
        return PrefixWatcher(store, store.clock, 'a/', handlers, **options)

    def on_object(self, stored: StoredObject) -> None:
        """Record an object, or remove a deleted one."""
        if stored.body:
            self.objects[stored.key] = stored.body
        else:
            self.objects.pop(stored.key, None)

    async def relay(self, prefix: str) -> Changes | None:
        """Return one object that is not in the store."""
        return Changes(99, [StoredObject('a/relayed', b'r', 99)])

    @virtual
    async def test_change_missed_by_a_stalled_watch(self) -> None:
        store = StalledStore(make_clock())
        store.stalled = True
        watching = asyncio.ensure_future(self.watcher(store, wait_ms=1500).run())
        await store.clock.sleep_ms(100)
        await store.put('a/x', b'1', None)
        store.stalled = False
        await store.clock.sleep_ms(1300)
        self.assertEqual({}, self.objects)
        await store.clock.sleep_ms(300)
        self.assertEqual({'a/x': b'1'}, self.objects)
        watching.cancel()

    @virtual
    async def test_watches_of_an_idle_store_last_long(self) -> None:
        store = StalledStore(make_clock())
        watching = asyncio.ensure_future(self.watcher(store, wait_ms=2000).run())
        await store.clock.sleep_ms(10_000)
        self.assertTrue(5 <= store.watches <= 6, store.watches)
        watching.cancel()

    @virtual
    async def test_deletion_while_the_history_is_gone(self) -> None:
        store = StalledStore(make_clock())
        await store.put('a/x', b'1', None)
        await store.put('a/y', b'1', None)
        watching = asyncio.ensure_future(self.watcher(store, wait_ms=1000).run())
        await store.clock.sleep_ms(100)
        store.history_gone = True
        await store.delete('a/x')
        await store.clock.sleep_ms(1500)
        self.assertEqual({'a/y': b'1'}, self.objects)
        watching.cancel()

    @virtual
    async def test_late_watch_does_not_undo_an_adopted_listing(self) -> None:
        # Guards against a watch that reports what a listing beside it already has.
        store = StalledStore(make_clock())
        await store.put('a/x', b'1', None)
        watcher = self.watcher(store, wait_ms=5000)
        watching = asyncio.ensure_future(watcher.run())
        await store.clock.sleep_ms(100)
        store.faults = Faults(slow_ms=500)
        await store.put('a/y', b'1', None)
        listing = Changes(store.revision + 1, [StoredObject('a/x', b'2', 3)])
        watcher.adopt(listing, store.clock.boot_ms())
        await store.clock.sleep_ms(1000)
        self.assertEqual({'a/x': b'2'}, self.objects)
        watching.cancel()

    @virtual
    async def test_relay_is_used_while_the_store_is_down(self) -> None:
        store = StalledStore(make_clock())
        await store.put('a/x', b'1', None)
        watching = asyncio.ensure_future(self.watcher(store, wait_ms=1000).run())
        await store.clock.sleep_ms(100)
        store.faults = Faults(down=True)
        await store.clock.sleep_ms(2000)
        self.assertEqual({'a/relayed': b'r'}, self.objects)
        watching.cancel()
