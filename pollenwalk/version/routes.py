"""One version of the routing configuration, as the gateway uses it."""

import enum
from typing import NamedTuple


class CallKind(enum.StrEnum):
    """What a route's calls allow."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


class Share(NamedTuple):
    """A part of a route's calls that goes to one upstream."""

    upstream: str
    weight: float


class Route(NamedTuple):
    """Where calls below one host name and path go, and what binds them.

    Attributes:
        name: of the route.
        host: the host name that callers ask for, in lower case.
        path_prefix: begins and ends with a slash.
        kind: what may be repeated.
        timeout_ms: the longest time that a caller is kept waiting.
        target_ms: the time within which an answer is worth its full value.
        pause_target_ms: the longest pause between two events of a stream
            that is still on time; 0 where the route has none.
        priority: 0 is the most urgent.
        shares: the upstreams, with weights above 0 in all.
        max_attempts: upstream hosts that may run one call.
        resumable: whether another host may go on with a stream.
        keeps_history: whether the gateway keeps the turns and completes
            the prompts.
        retention_ms: how long a turn is kept after its last use.
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

    @property
    def idempotent(self) -> bool:
        """Tell whether a call may run more than once."""
        if self.kind == CallKind.STREAM:
            return self.resumable
        return self.kind == CallKind.SAFE

    @property
    def is_streaming(self) -> bool:
        """Tell whether the answers are streams of events."""
        return self.kind == CallKind.STREAM


class Engine(NamedTuple):
    """What is declared of an upstream that runs a model.

    Attributes:
        slots: calls in one batch of a host.
        memory_tokens: tokens that fit into a host's memory.
        tokens_per_event: tokens that one event of a stream counts for.
    """

    slots: int
    memory_tokens: int
    tokens_per_event: int


class Upstream(NamedTuple):
    """A declared upstream.

    Attributes:
        name: of the upstream.
        max_connections: that one of its hosts takes from all gateways.
        engine: None for a plain service.
    """

    name: str
    max_connections: int
    engine: Engine | None


class CallerLimits(NamedTuple):
    """What callers are held to."""

    max_body_bytes: int


class RoutingConfiguration(NamedTuple):
    """One version in full.

    Attributes:
        version: only grows.
        routes: by host name, the longest prefix first.
        upstreams: by name.
        limits: of callers' connections.
    """

    version: int
    routes: dict[str, tuple[Route, ...]]
    upstreams: dict[str, Upstream]
    limits: CallerLimits

    def match(self, host: str, path: str) -> Route | None:
        """Find the route with the longest prefix of a path.

        Args:
            host: the host name that the caller asks for, with or without
                a port.
            path: as the caller sent it.

        Returns:
            The route; None where no route matches.
        """
        name = host.partition(':')[0].lower()
        candidates = self.routes.get(name, ())
        return next(
            (one for one in candidates if path.startswith(one.path_prefix)),
            None,
        )

    def tokens_per_event(self, route: Route) -> int:
        """Give the tokens that an event of a route's streams counts for."""
        upstream = self.upstreams.get(route.shares[0].upstream)
        if upstream is None or upstream.engine is None:
            return 1
        return upstream.engine.tokens_per_event


def index_routes(routes: list[Route]) -> dict[str, tuple[Route, ...]]:
    """Arrange routes by host name, the longest prefix first."""
    hosts: dict[str, list[Route]] = {}
    for route in routes:
        hosts.setdefault(route.host, []).append(route)
    return {
        host: tuple(sorted(found, key=lambda one: -len(one.path_prefix)))
        for host, found in hosts.items()
    }
