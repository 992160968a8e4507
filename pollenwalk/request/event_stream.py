"""Splits a stream of server-sent events into whole events."""

from collections.abc import Iterator
from typing import NamedTuple

BLANK_LINES = (b'\n\n', b'\r\n\r\n')


class Event(NamedTuple):
    """One event.

    Attributes:
        raw: its bytes, the blank line included.
        id: empty where it bears none.
        payload: its data lines, joined by line feeds; None without any.
    """

    raw: bytes
    id: str
    payload: bytes | None


class EventSplitter:
    """Holds back an event until it is whole."""

    def __init__(self) -> None:
        """Start with nothing."""
        self.incomplete = b''

    def feed(self, chunk: bytes) -> Iterator[Event]:
        """Give the events that a chunk completes."""
        self.incomplete += chunk
        while True:
            end = self.end_of_event()
            if not end:
                return
            raw = self.incomplete[:end]
            self.incomplete = self.incomplete[end:]
            yield parse_event(raw)

    def end_of_event(self) -> int:
        """Find where the first event ends; 0 where it isn't whole."""
        ends = (
            position + len(blank)
            for blank in BLANK_LINES
            if (position := self.incomplete.find(blank)) >= 0
        )
        return min(ends, default=0)


def parse_event(raw: bytes) -> Event:
    """Read the fields of one event."""
    event_id = ''
    lines: list[bytes] = []
    for line in raw.splitlines():
        field, _, text = line.partition(b':')
        text = text.removeprefix(b' ')
        if field == b'id':
            event_id = text.decode('latin-1')
        elif field == b'data':
            lines.append(text)
    return Event(raw, event_id, b'\n'.join(lines) if lines else None)
