"""A process that can be killed and paused from outside.

A paused process runs no code: its clock, its messages and the store's answers
reach it only once it is resumed, all at once and late.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator

from pollenwalk.process.clock import MS_PER_SECOND
from pollenwalk.process.tasks import TaskSet
from standin.link import Place

CALENDAR_START_MS = 1_800_000_000_000


class Node:
    """One process.

    Attributes:
        has_host: whether its host is there; without it no packet is answered, while the
            host of a killed process refuses connections.
    """

    def __init__(self, name: str, place: Place) -> None:
        """Start running."""
        self.name = name
        self.place = place
        self.tasks = TaskSet()
        self.killed = asyncio.Event()
        self.has_host = True
        self.running = asyncio.Event()
        self.running.set()

    @property
    def paused(self) -> bool:
        """Return whether the process is frozen."""
        return not self.running.is_set()

    @property
    def dead(self) -> bool:
        """Return whether the process has been killed."""
        return self.killed.is_set()

    async def passed(self) -> None:
        """Wait while the process is frozen; a dead one runs no further."""
        while self.paused:
            await self.running.wait()
        if self.dead:
            raise asyncio.CancelledError


class NodeClock:
    """The clock of one process."""

    def __init__(self, node: Node) -> None:
        """Stop with `node`; its time goes on all the same."""
        self.node = node

    def now_ms(self) -> float:
        """Return the virtual time in ms."""
        return asyncio.get_running_loop().time() * MS_PER_SECOND

    def boot_ms(self) -> float:
        """Return the virtual time in ms, as virtual machines are never suspended."""
        return self.now_ms()

    def wall_ms(self) -> int:
        """Return the virtual calendar in ms."""
        return CALENDAR_START_MS + int(self.now_ms())

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep; a frozen process wakes when it is resumed."""
        await asyncio.sleep(max(duration_ms, 0) / MS_PER_SECOND)
        await self.node.passed()

    @contextlib.asynccontextmanager
    async def timeout_ms(self, duration_ms: float) -> AsyncIterator[None]:
        """Bound a block; the timer of a frozen process fires on resumption."""
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(None) as scope:
            timer = loop.create_task(self.fire(scope, duration_ms))
            try:
                yield
            finally:
                timer.cancel()

    async def fire(self, scope: asyncio.Timeout, duration_ms: float) -> None:
        """End a block when its time is up."""
        await self.sleep_ms(duration_ms)
        scope.reschedule(asyncio.get_running_loop().time())
