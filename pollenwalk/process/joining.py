"""Joining: a keeper with an empty disk fetches the records of the others.

Every turn is on one disk more than may be lost at the same time. The keeper
therefore has all records once it has fetched those of all other keepers except
as many as may be lost. Until then it stores new records, but does not report
that a record does not exist.
"""

from collections.abc import AsyncIterator

from loguru import logger

from pollenwalk.connection.peer import Peer
from pollenwalk.errors import PollenwalkError
from pollenwalk.process.keeper import Keeper
from pollenwalk.process.keeper_members import Member
from pollenwalk.program.turns import PullRecords, RecordBatch

# Timeout for each batch of records. A batch takes 200 ms on the slowest link
# between regions.
BATCH_TIMEOUT_MS = 1500.0
FETCH_INTERVAL_MS = 200.0


class Joining:
    """Fetches the missing records of a keeper from the other keepers.

    Attributes:
        fetched: names of the complete keepers whose records have been fetched.
    """

    def __init__(self, keeper: Keeper) -> None:
        """Create the joining of `keeper`; nothing has been fetched yet."""
        self.keeper = keeper
        self.fetched: set[str] = set()

    async def run(self) -> None:
        """Fetch all records; the keeper is complete then."""
        keeper = self.keeper
        while not self.has_all_records():
            await self.fetch_remaining()
            self.note_wait()
            await keeper.clock.sleep_ms(FETCH_INTERVAL_MS)
        keeper.waits.update('records', [])
        keeper.state.log.mark_complete()
        logger.info('joined', fetched=sorted(self.fetched))

    def note_wait(self) -> None:
        """Note whose records are missing."""
        names = [member.name for member in self.keeper.other_members()]
        missing = set(names).difference(self.fetched)
        tolerated = self.keeper.settings.tolerated_losses
        reason = f'fetched from {sorted(self.fetched)}; {tolerated} may be lost'
        self.keeper.waits.update('records', missing or ['store'], reason)

    def has_all_records(self) -> bool:
        """Return whether enough keepers' records have been fetched.

        If this keeper was listed before, its own former disk counts as one of
        the lost ones.
        """
        keeper = self.keeper
        if not keeper.links.members.loaded:
            return False
        count = len(keeper.other_members()) + int(keeper.was_member)
        required = max(count - keeper.settings.tolerated_losses, 1)
        return len(self.fetched) >= required

    async def fetch_remaining(self) -> None:
        """Fetch from every keeper whose records have not all been fetched."""
        for member in self.keeper.other_members():
            if member.name not in self.fetched and await self.fetch(member):
                self.fetched.add(member.name)

    async def fetch(self, member: Member) -> bool:
        """Fetch one keeper's accounts and the turns that have too few copies.

        Returns:
            Whether everything was fetched and the other keeper is complete.
        """
        keeper = self.keeper
        peer = Peer(member.address, keeper.network, keeper.clock, keeper.tasks)
        count = 0
        complete = True
        try:
            async for batch in self.fetch_batches(peer):
                complete = complete and batch.complete
                count += await keeper.state.add_records(batch.records)
        except (PollenwalkError, TimeoutError) as error:
            logger.warning('fetch_failed', keeper=member.name, reason=repr(error))
            return False
        finally:
            await peer.close()
        logger.info('fetched', keeper=member.name, new=count, complete=complete)
        return complete

    async def fetch_batches(self, peer: Peer) -> AsyncIterator[RecordBatch]:
        """Yield the batches of records that a keeper sends.

        Raises:
            TimeoutError: the next batch did not arrive within the timeout.
        """
        stream = peer.stream(PullRecords(self.lost_keepers()))
        while True:
            async with self.keeper.clock.timeout_ms(BATCH_TIMEOUT_MS):
                batch = await anext(stream, None)
            if batch is None:
                return
            yield batch

    def lost_keepers(self) -> list[str]:
        """Return the names of the keepers whose copies may be lost.

        They are this keeper and those whose records have not all been fetched.
        """
        fetched = self.fetched
        names = [
            member.name
            for member in self.keeper.other_members()
            if member.name not in fetched
        ]
        return [*names, self.keeper.settings.name]
