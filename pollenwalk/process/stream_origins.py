"""Memory of where streams began, in gateways and keepers.

It is lost when the process ends. A stream whose origin nobody knows any more
can't be resumed, so nothing has to be on disk.
"""

from pollenwalk.process.clock import Clock
from pollenwalk.program.streams import StreamOrigin

# More streams than a keeper hears of within the time that callers wait.
MAX_ORIGINS = 20_000


class StreamOrigins:
    """The origins of the latest streams.

    Attributes:
        by_request: the origins by the id of their request, the oldest first.
        forget_at_ms: when an origin is forgotten, by the id of its request.
    """

    def __init__(self, clock: Clock) -> None:
        """Create an empty memory."""
        self.clock = clock
        self.by_request: dict[str, StreamOrigin] = {}
        self.forget_at_ms: dict[str, float] = {}

    def add(self, origin: StreamOrigin) -> None:
        """Remember an origin; forget the oldest ones if there are too many."""
        self.remove(origin.request)
        self.by_request[origin.request] = origin
        self.forget_at_ms[origin.request] = self.clock.now_ms() + origin.retention_ms
        self.remove_oldest()

    def find(self, request: str) -> StreamOrigin | None:
        """Return where the stream of a request began; None if it is not known."""
        if self.is_due(request):
            self.remove(request)
        return self.by_request.get(request)

    def remove_oldest(self) -> None:
        """Remove the oldest origins that are due, or that are too many."""
        while self.by_request:
            oldest = next(iter(self.by_request))
            if len(self.by_request) <= MAX_ORIGINS and not self.is_due(oldest):
                return
            self.remove(oldest)

    def is_due(self, request: str) -> bool:
        """Return whether a known origin is to be forgotten by now."""
        forget_at_ms = self.forget_at_ms.get(request)
        return forget_at_ms is not None and forget_at_ms <= self.clock.now_ms()

    def remove(self, request: str) -> None:
        """Forget an origin, if it is known."""
        self.by_request.pop(request, None)
        self.forget_at_ms.pop(request, None)
