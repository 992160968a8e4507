"""Joining: a keeper with an empty disk fetches the records of the others.

Every turn is on one disk more than may be lost at the same time. The keeper
therefore has all records once it has fetched what it lacks of all other keepers except
as many as may be lost. Until then it stores new records, but does not report
that a record does not exist. Keepers whose place another one has taken don't count.
"""

import asyncio
import itertools

from loguru import logger

from pollenwalk.process.keeper import Keeper
from pollenwalk.process.keeper_members import Member, names
from pollenwalk.process.record_fetch import RecordFetch

FETCH_INTERVAL_MS = 200.0


class Joining:
    """Fetches the missing records of a keeper from the other keepers.

    Attributes:
        records: fetches them.
    """

    def __init__(self, keeper: Keeper) -> None:
        """Create the joining of `keeper`; nothing has been fetched yet."""
        self.keeper = keeper
        self.records = RecordFetch(keeper)

    async def run(self) -> None:
        """Fetch all records; the keeper is complete then."""
        keeper = self.keeper
        while not await self.fetch_all():
            await keeper.clock.sleep_ms(FETCH_INTERVAL_MS)
        keeper.waits.update('records', [])
        keeper.state.log.mark_complete()
        logger.info('joined', turns=len(keeper.state.turns))

    async def fetch_all(self) -> bool:
        """Fetch all records once, if enough other keepers are complete.

        Returns:
            Whether this keeper has them now.
        """
        if not self.keeper.links.members.loaded:
            self.keeper.waits.update('records', ['store'], 'the list is not known')
            return False
        others = self.others()
        complete = await self.complete_ones(others)
        required = self.required(others)
        missing = set(names(others)).difference(names(complete))
        reason = f'{len(complete)} others are complete, {required} are needed'
        if len(complete) < required:
            self.keeper.waits.update('records', missing or ['store'], reason)
            return False
        turns_fetched = await self.records.fetch_turns(complete)
        accounts_fetched = await self.records.fetch_accounts(complete[:required])
        if not (turns_fetched and accounts_fetched):
            self.keeper.waits.update('records', names(complete), 'fetched in part')
        return turns_fetched and accounts_fetched

    def others(self) -> list[Member]:
        """Return the other keepers whose records are needed, near ones first."""
        return [one for one in self.keeper.other_members() if not one.is_replaced]

    def required(self, others: list[Member]) -> int:
        """Return from how many other keepers records must be fetched.

        If this keeper was listed before, its own former disk counts as one of
        the lost ones.
        """
        count = len(others) + int(self.keeper.was_member)
        return max(count - self.keeper.settings.tolerated_losses, 1)

    async def complete_ones(self, others: list[Member]) -> list[Member]:
        """Return those keepers that answer and have all their records."""
        links = self.keeper.links
        answers = await asyncio.gather(
            *(links.is_complete(links.link(member)) for member in others)
        )
        return list(itertools.compress(others, answers))
