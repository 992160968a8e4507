"""What a gateway shows of its state: its gauges, and whom it waits for."""

from pollenwalk.process.gateway_metrics import GatewayMetrics
from pollenwalk.process.host_table import HostTable
from pollenwalk.process.keeper_links import KeeperLinks
from pollenwalk.version.active_configuration import ActiveConfiguration


def awaited_processes(
    configuration: ActiveConfiguration, hosts: HostTable, links: KeeperLinks
) -> dict[str, list[str]]:
    """Return, for all that a gateway needs to serve, from whom it is awaited now."""
    is_loaded = {
        'configuration': configuration.current is not None,
        'hosts': hosts.loaded,
        'keepers': links.members.loaded,
    }
    awaited = {what: [] if done else ['store'] for what, done in is_loaded.items()}
    lost = [link.member.name for link in links.ordered() if link.is_lost]
    awaited['majority'] = [] if links.has_majority else lost
    return awaited


def refresh_gauges(
    metrics: GatewayMetrics,
    configuration: ActiveConfiguration,
    hosts: HostTable,
    links: KeeperLinks,
) -> None:
    """Update the gauges of a gateway."""
    current = configuration.current
    metrics.version.set({}, current.version if current else 0)
    metrics.hosts.set({}, len(hosts.states))
    unreadable = {
        'configuration': configuration.unreadable,
        'hosts': hosts.unreadable,
        'keepers': links.members.unreadable,
    }
    for what, objects in unreadable.items():
        metrics.unreadable.set({'what': what}, objects.total)
    metrics.limited_hosts.set({}, len(hosts.limits.limited()))
    metrics.limits_per_second.set({}, hosts.limits.total_per_second())
    keepers = links.ordered()
    metrics.keepers.set({}, len(keepers))
    metrics.keepers_lost.set({}, sum(link.is_lost for link in keepers))
