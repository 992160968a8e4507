"""Departure: a keeper that is stopped leaves the list, if it is not needed there.

A keeper that stops as planned may come back at once or never. If it never does, nobody
could lose another disk until its turns have been copied. So it hands them over while it
still can, and leaves the list before it ends; one that comes back enters the list again.
It stays listed if too few would remain, as a majority of these has to bear the tolerated
losses; then its successor takes its place.
"""

from loguru import logger

from pollenwalk.errors import StoreUnavailable
from pollenwalk.process.keeper import Keeper, log_store_unavailable
from pollenwalk.process.retirement import Retirement, StatusStore

# A process has at least 8 s to stop.
MAX_DEPARTURE_MS = 5000.0


class Departure:
    """Lets one keeper leave the list when it is stopped.

    Attributes:
        retirement: hands the records over.
    """

    def __init__(self, keeper: Keeper, store: StatusStore) -> None:
        """Create the departure of `keeper`, which has not been stopped."""
        self.keeper = keeper
        self.retirement = Retirement(keeper, store)
        self.retirement.min_staying = 2 * keeper.settings.tolerated_losses + 1

    async def run(self) -> None:
        """Leave the list, unless too few would remain or that takes too long.

        The leases of quotas end first. Otherwise nobody could grant the shares that were
        lent to this keeper for up to 0.8 s after its end.
        """
        borrowing = self.keeper.quota_borrowing
        if borrowing is None:
            await self.try_to_leave()
            return
        borrowing.stop()
        await self.try_to_leave()
        await borrowing.wait_for_end()

    async def try_to_leave(self) -> None:
        """Leave the list, unless too few would remain or that takes too long."""
        keeper = self.keeper
        if not keeper.state.complete or keeper.own_member.retiring:
            return
        try:
            async with keeper.clock.timeout_ms(MAX_DEPARTURE_MS):
                await self.leave()
        except StoreUnavailable as error:
            log_store_unavailable(error)
        except TimeoutError:
            logger.warning('departure_failed', reason='records are still handed over')

    async def leave(self) -> None:
        """Hand all records over and leave the list.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        keeper = self.keeper
        staying = await self.retirement.read_staying()
        if len(staying) < self.retirement.min_staying:
            logger.info('departure_skipped', reason='too few stay', others=len(staying))
            return
        keeper.own_member = keeper.own_member._replace(retiring=True)
        await self.retirement.hand_over_until_done()
        if keeper.quota_borrowing is not None:
            await keeper.quota_borrowing.wait_for_end()
        keeper.retired = True
        await self.retirement.leave_list()
        logger.info('departed', turns=len(keeper.state.turns))
