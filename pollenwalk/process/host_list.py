"""Following the platform's list of hosts, as a hint."""

from typing import Protocol

from loguru import logger

from pollenwalk.errors import ConnectionLost
from pollenwalk.process.clock import Clock
from pollenwalk.process.fleet import Fleet

POLL_MS = 1000


class HostList(Protocol):
    """The platform's lagging list of live and leaving hosts."""

    async def fetch_leaving(self) -> list[str]:
        """Give the IP addresses of leaving hosts; raises `ConnectionLost`."""


async def follow_hosts(hosts: HostList, fleet: Fleet, clock: Clock) -> None:
    """Send no new work to hosts that the platform says are leaving."""
    while True:
        try:
            fleet.update_leaving_addresses(await hosts.fetch_leaving())
        except ConnectionLost as error:
            logger.debug('host_list_silent', reason=error.message)
        await clock.sleep_ms(POLL_MS)
