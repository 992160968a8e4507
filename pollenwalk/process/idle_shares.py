"""How many idle connections this gateway may keep to each host."""

from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.policy.idle_connections import GatewayCount, idle_limit
from pollenwalk.version.active_configuration import ActiveConfiguration


class IdleShares:
    """Applies the configuration and the number of gateways to hosts.

    Attributes:
        configuration: names the most connections that a host accepts.
        gateways: the number of gateways that share them.
    """

    def __init__(self, configuration: ActiveConfiguration) -> None:
        """Assume a number of gateways."""
        self.configuration = configuration
        self.gateways = GatewayCount()

    def limit_of(self, host: UpstreamHost) -> float:
        """Return how many idle connections to a host are kept."""
        current = self.configuration.current
        upstream = current.upstreams.get(host.upstream) if current else None
        max_connections = upstream.max_connections if upstream else 0
        return idle_limit(max_connections, host.slots, self.gateways.number)
