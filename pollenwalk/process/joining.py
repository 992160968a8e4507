"""How a keeper with an empty disk becomes one that can answer for the past.

A turn is on one disk more than may be lost, so what all other keepers but
the lost ones hold is everything. Until it has that, the keeper stores new
records but doesn't say that something does not exist.
"""

from collections.abc import AsyncIterator

from loguru import logger

from pollenwalk.connection.peer import Peer
from pollenwalk.errors import PollenwalkError
from pollenwalk.process.keeper import Keeper
from pollenwalk.process.keeper_members import Member
from pollenwalk.program.turns import PullRecords, RecordBatch

# The next batch of a keeper that is fetched from must come within this; a
# batch takes a fifth of a second on the narrowest link between regions.
BATCH_TIMEOUT_MS = 1500.0
FETCH_AGAIN_MS = 200.0
# A keeper that could not be reached for so long while another one joined is
# replaced by it.
REPLACED_AFTER_MS = 3000.0


class Joining:
    """Fetches what a keeper lacks."""

    def __init__(self, keeper: Keeper) -> None:
        """Prepare; nothing is fetched yet."""
        self.keeper = keeper
        self.fetched: set[str] = set()

    async def run(self) -> None:
        """Fetch everything, then take the place of a keeper that is gone."""
        keeper = self.keeper
        begun_ms = keeper.clock.now_ms()
        while not self.has_enough():
            await self.fetch_all()
            await keeper.clock.sleep_ms(FETCH_AGAIN_MS)
        keeper.state.log.mark_complete()
        logger.info('joined', fetched=sorted(self.fetched))
        await keeper.clock.sleep_ms(
            begun_ms + REPLACED_AFTER_MS - keeper.clock.now_ms(),
        )
        await self.replace_lost()

    def has_enough(self) -> bool:
        """Tell whether every record that counts has been fetched.

        This keeper's own former disk is one of the lost ones where it was a
        member before.
        """
        keeper = self.keeper
        if not keeper.links.members.loaded:
            return False
        count = len(keeper.other_members()) + int(keeper.was_member)
        needed = max(count - keeper.settings.tolerated_losses, 1)
        return len(self.fetched) >= needed

    async def fetch_all(self) -> None:
        """Fetch from every keeper that has not given all yet."""
        for member in self.keeper.other_members():
            if member.name not in self.fetched and await self.fetch(member):
                self.fetched.add(member.name)

    async def fetch(self, member: Member) -> bool:
        """Fetch what one keeper holds of scarce records.

        Returns:
            Whether it gave everything and is complete itself.
        """
        keeper = self.keeper
        peer = Peer(member.address, keeper.network, keeper.clock, keeper.tasks)
        count = 0
        complete = True
        try:
            async for batch in self.batches(peer):
                complete = complete and batch.complete
                count += await keeper.state.add_records(batch.records)
        except (PollenwalkError, TimeoutError) as error:
            logger.warning('fetch_failed', keeper=member.name, reason=repr(error))
            return False
        finally:
            await peer.close()
        logger.info('fetched', keeper=member.name, new=count, complete=complete)
        return complete

    async def batches(self, peer: Peer) -> AsyncIterator[RecordBatch]:
        """Give what a keeper sends.

        Raises:
            TimeoutError: the next batch did not come in time.
        """
        stream = peer.stream(PullRecords(self.lost()))
        while True:
            async with self.keeper.clock.timeout_ms(BATCH_TIMEOUT_MS):
                batch = await anext(stream, None)
            if batch is None:
                return
            yield batch

    def lost(self) -> list[str]:
        """Name the keepers whose copies may be gone, this one included."""
        reached = self.fetched
        names = [
            one.name for one in self.keeper.other_members() if one.name not in reached
        ]
        return [*names, self.keeper.settings.name]

    async def replace_lost(self) -> None:
        """Take the place of one keeper that has been gone all the while."""
        for member in self.keeper.other_members():
            if member.name in self.fetched or await self.fetch(member):
                continue
            logger.warning(
                'keeper_replaced',
                lost=member.name,
                by=self.keeper.settings.name,
            )
            await self.keeper.remove(member)
            return
