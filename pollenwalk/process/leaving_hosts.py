"""Hosts that have said in an answer that they leave, as a keeper passes them on.

Gateways that reach the store learn it from the list of hosts, too; the others only from
answers, and from each other in this way.
"""

from collections.abc import Iterable

from pollenwalk.connection.limit_messages import HostStart
from pollenwalk.process.clock import Clock

# A host that leaves serves on for some seconds, and at times for many.
MEMORY_MS = 60_000.0


class LeavingHosts:
    """The hosts that have lately said that they leave.

    Attributes:
        told_at_ms: when each start of a host was first told of.
    """

    def __init__(self, clock: Clock) -> None:
        """Know no host."""
        self.clock = clock
        self.told_at_ms: dict[HostStart, float] = {}

    def add(self, hosts: Iterable[HostStart]) -> None:
        """Add hosts that a gateway has told of."""
        now_ms = self.clock.now_ms()
        for host in hosts:
            self.told_at_ms.setdefault(host, now_ms)

    def recent(self) -> tuple[HostStart, ...]:
        """Return the hosts; those told of long ago are forgotten."""
        since_ms = self.clock.now_ms() - MEMORY_MS
        self.told_at_ms = {
            host: at_ms for host, at_ms in self.told_at_ms.items() if at_ms > since_ms
        }
        return tuple(self.told_at_ms)
