"""Retries that cannot make an outage worse.

Each success earns a fraction of a retry, so while an upstream is down the
retries sent are bounded by what succeeded before. The idea of a retry budget
is described in Google's "Site Reliability Engineering" (2016), chapter 21.
"""

import random

RETRIES_PER_SUCCESS = 0.2
MAX_SAVED_RETRIES = 10.0
FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 2000
BACKOFF_FACTOR = 2


class RetryBudget:
    """Retries that recent successes have earned."""

    def __init__(self) -> None:
        """Start with a full reserve."""
        self.balance = MAX_SAVED_RETRIES

    def earn(self) -> None:
        """Note a success."""
        self.balance = min(self.balance + RETRIES_PER_SUCCESS, MAX_SAVED_RETRIES)

    def spend(self) -> bool:
        """Take one retry; False when none is left."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


class RetryBudgets:
    """One budget for each caller and upstream."""

    def __init__(self) -> None:
        """Start empty."""
        self.budgets: dict[tuple[str, str], RetryBudget] = {}

    def budget_of(self, caller: str, upstream: str) -> RetryBudget:
        """Give the budget of a pair, making it at first use."""
        return self.budgets.setdefault((caller, upstream), RetryBudget())


def backoff_ms(attempt: int, rng: random.Random) -> float:
    """Draw the pause before a retry, with full jitter.

    Args:
        attempt: how many attempts have failed, from 1 on.
        rng: the process's source of randomness.

    Returns:
        Milliseconds to wait.
    """
    ceiling = min(FIRST_BACKOFF_MS * BACKOFF_FACTOR ** (attempt - 1), MAX_BACKOFF_MS)
    return rng.uniform(0, ceiling)
