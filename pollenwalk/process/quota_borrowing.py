"""Renewal of the leases of quotas, and agreement on the list of keepers."""

import asyncio

from loguru import logger

from pollenwalk.connection.quota_messages import BorrowQuotas
from pollenwalk.errors import PollenwalkError
from pollenwalk.process.clock import Clock
from pollenwalk.process.keeper_links import KeeperLinks
from pollenwalk.process.quota_owner import QuotaOwner
from pollenwalk.process.quota_shares import QUOTA_LEASE_MS, QUOTA_RENEWAL_MS

# A keeper that starts asks at shorter intervals for as long: until a majority has agreed
# with it for a while, it grants nothing, and after a loss of power nobody else does.
START_INTERVAL_MS = 50.0
START_MS = 2000.0


class QuotaBorrowing:
    """Borrows the shares of the quotas whose first owner a keeper is.

    Attributes:
        ends_at_ms: when the last lease has ended of a keeper that borrows nothing more;
            None for one that borrows.
    """

    def __init__(self, quotas: QuotaOwner, links: KeeperLinks, clock: Clock) -> None:
        """Borrow nothing yet.

        Args:
            quotas: uses the shares.
            links: the connections to the other owners.
            clock: the clock of the keeper.
        """
        self.quotas = quotas
        self.links = links
        self.clock = clock
        self.ends_at_ms: float | None = None

    def stop(self) -> None:
        """Borrow nothing more from now on."""
        if self.ends_at_ms is None:
            # The last question may be under way for as long as its timeout.
            self.ends_at_ms = self.clock.boot_ms() + QUOTA_RENEWAL_MS + QUOTA_LEASE_MS

    async def wait_for_end(self) -> None:
        """Wait until all leases have ended of a keeper that borrows nothing more."""
        if self.ends_at_ms is not None:
            await self.clock.sleep_ms(max(self.ends_at_ms - self.clock.boot_ms(), 0))

    async def run(self) -> None:
        """Ask all other keepers at regular intervals until cancelled or stopped.

        Keepers without quotas are asked, too: a new one must borrow what its first
        requests need.
        """
        shares = self.quotas.shares
        frequent_until_ms = self.clock.boot_ms() + START_MS
        while True:
            is_start = self.clock.boot_ms() < frequent_until_ms
            interval_ms = START_INTERVAL_MS if is_start else QUOTA_RENEWAL_MS
            await self.clock.sleep_ms(interval_ms)
            if self.ends_at_ms is not None:
                return
            shares.refresh()
            self.quotas.forget_idle()
            others = shares.owner_list.current.keys() - {shares.name}
            await asyncio.gather(*map(self.borrow_from, others))

    async def borrow_from(self, lender: str) -> None:
        """Borrow the shares of one other keeper, if it answers in time."""
        member = self.links.members.by_name.get(lender)
        if member is None:
            return
        shares = self.quotas.shares
        request = BorrowQuotas(shares.name, shares.digest)
        asked_at_ms = self.clock.boot_ms()
        try:
            async with self.clock.timeout_ms(QUOTA_RENEWAL_MS):
                answer = await self.links.request(self.links.link(member), request)
        except (PollenwalkError, TimeoutError) as error:
            logger.debug('quotas_not_lent', keeper=lender, reason=str(error))
            return
        shares.record_answer(lender, asked_at_ms, request.members, answer)
