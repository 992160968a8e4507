"""How often an entry may write to the store.

The store takes several hundred writes a second from all entries together, so
each takes an equal share of a fleet-wide budget. Slow answers and refusals
halve an entry's share, successes restore it step by step (additive increase,
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
    """A token bucket whose rate follows the store and the fleet."""

    def __init__(
        self,
        clock: Clock,
        writes_per_second: float,
        count_entries: Callable[[], int],
    ) -> None:
        """Share `writes_per_second` among as many as `entries` counts."""
        self.clock = clock
        self.writes_per_second = writes_per_second
        self.count_entries = count_entries
        self.share = 1.0
        self.permits = 0.0
        self.refilled_ms = clock.now_ms()

    @property
    def rate(self) -> float:
        """Give the writes a second that this entry may make."""
        return self.writes_per_second * self.share / max(self.count_entries(), 1)

    def refill(self) -> None:
        """Count what the time since the last write allows."""
        now_ms = self.clock.now_ms()
        added = self.rate * (now_ms - self.refilled_ms) / MS_PER_SECOND
        self.permits = min(self.permits + added, self.rate * BURST_S)
        self.refilled_ms = now_ms

    async def acquire(self) -> None:
        """Wait until the next write is within the share."""
        self.refill()
        if self.permits < 1:
            await self.clock.sleep_ms((1 - self.permits) / self.rate * MS_PER_SECOND)
            self.refill()
        self.permits -= 1

    def record_answer(self, took_ms: float) -> None:
        """Note a write that was answered."""
        if took_ms > SLOW_WRITE_MS:
            self.record_failure()
            return
        self.share = min(self.share + SHARE_INCREMENT, 1.0)

    def record_failure(self) -> None:
        """Note a write that was refused, lost or slow."""
        self.share = max(self.share * SHARE_DECREASE_FACTOR, MIN_SHARE)
