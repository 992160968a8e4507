"""The clock of a process, which tests can replace.

All times are in milliseconds. `now_ms` is monotonic and measures intervals.
`boot_ms` is monotonic, too, and also counts the time for which the machine was
suspended; it measures leases. `wall_ms` is the calendar time; no decision may depend
on it.
"""

import asyncio
import contextlib
import time
from collections.abc import AsyncIterator
from typing import Protocol

MS_PER_SECOND = 1000
NS_PER_MS = 1_000_000


class Clock(Protocol):
    """The source of time for all decisions of the scheduler.

    Logs, the call times in metrics, and the timeouts of HTTP clients and of
    upstream connections use the system's clocks directly.
    """

    def now_ms(self) -> float:
        """Return the monotonic time in ms."""

    def boot_ms(self) -> float:
        """Return the monotonic time in ms, including the time of suspensions."""

    def wall_ms(self) -> int:
        """Return the calendar time in ms since 1970."""

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep for `duration_ms`; a negative duration counts as 0."""

    def timeout_ms(
        self,
        duration_ms: float,
    ) -> contextlib.AbstractAsyncContextManager[None]:
        """Return a context manager that bounds its block to `duration_ms`.

        Raises:
            TimeoutError: by the block, once `duration_ms` have passed.
        """


class LoopClock:
    """The clock of the running event loop."""

    def now_ms(self) -> float:
        """Return the monotonic time in ms.

        An event loop may read the time only once in each of its turns, which would
        hide how late it is.
        """
        return time.monotonic() * MS_PER_SECOND

    def boot_ms(self) -> float:
        """Return the monotonic time in ms, including the time of suspensions."""
        return time.clock_gettime_ns(time.CLOCK_BOOTTIME) / NS_PER_MS

    def wall_ms(self) -> int:
        """Return the calendar time in ms since 1970."""
        return time.time_ns() // NS_PER_MS

    async def sleep_ms(self, duration_ms: float) -> None:
        """Sleep on the event loop for `duration_ms`."""
        await asyncio.sleep(max(duration_ms, 0) / MS_PER_SECOND)

    @contextlib.asynccontextmanager
    async def timeout_ms(self, duration_ms: float) -> AsyncIterator[None]:
        """Bound the block to `duration_ms` by the event loop's timer."""
        async with asyncio.timeout(max(duration_ms, 0) / MS_PER_SECOND):
            yield
