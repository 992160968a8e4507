"""The keepers as a gateway uses them: enough copies, a quorum for budgets.

With f keepers that may be lost at once, a record counts when f + 1 disks
have it; it does not exist when all keepers but f say so; and a majority of
all keepers decides on budgets.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any, TypeVar

from loguru import logger

from pollenwalk.errors import PollenwalkError, Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from pollenwalk.process.keeper_links import KeeperLink, KeeperLinks
from pollenwalk.process.retry_advisor import RetryAdvisor
from pollenwalk.process.store import Changes, StoredObject
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.turn_replication import TurnReplication, keepers_unavailable
from pollenwalk.program.turn_index import TurnIndex
from pollenwalk.program.turns import (
    Chain,
    FindChain,
    Listing,
    ReadPrefix,
    Settlements,
    SettleTokens,
    TurnRecord,
)

# Turns that a gateway remembers; the least gateway has 128 MB in all.
CACHE_BYTES = 16_000_000
# Settlements wait so long for company: much less than the second for which
# a finished turn may still count at its most.
SETTLE_EVERY_MS = 30.0
# Pause before keepers that gave no answer are asked again: half of the pause
# after which a lost one is probed.
ASK_AGAIN_MS = 100.0

Result = TypeVar('Result')


class KeeperGroup:
    """All keepers that the store lists."""

    def __init__(
        self,
        links: KeeperLinks,
        clock: Clock,
        tasks: TaskSet,
        tolerated_losses: int,
    ) -> None:
        """Use the keepers behind `links`."""
        self.links = links
        self.clock = clock
        self.tasks = tasks
        self.tolerated_losses = tolerated_losses
        self.cache = TurnIndex(clock, CACHE_BYTES)
        self.retry_advisor = RetryAdvisor(clock)
        self.unsettled: list[SettleTokens] = []

    @property
    def required_copies(self) -> int:
        """Give how many disks must have a record."""
        return self.tolerated_losses + 1

    async def ask_all(self, message: Any) -> AsyncIterator[Any]:
        """Ask all keepers at once and give the answers as they come."""
        asking = [
            asyncio.ensure_future(self.links.ask(link, message))
            for link in self.links.ordered()
        ]
        try:
            for done in asyncio.as_completed(asking):
                answer = await answer_or_none(done)
                if answer is not None:
                    yield answer
        finally:
            for task in asking:
                task.cancel()

    async def store_turn(self, record: TurnRecord) -> list[str]:
        """Have a turn kept on enough disks.

        Returns:
            The keepers that were asked first.

        Raises:
            Refusal: too few keepers answer.
        """
        links = [link for link in self.links.ordered() if not link.member.retiring]
        names = [link.member.name for link in links[: self.required_copies]]
        held = record._replace(replicas=names)
        await TurnReplication(self.links, held, links, self.required_copies).make()
        self.cache.put(held)
        return names

    async def retry_until_acknowledged(
        self, work: Callable[[], Awaitable[Result]]
    ) -> Result:
        """Do again what keepers that gave no answer had to confirm.

        Ends when the caller's time is over, by cancellation.

        Raises:
            Refusal: for another reason than silent keepers.
        """
        while True:
            try:
                return await work()
            except Refusal as refusal:
                if refusal.code != RefusalCode.KEEPERS_UNAVAILABLE:
                    raise
            await self.clock.sleep_ms(ASK_AGAIN_MS)

    async def load_chain(self, turn: str) -> list[TurnRecord]:
        """Find a turn and all before it, the oldest first.

        Raises:
            Refusal: it does not exist, or nobody can be certain.
        """
        found = self.cache.use_chain(turn)
        turns = found.turns
        while found.missing:
            found = await self.find_chain(found.missing)
            for record in found.turns:
                self.cache.put(record)
            turns = [*found.turns, *turns]
        return turns

    async def find_chain(self, turn: str) -> Chain:
        """Find a part of a chain at the keepers, the nearest first.

        Raises:
            Refusal: the turn does not exist, or nobody can be certain.
        """
        links = self.links.ordered()
        absent = 0
        for link in links:
            found = await self.ask_for_chain(link, turn)
            if found is not None and found.turns:
                return found
            absent += int(found is not None and found.complete)
        if links and absent >= len(links) - self.tolerated_losses:
            raise Refusal(RefusalCode.UNKNOWN_TURN, f'no turn {turn}')
        raise keepers_unavailable(f'{absent} of {len(links)} have no turn {turn}')

    async def ask_for_chain(self, link: KeeperLink, turn: str) -> Chain | None:
        """Ask one keeper for a turn; None where it gives no answer."""
        return await answer_or_none(self.links.ask(link, FindChain(turn)))

    async def read_prefix(self, prefix: str) -> Changes | None:
        """List a prefix of the store by way of the first keeper that can."""
        for link in self.links.ordered():
            asking = self.links.ask(link, ReadPrefix(prefix))
            listing: Listing | None = await answer_or_none(asking)
            if listing is not None:
                logger.info(
                    'store_read_by_keeper',
                    keeper=link.member.name,
                    prefix=prefix,
                    revision=listing.revision,
                )
                objects = [StoredObject(*one) for one in listing.objects]
                return Changes(listing.revision, objects)
        return None

    def settle(self, message: SettleTokens) -> None:
        """Tell all keepers what a turn has shown, together with others."""
        self.unsettled.append(message)
        if len(self.unsettled) == 1:
            self.tasks.spawn(self.send_settlements(), 'settle')

    async def send_settlements(self) -> None:
        """Send what has gathered; a keeper that misses it counts the most."""
        await self.clock.sleep_ms(SETTLE_EVERY_MS)
        message = Settlements(self.unsettled)
        self.unsettled = []
        asking = [self.links.ask(link, message) for link in self.links.ordered()]
        await asyncio.gather(*map(answer_or_none, asking))


async def answer_or_none(asking: Any) -> Any:
    """Wait for an answer; a failure was logged where it arose."""
    try:
        return await asking
    except PollenwalkError:
        return None
