"""A keeper: one replica of the turns and accounts of programs.

Gateways write a record to keepers themselves and count it once enough disks
have it, so there is no leader and nothing to take over when a keeper dies.
A keeper that lost its disk fetches everything from the others before it
says again that something does not exist.
"""

import asyncio
from collections.abc import AsyncIterator, Iterable, Iterator
from typing import Any, NamedTuple

from loguru import logger

from pollenwalk.connection.channel import Listener, StreamNetwork
from pollenwalk.connection.peer import Peer, PeerServer
from pollenwalk.connection.wire import Hello
from pollenwalk.errors import PollenwalkError, Refusal, RefusalCode, StoreUnavailable
from pollenwalk.process.clock import Clock
from pollenwalk.process.following import Follower, Handlers
from pollenwalk.process.keeper_state import KeeperState
from pollenwalk.process.members import KEEPERS, Member, Members
from pollenwalk.process.store import Backoff, ObjectStore
from pollenwalk.process.tasks import TaskSet
from pollenwalk.program.turns import (
    FindChain,
    PullRecords,
    PushRecords,
    RecordBatch,
    ReserveTokens,
    Settlements,
    Spent,
    Stored,
    TurnRecord,
)

# Records in one message: some hundred kilobytes.
BATCH = 64
# A silent keeper is asked again after this; fetching must be done within the
# few seconds that a deployment allows for catching up.
FETCH_TIMEOUT_MS = 3000.0
FETCH_AGAIN_MS = 200.0
REGISTER_EVERY_MS = 100.0
# A keeper that could not be reached for so long while another one joined is
# replaced by it.
REPLACED_AFTER_MS = 3000.0
EXPIRE_EVERY_MS = 5000.0


class KeeperSettings(NamedTuple):
    """What a keeper is told at its start."""

    name: str
    zone: str
    address: str
    first_start: bool
    tolerated_losses: int


class Keeper:
    """One keeper process."""

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
        self.members = Members()
        self.server = PeerServer(clock, self.answer, settings.name, 0)
        self.own = Member(settings.name, settings.address, settings.zone)
        self.was_member = False
        self.listener: Listener | None = None

    async def start(self) -> None:
        """Read the disk, then serve and follow the store."""
        self.state.open(self.settings.first_start)
        self.tasks.spawn(self.state.log.run(), 'record_log')
        self.listener = await self.network.listen(
            self.settings.address,
            self.server.serve,
        )
        handlers = Handlers(self.members.take, self.note_listed, store_lost)
        follower = Follower(self.store, self.clock, KEEPERS, handlers)
        self.tasks.spawn(follower.run(), 'follow_keepers')
        self.tasks.spawn(self.stay_registered(), 'register')
        self.tasks.spawn(self.expire(), 'expire')
        if not self.state.complete:
            self.tasks.spawn(self.join(), 'join')

    async def stop(self) -> None:
        """End all work."""
        await self.tasks.cancel()
        await self.server.close()
        if self.listener is not None:
            await self.listener.close()
        self.state.log.close()

    async def answer(self, _: Hello, message: Any) -> AsyncIterator[Any]:
        """Answer one message of a gateway or of another keeper."""
        if isinstance(message, PullRecords):
            for batch in in_batches(self.state.records_held_by(message.lost)):
                yield RecordBatch(self.state.complete, batch)
            return
        yield await self.one_answer(message)

    async def one_answer(self, message: Any) -> Any:
        """Answer a message that has one answer.

        Raises:
            Refusal: it is no message for a keeper.
        """
        if isinstance(message, ReserveTokens):
            entries = await self.state.reserve(message)
            return Spent(self.state.complete, entries)
        if isinstance(message, TurnRecord):
            await self.state.keep(message)
            return Stored(self.state.complete)
        if isinstance(message, Settlements):
            await asyncio.gather(*map(self.state.keep, message.settled))
            return Stored(self.state.complete)
        if isinstance(message, FindChain):
            return self.state.chain(message.turn)
        if isinstance(message, PushRecords):
            await self.state.take_over(message.records)
            return Stored(self.state.complete)
        raise Refusal(RefusalCode.PROTOCOL, 'no message for a keeper')

    def note_listed(self) -> None:
        """Note that the keepers are known, and whether this one was listed."""
        if not self.members.listed:
            self.members.mark_listed()
            self.was_member = self.settings.name in self.members.by_name

    async def stay_registered(self) -> None:
        """Put this keeper into the store whenever it isn't there."""
        backoff = Backoff(self.clock)
        while True:
            await self.clock.sleep_ms(REGISTER_EVERY_MS)
            if not self.members.listed or not self.is_missing():
                continue
            try:
                await self.store.put(self.own.key, self.own.encode(), None)
            except StoreUnavailable as error:
                store_lost(error)
                await backoff.pause()
                continue
            backoff = Backoff(self.clock)
            logger.info('registered', keeper=self.own.name)
            self.members.by_name[self.own.name] = self.own

    def is_missing(self) -> bool:
        """Tell whether the store lists this keeper otherwise than it is.

        One that still fetches records is not listed, since it can't answer
        for the past.
        """
        listed = self.members.by_name.get(self.own.name)
        return self.state.complete and listed != self.own

    async def expire(self) -> None:
        """Forget what is over, now and then."""
        while True:
            await self.clock.sleep_ms(EXPIRE_EVERY_MS)
            self.state.expire()

    async def join(self) -> None:
        """Fetch what lost disks held, then count as complete."""
        begun_ms = self.clock.now_ms()
        fetched: set[str] = set()
        while not self.has_fetched_enough(fetched):
            lost = [one.name for one in self.others() if one.name not in fetched]
            lost.append(self.settings.name)
            for member in self.others():
                if member.name not in fetched and await self.fetch(member, lost):
                    fetched.add(member.name)
            await self.clock.sleep_ms(FETCH_AGAIN_MS)
        self.state.mark_complete()
        logger.info('joined', fetched=sorted(fetched))
        await self.replace_lost(fetched, begun_ms)

    def others(self) -> list[Member]:
        """Give the other keepers."""
        found = self.members.by_name.values()
        return [one for one in found if one.name != self.settings.name]

    def has_fetched_enough(self, fetched: set[str]) -> bool:
        """Tell whether every record that counts has been fetched.

        A record is on one disk more than may be lost. This keeper's own
        former disk is one of the lost ones where it was a member before.
        """
        if not self.members.listed:
            return False
        count = len(self.others()) + int(self.was_member)
        needed = max(count - self.settings.tolerated_losses, 1)
        return len(fetched) >= needed

    async def fetch(self, member: Member, lost: list[str]) -> bool:
        """Fetch what one keeper holds of the lost ones' records.

        Returns:
            Whether it gave everything and is complete itself.
        """
        peer = Peer(member.address, self.network, self.clock, self.tasks)
        count = 0
        complete = True
        try:
            async with self.clock.timeout_ms(FETCH_TIMEOUT_MS):
                async for batch in peer.stream(PullRecords(lost)):
                    complete = complete and batch.complete
                    count += await self.state.take_over(batch.records)
        except (PollenwalkError, TimeoutError) as error:
            logger.warning('fetch_failed', keeper=member.name, reason=repr(error))
            return False
        finally:
            await peer.close()
        logger.info('fetched', keeper=member.name, new=count, complete=complete)
        return complete

    async def replace_lost(self, fetched: set[str], begun_ms: float) -> None:
        """Take the place of one keeper that has been gone for a while."""
        rest_ms = begun_ms + REPLACED_AFTER_MS - self.clock.now_ms()
        await self.clock.sleep_ms(rest_ms)
        for member in self.others():
            if member.name in fetched or await self.fetch(member, []):
                continue
            logger.warning('keeper_replaced', lost=member.name, by=self.own.name)
            await self.remove(member)
            return

    async def remove(self, member: Member) -> None:
        """Take a keeper off the list, however long the store is away."""
        backoff = Backoff(self.clock)
        while True:
            try:
                await self.store.delete(member.key)
            except StoreUnavailable as error:
                store_lost(error)
                await backoff.pause()
                continue
            return


def in_batches(records: Iterable[bytes]) -> Iterator[list[bytes]]:
    """Group records; at least one batch, even if it is empty."""
    batch: list[bytes] = []
    for record in records:
        batch.append(record)
        if len(batch) >= BATCH:
            yield batch
            batch = []
    yield batch


def store_lost(error: StoreUnavailable) -> None:
    """Log that the store gave no answer."""
    logger.warning('store_unavailable', what='keepers', reason=error.message)
