"""Pool of idle connections to upstream hosts."""

import enum
import math
from collections.abc import Callable

from pollenwalk.connection.answer_memory import MAX_HELD_BYTES, AnswerMemory
from pollenwalk.connection.host_buffers import HostBufferLimits, host_buffer_limits
from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.connection.request_bodies import RequestBodies
from pollenwalk.connection.upstream_connection import (
    UpstreamConnection,
    open_upstream_connection,
)
from pollenwalk.errors import NotSent
from pollenwalk.process.clock import Clock

# What a process holds for hosts that names no memory.
DEFAULT_LIMITS = HostBufferLimits(MAX_HELD_BYTES, math.inf)
# Covers two round trips between regions and one retransmission, with a margin.
CONNECT_TIMEOUT_S = 0.5
# Timeout of the connection that shows whether a host has crashed: a round trip between
# regions, with a margin, for which the caller waits.
PROBE_TIMEOUT_S = 0.15
# A host may close an idle connection just as a request is sent on it. A
# connection is therefore discarded this long before the keep-alive timeout that
# the host announces.
CLOSE_MARGIN_MS = 1000.0
# Idle time after which a connection is discarded if its host announces no
# keep-alive timeout.
DEFAULT_KEEP_ALIVE_MS = 4000.0


class ProbeResult(enum.StrEnum):
    """What a host did with a connection that shows whether it has crashed."""

    REFUSED = 'refused'
    ACCEPTED = 'accepted'
    NO_ANSWER = 'no_answer'


class ConnectionPool:
    """Holds the idle connections of a gateway.

    Attributes:
        idle: idle connections by host id, the most recently used last.
        idle_limit: returns how many idle connections to a host are kept.
        answer_memory: counts what the answers on all connections hold.
        bodies: counts the request bodies that hosts have not taken or not answered.
    """

    def __init__(
        self,
        clock: Clock,
        idle_limit: Callable[[UpstreamHost], float] | None = None,
        memory_mb: float | None = None,
        host_body_bytes: Callable[[], float] | None = None,
    ) -> None:
        """Create an empty pool.

        Args:
            clock: the clock of the process.
            idle_limit: returns how many idle connections to a host are kept; None for
                no limit.
            memory_mb: memory of the machine in MB, from which follows what may be
                held for hosts; 0 to ask the operating system, None for fixed limits.
            host_body_bytes: returns the most bytes of request bodies that a host has
                not answered; None for no limit.
        """
        limits = DEFAULT_LIMITS if memory_mb is None else host_buffer_limits(memory_mb)
        self.clock = clock
        self.idle_limit = idle_limit or unlimited
        self.idle: dict[str, list[UpstreamConnection]] = {}
        self.answer_memory = AnswerMemory(limits.response_bytes)
        self.bodies = RequestBodies(limits.unsent_bytes, host_body_bytes)

    async def acquire(self, host: UpstreamHost, request: str) -> UpstreamConnection:
        """Return an idle connection to a host, or open a new one.

        Args:
            host: the host.
            request: id of the request, which the host must not have refused on the
                connection.

        Raises:
            NotSent: the host can't be reached.
        """
        self.discard_unusable(host.id)
        connections = self.idle.get(host.id, [])
        for connection in reversed(connections):
            if request not in connection.refused:
                connections.remove(connection)
                return connection
        return await self.open_new(host)

    async def open_new(self, host: UpstreamHost) -> UpstreamConnection:
        """Open a new connection to a host.

        Raises:
            NotSent: the host can't be reached.
        """
        return await open_upstream_connection(
            host.address, CONNECT_TIMEOUT_S, self.answer_memory
        )

    def discard_unusable(self, host_id: str) -> None:
        """Close the idle connections to a host that can't carry a request any more."""
        now_ms = self.clock.now_ms()
        for connection in list(self.idle.get(host_id, [])):
            if not is_usable(connection, now_ms):
                self.idle[host_id].remove(connection)
                connection.abort()

    async def probe(self, host: UpstreamHost) -> ProbeResult:
        """Open a connection to a host, and return what the host did with it.

        A host that has crashed refuses it. One that accepts it, or does not answer, is
        not known to have crashed.
        """
        try:
            connection = await open_upstream_connection(host.address, PROBE_TIMEOUT_S)
        except NotSent as error:
            is_refused = isinstance(error.__cause__, ConnectionRefusedError)
            return ProbeResult.REFUSED if is_refused else ProbeResult.NO_ANSWER
        connection.abort()
        return ProbeResult.ACCEPTED

    def release(self, host: UpstreamHost, connection: UpstreamConnection) -> None:
        """Return a connection to the pool after its answer was read to the end.

        The connection is closed instead if it can't carry another request. Those
        that have been idle longest are closed if there are too many.
        """
        if not connection.finish_exchange():
            return
        connection.idle_since_ms = self.clock.now_ms()
        connections = self.idle.setdefault(host.id, [])
        connections.append(connection)
        while len(connections) > self.idle_limit(host):
            connections.pop(0).abort()

    def discard_all_unusable(self) -> None:
        """Close the idle connections to all hosts that can't carry a request any more.

        They would take room at hosts to which this gateway sends nothing now.
        """
        for host_id in list(self.idle):
            self.discard_unusable(host_id)
            if not self.idle[host_id]:
                self.idle.pop(host_id)

    def close_all_except(self, host_ids: set[str]) -> None:
        """Close the idle connections to all hosts except those given."""
        for host_id in self.idle.keys() - host_ids:
            for connection in self.idle.pop(host_id):
                connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        self.close_all_except(set())


def unlimited(_host: UpstreamHost) -> float:
    """Return that any number of idle connections to a host is kept."""
    return math.inf


def is_usable(connection: UpstreamConnection, now_ms: float) -> bool:
    """Return whether an idle connection can still carry a request."""
    is_fresh = now_ms < connection.idle_since_ms + max_idle_ms(connection)
    return connection.reusable and is_fresh


def max_idle_ms(connection: UpstreamConnection) -> float:
    """Return for how long a connection may be idle and still be reused."""
    if connection.keep_alive_ms is None:
        return DEFAULT_KEEP_ALIVE_MS
    return max(connection.keep_alive_ms - CLOSE_MARGIN_MS, 0)
