"""Splitting of a stream of server-sent events into single events."""

import re
from collections.abc import Iterator
from typing import NamedTuple

from pollenwalk.errors import BrokenAnswer

# The end of an event's last line and the blank line after it. Lines end with LF,
# CR LF or CR; a blank line of CR alone is recognised only after another CR.
EVENT_END = re.compile(rb'\n\r?\n|\r\r')
LINE_BREAKS = b'\r\n'
# Number of bytes of an event's end that may be found only after more bytes arrive.
PARTIAL_END_BYTES = 2
# Maximum number of bytes that are kept of an event whose end has not arrived.
MAX_INCOMPLETE_EVENT_BYTES = 1_048_576


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
        searched_bytes: length of the part of `incomplete` in which no event ends.
        events: number of complete events so far.
    """

    def __init__(self) -> None:
        """Create a splitter that has not received any bytes."""
        self.incomplete = bytearray()
        self.searched_bytes = 0
        self.events = 0

    def feed(self, chunk: bytes) -> Iterator[Event]:
        """Add a chunk and yield the events that it completes.

        Blank lines that follow each other are yielded together, as one event without
        fields: a host that writes nothing else would cost much otherwise.

        Raises:
            BrokenAnswer: the event after them exceeds MAX_INCOMPLETE_EVENT_BYTES.
        """
        self.incomplete += chunk
        complete_bytes = 0
        blank = bytearray()
        for end in EVENT_END.finditer(self.incomplete, self.searched_bytes):
            raw = bytes(self.incomplete[complete_bytes : end.end()])
            complete_bytes = end.end()
            self.events += 1
            if raw.isspace():
                blank += raw
                continue
            if blank:
                yield Event(bytes(blank), '', None)
                blank.clear()
            yield parse_event(raw)
        if blank:
            yield Event(bytes(blank), '', None)
        if complete_bytes:
            self.incomplete = self.incomplete[complete_bytes:]
        if len(self.incomplete) > MAX_INCOMPLETE_EVENT_BYTES:
            raise BrokenAnswer(f'an event exceeds {MAX_INCOMPLETE_EVENT_BYTES} bytes')
        self.searched_bytes = max(len(self.incomplete) - PARTIAL_END_BYTES, 0)

    def check_end(self) -> None:
        """Check that the stream may end here; only blank lines may follow an event.

        Raises:
            BrokenAnswer: the stream has ended inside an event.
        """
        if self.incomplete.strip(LINE_BREAKS):
            raise BrokenAnswer('the stream ended inside an event')


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
