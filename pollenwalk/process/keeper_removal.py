"""Removal of lost keepers from the list, as long as a keeper runs.

A keeper that is gone for good would otherwise count in every majority and in every
proof that a turn does not exist, and nobody would replace its copies. A keeper can't
tell that one is gone for good, so any that stays away is removed, under conditions that
make this safe even if it lives:

* no more keepers are lost or incomplete than may be, so that each turn is on one that
  answers, and each of these has copied its turns until enough keepers have them
  without the lost one;
* all keepers that answer fail to reach it, and they are a majority;
* so many remain that a majority of them bears the tolerated losses;
* the list has not changed for a while. Majorities before and after a single change
  share a keeper, but not those before and after two.

A removed keeper that lives enters the list again with the records that it has.

A lost keeper whose place another one has taken is not needed by anybody, and is removed
as soon as the list has not changed for a while.
"""

import asyncio
import itertools
from typing import NamedTuple

from loguru import logger

from pollenwalk.errors import StoreUnavailable
from pollenwalk.process.keeper import Keeper, log_store_unavailable
from pollenwalk.process.keeper_links import KeeperLink
from pollenwalk.process.keeper_members import Member, names
from pollenwalk.process.keeper_questions import all_miss, ask
from pollenwalk.program.turns import CopiesEnsured, EnsureCopies

CHECK_INTERVAL_MS = 500.0
# A process that was killed is back within a second or two.
REMOVE_AFTER_MS = 2500.0
# All processes learn of a change of the list within this time, as their watches end.
LIST_SETTLED_MS = 2500.0
# Interval of the questions whether the others have copied their turns, and how long
# they have for it.
COPY_CHECK_MS = 200.0
MAX_COPY_MS = 20_000.0


class Situation(NamedTuple):
    """What a keeper knows of the listed ones.

    Attributes:
        lost: those that have not answered, by name.
        complete: those that answer and have all their records, this one included.
        missing: names of those that are lost or incomplete.
    """

    lost: list[Member]
    complete: list[Member]
    missing: set[str]

    @property
    def staying(self) -> list[Member]:
        """Return the complete keepers that don't retire."""
        return [member for member in self.complete if not member.retiring]


class KeeperRemoval:
    """Removes lost keepers, if this keeper is the first that can.

    Attributes:
        listed: the list of keepers at the last check.
        listed_since_ms: when it was first seen like that.
    """

    def __init__(self, keeper: Keeper) -> None:
        """Create the removal of other keepers by `keeper`."""
        self.keeper = keeper
        self.listed: dict[str, Member] = {}
        self.listed_since_ms = 0.0

    async def run(self) -> None:
        """Check for lost keepers at regular intervals until cancelled."""
        while True:
            await self.keeper.clock.sleep_ms(CHECK_INTERVAL_MS)
            self.note_list()
            if self.may_remove and await self.is_first():
                await self.remove_lost()

    def note_list(self) -> None:
        """Note since when the list has been as it is."""
        by_name = self.keeper.links.members.by_name
        if by_name != self.listed:
            self.listed = dict(by_name)
            self.listed_since_ms = self.keeper.clock.now_ms()

    @property
    def may_remove(self) -> bool:
        """Return whether this keeper itself is listed, complete and not retiring."""
        own = self.keeper.own_member
        is_listed = self.listed.get(own.name) == own
        return is_listed and self.keeper.state.complete and not own.retiring

    @property
    def is_list_settled(self) -> bool:
        """Return whether all processes know the list as it is."""
        unchanged_ms = self.keeper.clock.now_ms() - self.listed_since_ms
        is_current = self.keeper.links.members.by_name == self.listed
        return is_current and unchanged_ms >= LIST_SETTLED_MS

    async def is_first(self) -> bool:
        """Return whether no keeper before this one, by name, can remove others."""
        own_name = self.keeper.settings.name
        for name, member in sorted(self.listed.items()):
            if name == own_name:
                return True
            if not member.retiring and await self.is_complete(member):
                return False
        return False

    async def is_complete(self, member: Member) -> bool:
        """Return whether another keeper answers and has all its records."""
        links = self.keeper.links
        return await links.is_complete(links.link(member))

    async def remove_lost(self) -> None:
        """Remove the keeper that has been lost for long enough, if there is one."""
        situation = await self.look_around()
        self.note_wait(situation)
        replaced = self.removable_replaced()
        if replaced is not None:
            await self.remove(replaced, situation)
            return
        lost = self.removable(situation)
        if lost is None or not await self.agree_on_loss(lost.member, situation):
            return
        if not await self.copy_all(lost, situation.staying):
            return
        if not lost.is_lost or not self.is_list_settled:
            return
        await self.remove(lost.member, situation)

    async def look_around(self) -> Situation:
        """Ask all other keepers whether they are complete."""
        links = self.keeper.links
        asked = self.keeper.other_members()
        answers = await asyncio.gather(*map(self.is_complete, asked))
        answering = itertools.compress(asked, answers)
        complete = [one for one in answering if not one.is_replaced]
        complete.insert(0, self.keeper.own_member)
        counted = links.members.counted()
        lost = [link.member for link in map(links.link, counted) if link.is_lost]
        return Situation(
            sorted(lost, key=lambda member: member.name),
            complete,
            set(names(counted)).difference(names(complete)),
        )

    def removable_replaced(self) -> Member | None:
        """Return a lost keeper whose place another one has taken; None for none.

        Its object is needed as long as its successor has none of its own.
        """
        members = self.keeper.links.members
        candidates = (
            member
            for member in members.registered.values()
            if member.successor
            and member.successor.name in members.registered
            and self.may_be_deleted(member)
            and self.keeper.links.link(member).is_lost
        )
        return next(candidates, None) if self.is_list_settled else None

    def may_be_deleted(self, member: Member) -> bool:
        """Return whether no object of another keeper lists this one as its successor."""
        return member.name not in self.keeper.links.members.successors()

    def removable(self, situation: Situation) -> KeeperLink | None:
        """Return the connection to a lost keeper that may be removed; None for none."""
        tolerated = self.keeper.settings.tolerated_losses
        is_safe = (
            len(situation.missing) <= tolerated
            and len(situation.staying) > 2 * tolerated
        )
        candidates = filter(self.may_be_deleted, situation.lost)
        first = next(candidates, None)
        if first is None or not is_safe or not self.is_list_settled:
            return None
        link = self.keeper.links.link(first)
        now_ms = self.keeper.clock.now_ms()
        is_due = (
            link.lost_since_ms is not None
            and now_ms - link.lost_since_ms >= REMOVE_AFTER_MS
        )
        return link if is_due else None

    def note_wait(self, situation: Situation) -> None:
        """Note which keepers are lost or incomplete, and why none is removed yet."""
        reason = (
            f'{len(situation.lost)} lost, {len(situation.staying)} complete and '
            f'staying; the list is {"" if self.is_list_settled else "not "}settled'
        )
        missing = situation.missing if situation.lost else ()
        self.keeper.waits.update('removal', missing, reason)

    async def agree_on_loss(self, lost: Member, situation: Situation) -> bool:
        """Return whether all complete keepers, a majority, don't reach a lost one."""
        links = self.keeper.links
        agree = await all_miss(links, lost, situation.complete[1:])
        return agree and len(situation.complete) >= links.majority

    async def copy_all(self, lost: KeeperLink, staying: list[Member]) -> bool:
        """Let all remaining keepers copy their turns until each is on enough of them.

        Returns:
            Whether they are; False if that takes too long or the lost one answers.
        """
        clock = self.keeper.clock
        message = EnsureCopies([member.name for member in staying])
        waiting = [member for member in staying if member != self.keeper.own_member]
        own_done = False
        give_up_at_ms = clock.now_ms() + MAX_COPY_MS
        while lost.is_lost and clock.now_ms() < give_up_at_ms:
            own_done = own_done or await self.keeper.copies.ensure(staying)
            answers = await asyncio.gather(
                *(ask(self.keeper.links, member, message) for member in waiting)
            )
            copying = [answer != CopiesEnsured(True) for answer in answers]
            waiting = list(itertools.compress(waiting, copying))
            if own_done and not waiting:
                return True
            await clock.sleep_ms(COPY_CHECK_MS)
        logger.warning(
            'removal_waits',
            keeper=lost.member.name,
            copying=[member.name for member in waiting],
        )
        return False

    async def remove(self, lost: Member, situation: Situation) -> None:
        """Remove a lost keeper from the list; log what that rests on.

        If the store does not answer, the next check decides anew.
        """
        try:
            await self.keeper.store.delete(lost.key)
        except StoreUnavailable as error:
            log_store_unavailable(error)
            return
        logger.warning(
            'keeper_removed',
            lost=lost.name,
            by=self.keeper.settings.name,
            remaining=sorted(member.name for member in situation.staying),
            listed_for_ms=round(self.keeper.clock.now_ms() - self.listed_since_ms),
        )
