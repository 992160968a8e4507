"""The limit on second attempts, as a share of all sends of calls that may be hedged."""

from fractions import Fraction


class HedgeBudget:
    """Limits second attempts to a share of sends, over any window.

    Among any S consecutive sends there are at most 1 + share * (S - 1) second attempts.
    So no more than one whole attempt is saved up: a larger reserve would allow a short
    window with more. Counted in whole numbers, as a sum of floats would drift.

    Attributes:
        credit: what is saved up, in units of which a send adds `send_units` and a
            second attempt takes `attempt_units`.
    """

    def __init__(self, share: float) -> None:
        """Create an empty budget for second attempts.

        Args:
            share: the share of sends that may be second attempts, from 0 to 1.
        """
        ratio = Fraction(str(share))
        self.send_units = ratio.numerator
        self.attempt_units = ratio.denominator
        self.credit = 0

    @property
    def has_room(self) -> bool:
        """Return whether a second attempt may be sent now."""
        return self.credit >= self.attempt_units

    def count_send(self) -> None:
        """Count a send of any kind, also that of a second attempt."""
        self.credit = min(self.credit + self.send_units, self.attempt_units)

    def take(self) -> bool:
        """Take the room of one second attempt; return False if there is none."""
        if not self.has_room:
            return False
        self.credit -= self.attempt_units
        return True
