"""Limits the rate at which an entry writes to the store.

The store takes several hundred writes a second from all entries together, so
each gets an equal share of a common budget. Slow or failed writes halve an
entry's share, successful ones restore it step by step (additive increase,
multiplicative decrease; D. Chiu and R. Jain, 1989).
"""

from collections.abc import Callable

from pollenwalk.process.clock import MS_PER_SECOND, Clock

BURST_S = 2.0
SLOW_WRITE_MS = 500
MIN_SHARE = 0.05
SHARE_INCREMENT = 0.02
SHARE_DECREASE_FACTOR = 0.5


class WriteLimiter:
    """A token bucket whose rate adapts to the store and the number of entries.

    Attributes:
        writes_per_second: budget of all entries together.
        count_entries: returns among how many entries the budget is divided.
        share: factor of the entry's equal part of the budget that it may use
            now, from `MIN_SHARE` to 1.
        permits: how many writes may be made without waiting.
        refilled_ms: when permits were last added, on the process's clock.
    """

    def __init__(
        self,
        clock: Clock,
        writes_per_second: float,
        count_entries: Callable[[], int],
    ) -> None:
        """Divide `writes_per_second` by the number of entries."""
        self.clock = clock
        self.writes_per_second = writes_per_second
        self.count_entries = count_entries
        self.share = 1.0
        self.permits = 0.0
        self.refilled_ms = clock.now_ms()

    @property
    def rate(self) -> float:
        """Return the writes per second that this entry may make."""
        return self.writes_per_second * self.share / max(self.count_entries(), 1)

    def refill(self) -> None:
        """Add the permits for the time since the last refill."""
        now_ms = self.clock.now_ms()
        added = self.rate * (now_ms - self.refilled_ms) / MS_PER_SECOND
        self.permits = min(self.permits + added, self.rate * BURST_S)
        self.refilled_ms = now_ms

    async def acquire(self) -> None:
        """Wait until the next write is within the rate, and use its permit."""
        self.refill()
        if self.permits < 1:
            await self.clock.sleep_ms((1 - self.permits) / self.rate * MS_PER_SECOND)
            self.refill()
        self.permits -= 1

    def record_answer(self, took_ms: float) -> None:
        """Adapt the share to a write that was answered after `took_ms`."""
        if took_ms > SLOW_WRITE_MS:
            self.record_failure()
            return
        self.share = min(self.share + SHARE_INCREMENT, 1.0)

    def record_failure(self) -> None:
        """Reduce the share after a write that failed, was lost or was slow."""
        self.share = max(self.share * SHARE_DECREASE_FACTOR, MIN_SHARE)
