"""Requests for many turns of another keeper, in pages of a bounded size.

A keeper sends what is asked for at once. So the asker bounds what is under way, as
neither of them has memory for all turns.
"""

from collections.abc import Iterator

from pollenwalk.program.turns import PullTurns

# Size that a page aims at. It takes about as long to send as a round trip.
PAGE_BYTES = 2_000_000
# Turns in the first page, when nothing is known of their size, and in any page.
FIRST_PAGE_TURNS = 8
MAX_PAGE_TURNS = 2000


class TurnPages:
    """Pages of turns, of which each follows the size of those before.

    Attributes:
        turns: the ids of all turns.
        received: number of records that have arrived so far.
        received_bytes: their size.
    """

    def __init__(self, turns: list[str]) -> None:
        """Ask for some turns, of which none has arrived."""
        self.turns = turns
        self.received = 0
        self.received_bytes = 0

    def __iter__(self) -> Iterator[PullTurns]:
        """Yield the requests, each after the records of the one before were noted."""
        start = 0
        while start < len(self.turns):
            end = start + self.page_turns()
            yield PullTurns(self.turns[start:end])
            start = end

    def page_turns(self) -> int:
        """Return how many turns the next page has."""
        if not self.received:
            return FIRST_PAGE_TURNS
        mean_bytes = max(self.received_bytes / self.received, 1)
        return min(max(int(PAGE_BYTES / mean_bytes), 1), MAX_PAGE_TURNS)

    def note(self, records: list[bytes]) -> None:
        """Note records that have arrived."""
        self.received += len(records)
        self.received_bytes += sum(map(len, records))
