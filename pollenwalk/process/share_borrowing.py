"""Borrowing of shares of limits: the first owner of a host asks the others for theirs."""

import asyncio

from loguru import logger

from pollenwalk.connection.limit_messages import BorrowShares, LimitNews
from pollenwalk.errors import PollenwalkError
from pollenwalk.process.clock import Clock
from pollenwalk.process.keeper_links import KeeperLinks
from pollenwalk.process.permit_allocator import RENEWAL_INTERVAL_MS, PermitAllocator


class ShareBorrowing:
    """Borrows the shares of the hosts whose first owner a keeper is."""

    def __init__(
        self, permits: PermitAllocator, links: KeeperLinks, clock: Clock, name: str
    ) -> None:
        """Borrow nothing yet.

        Args:
            permits: knows which shares are wanted, and uses them.
            links: the connections to the other owners.
            clock: the clock of the keeper.
            name: name of the keeper.
        """
        self.permits = permits
        self.links = links
        self.clock = clock
        self.name = name

    async def run(self) -> None:
        """Borrow at regular intervals until cancelled."""
        while True:
            await self.clock.sleep_ms(RENEWAL_INTERVAL_MS)
            wanted = self.permits.shares_to_borrow()
            await asyncio.gather(
                *(self.borrow_from(name, limits) for name, limits in wanted.items())
            )

    async def borrow_from(self, lender: str, limits: list[LimitNews]) -> None:
        """Borrow the shares of one other owner, if it answers in time."""
        member = self.links.members.by_name.get(lender)
        if member is None:
            return
        request = BorrowShares(self.name, limits)
        asked_at_ms = self.clock.now_ms()
        try:
            async with self.clock.timeout_ms(RENEWAL_INTERVAL_MS):
                answer = await self.links.request(self.links.link(member), request)
        except (PollenwalkError, TimeoutError) as error:
            logger.debug('share_not_lent', keeper=lender, reason=str(error))
            return
        self.permits.record_loans(lender, request, answer, asked_at_ms)
