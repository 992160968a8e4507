"""One caller's call while the gateway works on it."""

from typing import NamedTuple

from pollenwalk.request.http_messages import Request
from pollenwalk.version.routes import Route

# The least that is left of a caller's time once an answer has to travel.
ANSWER_DELAY_MS = 5.0


class Call(NamedTuple):
    """A request with the route that was in force when it came.

    Attributes:
        request: as the caller sent it.
        route: that it takes.
        upstream: of the route's upstreams, the one it goes to.
        version: of the configuration.
        deadline_at_ms: when the caller or the route stops waiting.
        tokens_per_event: what an event of its stream counts for.
    """

    request: Request
    route: Route
    upstream: str
    version: int
    deadline_at_ms: float
    tokens_per_event: int

    @property
    def id(self) -> str:
        """Give the id of the request."""
        return self.request.metadata.id

    def remaining_ms(self, now_ms: float) -> float:
        """Give the time that is left."""
        return self.deadline_at_ms - now_ms


def call_deadline_ms(request: Request, route: Route) -> float:
    """Give the earlier end of the caller's and of the route's time."""
    deadline_ms = request.metadata.deadline_ms
    remaining_ms = route.timeout_ms if deadline_ms is None else deadline_ms
    return request.arrived_ms + min(remaining_ms, route.timeout_ms) - ANSWER_DELAY_MS
