"""Raised retentions of routes, of which a gateway tells all keepers.

A turn is kept for the retention of its route, also if that is raised after the turn was
answered. A keeper doesn't know of which route a turn is, so it keeps all turns for
longer whose retention is at least the former one.
"""

import asyncio
from collections.abc import Iterator

from loguru import logger

from pollenwalk.errors import PollenwalkError
from pollenwalk.process.clock import Clock
from pollenwalk.process.keeper_links import KeeperLinks
from pollenwalk.process.keeper_members import Member
from pollenwalk.process.tasks import TaskSet
from pollenwalk.program.turns import RaiseRetention
from pollenwalk.version.routes import Route, RoutingConfiguration

# Pause before keepers that did not answer are told again.
RETRY_INTERVAL_MS = 1000.0


class RetentionRaises:
    """Tells keepers of routes whose retention is raised.

    Attributes:
        version: version of the last configuration; None before the first.
        retentions_ms: its retentions, by the name of the route.
    """

    def __init__(self, links: KeeperLinks, clock: Clock, tasks: TaskSet) -> None:
        """Know no configuration."""
        self.links = links
        self.clock = clock
        self.tasks = tasks
        self.version: int | None = None
        self.retentions_ms: dict[str, float] = {}

    def apply(self, configuration: RoutingConfiguration | None) -> None:
        """Compare the configuration in force with the one before."""
        if configuration is None or configuration.version == self.version:
            return
        former_ms = self.retentions_ms
        self.version = configuration.version
        self.retentions_ms = {
            route.name: route.retention_ms for route in history_routes(configuration)
        }
        raises = {
            RaiseRetention(former_ms[name], retention_ms)
            for name, retention_ms in self.retentions_ms.items()
            if name in former_ms and former_ms[name] < retention_ms
        }
        for message in raises:
            self.tasks.spawn(self.tell_all(message), 'raise_retention')

    def retention_ms(self, route: Route) -> float:
        """Return how long a turn must be kept that ends now.

        Args:
            route: its route, as it was when the turn began.
        """
        return max(route.retention_ms, self.retentions_ms.get(route.name, 0))

    async def tell_all(self, message: RaiseRetention) -> None:
        """Tell all keepers, and again those that are away, while it matters."""
        until_ms = self.clock.now_ms() + message.retention_ms
        told: set[str] = set()
        while self.clock.now_ms() < until_ms:
            listed = list(self.links.members.by_name.values())
            waiting = [member for member in listed if member.name not in told]
            if listed and not waiting:
                break
            answered = await asyncio.gather(
                *(self.tell(member, message) for member in waiting)
            )
            pairs = zip(waiting, answered, strict=True)
            told.update(member.name for member, is_told in pairs if is_told)
            await self.clock.sleep_ms(RETRY_INTERVAL_MS)
        logger.info(
            'retention_raised',
            former_ms=message.former_ms,
            retention_ms=message.retention_ms,
            keepers=sorted(told),
        )

    async def tell(self, member: Member, message: RaiseRetention) -> bool:
        """Tell one keeper, unless it is a former one; return whether it has answered."""
        if not member.extends_turns:
            return False
        try:
            await self.links.request(self.links.link(member), message)
        except PollenwalkError as error:
            logger.debug('raise_not_told', keeper=member.name, reason=error.message)
            return False
        return True


def history_routes(configuration: RoutingConfiguration) -> Iterator[Route]:
    """Yield the routes whose turns are kept."""
    for routes in configuration.routes.values():
        yield from (route for route in routes if route.keeps_history)
