"""Kept connections to upstream hosts."""

from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.connection.upstream_connection import (
    UpstreamConnection,
    open_upstream_connection,
)
from pollenwalk.process.clock import Clock

# Two round trips between regions, a lost packet sent again, and some.
CONNECT_TIMEOUT_S = 0.5
# A host may close an idle connection just as a request goes out; links are
# given up so long before the time that the host names.
CLOSE_MARGIN_MS = 1000.0
# Used where a host names no time.
UNSTATED_KEEP_MS = 4000.0


class ConnectionPool:
    """The idle connections of one gateway, by host."""

    def __init__(self, clock: Clock) -> None:
        """Start with none."""
        self.clock = clock
        self.idle: dict[str, list[UpstreamConnection]] = {}

    async def acquire(self, host: UpstreamHost) -> UpstreamConnection:
        """Give an idle connection, or a new one.

        Raises:
            NotSent: the host can't be reached.
        """
        links = self.idle.get(host.id, [])
        now_ms = self.clock.now_ms()
        while links:
            link = links.pop()
            if link.reusable and now_ms < link.idle_since_ms + keep_alive_ms(link):
                return link
            link.abort()
        return await open_upstream_connection(host.address, CONNECT_TIMEOUT_S)

    def release(self, host: UpstreamHost, link: UpstreamConnection) -> None:
        """Keep a connection whose answer was read whole, if it can be."""
        if not link.finish_exchange():
            return
        link.idle_since_ms = self.clock.now_ms()
        self.idle.setdefault(host.id, []).append(link)

    def close_all_except(self, hosts: set[str]) -> None:
        """Close the connections to all hosts but these."""
        for name in self.idle.keys() - hosts:
            for link in self.idle.pop(name):
                link.abort()

    def close(self) -> None:
        """Close all idle connections."""
        self.close_all_except(set())


def keep_alive_ms(link: UpstreamConnection) -> float:
    """Give how long a link may be idle and still be used."""
    if link.keep_alive_ms is None:
        return UNSTATED_KEEP_MS
    return max(link.keep_alive_ms - CLOSE_MARGIN_MS, 0)
