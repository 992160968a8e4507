"""Retirement: a keeper hands over its records before its host is removed.

The keeper stops accepting turns, copies its records until every turn is on
enough other disks, removes itself from the list of keepers, and only then
reports that the retirement is completed.
"""

import asyncio
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
from pollenwalk.process.keeper_members import Member
from pollenwalk.process.prefix_watcher import PrefixWatcher, WatchHandlers
from pollenwalk.process.store import Backoff, ObjectStore, StoredObject

RETRY_INTERVAL_MS = 200.0


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
    """

    def __init__(self, keeper: Keeper, store: StatusStore) -> None:
        """Create the retirement of `keeper`, which has not been requested."""
        self.keeper = keeper
        self.store = store
        self.key = f'{RETIREMENTS_PREFIX}{keeper.settings.name}'
        self.started = False

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
        while not await self.replicate_elsewhere():
            await keeper.clock.sleep_ms(RETRY_INTERVAL_MS)
        keeper.retired = True
        await self.leave_list()
        await self.report(True)
        logger.info('retired', turns=len(keeper.state.turns.records))

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
        """Delete this keeper's object in the store; retry until the store answers."""
        key = self.keeper.own_member.key
        await self.retry_until_acknowledged(lambda: self.store.delete(key))

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

    async def replicate_elsewhere(self) -> bool:
        """Copy all records to enough other keepers.

        Returns:
            Whether every record was copied; otherwise the caller retries.
        """
        others = [
            member for member in self.keeper.other_members() if not member.retiring
        ]
        if len(others) < self.keeper.required_copies:
            logger.warning('retirement_waits', others=len(others))
            return False
        # All at once: in a large fleet one after the other would take longer than a
        # keeper has.
        pushed = await asyncio.gather(
            self.keeper.copies.ensure(others),
            *(self.push_accounts(member) for member in others),
        )
        return all(pushed)

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
