"""One record on its way to enough keepers' disks."""

import asyncio

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.clock import MS_PER_SECOND
from pollenwalk.process.keeper_links import OTHER_REGION, KeeperLink, KeeperLinks
from pollenwalk.program.turns import Stored, TurnRecord

# After this another keeper is asked for a copy as well: several syncs near,
# a round trip between regions far away.
NEAR_HEDGE_MS = 40.0
FAR_HEDGE_MS = 150.0
# Retry-After while too few keepers answer here; other gateways may reach
# them, so there is no reason to wait long.
RETRY_MS = 50


class TurnReplication:
    """Sends a record until enough keepers have it."""

    def __init__(
        self,
        links: KeeperLinks,
        record: TurnRecord,
        spare: list[KeeperLink],
        needed: int,
    ) -> None:
        """Prepare to send a record to the first of some keepers."""
        self.links = links
        self.record = record
        self.spare = spare
        self.needed = needed
        self.made = 0
        self.farthest = 0
        self.sending: set[asyncio.Task[Stored]] = set()

    async def make(self) -> None:
        """Send until enough keepers have the record.

        Raises:
            Refusal: no keeper is left to ask.
        """
        try:
            await self.make_all()
        finally:
            for task in self.sending:
                # The copy may still be made; nobody waits for it.
                task.add_done_callback(look_at)

    async def make_all(self) -> None:
        """Send to as many as are missing; to one more when they are slow."""
        self.send_to(self.needed)
        while self.made < self.needed:
            if not self.sending:
                raise keepers_unavailable(f'{self.made} of {self.needed} copies')
            done, left = await asyncio.wait(
                self.sending,
                timeout=self.hedge_ms() / MS_PER_SECOND,
                return_when=asyncio.FIRST_COMPLETED,
            )
            self.sending = left
            good = sum(task.exception() is None for task in done)
            self.made += good
            self.send_to(len(done) - good if done else 1)

    def send_to(self, count: int) -> None:
        """Send to the next keepers."""
        chosen = self.spare[:count]
        self.spare = self.spare[count:]
        for link in chosen:
            asking = self.links.ask(link, self.record)
            self.sending.add(asyncio.ensure_future(asking))
            self.farthest = max(self.farthest, link.distance)

    def hedge_ms(self) -> float:
        """Give how long the keepers that were asked may take."""
        return FAR_HEDGE_MS if self.farthest >= OTHER_REGION else NEAR_HEDGE_MS


def look_at(task: asyncio.Task[Stored]) -> None:
    """Take note of an exception, which was logged where it arose."""
    if not task.cancelled():
        task.exception()


def keepers_unavailable(reason: str) -> Refusal:
    """Refuse a turn for now: too few keepers answer."""
    return Refusal(
        RefusalCode.KEEPERS_UNAVAILABLE,
        reason,
        retry_after_ms=RETRY_MS,
    )
