"""Notices pauses of this process: a frozen machine, a stopped or starved process.

What a process knew before a pause is as old as the pause is long.
"""

from loguru import logger

from pollenwalk.process.clock import Clock

BEAT_INTERVAL_MS = 250.0
# A beat that is so much later than the one before shows a pause. A garbage collection
# or a busy machine is shorter.
MIN_PAUSE_MS = 1000.0
NEVER_MS = float('-inf')


class PauseWatch:
    """Compares the clock with the time of the last beat.

    Attributes:
        beat_at_ms: time of the last beat, on `Clock.boot_ms`; None before the first.
        ended_at_ms: when the last pause ended, on `Clock.boot_ms`.
    """

    def __init__(self, clock: Clock) -> None:
        """Create a watch that notices nothing before it runs."""
        self.clock = clock
        self.beat_at_ms: float | None = None
        self.ended_at_ms = NEVER_MS

    async def run(self) -> None:
        """Beat until cancelled."""
        self.beat_at_ms = self.clock.boot_ms()
        while True:
            await self.clock.sleep_ms(BEAT_INTERVAL_MS)
            self.last_end_ms()

    def last_end_ms(self) -> float:
        """Return when the last pause ended, also one that no beat has shown yet."""
        if self.beat_at_ms is None:
            return self.ended_at_ms
        now_ms = self.clock.boot_ms()
        paused_ms = now_ms - self.beat_at_ms
        self.beat_at_ms = now_ms
        if paused_ms > MIN_PAUSE_MS:
            self.ended_at_ms = now_ms
            logger.warning('paused', for_ms=round(paused_ms))
        return self.ended_at_ms
