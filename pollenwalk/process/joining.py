"""Joining: a keeper with an empty disk fetches the records of the others.

Every turn is on one disk more than may be lost at the same time. The keeper
therefore has all records once it has fetched those of all other keepers except
as many as may be lost. Until then it stores new records, but does not report
that a record does not exist. Keepers whose place another one has taken don't count.
"""

import asyncio

from loguru import logger

from pollenwalk.process.keeper import Keeper
from pollenwalk.process.keeper_members import Member, names
from pollenwalk.process.record_fetch import fetch_records
from pollenwalk.program.turns import PullRecords

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

    def others(self) -> list[Member]:
        """Return the other keepers whose records are needed, near ones first."""
        return [one for one in self.keeper.other_members() if not one.is_replaced]

    def remaining(self) -> list[Member]:
        """Return the keepers whose records have not all been fetched."""
        return [member for member in self.others() if member.name not in self.fetched]

    def note_wait(self) -> None:
        """Note whose records are missing."""
        tolerated = self.keeper.settings.tolerated_losses
        reason = f'fetched from {sorted(self.fetched)}; {tolerated} may be lost'
        missing = [] if self.has_all_records() else names(self.remaining()) or ['store']
        self.keeper.waits.update('records', missing, reason)

    def has_all_records(self) -> bool:
        """Return whether enough keepers' records have been fetched.

        If this keeper was listed before, its own former disk counts as one of
        the lost ones.
        """
        keeper = self.keeper
        if not keeper.links.members.loaded:
            return False
        others = names(self.others())
        count = len(others) + int(keeper.was_member)
        required = max(count - keeper.settings.tolerated_losses, 1)
        return len(self.fetched.intersection(others)) >= required

    async def fetch_remaining(self) -> None:
        """Fetch from each keeper whose records are missing, as soon as it answers.

        One after the other, as they share the link between regions; but none waits for
        one that does not answer.
        """
        checks = map(self.check_complete, self.remaining())
        for checked in asyncio.as_completed(list(checks)):
            member = await checked
            if member is not None and await self.fetch(member):
                self.fetched.add(member.name)

    async def check_complete(self, member: Member) -> Member | None:
        """Return another keeper if it answers and has all its records."""
        links = self.keeper.links
        return member if await links.is_complete(links.link(member)) else None

    async def fetch(self, member: Member) -> bool:
        """Fetch one keeper's accounts and the turns that have too few copies.

        Returns:
            Whether everything was fetched and the other keeper is complete.
        """
        request = PullRecords(self.lost_keepers())
        return await fetch_records(self.keeper, member, request)

    def lost_keepers(self) -> list[str]:
        """Return the names of the keepers whose copies may be lost.

        They are this keeper and those whose records have not all been fetched.
        """
        missing = set(names(self.keeper.other_members())).difference(self.fetched)
        return [*sorted(missing), self.keeper.settings.name]
