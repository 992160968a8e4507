"""Makes sure that what counts keepers does so by a list read after the last pause."""

from collections.abc import Awaitable, Callable
from typing import TypeVar

from loguru import logger

from pollenwalk.process.member_readings import MemberReadings
from pollenwalk.process.pauses import PauseWatch
from pollenwalk.process.prefix_watcher import PrefixWatcher
from pollenwalk.process.turn_replication import keepers_unavailable

Result = TypeVar('Result')


class RecentMembers:
    """Reads the list of keepers anew before it is used after a pause.

    Attributes:
        watcher: follows the list; None before this process has begun to.
    """

    def __init__(self, readings: MemberReadings, pauses: PauseWatch) -> None:
        """Create a guard of a list that is not followed yet."""
        self.readings = readings
        self.pauses = pauses
        self.watcher: PrefixWatcher | None = None

    async def run(self, operation: Callable[[], Awaitable[Result]]) -> Result:
        """Run an operation that counts keepers; repeat it if a pause interrupts it.

        Args:
            operation: the operation, which must be idempotent.

        Raises:
            Refusal: the list could not be read after a pause, or the operation was
                refused.
        """
        while True:
            ended_at_ms = self.pauses.last_end_ms()
            await self.confirm(ended_at_ms)
            result = await operation()
            if self.pauses.last_end_ms() == ended_at_ms:
                return result

    @property
    def is_current(self) -> bool:
        """Return whether the list is newer than the last pause."""
        return self.is_current_since(self.pauses.last_end_ms())

    def is_current_since(self, since_ms: float) -> bool:
        """Return whether all changes until a time on `Clock.boot_ms` are known."""
        if self.watcher is None:
            return True
        return (self.watcher.confirmed_at_ms or 0) >= since_ms

    async def confirm(self, since_ms: float) -> None:
        """Read the list unless all changes until a time on `Clock.boot_ms` are known.

        Raises:
            Refusal: it could not be read.
        """
        if self.watcher is None or self.is_current_since(since_ms):
            return
        reading = await self.readings.read()
        if reading is None:
            raise keepers_unavailable('the list of keepers could not be read')
        logger.info('keepers_confirmed', keepers=reading.count)
        self.watcher.adopt(reading.listing, reading.began_ms)
