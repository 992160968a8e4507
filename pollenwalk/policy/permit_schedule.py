"""Spacing of permits: when requests may be sent to a host at a limited rate.

Permits are spaced evenly, as a full bucket of saved permits would reach the host at
once. The schedule starts empty: what the host got before is not known.
"""

# Least rate at which permits are given, also for hosts that take nothing. Only an
# answer shows that a limit has ended.
MIN_PER_SECOND = 0.1
# Unused time that is made up for. It matters at high rates, where requests come in
# small groups; at low ones a single permit is saved.
MAX_CREDIT_MS = 250.0
MS_PER_SECOND = 1000


class PermitSchedule:
    """The permits given for one host.

    Attributes:
        last_ms: the time that the last permit was due.
    """

    def __init__(self, now_ms: float) -> None:
        """Create a schedule whose first permit is due after one interval."""
        self.last_ms = now_ms

    def next_due_ms(self, per_second: float, now_ms: float) -> float:
        """Return when the next permit is due; it may be a moment ago."""
        interval_ms = MS_PER_SECOND / max(per_second, MIN_PER_SECOND)
        return max(self.last_ms + interval_ms, now_ms - MAX_CREDIT_MS)

    def wait_ms(self, per_second: float, now_ms: float) -> float:
        """Return the time from now until the next permit is free."""
        return max(self.next_due_ms(per_second, now_ms) - now_ms, 0)

    def take(
        self, per_second: float, now_ms: float, max_wait_ms: float
    ) -> float | None:
        """Take the next permit if it is due in time.

        Returns:
            The time from now until it may be used; None if that exceeds
            `max_wait_ms`, and the permit is not taken.
        """
        due_ms = self.next_due_ms(per_second, now_ms)
        if due_ms - now_ms > max_wait_ms:
            return None
        self.last_ms = due_ms
        return max(due_ms - now_ms, 0)
