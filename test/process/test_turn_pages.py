"""Pages of turns that a keeper fetches."""

import testtools

from pollenwalk.process.turn_pages import (
    FIRST_PAGE_TURNS,
    MAX_PAGE_TURNS,
    PAGE_BYTES,
    TurnPages,
)

TURNS = [f't{number}' for number in range(5000)]


def page_sizes(record_bytes: int) -> list[int]:
    """Return how many turns each page has if all records have one size."""
    pages = TurnPages(TURNS)
    sizes: list[int] = []
    asked: list[str] = []
    for request in pages:
        sizes.append(len(request.turns))
        asked.extend(request.turns)
        pages.note([bytes(record_bytes) for _ in request.turns])
    if asked != TURNS:
        raise AssertionError('turns were left out or asked for twice')
    return sizes


class TurnPagesTest(testtools.TestCase):
    """How many turns are asked for at once."""

    def test_page_follows_the_size_of_turns(self) -> None:
        # Guards against one request for more than fits into memory.
        record_bytes = 10_000
        first, second, *_ = page_sizes(record_bytes)
        self.assertEqual(FIRST_PAGE_TURNS, first)
        self.assertEqual(PAGE_BYTES // record_bytes, second)

    def test_bounds_of_a_page(self) -> None:
        self.assertEqual(MAX_PAGE_TURNS, max(page_sizes(0)))
        pages = TurnPages(TURNS)
        pages.note([bytes(2 * PAGE_BYTES)])
        self.assertEqual(1, pages.page_turns())

    def test_turns_that_the_other_has_not(self) -> None:
        # Guards against pages without end if nothing arrives.
        requested = [turn for page in TurnPages(TURNS) for turn in page.turns]
        self.assertEqual(TURNS, requested)
