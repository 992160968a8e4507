"""What this gateway may keep and send at each host, by the configuration."""

import math

from pollenwalk.connection.connection_pool import ConnectionPool
from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.connection.request_bodies import MIN_HOST_BYTES
from pollenwalk.policy.idle_connections import GatewayCount, idle_limit
from pollenwalk.process.clock import Clock
from pollenwalk.version.active_configuration import ActiveConfiguration


class HostBounds:
    """Applies the configuration and the number of gateways to hosts.

    Attributes:
        configuration: names the most connections that a host accepts.
        bounds_bodies: whether request bodies at a host are bounded even if the
            configuration has no organisations.
        gateways: the number of gateways that share the connections.
    """

    def __init__(
        self, configuration: ActiveConfiguration, *, bounds_bodies: bool
    ) -> None:
        """Assume a number of gateways."""
        self.configuration = configuration
        self.bounds_bodies = bounds_bodies
        self.gateways = GatewayCount()

    def idle_limit(self, host: UpstreamHost) -> float:
        """Return how many idle connections to a host are kept."""
        current = self.configuration.current
        upstream = current.upstreams.get(host.upstream) if current else None
        max_connections = upstream.max_connections if upstream else 0
        return idle_limit(max_connections, host.slots, self.gateways.number)

    def body_limit_bytes(self) -> float:
        """Return the most bytes of request bodies that a host has not answered."""
        current = self.configuration.current
        if current is None:
            return math.inf
        if current.organisations is None and not self.bounds_bodies:
            return math.inf
        return max(current.limits.max_body_bytes, MIN_HOST_BYTES)


def make_pool(clock: Clock, bounds: HostBounds, memory_mb: int) -> ConnectionPool:
    """Create the pool of connections to hosts.

    Args:
        clock: the clock of the process.
        bounds: what may be kept and sent at each host.
        memory_mb: memory of the machine in MB; 0 to ask the operating system.
    """
    return ConnectionPool(clock, bounds.idle_limit, memory_mb, bounds.body_limit_bytes)
