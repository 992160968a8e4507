"""The routing configuration of gateways, at one version."""

import enum
from typing import NamedTuple

from pollenwalk.version.organisations import Organisation


class CallKind(enum.StrEnum):
    """How the calls of a route are answered and whether they are idempotent.

    A stream is idempotent only if its route is resumable.
    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


class Share(NamedTuple):
    """The part of a route's calls that goes to one upstream.

    Attributes:
        upstream: name of the upstream.
        weight: above 0; its part of the sum of all weights of the route.
    """

    upstream: str
    weight: float


class Route(NamedTuple):
    """The upstreams and the limits of calls to one host name and path.

    Attributes:
        name: name of the route.
        host: the host name that callers use, in lower case.
        path_prefix: beginning of the paths; it begins and ends with a slash.
        kind: how calls are answered and whether they are idempotent.
        timeout_ms: the longest time that a caller waits.
        target_ms: latency target; an answer that takes longer is worth less to the
            caller.
        pause_target_ms: target for the longest pause between two events of
            a stream; 0 if the route has none.
        priority: priority of the calls; 0 is the most urgent.
        shares: the upstreams that the calls are divided among.
        max_attempts: the most upstream hosts that may run one call.
        resumable: whether another host may continue an interrupted stream.
        keeps_history: whether gateways store the turns and prepend the previous
            turns of a chain to the prompt.
        retention_ms: how long a turn is kept after its last use.
        public: whether callers need no API key.
        sticky: whether a host that has handled a call's object lately works faster.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    timeout_ms: float
    target_ms: float
    pause_target_ms: float
    priority: int
    shares: tuple[Share, ...]
    max_attempts: int
    resumable: bool
    keeps_history: bool
    retention_ms: float
    public: bool = False
    sticky: bool = False

    @property
    def idempotent(self) -> bool:
        """Return whether a call may run more than once."""
        if self.kind == CallKind.STREAM:
            return self.resumable
        return self.kind == CallKind.SAFE

    @property
    def is_streaming(self) -> bool:
        """Return whether the answers are streams of events."""
        return self.kind == CallKind.STREAM


class Engine(NamedTuple):
    """The model engine on the hosts of an upstream.

    Attributes:
        slots: calls that a host runs in one batch.
        memory_tokens: tokens that fit into a host's memory.
        tokens_per_event: tokens counted for each event of a stream.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int


class Upstream(NamedTuple):
    """A declared upstream.

    Attributes:
        name: name of the upstream.
        max_connections: the most connections that one of its hosts accepts
            from all gateways together.
        engine: None if the upstream runs no model.
    """

    name: str
    max_connections: int
    engine: Engine | None


class CallerLimits(NamedTuple):
    """The limits of callers' requests.

    Attributes:
        max_body_bytes: the longest body of a request.
    """

    max_body_bytes: int


class RoutingConfiguration(NamedTuple):
    """One version of the routing configuration.

    Attributes:
        version: grows with each change.
        routes: routes by host name, the longest path prefix first.
        upstreams: upstreams by name.
        limits: limits of callers' requests.
        organisations: organisations by API key; None if the deployment has none, so
            that callers need no key.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    upstreams: dict[str, Upstream]
    limits: CallerLimits
    organisations: dict[str, Organisation] | None = None

    def needs_key(self, route: Route) -> bool:
        """Return whether callers of a route must identify their organisation."""
        return self.organisations is not None and not route.public

    def match(self, host: str, path: str) -> Route | None:
        """Find the route whose path prefix is the longest that matches.

        Args:
            host: the host name of the request, with or without a port.
            path: the path as the caller sent it.

        Returns:
            The route; None if no route matches.
        """
        name = host.partition(':')[0].lower()
        candidates = self.routes.get(name, ())
        return next(
            (route for route in candidates if path.startswith(route.path_prefix)),
            None,
        )

    def tokens_per_event(self, route: Route) -> int:
        """Return how many tokens are counted for each event of a stream.

        The figure is that of the route's first upstream; 1 if that upstream is
        not declared or runs no model.
        """
        upstream = self.upstreams.get(route.shares[0].upstream)
        if upstream is None or upstream.engine is None:
            return 1
        return upstream.engine.tokens_per_event

    def memory_tokens(self, upstream_name: str) -> int:
        """Return how many tokens fit into the memory of an upstream's host.

        0 if the upstream is not declared or runs no model.
        """
        upstream = self.upstreams.get(upstream_name)
        if upstream is None or upstream.engine is None:
            return 0
        return upstream.engine.memory_tokens


def index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Group routes by host name, the longest path prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in routes:
        by_host.setdefault(route.host, []).append(route)
    return {
        host: tuple(
            sorted(host_routes, key=lambda candidate: -len(candidate.path_prefix))
        )
        for host, host_routes in by_host.items()
    }
