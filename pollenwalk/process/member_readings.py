"""Readings of the list of keepers, for decisions that need it as it is now.

The list that a process follows may be seconds old: the process may have been paused or
cut off, or a watch may have missed a change. A reading begins after it was asked for, so
it has all changes that were made before.
"""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from loguru import logger

from pollenwalk.errors import StoreUnavailable
from pollenwalk.process.clock import Clock
from pollenwalk.process.keeper_members import KEEPERS_PREFIX, Member, Members
from pollenwalk.process.store import Changes, FollowedStore
from pollenwalk.process.tasks import TaskSet

# Shortest time between the beginnings of two readings. Whoever asks meanwhile shares the
# next one, so that callers can't make a process flood the store.
MIN_INTERVAL_MS = 100.0
# How long the store has to answer before a keeper is asked to read it.
STORE_ANSWER_MS = 500.0

ReadByKeeper = Callable[[str], Awaitable[Changes | None]]


class MemberReading(NamedTuple):
    """The list of keepers, as a reading found it.

    Attributes:
        began_ms: when the reading began, on `Clock.boot_ms`.
        listing: the objects of the keepers.
        members: the keepers.
        unreadable: number of objects that could not be decoded. Each may be a keeper.
    """

    began_ms: float
    listing: Changes
    members: list[Member]
    unreadable: int

    @property
    def count(self) -> int:
        """Return how many keepers there may be."""
        return len(self.members) + self.unreadable


class MemberReadings:
    """Reads the list of keepers on demand; requests at the same time share a reading.

    Attributes:
        read_by_keeper: lists a prefix of the store through a keeper; None if nobody
            reads it for this process.
        due_at_ms: when the next reading may begin.
        pending: the next reading, which has not begun; None if nobody waits for one.
    """

    def __init__(
        self,
        store: FollowedStore,
        clock: Clock,
        tasks: TaskSet,
        read_by_keeper: ReadByKeeper | None = None,
    ) -> None:
        """Create readings of which none has been asked for."""
        self.store = store
        self.clock = clock
        self.tasks = tasks
        self.read_by_keeper = read_by_keeper
        self.due_at_ms = float('-inf')
        self.pending: asyncio.Task[MemberReading | None] | None = None

    async def read(self) -> MemberReading | None:
        """Return the list by a reading that begins after this call.

        Returns:
            The list; None if neither the store nor a keeper that reaches it answers.
        """
        if self.pending is None:
            self.pending = self.tasks.spawn(self.read_when_due(), 'read_keepers')
        return await asyncio.shield(self.pending)

    async def read_when_due(self) -> MemberReading | None:
        """Read the list once that may begin; who asks from then on needs another one."""
        await self.clock.sleep_ms(self.due_at_ms - self.clock.now_ms())
        self.pending = None
        self.due_at_ms = self.clock.now_ms() + MIN_INTERVAL_MS
        began_ms = self.clock.boot_ms()
        listing = await self.read_store()
        if listing is None and self.read_by_keeper is not None:
            listing = await self.read_by_keeper(KEEPERS_PREFIX)
        if listing is None:
            return None
        listed = Members(listing.objects)
        members = list(listed.by_name.values())
        unreadable = len(listed.unreadable.versions)
        return MemberReading(began_ms, listing, members, unreadable)

    async def read_store(self) -> Changes | None:
        """List the keepers in the store; None if it does not answer soon."""
        try:
            async with self.clock.timeout_ms(STORE_ANSWER_MS):
                return await self.store.scan(KEEPERS_PREFIX)
        except (StoreUnavailable, TimeoutError) as error:
            logger.info('keepers_not_read', reason=repr(error))
            return None
