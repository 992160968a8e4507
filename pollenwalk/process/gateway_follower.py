"""How a gateway follows the store: keepers first, the rest through one of them."""

import contextlib
from collections.abc import Callable

from pollenwalk.errors import StoreUnavailable
from pollenwalk.platform.documents import CONFIGURATION_PREFIX, HOSTS_PREFIX
from pollenwalk.process.clock import Clock
from pollenwalk.process.keeper_feed import KeeperFeed
from pollenwalk.process.keeper_group import KeeperGroup
from pollenwalk.process.keeper_members import KEEPERS_PREFIX, Members
from pollenwalk.process.prefix_watcher import PrefixWatcher, WatchHandlers
from pollenwalk.process.store import Changes, StoredObject
from pollenwalk.process.tasks import TaskSet

# How long a gateway that starts waits for a keeper to be listed: a keeper that starts at
# the same time is listed after about a second. Interval of the checks.
FIRST_KEEPER_MS = 1500.0
FIRST_KEEPER_CHECK_MS = 20.0
# What is followed, as logs and metrics name it.
WATCHED = {
    CONFIGURATION_PREFIX: 'configuration',
    HOSTS_PREFIX: 'hosts',
    KEEPERS_PREFIX: 'keepers',
}


class GatewayFollower:
    """Starts the watchers of one gateway.

    Attributes:
        on_unavailable: called with the name of what is followed and the error each time
            the store did not answer.
    """

    def __init__(
        self,
        feed: KeeperFeed,
        clock: Clock,
        tasks: TaskSet,
        on_unavailable: Callable[[str, StoreUnavailable], None],
        keepers: KeeperGroup,
    ) -> None:
        """Follow nothing yet."""
        self.feed = feed
        self.clock = clock
        self.tasks = tasks
        self.on_unavailable = on_unavailable
        self.keepers = keepers

    async def wait_for_keeper(self, members: Members) -> None:
        """Wait until a keeper is listed, but not for long.

        If all processes start at once, each would read the rest from the store itself.
        """
        with contextlib.suppress(TimeoutError):
            async with self.clock.timeout_ms(FIRST_KEEPER_MS):
                while not members.by_name:
                    await self.clock.sleep_ms(FIRST_KEEPER_CHECK_MS)

    def follow(
        self,
        prefix: str,
        on_object: Callable[[StoredObject], None],
        on_read: Callable[[], None],
        wait_ms: float,
        confirm_soon: bool = False,
    ) -> PrefixWatcher:
        """Follow the objects below a prefix until the gateway stops.

        Args:
            prefix: the prefix in the store.
            on_object: called with each new, changed or deleted object.
            on_read: called after each answer.
            wait_ms: longest duration of one watch.
            confirm_soon: whether it is to be confirmed soon after an outage.

        Returns:
            The watcher, which runs.
        """
        what = WATCHED[prefix]
        handlers = WatchHandlers(
            on_object,
            on_read,
            lambda error: self.on_unavailable(what, error),
            self.read_by_relay,
        )
        watcher = PrefixWatcher(self.feed, self.clock, prefix, handlers, wait_ms)
        if confirm_soon:
            watcher.max_retry_ms = self.feed.confirm_soon(prefix, wait_ms)
        self.tasks.spawn(watcher.run(), f'follow {prefix}')
        return watcher

    async def read_by_relay(self, prefix: str) -> Changes | None:
        """List a prefix through any keeper; None if that fails or is not needed."""
        return await self.feed.relay(prefix, self.keepers.read_prefix(prefix))
