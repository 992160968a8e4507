"""How a keeper is replicate_elsewhere before its host is taken away.

It takes no new turns, sees to it that every turn it holds is on enough other
disks, leaves the list and only then says that it is done.
"""

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
from pollenwalk.process.keeper import Keeper, batched, log_store_unavailable
from pollenwalk.process.keeper_members import Member
from pollenwalk.process.prefix_watcher import PrefixWatcher, WatchHandlers
from pollenwalk.process.store import ObjectStore, StoredObject
from pollenwalk.program.turns import (
    FindMissing,
    Missing,
    PushRecords,
    TurnRecord,
)

# The shortest time for which emptying is asked is several seconds; a watch
# that has stalled must be noticed well before.
REQUEST_WAIT_MS = 2500
TRY_AGAIN_MS = 200.0


class StatusStore(ObjectStore, Protocol):
    """A store in which the status of others' objects can be written."""

    async def report(self, key: str, status: dict[str, Any]) -> None:
        """Write the status of an object."""


class Retirement:
    """Empties one keeper when it is asked for."""

    def __init__(self, keeper: Keeper, store: StatusStore) -> None:
        """Wait for the request."""
        self.keeper = keeper
        self.store = store
        self.key = f'{RETIREMENTS_PREFIX}{keeper.settings.name}'
        self.begun = False

    async def watch_requests(self) -> None:
        """Follow the requests for as long as the process lives."""
        handlers = WatchHandlers(self.on_request, on_unavailable=log_store_unavailable)
        await PrefixWatcher(
            self.store,
            self.keeper.clock,
            RETIREMENTS_PREFIX,
            handlers,
            wait_ms=REQUEST_WAIT_MS,
        ).run()

    def on_request(self, stored: StoredObject) -> None:
        """Take a request; the first one for this keeper begins the work."""
        if stored.key != self.key or not stored.body or self.begun:
            return
        try:
            within_ms = decode_retirement(stored.key, stored.body)
        except MalformedObject as error:
            logger.error('retirement_unreadable', reason=error.message)
            return
        self.begun = True
        logger.info('retiring', within_ms=within_ms, revision=stored.version)
        self.keeper.tasks.spawn(self.run(), 'retire')

    async def run(self) -> None:
        """Empty this keeper and say so."""
        keeper = self.keeper
        keeper.own_member = keeper.own_member._replace(retiring=True)
        await self.report(False)
        while not await self.replicate_elsewhere():
            await keeper.clock.sleep_ms(TRY_AGAIN_MS)
        keeper.retired = True
        await keeper.remove(keeper.own_member)
        await self.report(True)
        logger.info('retired', turns=len(keeper.state.turns.records))

    async def report(self, done: bool) -> None:
        """Write the status, however long the store is away."""
        status = retirement_status(done)
        await self.keeper.retry_until_acknowledged(
            lambda: self.store.report(self.key, status)
        )

    async def replicate_elsewhere(self) -> bool:
        """Copy what others lack; False where it could not all be done."""
        others = [one for one in self.keeper.other_members() if not one.retiring]
        if len(others) < self.keeper.required_copies:
            logger.warning('retirement_waits', others=len(others))
            return False
        try:
            for member in others:
                await self.push_accounts(member)
                await self.push_turns(member, others)
        except PollenwalkError as error:
            logger.warning('retirement_interrupted', reason=error.message)
            return False
        return True

    async def push_accounts(self, member: Member) -> None:
        """Give another keeper all accounts."""
        await self.push(member, self.keeper.state.account_records())

    async def push_turns(self, member: Member, others: list[Member]) -> None:
        """Give another keeper the turns that it is to hold and lacks."""
        held = (
            record._replace(replicas=self.choose_replicas(record, others))
            for record in list(self.keeper.state.turns.records.values())
        )
        records = {one.turn: one for one in held if member.name in one.replicas}
        link = self.keeper.links.link(member)
        missing: Missing = await self.keeper.links.ask(
            link,
            FindMissing(list(records)),
        )
        lacking = (encode_datagram(records[turn]) for turn in missing.turns)
        await self.push(member, lacking)

    def choose_replicas(self, record: TurnRecord, others: list[Member]) -> list[str]:
        """Choose the keepers of a turn from now on: its replicas, then the nearest."""
        names = [one.name for one in others]
        staying = [name for name in names if name in record.replicas]
        fresh = [name for name in names if name not in record.replicas]
        return [*staying, *fresh][: self.keeper.required_copies]

    async def push(self, member: Member, records: Iterable[bytes]) -> None:
        """Give another keeper records, in batches."""
        link = self.keeper.links.link(member)
        for batch in batched(records):
            await self.keeper.links.ask(link, PushRecords(batch))
