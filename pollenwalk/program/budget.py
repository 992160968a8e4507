"""A program's token budget.

A reservation is recorded in the journal before a model call starts. The record
that finishes a call also makes the reservation for the next one, so each call
costs one commit. After a crash an unused reservation counts as spent: a program
may lose tokens, but can never spend more than its limit.
"""

from typing import NamedTuple

ADVANCE_RESERVATION_DIVISOR = 10


class Budget(NamedTuple):
    """The token budget of one program.

    Attributes:
        limit: tokens that the program may spend in total.
        spent: tokens used by finished calls and by ended child programs.
        reserved: tokens reserved for the next call.
        child_allocations: tokens allocated to child programs that still run.
    """

    limit: int
    spent: int = 0
    reserved: int = 0
    child_allocations: int = 0

    @property
    def free(self) -> int:
        """Return the tokens that are not spent, reserved or allocated."""
        return self.limit - self.spent - self.reserved - self.child_allocations

    @property
    def left(self) -> int:
        """Return the tokens that the program's own calls may still spend."""
        return self.free + self.reserved

    def cap_advance_reservation(self, amount: int) -> int:
        """Limit an advance reservation to a tenth of the budget.

        A takeover counts the reservation as spent, so a large one would
        cost the program too much.
        """
        return min(amount, self.limit // ADVANCE_RESERVATION_DIVISOR)

    def reserve(self, amount: int) -> 'Budget':
        """Set the reservation to `amount`, or to all that is left if less."""
        return self._replace(reserved=min(amount, self.left))

    def settle(self, spent: int, next_reserve: int) -> 'Budget':
        """Replace the reservation by the tokens spent and make the next one."""
        settled = self._replace(spent=self.spent + spent, reserved=0)
        return settled.reserve(next_reserve)

    def allocate_to_child(self, amount: int) -> 'Budget':
        """Allocate tokens to a child program."""
        return self._replace(child_allocations=self.child_allocations + amount)

    def reclaim_from_child(self, amount: int, spent: int) -> 'Budget':
        """Take back an ended child's allocation, less the tokens it spent."""
        return self._replace(
            child_allocations=self.child_allocations - amount,
            spent=self.spent + spent,
        )

    def forfeit(self) -> 'Budget':
        """Count the reservation as spent, as it is unknown whether it was used."""
        return self._replace(spent=self.spent + self.reserved, reserved=0)
