"""A count of events that forgets older ones, in constant memory."""

import math


class DecayedCount:
    """Counts events, each of which counts less the longer it was ago.

    Attributes:
        memory_ms: time after which an event counts 1 / e.
    """

    def __init__(self, memory_ms: float) -> None:
        """Start without events."""
        self.memory_ms = memory_ms
        self.counted = 0.0
        self.counted_at_ms = 0.0

    def add(self, amount: float, now_ms: float) -> None:
        """Add what happened just now."""
        self.counted = self.at(now_ms) + amount
        self.counted_at_ms = now_ms

    def at(self, now_ms: float) -> float:
        """Return the sum of what happened, by how long ago it was."""
        age_ms = max(now_ms - self.counted_at_ms, 0)
        return self.counted * math.exp(-age_ms / self.memory_ms)

    def per_ms(self, now_ms: float) -> float:
        """Return the mean rate; too low until `memory_ms` are well exceeded."""
        return self.at(now_ms) / self.memory_ms
