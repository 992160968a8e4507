"""Retirement: a keeper hands over its records before its host is removed.

The keeper stops accepting turns, copies its records until every turn is on
enough other disks, removes itself from the list of keepers, and only then
reports that the retirement is completed.
"""

import asyncio
from collections.abc import Iterable
from typing import Any, Protocol

from loguru import logger

from pollenwalk.connection.wire import encode_datagram
from pollenwalk.errors import MalformedObject, PollenwalkError
from pollenwalk.platform.documents import (
    RETIREMENTS_PREFIX,
    decode_retirement,
    retirement_status,
)
from pollenwalk.process.keeper import (
    WATCH_WAIT_MS,
    Keeper,
    batched,
    log_store_unavailable,
)
from pollenwalk.process.keeper_members import Member
from pollenwalk.process.prefix_watcher import PrefixWatcher, WatchHandlers
from pollenwalk.process.store import ObjectStore, StoredObject
from pollenwalk.program.turns import (
    FindMissing,
    Missing,
    PushRecords,
    TurnRecord,
)

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
        await keeper.remove_member(keeper.own_member)
        await self.report(True)
        logger.info('retired', turns=len(keeper.state.turns.records))

    async def report(self, done: bool) -> None:
        """Write the status of the request; retry until the store answers.

        Args:
            done: whether the retirement is completed.
        """
        status = retirement_status(done)
        await self.keeper.retry_until_acknowledged(
            lambda: self.store.write_status(self.key, status)
        )

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
            *(self.push_records(member, others) for member in others)
        )
        return all(pushed)

    async def push_records(self, member: Member, others: list[Member]) -> bool:
        """Send another keeper all accounts, and the turns that it is to have.

        Args:
            member: the other keeper.
            others: all keepers that may be replicas, the preferred ones first.

        Returns:
            Whether it has acknowledged everything.
        """
        try:
            await self.push(member, self.keeper.state.account_records())
            await self.push_turns(member, others)
        except PollenwalkError as error:
            logger.warning(
                'retirement_interrupted', keeper=member.name, reason=error.message
            )
            return False
        return True

    async def push_turns(self, member: Member, others: list[Member]) -> None:
        """Send another keeper the turns that it is to have and lacks.

        Args:
            member: the other keeper.
            others: all keepers that may be replicas, the preferred ones first.
        """
        updated = (
            record._replace(replicas=self.choose_replicas(record, others))
            for record in list(self.keeper.state.turns.records.values())
        )
        records = {
            record.turn: record for record in updated if member.name in record.replicas
        }
        link = self.keeper.links.link(member)
        missing: Missing = await self.keeper.links.request(
            link,
            FindMissing(list(records)),
        )
        missing_records = (encode_datagram(records[turn]) for turn in missing.turns)
        await self.push(member, missing_records)

    def choose_replicas(self, record: TurnRecord, others: list[Member]) -> list[str]:
        """Return the names of the keepers that are to have a turn.

        Its present replicas among `others` are preferred, then the first others.
        """
        names = [member.name for member in others]
        kept = [name for name in names if name in record.replicas]
        added = [name for name in names if name not in record.replicas]
        return [*kept, *added][: self.keeper.required_copies]

    async def push(self, member: Member, records: Iterable[bytes]) -> None:
        """Send encoded records to another keeper, in batches."""
        link = self.keeper.links.link(member)
        for batch in batched(records):
            await self.keeper.links.request(link, PushRecords(batch))
