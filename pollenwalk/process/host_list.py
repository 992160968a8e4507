"""Polls the platform's list of hosts, which serves only as a hint."""

from typing import Protocol

from loguru import logger

from pollenwalk.errors import ConnectionLost
from pollenwalk.process.clock import Clock
from pollenwalk.process.fleet import Fleet

POLL_INTERVAL_MS = 1000


class HostList(Protocol):
    """The platform's list of live and leaving hosts, which may be out of date."""

    async def leaving(self) -> list[str]:
        """Return the IP addresses of leaving hosts.

        Raises:
            ConnectionLost: the platform did not answer.
        """


async def poll_host_list(hosts: HostList, fleet: Fleet, clock: Clock) -> None:
    """Poll the list until cancelled, so that leaving hosts get no new calls."""
    while True:
        try:
            fleet.update_leaving_addresses(await hosts.leaving())
        except ConnectionLost as error:
            logger.debug('host_list_silent', reason=error.message)
        await clock.sleep_ms(POLL_INTERVAL_MS)
