"""Succession: a keeper that is not listed enters the list, in the place of a lost one.

Otherwise the list would count both, and the loss of one more disk would leave too few
of them, until somebody had removed the lost one. So the keeper first gets a copy of each
turn that may have one less without the lost keeper. Then it writes itself into the
object of the lost one, under the condition that nobody has changed that meanwhile:

* a lost keeper has one successor at most, and each new keeper takes one place at most;
* a lost keeper that lives writes its own object again, and so takes its place back.
"""

import asyncio
from typing import NamedTuple

from loguru import logger

from pollenwalk.errors import StoreConflict, StoreUnavailable
from pollenwalk.process.keeper import Keeper, log_store_unavailable
from pollenwalk.process.keeper_members import KEEPERS_PREFIX, Member, Members, names
from pollenwalk.process.keeper_questions import one_reaches
from pollenwalk.process.record_fetch import RecordFetch
from pollenwalk.process.store import ABSENT, Backoff

# How long a keeper tries to take the place of a lost one before it is listed beside it.
MAX_ENTRY_MS = 6000.0


class OtherKeepers(NamedTuple):
    """The keepers whose records are needed, by whether they answer.

    Attributes:
        lost: those that don't answer.
        complete: those that answer and have all their records.
        missing: how many are not complete, lost ones included.
    """

    lost: list[Member]
    complete: list[Member]
    missing: int


class Succession:
    """Lets one keeper enter the list.

    Attributes:
        records: fetches what this keeper lacks.
        knows_accounts: whether this keeper has the accounts as they were when it
            started. One that comes back lacks what was reserved meanwhile.
    """

    def __init__(self, keeper: Keeper, knows_accounts: bool) -> None:
        """Create the succession of `keeper`, which is not listed yet."""
        self.keeper = keeper
        self.records = RecordFetch(keeper)
        self.knows_accounts = knows_accounts

    async def run(self) -> None:
        """Admit the keeper to the list once it has looked for a place to take."""
        keeper = self.keeper
        backoff = Backoff(keeper.clock)
        give_up_at_ms = keeper.clock.now_ms() + MAX_ENTRY_MS
        while not keeper.admitted:
            try:
                keeper.admitted = await self.enter()
            except StoreUnavailable as error:
                keeper.waits.update('registration', ['store'], error.message)
                log_store_unavailable(error)
                # Nobody is listed while the store is away.
                give_up_at_ms = keeper.clock.now_ms() + MAX_ENTRY_MS
            if keeper.clock.now_ms() >= give_up_at_ms:
                keeper.admitted = True
            if not keeper.admitted:
                await backoff.pause()
        keeper.waits.update('place', [])

    async def enter(self) -> bool:
        """Try to take the place of a lost keeper.

        Returns:
            Whether this keeper may be listed: it has taken a place, has one already, or
            no keeper is lost as far as the others know.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        keeper = self.keeper
        listing = await keeper.store.scan(KEEPERS_PREFIX)
        listed = Members(listing.objects)
        is_overwritten = keeper.own_member.key in listed.unreadable.versions
        if is_overwritten or listed.is_counted(keeper.settings.name):
            return True
        others = await self.look_around(listed)
        keeper.waits.update('place', names(others.lost), 'turns need other copies')
        if not (others.lost or others.missing or others.complete):
            return True
        if others.missing > keeper.settings.tolerated_losses or not others.complete:
            return False
        if not await self.fetch_accounts(others.complete, len(listed.by_name)):
            return False
        if not others.lost:
            return True
        lost = others.lost[0]
        reached, copied = await asyncio.gather(
            one_reaches(keeper.links, lost, others.complete),
            self.records.fetch_turns(others.complete),
        )
        if reached:
            logger.info('keeper_kept', keeper=lost.name, reason='another reaches it')
        return reached or (copied and await self.take_place(lost, listed))

    async def look_around(self, listed: Members) -> OtherKeepers:
        """Ask all other keepers whether they are complete."""
        links = self.keeper.links
        counted = sorted(listed.counted(), key=lambda member: member.name)
        asked = [links.link(one) for one in counted if one != self.keeper.own_member]
        complete = await asyncio.gather(*map(links.is_complete, asked))
        return OtherKeepers(
            [link.member for link in asked if link.is_lost],
            [
                link.member
                for link, answer in zip(asked, complete, strict=True)
                if answer
            ],
            complete.count(False),
        )

    async def fetch_accounts(self, others: list[Member], listed: int) -> bool:
        """Fetch the accounts from a majority, unless this keeper knows them.

        Returns:
            Whether it knows them now.
        """
        majority = listed // 2 + 1
        if not self.knows_accounts:
            asked = others[:majority]
            self.knows_accounts = await self.records.fetch_accounts(asked)
        return self.knows_accounts

    async def take_place(self, lost: Member, listed: Members) -> bool:
        """Write this keeper into the object of a lost one.

        Returns:
            Whether it has done so; False if the object has changed.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        keeper = self.keeper
        replaced = lost._replace(successor=keeper.own_member)
        version = listed.versions.get(lost.name, ABSENT)
        try:
            await keeper.store.put(replaced.key, replaced.encode(), version)
        except StoreConflict:
            logger.info('place_taken', keeper=lost.name)
            return False
        logger.warning('keeper_replaced', lost=lost.name, by=keeper.settings.name)
        return True
