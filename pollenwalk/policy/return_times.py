"""When callers may come back that were refused for want of permits.

Permits come free at the rate of the hosts' limits. If all refused callers came back
with the first free permit, all but one of them would be refused again.
"""

from pollenwalk.policy.permit_schedule import MIN_PER_SECOND, MS_PER_SECOND

# Longest Retry-After; a limit may have changed by then.
MAX_RETRY_AFTER_MS = 30_000.0


class ReturnTimes:
    """Spreads the returns of refused callers over the times of free permits.

    Attributes:
        next_ms: for each upstream, the time after the last return so far.
    """

    def __init__(self) -> None:
        """Create a schedule without returns."""
        self.next_ms: dict[str, float] = {}

    def retry_after_ms(
        self, upstream: str, first_free_ms: float, per_second: float, now_ms: float
    ) -> float:
        """Return the Retry-After of one more refused caller.

        Args:
            upstream: the upstream whose hosts have no permit.
            first_free_ms: when the next permit is expected to come free.
            per_second: rate at which permits of the upstream come free.
            now_ms: the current time.
        """
        at_ms = max(self.next_ms.get(upstream, 0), first_free_ms, now_ms)
        at_ms = min(at_ms, now_ms + MAX_RETRY_AFTER_MS)
        interval_ms = MS_PER_SECOND / max(per_second, MIN_PER_SECOND)
        self.next_ms[upstream] = at_ms + interval_ms
        return at_ms - now_ms
