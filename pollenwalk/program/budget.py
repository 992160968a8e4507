"""A program's token budget.

Tokens are reserved in the journal before a model call starts, and the record
of one call's end reserves for the next, so a turn costs one commit and a
crash can only make a program poorer, never let it spend beyond its limit.
"""

from typing import NamedTuple

AHEAD_SHARE = 10


class Budget(NamedTuple):
    """Tokens of one program.

    Attributes:
        limit: what the program may spend in all.
        spent: what finished calls and ended children have used.
        reserved: set aside for the next call.
        carved: handed to children that still run.
    """

    limit: int
    spent: int = 0
    reserved: int = 0
    carved: int = 0

    @property
    def free(self) -> int:
        """Give what is neither spent nor promised."""
        return self.limit - self.spent - self.reserved - self.carved

    @property
    def left(self) -> int:
        """Give what a caller may still count on."""
        return self.free + self.reserved

    def ahead(self, amount: int) -> int:
        """Bound what is reserved ahead, since a takeover forfeits it."""
        return min(amount, self.limit // AHEAD_SHARE)

    def reserve(self, amount: int) -> 'Budget':
        """Set the reservation to `amount`, as far as it goes."""
        return self._replace(reserved=min(amount, self.left))

    def settle(self, spent: int, next_reserve: int) -> 'Budget':
        """Turn the reservation into what was spent and reserve anew."""
        settled = self._replace(spent=self.spent + spent, reserved=0)
        return settled.reserve(next_reserve)

    def carve(self, amount: int) -> 'Budget':
        """Hand an amount to a child."""
        return self._replace(carved=self.carved + amount)

    def give_back(self, amount: int, spent: int) -> 'Budget':
        """Take a child's share back, less what it spent."""
        return self._replace(
            carved=self.carved - amount,
            spent=self.spent + spent,
        )

    def forfeit(self) -> 'Budget':
        """Count the reservation as spent: nobody knows whether it was."""
        return self._replace(spent=self.spent + self.reserved, reserved=0)
