"""Splitting of a stream of server-sent events into single events."""

from collections.abc import Iterator
from typing import NamedTuple

# The end of an event's last line and the blank line after it. A blank line between
# lines that end with CR alone is not recognised.
EVENT_ENDS = (b'\n\n', b'\r\n\r\n')


class Event(NamedTuple):
    """One server-sent event.

    Attributes:
        raw: bytes of the event with the blank line that ends it.
        id: value of the id field; empty if there is none.
        payload: the data fields joined by line feeds; None if there are none.
    """

    raw: bytes
    id: str
    payload: bytes | None


class EventSplitter:
    """Splits chunks of bytes into complete events.

    Attributes:
        incomplete: bytes received after the last complete event.
    """

    def __init__(self) -> None:
        """Create a splitter that has not received any bytes."""
        self.incomplete = b''

    def feed(self, chunk: bytes) -> Iterator[Event]:
        """Add a chunk and yield the events that it completes."""
        self.incomplete += chunk
        while True:
            end = self.end_of_event()
            if not end:
                return
            raw = self.incomplete[:end]
            self.incomplete = self.incomplete[end:]
            yield parse_event(raw)

    def end_of_event(self) -> int:
        """Return the length of the first event in `incomplete`.

        0 if there is no complete event.
        """
        ends = (
            position + len(event_end)
            for event_end in EVENT_ENDS
            if (position := self.incomplete.find(event_end)) >= 0
        )
        return min(ends, default=0)


def parse_event(raw: bytes) -> Event:
    """Decode the id and data fields of one event; ignore its other fields."""
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
