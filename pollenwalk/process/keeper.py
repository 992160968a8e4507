"""A keeper: one replica of the turns and accounts of programs.

Gateways write a record to keepers themselves and count it once enough disks
have it, so there is no leader and nothing to take over when a keeper dies.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Iterator
from itertools import chain
from typing import Any, NamedTuple

from loguru import logger

from pollenwalk.connection.channel import Listener, StreamNetwork
from pollenwalk.connection.peer import PeerServer
from pollenwalk.connection.wire import Hello
from pollenwalk.errors import Refusal, RefusalCode, StoreUnavailable
from pollenwalk.process.clock import MS_PER_SECOND, Clock
from pollenwalk.process.keeper_links import KeeperLinks
from pollenwalk.process.keeper_members import KEEPERS_PREFIX, Member
from pollenwalk.process.keeper_metrics import KeeperMetrics
from pollenwalk.process.keeper_state import KeeperState
from pollenwalk.process.prefix_watcher import PrefixWatcher, WatchHandlers
from pollenwalk.process.store import Backoff, ObjectStore
from pollenwalk.process.tasks import TaskSet
from pollenwalk.program.turns import (
    FindChain,
    FindMissing,
    ListedObject,
    Listing,
    Missing,
    PullRecords,
    PushRecords,
    ReadPrefix,
    RecordBatch,
    ReserveTokens,
    Settlements,
    Spent,
    Stored,
    TurnRecord,
)

# Records in one message: some hundred kilobytes.
BATCH = 64
REGISTER_EVERY_MS = 100.0
EXPIRE_EVERY_MS = 5000.0


class KeeperSettings(NamedTuple):
    """What a keeper is told at its start."""

    name: str
    zone: str
    regions: dict[str, str]
    address: str
    first_start: bool
    tolerated_losses: int


class Keeper:
    """One keeper process.

    Attributes:
        was_member: whether the store listed this keeper when it started.
        retired: whether it is to be taken away and must not be listed.
        store_unavailable: whether the store gave no answer at last.
    """

    def __init__(
        self,
        settings: KeeperSettings,
        state: KeeperState,
        store: ObjectStore,
        network: StreamNetwork,
        clock: Clock,
    ) -> None:
        """Prepare; the disk is not read yet."""
        self.settings = settings
        self.state = state
        self.store = store
        self.network = network
        self.clock = clock
        self.tasks = TaskSet()
        self.metrics = KeeperMetrics()
        self.links = KeeperLinks(
            network,
            clock,
            self.tasks,
            settings.zone,
            settings.regions,
        )
        self.server = PeerServer(clock, self.answer, settings.name, 0)
        self.own_member = Member(settings.name, settings.address, settings.zone)
        self.was_member = False
        self.retired = False
        self.store_unavailable = False
        self.listener: Listener | None = None
        self.log_writer: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Read the disk, then serve and follow the store."""
        self.state.open(self.settings.first_start)
        self.log_writer = self.tasks.spawn(self.state.log.run(), 'record_log')
        self.listener = await self.network.listen(
            self.settings.address,
            self.server.serve,
        )
        handlers = WatchHandlers(
            self.links.members.apply_change,
            self.on_keepers_read,
            self.on_store_unavailable,
        )
        follower = PrefixWatcher(self.store, self.clock, KEEPERS_PREFIX, handlers)
        self.tasks.spawn(follower.run(), 'follow_keepers')
        self.tasks.spawn(self.keep_registered(), 'register')
        self.tasks.spawn(self.expire(), 'expire')

    async def stop(self) -> None:
        """End all work."""
        await self.tasks.cancel()
        await self.server.close()
        if self.listener is not None:
            await self.listener.close()
        self.state.log.close()

    @property
    def required_copies(self) -> int:
        """Give how many disks must have a turn."""
        return self.settings.tolerated_losses + 1

    def other_members(self) -> list[Member]:
        """Give the other keepers, the nearest first."""
        found = (link.member for link in self.links.ordered())
        return [one for one in found if one.name != self.settings.name]

    async def answer(self, _: Hello, message: Any) -> AsyncIterator[Any]:
        """Answer one message of a gateway or of another keeper."""
        if isinstance(message, PullRecords):
            for batch in batched(self.records_to_restore(message.lost)):
                yield RecordBatch(self.state.complete, batch)
            return
        begun_ms = self.clock.now_ms()
        answer = await self.answer_single(message)
        kind = {'kind': type(message).__name__}
        took_ms = self.clock.now_ms() - begun_ms
        self.metrics.messages_total.inc(kind)
        self.metrics.answer_seconds.observe(kind, took_ms / MS_PER_SECOND)
        yield answer

    def refresh_metrics(self) -> None:
        """Set the gauges."""
        self.metrics.turns.set({}, len(self.state.turns.records))
        self.metrics.turn_bytes.set({}, self.state.turns.size_bytes)
        self.metrics.accounts.set({}, len(self.state.ledger.accounts))
        self.metrics.complete.set({}, int(self.state.complete))

    def records_to_restore(self, lost: list[str]) -> Iterator[bytes]:
        """Encode what a keeper needs that stands in for lost ones."""
        alive = self.links.members.by_name.keys() - set(lost)
        turns = self.state.underreplicated_turns(alive, self.required_copies)
        return chain(self.state.account_records(), turns)

    async def answer_single(self, message: Any) -> Any:
        """Answer a message that has one answer.

        Raises:
            Refusal: it is no message for a keeper, or for one that leaves.
        """
        if isinstance(message, ReserveTokens):
            entries = await self.state.reserve(message)
            return Spent(self.state.complete, entries)
        if isinstance(message, FindChain):
            return self.state.chain(message.turn)
        if isinstance(message, FindMissing):
            held = self.state.turns.records
            return Missing([turn for turn in message.turns if turn not in held])
        if isinstance(message, ReadPrefix):
            return await self.read_for_another(message.prefix)
        await self.store_records(message)
        return Stored(self.state.complete)

    async def store_records(self, message: Any) -> None:
        """Put what a message brings onto the disk."""
        if isinstance(message, TurnRecord):
            if self.own_member.retiring:
                raise Refusal(RefusalCode.RETIRING, 'this keeper is leaving')
            await self.state.store_record(message)
        elif isinstance(message, Settlements):
            await asyncio.gather(*map(self.state.store_record, message.settled))
        elif isinstance(message, PushRecords):
            await self.state.add_records(message.records)
        else:
            raise Refusal(RefusalCode.PROTOCOL, 'no message for a keeper')

    async def read_for_another(self, prefix: str) -> Listing:
        """List a prefix of the store for somebody whom it turns away.

        Raises:
            Refusal: it gives this keeper no answer either.
        """
        if self.store_unavailable:
            raise Refusal(RefusalCode.STORE_UNAVAILABLE, 'the store is lost here too')
        try:
            changes = await self.store.scan(prefix)
        except StoreUnavailable as error:
            raise Refusal(RefusalCode.STORE_UNAVAILABLE, error.message) from error
        objects = [ListedObject(*stored) for stored in changes.objects]
        return Listing(changes.revision, objects)

    def on_store_unavailable(self, error: StoreUnavailable) -> None:
        """Note that the store gives no answer."""
        self.store_unavailable = True
        log_store_unavailable(error)

    def on_keepers_read(self) -> None:
        """Note that the keepers are known, and whether this one was listed."""
        self.store_unavailable = False
        if not self.links.members.loaded:
            self.links.members.mark_loaded()
            self.was_member = self.settings.name in self.links.members.by_name

    async def keep_registered(self) -> None:
        """Put this keeper into the store whenever it isn't there."""
        backoff = Backoff(self.clock)
        while True:
            await self.clock.sleep_ms(REGISTER_EVERY_MS)
            if not self.links.members.loaded or not self.needs_registration():
                continue
            try:
                await self.store.put(
                    self.own_member.key, self.own_member.encode(), None
                )
            except StoreUnavailable as error:
                log_store_unavailable(error)
                await backoff.pause()
                continue
            backoff = Backoff(self.clock)
            logger.info('registered', keeper=self.own_member.name)
            self.links.members.by_name[self.own_member.name] = self.own_member

    def needs_registration(self) -> bool:
        """Tell whether the store lists this keeper otherwise than it is.

        One that still fetches records is not listed, since it can't answer
        for the past.
        """
        listed = self.links.members.by_name.get(self.own_member.name)
        wanted = self.state.complete and not self.retired
        return wanted and listed != self.own_member

    async def remove(self, member: Member) -> None:
        """Take a keeper off the list, however long the store is away."""
        await self.retry_until_acknowledged(lambda: self.store.delete(member.key))

    async def retry_until_acknowledged(
        self, write: Callable[[], Awaitable[object]]
    ) -> None:
        """Write to the store until it answers."""
        backoff = Backoff(self.clock)
        while True:
            try:
                await write()
            except StoreUnavailable as error:
                log_store_unavailable(error)
                await backoff.pause()
                continue
            return

    async def expire(self) -> None:
        """Forget what is over, now and then."""
        while True:
            await self.clock.sleep_ms(EXPIRE_EVERY_MS)
            self.state.expire()
            await self.state.compact()


def batched(records: Iterable[bytes]) -> Iterator[list[bytes]]:
    """Group records; at least one batch, even if it is empty."""
    batch: list[bytes] = []
    for record in records:
        batch.append(record)
        if len(batch) >= BATCH:
            yield batch
            batch = []
    yield batch


def log_store_unavailable(error: StoreUnavailable) -> None:
    """Log that the store gave no answer."""
    logger.warning('store_unavailable', what='keepers', reason=error.message)
