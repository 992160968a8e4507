"""Copies of parts of the store, from which a keeper answers processes that follow them.

A keeper follows a prefix once a process asks for it, and stops when none has asked for
a while. All processes of a region ask the same keeper as long as it answers, so the
store is called by few processes, and its objects cross between regions once a region.
"""

import asyncio
from collections.abc import Callable

from pollenwalk.connection.store_messages import (
    FollowedPrefix,
    FollowPrefix,
    ListedObject,
    Listing,
    ReadPrefix,
)
from pollenwalk.errors import Refusal, RefusalCode, StoreUnavailable
from pollenwalk.process.clock import Clock
from pollenwalk.process.prefix_watcher import PrefixWatcher, WatchHandlers
from pollenwalk.process.repeated_calls import KEEPER_INTERVAL_MS, RepeatingStore
from pollenwalk.process.store import (
    FIRST_RETRY_DELAY_MS,
    FollowedStore,
    StoredObject,
)
from pollenwalk.process.tasks import TaskSet

# How long a question may wait until a prefix has been read for the first time.
FIRST_READ_MS = 600.0
# A prefix that nobody has asked for during this time is no longer followed.
UNUSED_MS = 10_000.0
# Duration of a watch until a process has asked for a shorter one.
LONGEST_WATCH_MS = 5000
# Deletions that are remembered for each prefix.
MAX_DELETIONS = 1000


class StoreMirror:
    """A keeper's copy of the objects below one prefix.

    Attributes:
        watcher: reads the prefix.
        objects: the present objects by key.
        deletions: revisions of the latest deletions by key, the oldest first.
        complete_since: revision since which all deletions are in `deletions`.
        available: whether the store has answered the latest call.
        failed_at_ms: time of the latest call without an answer; None for none.
        last_used_ms: time of the latest question.
        changed: set at the next change, answer or failure, then replaced.
    """

    def __init__(
        self, store: FollowedStore, clock: Clock, prefix: str, wait_ms: int
    ) -> None:
        """Create a copy of which nothing has been read."""
        self.clock = clock
        handlers = WatchHandlers(self.on_object, self.on_read, self.on_unavailable)
        self.watcher = PrefixWatcher(store, clock, prefix, handlers, wait_ms)
        self.objects: dict[str, StoredObject] = {}
        self.deletions: dict[str, int] = {}
        self.complete_since: int | None = None
        self.available = True
        self.failed_at_ms: float | None = None
        self.last_used_ms = clock.now_ms()
        self.changed = asyncio.Event()

    def repeat_calls(self) -> None:
        """Repeat calls from now on while the store is away; their interval is bounded."""
        store = self.watcher.store
        if not isinstance(store, RepeatingStore):
            self.watcher.store = RepeatingStore(store, self.clock, KEEPER_INTERVAL_MS)
            self.watcher.max_retry_ms = FIRST_RETRY_DELAY_MS

    def on_object(self, stored: StoredObject) -> None:
        """Apply a new, changed or deleted object."""
        if stored.body:
            self.objects[stored.key] = stored
            self.deletions.pop(stored.key, None)
        elif self.objects.pop(stored.key, None) is not None:
            self.deletions[stored.key] = stored.version
            self.limit_deletions()

    def limit_deletions(self) -> None:
        """Forget the oldest deletion if there are too many."""
        if len(self.deletions) > MAX_DELETIONS:
            revision = self.deletions.pop(next(iter(self.deletions)))
            self.complete_since = max(self.complete_since or 0, revision)

    def on_read(self) -> None:
        """Record that the store answered."""
        if self.complete_since is None:
            self.complete_since = self.watcher.next_revision
        self.available = True
        self.wake()

    def on_unavailable(self, _: StoreUnavailable) -> None:
        """Record that the store did not answer."""
        self.available = False
        self.failed_at_ms = self.clock.now_ms()
        self.wake()

    def wake(self) -> None:
        """Let waiting questions look again."""
        self.changed.set()
        self.changed = asyncio.Event()

    async def follow(self, question: FollowPrefix) -> FollowedPrefix:
        """Return what has changed; wait for a change if nothing has.

        Raises:
            Refusal: the store does not answer this keeper.
        """
        began_ms = self.clock.boot_ms()
        self.last_used_ms = self.clock.now_ms()
        if question.watch_ms is not None:
            self.watcher.wait_ms = min(self.watcher.wait_ms, question.watch_ms)
        await self.wait_while(lambda: self.complete_since is None, FIRST_READ_MS)
        await self.wait_while(
            lambda: not self.has_news(question), float(question.wait_ms)
        )
        if not self.available or self.complete_since is None:
            raise unreachable()
        return self.answer(question, self.clock.boot_ms() - began_ms)

    async def wait_while(
        self, condition: Callable[[], bool], longest_ms: float
    ) -> None:
        """Wait while a condition holds and the store answers, for a bounded time."""
        try:
            async with self.clock.timeout_ms(longest_ms):
                while self.available and condition():
                    await self.changed.wait()
        except TimeoutError:
            return

    def has_news(self, question: FollowPrefix) -> bool:
        """Return whether a question can be answered with more than the time."""
        if question.revision is None or self.is_gone(question.revision):
            return True
        return bool(self.changes_since(question.revision))

    def is_gone(self, revision: int) -> bool:
        """Return whether some deletions since a revision are not known."""
        return self.complete_since is None or revision < self.complete_since

    def changes_since(self, revision: int) -> list[ListedObject]:
        """Return the objects changed and deleted after a revision."""
        changed = [
            ListedObject(*stored)
            for stored in self.objects.values()
            if stored.version > revision
        ]
        deleted = [
            ListedObject(key, b'', version)
            for key, version in self.deletions.items()
            if version > revision
        ]
        return [*changed, *deleted]

    def answer(self, question: FollowPrefix, held_ms: float) -> FollowedPrefix:
        """Return the answer to a question."""
        now_ms = self.clock.now_ms()
        gone = question.revision is not None and self.is_gone(question.revision)
        if question.revision is None:
            objects = [ListedObject(*stored) for stored in self.objects.values()]
        else:
            objects = [] if gone else self.changes_since(question.revision)
        failed_at_ms = self.failed_at_ms
        return FollowedPrefix(
            revision=self.watcher.next_revision or 0,
            age_ms=self.clock.boot_ms() - (self.watcher.confirmed_at_ms or 0),
            held_ms=held_ms,
            failure_age_ms=None if failed_at_ms is None else now_ms - failed_at_ms,
            history_gone=gone,
            objects=objects,
        )


def unreachable() -> Refusal:
    """Return the refusal of a question about the store if it does not answer."""
    return Refusal(
        RefusalCode.STORE_UNAVAILABLE, 'the store does not answer this keeper'
    )


class StoreMirrors:
    """The prefixes that a keeper follows for other processes.

    Attributes:
        by_prefix: the copies by prefix.
        running: the tasks that keep them up to date, by prefix.
        store_unavailable: whether this keeper's own last read of the store failed.
        repeated_watch_ms: for prefixes with watches of at most this duration, calls of
            the store are repeated while it is away.
    """

    def __init__(
        self,
        store: FollowedStore,
        clock: Clock,
        tasks: TaskSet,
        repeated_watch_ms: float = 0,
    ) -> None:
        """Follow nothing yet."""
        self.repeated_watch_ms = repeated_watch_ms
        self.store = store
        self.clock = clock
        self.tasks = tasks
        self.by_prefix: dict[str, StoreMirror] = {}
        self.running: dict[str, asyncio.Task[None]] = {}
        self.store_unavailable = False

    async def answer(
        self, message: FollowPrefix | ReadPrefix
    ) -> FollowedPrefix | Listing:
        """Return what the store holds below a prefix, on behalf of another process.

        Raises:
            Refusal: the store does not answer this keeper.
        """
        if isinstance(message, FollowPrefix):
            return await self.follow(message)
        return await self.read_prefix(message.prefix)

    async def read_prefix(self, prefix: str) -> Listing:
        """List a prefix of the store for a process that can't reach the store.

        Raises:
            Refusal: this keeper can't reach the store either.
        """
        if self.store_unavailable:
            raise unreachable()
        try:
            changes = await self.store.scan(prefix)
        except StoreUnavailable as error:
            raise unreachable() from error
        objects = [ListedObject(*stored) for stored in changes.objects]
        return Listing(changes.revision, objects)

    async def follow(self, question: FollowPrefix) -> FollowedPrefix:
        """Answer a question, and follow its prefix from now on.

        Raises:
            Refusal: the store does not answer this keeper.
        """
        mirror = self.by_prefix.get(question.prefix)
        if mirror is None:
            watch_ms = question.watch_ms or LONGEST_WATCH_MS
            mirror = StoreMirror(self.store, self.clock, question.prefix, watch_ms)
            self.by_prefix[question.prefix] = mirror
            self.running[question.prefix] = self.tasks.spawn(
                mirror.watcher.run(), f'mirror {question.prefix}'
            )
        if (question.watch_ms or LONGEST_WATCH_MS) <= self.repeated_watch_ms:
            mirror.repeat_calls()
        return await mirror.follow(question)

    def stop_unused(self) -> None:
        """Stop to follow the prefixes that nobody asks for any more."""
        limit_ms = self.clock.now_ms() - UNUSED_MS
        unused = [
            prefix
            for prefix, mirror in self.by_prefix.items()
            if mirror.last_used_ms < limit_ms
        ]
        for prefix in unused:
            self.by_prefix.pop(prefix)
            self.running.pop(prefix).cancel()
