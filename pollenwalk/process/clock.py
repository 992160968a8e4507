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
# A timer that fires so much later than it is due shows that the process was paused.
PAUSE_S = 0.3
# Time in which the event loop then passes on what has arrived.
CATCH_UP_S = 0.1


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
        """Bound the block to `duration_ms` by the event loop's timer.

        After a pause of the process the block gets a little longer.
        """
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(None) as scope:
            timer = LateTimer(loop, duration_ms / MS_PER_SECOND, scope)
            try:
                yield
            finally:
                timer.cancel()


class LateTimer:
    """Ends a block once its time is up, but not on what it could not read in a pause.

    At the end of a pause all timers are due at once, before the loop has passed on what
    has arrived meanwhile. So one that is very late first lets the loop do that.

    Attributes:
        due_s: when the time is up, on the clock of the event loop.
        handle: the timer of the event loop.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, duration_s: float, scope: asyncio.Timeout
    ) -> None:
        """Start the timer for the block of a timeout."""
        self.loop = loop
        self.scope = scope
        self.due_s = loop.time() + max(duration_s, 0)
        self.handle = loop.call_at(self.due_s, self.on_due)

    def on_due(self) -> None:
        """End the block; wait a little more if the process was paused."""
        if self.loop.time() - self.due_s > PAUSE_S:
            self.handle = self.loop.call_later(CATCH_UP_S, self.end)
        else:
            self.end()

    def end(self) -> None:
        """End the block."""
        self.scope.reschedule(self.loop.time())

    def cancel(self) -> None:
        """Leave the block as it is."""
        self.handle.cancel()
