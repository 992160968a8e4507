"""Retry budgets, which keep retries from making an outage worse, and back-off.

Each success earns a fraction of a retry. So while an upstream is down, the number
of retries is bounded by the successes before. Retry budgets are described in
Google's "Site Reliability Engineering" (2016), chapter 21.
"""

import random

RETRIES_PER_SUCCESS = 0.2
MAX_BALANCE = 10.0
FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 2000
BACKOFF_FACTOR = 2


class RetryBudget:
    """Retries that recent successes have earned.

    Attributes:
        balance: retries left; fractions count up to a whole retry.
    """

    def __init__(self) -> None:
        """Start with the maximum balance."""
        self.balance = MAX_BALANCE

    def earn(self) -> None:
        """Add what one success earns."""
        self.balance = min(self.balance + RETRIES_PER_SUCCESS, MAX_BALANCE)

    def spend(self) -> bool:
        """Spend one retry; return False if none is left."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


class RetryBudgets:
    """The retry budgets of all pairs of a caller and an upstream."""

    def __init__(self) -> None:
        """Start without budgets."""
        self.budgets: dict[tuple[str, str], RetryBudget] = {}

    def budget_of(self, caller: str, upstream: str) -> RetryBudget:
        """Return the budget of a pair; it is created at first use."""
        return self.budgets.setdefault((caller, upstream), RetryBudget())


def backoff_ms(attempt: int, rng: random.Random) -> float:
    """Return a random time in ms to wait before a retry.

    The upper bound grows exponentially; the time is uniform between 0 and it
    (full jitter).

    Args:
        attempt: number of attempts that have failed, at least 1.
        rng: the process's random number generator.
    """
    ceiling = min(FIRST_BACKOFF_MS * BACKOFF_FACTOR ** (attempt - 1), MAX_BACKOFF_MS)
    return rng.uniform(0, ceiling)
