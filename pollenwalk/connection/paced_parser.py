"""An HTTP parser that begins a request only when the connection is ready for it."""

from collections.abc import Callable
from typing import Any

import h11

# Client states in which a request was read completely.
WHOLE_REQUEST_STATES = frozenset((h11.DONE, h11.MUST_CLOSE, h11.CLOSED))


def announced_bytes(request: h11.Request) -> int:
    """Return the Content-Length of a request, 0 if it has none; h11 has checked it."""
    for name, field in request.headers:
        if name == b'content-length':
            return int(field)
    return 0


class PacedParser(h11.Connection):
    """The server's side of an HTTP connection.

    Attributes:
        may_begin: returns whether the next request may be read.
        body_bytes: bytes of the body of the request in progress that were read.
        announced_bytes: length of that body if its head states it, else 0.
        requests: number of requests that were begun.
    """

    def __init__(self, max_head_bytes: int, may_begin: Callable[[], bool]) -> None:
        """Create the parser of a new connection."""
        super().__init__(h11.SERVER, max_head_bytes)
        self.may_begin = may_begin
        self.body_bytes = 0
        self.announced_bytes = 0
        self.requests = 0

    @property
    def unparsed_bytes(self) -> int:
        """Return how many received bytes were not read yet."""
        return len(self._receive_buffer)

    @property
    def missing_bytes(self) -> int:
        """Return how much of an announced body is missing; 0 if that is not known."""
        return max(self.announced_bytes - self.body_bytes, 0)

    @property
    def is_between_requests(self) -> bool:
        """Return whether no head was read since the last answer."""
        return self.their_state is h11.IDLE

    @property
    def has_whole_request(self) -> bool:
        """Return whether a request was read completely and is not answered yet."""
        return self.their_state in WHOLE_REQUEST_STATES

    def next_event(self) -> Any:
        """Return the next event; PAUSED while the next request must wait."""
        is_waiting = self.is_between_requests and self.unparsed_bytes
        if is_waiting and not self.may_begin():
            return h11.PAUSED
        event = super().next_event()
        if isinstance(event, h11.Request):
            self.requests += 1
            self.body_bytes = 0
            self.announced_bytes = announced_bytes(event)
        elif isinstance(event, h11.Data) and self.our_state is not h11.DONE:
            self.body_bytes += len(event.data)
        return event
