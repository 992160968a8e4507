"""Retirement: a keeper hands over its records before its host is removed.

The keeper stops accepting turns, copies its records until every turn is on
enough other disks that stay, removes itself from the list of keepers, and only then
reports that the retirement is completed.
"""

import asyncio
import functools
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from loguru import logger

from pollenwalk.errors import MalformedObject, PollenwalkError, StoreUnavailable
from pollenwalk.platform.documents import (
    RETIREMENTS_PREFIX,
    decode_retirement,
    retirement_status,
)
from pollenwalk.process.keeper import (
    WATCH_WAIT_MS,
    Keeper,
    log_store_unavailable,
)
from pollenwalk.process.keeper_members import (
    KEEPERS_PREFIX,
    Member,
    readable_members,
)
from pollenwalk.process.prefix_watcher import PrefixWatcher, WatchHandlers
from pollenwalk.process.store import Backoff, ObjectStore, StoredObject

COMPLETE_CHECK_MS = 100.0


class StatusStore(ObjectStore, Protocol):
    """A store in which a process can write the status of others' objects."""

    async def write_status(self, key: str, status: dict[str, Any]) -> None:
        """Write the status of an object.

        Raises:
            StoreUnavailable: the store did not answer.
        """


class Retirement:
    """Retires one keeper on request.

    Attributes:
        key: key in the store of the request to retire this keeper.
        started: whether the request has been received.
        min_staying: how many other keepers must stay.
    """

    def __init__(self, keeper: Keeper, store: StatusStore) -> None:
        """Create the retirement of `keeper`, which has not been requested."""
        self.keeper = keeper
        self.store = store
        self.key = f'{RETIREMENTS_PREFIX}{keeper.settings.name}'
        self.started = False
        self.min_staying = keeper.required_copies

    async def watch_requests(self) -> None:
        """Watch the requests for retirement until cancelled."""
        handlers = WatchHandlers(self.on_request, on_unavailable=log_store_unavailable)
        await PrefixWatcher(
            self.keeper.feed,
            self.keeper.clock,
            RETIREMENTS_PREFIX,
            handlers,
            wait_ms=WATCH_WAIT_MS,
        ).run()

    def on_request(self, stored: StoredObject) -> None:
        """Start the retirement at the first valid request for this keeper."""
        if stored.key != self.key or not stored.body or self.started:
            return
        try:
            within_ms = decode_retirement(stored.key, stored.body)
        except MalformedObject as error:
            logger.error('retirement_unreadable', reason=error.message)
            return
        self.started = True
        logger.info('retiring', within_ms=within_ms, revision=stored.version)
        self.keeper.tasks.spawn(self.run(), 'retire')

    async def run(self) -> None:
        """Retire this keeper and report its status."""
        keeper = self.keeper
        keeper.own_member = keeper.own_member._replace(retiring=True)
        await self.report(False)
        await self.wait_until_complete()
        await self.hand_over_until_done()
        keeper.retired = True
        await self.leave_list()
        await self.report(True)
        logger.info('retired', turns=len(keeper.state.turns))

    async def wait_until_complete(self) -> None:
        """Wait until a lost disk has been restored.

        Others count on the copies that were on it, so they have to be made again before
        this keeper can tell what it must hand over.
        """
        keeper = self.keeper
        if not keeper.state.complete:
            logger.info('retirement_waits', reason='records are being fetched')
        while not keeper.state.complete:
            await keeper.clock.sleep_ms(COMPLETE_CHECK_MS)

    async def hand_over_until_done(self) -> None:
        """Repeat the handover until all records are where they are to be."""
        backoff = Backoff(self.keeper.clock)
        while not await self.try_to_hand_over():
            await backoff.pause()

    async def try_to_hand_over(self) -> bool:
        """Hand all records over once; log why it failed."""
        try:
            return await self.hand_over()
        except StoreUnavailable as error:
            log_store_unavailable(error)
            return False

    async def hand_over(self) -> bool:
        """Copy all records to keepers that stay, and check that these still stay.

        Several keepers may retire at once, and none must count the copies of another.
        So this one first says in the store that it retires, then reads who does not. It
        reads that again after the copying: who is listed as staying then may retire
        later, but copies all that it has got by then.

        Returns:
            Whether every record is on enough keepers; otherwise the caller retries.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        keeper = self.keeper
        await keeper.register()
        staying = await self.read_staying()
        if len(staying) < self.min_staying:
            logger.warning(
                'retirement_waits', reason='too few stay', others=len(staying)
            )
            return False
        if not await self.copy_records(staying):
            return False
        unchanged = set(staying) <= set(await self.read_staying())
        links = map(keeper.links.link, staying)
        complete = await asyncio.gather(*map(keeper.links.is_complete, links))
        if unchanged and all(complete):
            return True
        logger.warning(
            'retirement_repeated',
            unchanged=unchanged,
            incomplete=complete.count(False),
        )
        return False

    async def read_staying(self) -> list[Member]:
        """Read from the store which other keepers don't retire.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        listing = await self.store.scan(KEEPERS_PREFIX)
        own_name = self.keeper.settings.name
        staying = [
            member
            for member in readable_members(listing.objects)
            if member.name != own_name and member.stays
        ]
        return [link.member for link in self.keeper.links.order(staying)]

    async def copy_records(self, staying: list[Member]) -> bool:
        """Copy each turn to enough keepers, and all accounts to all of them.

        Returns:
            Whether they have acknowledged everything.
        """
        # All at once: in a large fleet one after the other would take longer than a
        # keeper has.
        copied = await asyncio.gather(
            self.keeper.copies.ensure(staying),
            *(self.push_accounts(member) for member in staying),
        )
        return all(copied)

    async def report(self, done: bool) -> None:
        """Write the status of the request; retry until the store answers.

        Args:
            done: whether the retirement is completed.
        """
        status = retirement_status(done)
        await self.retry_until_acknowledged(
            lambda: self.store.write_status(self.key, status)
        )

    async def leave_list(self) -> None:
        """Delete this keeper's object in the store; retry until the store answers.

        Objects that list it as the successor of a lost keeper go first.
        """
        own = self.keeper.own_member
        listing_own = [*self.keeper.links.members.replaced_by(own.name), own]
        for member in listing_own:
            delete = functools.partial(self.store.delete, member.key)
            await self.retry_until_acknowledged(delete)

    async def retry_until_acknowledged(
        self, write: Callable[[], Awaitable[object]]
    ) -> None:
        """Repeat a write until the store acknowledges it."""
        backoff = Backoff(self.keeper.clock)
        while True:
            try:
                await write()
            except StoreUnavailable as error:
                log_store_unavailable(error)
                await backoff.pause()
                continue
            return

    async def push_accounts(self, member: Member) -> bool:
        """Send another keeper all accounts; return whether it has acknowledged them."""
        keeper = self.keeper
        try:
            await keeper.copies.push(member, keeper.state.account_records())
        except PollenwalkError as error:
            logger.warning(
                'retirement_interrupted', keeper=member.name, reason=error.message
            )
            return False
        return True
