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
RETRY_AFTER_MS = 50


class TurnReplication:
    """Sends a record until enough keepers have it."""

    def __init__(
        self,
        links: KeeperLinks,
        record: TurnRecord,
        candidates: list[KeeperLink],
        required_copies: int,
    ) -> None:
        """Prepare to send a record to the first of some keepers."""
        self.links = links
        self.record = record
        self.candidates = candidates
        self.required_copies = required_copies
        self.stored_copies = 0
        self.max_distance = 0
        self.sending: set[asyncio.Task[Stored]] = set()

    async def replicate(self) -> None:
        """Send until enough keepers have the record.

        Raises:
            Refusal: no keeper is left to ask.
        """
        try:
            await self.send_until_stored()
        finally:
            for task in self.sending:
                # The copy may still be made; nobody waits for it.
                task.add_done_callback(retrieve_exception)

    async def send_until_stored(self) -> None:
        """Send to as many as are missing; to one more when they are slow."""
        self.send_to(self.required_copies)
        while self.stored_copies < self.required_copies:
            if not self.sending:
                raise keepers_unavailable(
                    f'{self.stored_copies} of {self.required_copies} copies'
                )
            done, left = await asyncio.wait(
                self.sending,
                timeout=self.hedge_ms() / MS_PER_SECOND,
                return_when=asyncio.FIRST_COMPLETED,
            )
            self.sending = left
            succeeded = sum(task.exception() is None for task in done)
            self.stored_copies += succeeded
            self.send_to(len(done) - succeeded if done else 1)

    def send_to(self, count: int) -> None:
        """Send to the next keepers."""
        chosen = self.candidates[:count]
        self.candidates = self.candidates[count:]
        for link in chosen:
            request = self.links.ask(link, self.record)
            self.sending.add(asyncio.ensure_future(request))
            self.max_distance = max(self.max_distance, link.distance)

    def hedge_ms(self) -> float:
        """Give how long the keepers that were asked may take."""
        return FAR_HEDGE_MS if self.max_distance >= OTHER_REGION else NEAR_HEDGE_MS


def retrieve_exception(task: asyncio.Task[Stored]) -> None:
    """Take note of an exception, which was logged where it arose."""
    if not task.cancelled():
        task.exception()


def keepers_unavailable(reason: str) -> Refusal:
    """Refuse a turn for now: too few keepers answer."""
    return Refusal(
        RefusalCode.KEEPERS_UNAVAILABLE,
        reason,
        retry_after_ms=RETRY_AFTER_MS,
    )
