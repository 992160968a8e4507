"""A caller's call while the gateway handles it."""

from typing import NamedTuple

from pollenwalk.request.http_messages import Request
from pollenwalk.version.organisations import Organisation
from pollenwalk.version.routes import Route

# Subtracted from the deadline so that an answer can still reach the caller.
ANSWER_DELAY_MS = 5.0


class Call(NamedTuple):
    """A request with the route that was in force when it arrived.

    Attributes:
        request: the request as the caller sent it.
        route: the route that matches the request.
        upstream: name of the route's upstream that was chosen for the call.
        version: version of the configuration that has the route.
        deadline_at_ms: the earlier one of the caller's and the route's deadline,
            less the time that the answer needs to reach the caller; on the
            process's clock.
        tokens_per_event: tokens that one event of the stream counts for.
        organisation: the caller's organisation; None if the route needs no key.
        memory_tokens: tokens that fit into the memory of a host of the upstream; 0 if
            not declared.
    """

    request: Request
    route: Route
    upstream: str
    version: int
    deadline_at_ms: float
    tokens_per_event: int
    organisation: Organisation | None = None
    memory_tokens: int = 0

    @property
    def id(self) -> str:
        """Return the id of the request."""
        return self.request.metadata.id

    @property
    def route_key(self) -> tuple[str, str]:
        """Return the names of the route and of the upstream."""
        return self.route.name, self.upstream

    @property
    def organisation_name(self) -> str:
        """Return the name of the caller's organisation; empty for none."""
        return self.organisation.name if self.organisation else ''

    @property
    def account(self) -> str:
        """Return the key of the program's token account.

        Organisations may use the same ids for their programs, so the key holds the
        name of the organisation. It contains a line feed, which no header can hold,
        so no other id is equal to it.
        """
        return self.owned_key(self.request.metadata.program)

    def owned_key(self, name: str) -> str:
        """Return a key for what the caller calls `name`, unique to the organisation."""
        if self.organisation is None or not name:
            return name
        return f'{self.organisation.name}\n{name}'

    @property
    def priority_rank(self) -> tuple[int, int]:
        """Return the rank of the call's priority; lower ranks are more urgent.

        The priority of the organisation goes before that of the route.
        """
        organisation = self.organisation
        declared = organisation.priority if organisation else None
        return (declared or 0, self.route.priority)

    @property
    def caller_wait_ms(self) -> float:
        """Return how long the caller waits for the answer, from the arrival on."""
        deadline_ms = self.request.metadata.deadline_ms
        return self.route.timeout_ms if deadline_ms is None else deadline_ms

    def remaining_ms(self, now_ms: float) -> float:
        """Return the time in ms until the deadline; negative after it."""
        return self.deadline_at_ms - now_ms


def call_deadline_at_ms(request: Request, route: Route) -> float:
    """Return the deadline of a call as a time on the process's clock.

    It is the earlier one of the caller's and the route's, less the time that the
    answer needs to reach the caller.
    """
    deadline_ms = request.metadata.deadline_ms
    remaining_ms = route.timeout_ms if deadline_ms is None else deadline_ms
    return request.arrived_ms + min(remaining_ms, route.timeout_ms) - ANSWER_DELAY_MS
