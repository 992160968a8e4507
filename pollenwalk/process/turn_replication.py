"""Replication of one turn to the disks of enough keepers."""

import asyncio

from pollenwalk.errors import Refusal, RefusalCode
from pollenwalk.process.clock import MS_PER_SECOND
from pollenwalk.process.keeper_links import OTHER_REGION, KeeperLink, KeeperLinks
from pollenwalk.program.turns import Stored, TurnRecord

# If no keeper has answered within this time, the record is sent to one more
# (a hedged request). The time allows for several syncs of the disk in the same
# region, and for a round trip to another region.
NEAR_HEDGE_MS = 40.0
FAR_HEDGE_MS = 150.0
# Retry-After while too few keepers answer. It is short, as the caller may reach
# another gateway that can reach the keepers.
RETRY_AFTER_MS = 50


class TurnReplication:
    """Sends a turn to keepers until enough of them have stored it.

    Attributes:
        candidates: the keepers that have not been asked, in order of preference.
        stored_copies: how many keepers have acknowledged the record.
        max_distance: greatest distance rank of the keepers that were asked.
        sending: the requests that are not answered.
    """

    def __init__(
        self,
        links: KeeperLinks,
        record: TurnRecord,
        candidates: list[KeeperLink],
        required_copies: int,
    ) -> None:
        """Create a replication that has not sent anything.

        Args:
            links: send the requests.
            record: the turn.
            candidates: the keepers that may be asked, the preferred ones first.
            required_copies: how many keepers must store the turn.
        """
        self.links = links
        self.record = record
        self.candidates = candidates
        self.required_copies = required_copies
        self.stored_copies = 0
        self.max_distance = 0
        self.sending: set[asyncio.Task[Stored]] = set()

    async def replicate(self) -> None:
        """Send the turn until enough keepers have stored it.

        Raises:
            Refusal: too few keepers have stored it, and none is left to ask.
        """
        try:
            await self.send_until_stored()
        finally:
            for task in self.sending:
                # The request goes on, but nothing waits for its result.
                task.add_done_callback(retrieve_exception)

    async def send_until_stored(self) -> None:
        """Send the turn; replace failed requests and hedge slow ones.

        Raises:
            Refusal: too few keepers have stored the turn, and none is left to
                ask.
        """
        self.send_to(self.required_copies)
        while self.stored_copies < self.required_copies:
            if not self.sending:
                raise keepers_unavailable(
                    f'stored {self.stored_copies} of {self.required_copies} copies',
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
        """Send the turn to the next `count` candidates."""
        chosen = self.candidates[:count]
        self.candidates = self.candidates[count:]
        for link in chosen:
            request = self.links.ask(link, self.record)
            self.sending.add(asyncio.ensure_future(request))
            self.max_distance = max(self.max_distance, link.distance)

    def hedge_ms(self) -> float:
        """Return how long to wait for answers before another keeper is asked."""
        return FAR_HEDGE_MS if self.max_distance >= OTHER_REGION else NEAR_HEDGE_MS


def retrieve_exception(task: asyncio.Task[Stored]) -> None:
    """Retrieve a task's exception, so that asyncio does not log it once more."""
    if not task.cancelled():
        task.exception()


def keepers_unavailable(reason: str) -> Refusal:
    """Return the refusal of a turn for which too few keepers answer."""
    return Refusal(
        RefusalCode.KEEPERS_UNAVAILABLE,
        reason,
        retry_after_ms=RETRY_AFTER_MS,
    )
