"""A program's token budget.

Tokens are reserved in the journal before a model call starts, and the record
of one call's end reserves for the next, so a turn costs one commit and a
crash can only make a program poorer, never let it spend beyond its limit.
"""

from typing import NamedTuple

RESERVE_AHEAD_DIVISOR = 10


class Budget(NamedTuple):
    """Tokens of one program.

    Attributes:
        limit: what the program may spend in all.
        spent: what finished calls and ended children have used.
        reserved: set aside for the next call.
        child_allocations: handed to children that still run.
    """

    limit: int
    spent: int = 0
    reserved: int = 0
    child_allocations: int = 0

    @property
    def free(self) -> int:
        """Give what is neither spent nor promised."""
        return self.limit - self.spent - self.reserved - self.child_allocations

    @property
    def left(self) -> int:
        """Give what a caller may still count on."""
        return self.free + self.reserved

    def cap_reserve_ahead(self, amount: int) -> int:
        """Bound what is reserved ahead, since a takeover forfeits it."""
        return min(amount, self.limit // RESERVE_AHEAD_DIVISOR)

    def reserve(self, amount: int) -> 'Budget':
        """Set the reservation to `amount`, as far as it goes."""
        return self._replace(reserved=min(amount, self.left))

    def settle(self, spent: int, next_reserve: int) -> 'Budget':
        """Turn the reservation into what was spent and reserve anew."""
        settled = self._replace(spent=self.spent + spent, reserved=0)
        return settled.reserve(next_reserve)

    def allocate_to_child(self, amount: int) -> 'Budget':
        """Hand an amount to a child."""
        return self._replace(child_allocations=self.child_allocations + amount)

    def reclaim_from_child(self, amount: int, spent: int) -> 'Budget':
        """Take a child's share back, less what it spent."""
        return self._replace(
            child_allocations=self.child_allocations - amount,
            spent=self.spent + spent,
        )

    def forfeit(self) -> 'Budget':
        """Count the reservation as spent: nobody knows whether it was."""
        return self._replace(spent=self.spent + self.reserved, reserved=0)
