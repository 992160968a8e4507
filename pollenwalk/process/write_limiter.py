"""How often an entry may write to the store.

The store takes several hundred writes a second from all entries together, so
each takes an equal share of a fleet-wide budget. Slow answers and refusals
halve an entry's share, successes restore it step by step (additive increase,
multiplicative decrease; D. Chiu and R. Jain, 1989).
"""

from collections.abc import Callable

from pollenwalk.process.clock import MS_PER_SECOND, Clock

BURST_S = 2.0
SLOW_MS = 500
LOWEST_SHARE = 0.05
STEP = 0.02
CUT = 0.5


class WriteLimiter:
    """A token bucket whose rate follows the store and the fleet."""

    def __init__(
        self,
        clock: Clock,
        writes_per_second: float,
        entries: Callable[[], int],
    ) -> None:
        """Share `writes_per_second` among as many as `entries` counts."""
        self.clock = clock
        self.writes_per_second = writes_per_second
        self.entries = entries
        self.share = 1.0
        self.saved = 0.0
        self.counted_ms = clock.now_ms()

    @property
    def rate(self) -> float:
        """Give the writes a second that this entry may make."""
        return self.writes_per_second * self.share / max(self.entries(), 1)

    def earn(self) -> None:
        """Count what the time since the last write allows."""
        now_ms = self.clock.now_ms()
        earned = self.rate * (now_ms - self.counted_ms) / MS_PER_SECOND
        self.saved = min(self.saved + earned, self.rate * BURST_S)
        self.counted_ms = now_ms

    async def turn(self) -> None:
        """Wait until the next write is within the share."""
        self.earn()
        if self.saved < 1:
            await self.clock.sleep_ms((1 - self.saved) / self.rate * MS_PER_SECOND)
            self.earn()
        self.saved -= 1

    def answered(self, took_ms: float) -> None:
        """Note a write that was answered."""
        if took_ms > SLOW_MS:
            self.refused()
            return
        self.share = min(self.share + STEP, 1.0)

    def refused(self) -> None:
        """Note a write that was refused, lost or slow."""
        self.share = max(self.share * CUT, LOWEST_SHARE)
