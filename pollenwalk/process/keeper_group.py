"""Stores and finds records at the keepers, on behalf of a gateway.

If f keepers may be lost at the same time, a turn is stored once it is on f + 1
disks (`turn_search` finds it there). Budgets are decided with the answers of a majority
of all keepers; only a turn that is far from its budget may begin with fewer.
"""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from typing import Any, NamedTuple, TypeVar

from loguru import logger

from pollenwalk.connection.store_messages import Listing, ReadPrefix
from pollenwalk.connection.wire import encode_datagram
from pollenwalk.errors import PollenwalkError, Refusal, RefusalCode
from pollenwalk.process.clock import Clock
from pollenwalk.process.keeper_broadcast import Broadcast, request_each
from pollenwalk.process.keeper_links import KeeperLink, KeeperLinks
from pollenwalk.process.keeper_quorum import SPARE_KEEPERS, Quorum
from pollenwalk.process.member_readings import MemberReadings
from pollenwalk.process.pauses import PauseWatch
from pollenwalk.process.recent_members import RecentMembers
from pollenwalk.process.record_batches import batched
from pollenwalk.process.retention_raises import RetentionRaises
from pollenwalk.process.retry_advisor import RetryAdvisor
from pollenwalk.process.store import Changes, FollowedStore, StoredObject
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.turn_chains import TurnChains
from pollenwalk.process.turn_replication import TurnReplication
from pollenwalk.process.turn_retention import TurnRetention
from pollenwalk.process.turn_search import TurnSearch
from pollenwalk.program.turns import (
    PushRecords,
    Settlements,
    SettleTokens,
    TurnRecord,
)

# Settlements are sent in batches at this interval. It is much shorter than the
# second for which a finished turn may still count with its whole reservation.
SETTLE_INTERVAL_MS = 30.0
# Pause before the retry of an operation that too few keepers acknowledged. It is
# half of the interval at which lost keepers are probed.
RETRY_INTERVAL_MS = 100.0
# Retry-After while too few keepers have room. Turns expire and leave room all the time.
FULL_RETRY_AFTER_MS = 2000
Result = TypeVar('Result')


class QueuedSettlement(NamedTuple):
    """A settlement that will be sent with the next batch.

    Attributes:
        message: the settlement.
        asked: names of the keepers that were asked to reserve its tokens.
    """

    message: SettleTokens
    asked: set[str]


class KeeperGroup:
    """Stores records at the keepers that the store lists, and asks them.

    Attributes:
        chains: reads chains of turns and has them kept.
        retry_advisor: sets Retry-After of refusals because of unavailable
            keepers.
        queued_settlements: settlements that will be sent with the next batch.
        retention: tells the keepers which turns are used.
        raises: tells the keepers which retentions are raised.
        readings: read the list of keepers as it is now.
        pauses: notices pauses of this gateway; must be run.
        recent: has what counts keepers go by a list that is newer than any pause.
    """

    def __init__(
        self,
        links: KeeperLinks,
        clock: Clock,
        tasks: TaskSet,
        tolerated_losses: int,
        store: FollowedStore,
    ) -> None:
        """Create a group of the keepers behind `links`.

        Args:
            links: the connections to the keepers.
            clock: the clock of the gateway.
            tasks: run the sending of settlements.
            tolerated_losses: how many keepers may be lost at the same time
                without loss of data.
            store: has the list of keepers.
        """
        self.links = links
        self.clock = clock
        self.tasks = tasks
        self.tolerated_losses = tolerated_losses
        self.retry_advisor = RetryAdvisor(clock)
        self.queued_settlements: list[QueuedSettlement] = []
        self.retention = TurnRetention(
            links, clock, tasks, self.required_copies, self.store_turn
        )
        self.raises = RetentionRaises(links, clock, tasks)
        self.readings = MemberReadings(store, clock, tasks, self.read_prefix)
        self.pauses = PauseWatch(clock)
        self.recent = RecentMembers(self.readings, self.pauses)
        search = TurnSearch(links, clock, self.readings, tolerated_losses)
        self.chains = TurnChains(clock, search, self.retention)

    @property
    def required_copies(self) -> int:
        """Return how many keepers must store a turn."""
        return self.tolerated_losses + 1

    async def request_all(self, message: Any) -> AsyncIterator[Any]:
        """Send a message to all keepers and yield the answers as they arrive.

        Keepers that fail or don't answer in time are skipped. Requests that are
        still open when the caller stops iterating are cancelled.
        """
        async for answer in request_each(self.links, self.links.ordered(), message):
            yield answer

    async def request_quorum(
        self, key: str, message: Any, asked: set[str]
    ) -> AsyncIterator[Any]:
        """Send a message to as many keepers as decide, and yield their answers.

        These are a majority and SPARE_KEEPERS more, those of the region first. For each
        that fails, or is slower than one of its distance should be, another one is
        asked.

        Args:
            key: spreads the choice among keepers of the same distance.
            message: the message.
            asked: receives the names of the keepers that were asked.
        """
        candidates = self.links.ordered_for(key)
        broadcast = Broadcast(self.links)
        size = min(self.links.majority + SPARE_KEEPERS, len(candidates))
        quorum = Quorum(broadcast, candidates, message, asked)
        quorum.ask_next(size)
        hedging = asyncio.ensure_future(quorum.hedge(self.clock))
        try:
            async for answer in quorum.answers():
                yield answer
        finally:
            hedging.cancel()
            broadcast.close()

    async def tell_all(self, message: Any) -> None:
        """Send a message to all keepers, and wait for those that answer."""
        await self.tell(self.links.ordered(), message)

    async def tell(self, links: list[KeeperLink], message: Any) -> None:
        """Send a message to some keepers, and wait for those that answer."""
        broadcast = Broadcast(self.links)
        broadcast.send_to(links, message)
        await broadcast.finish()

    async def store_turn(self, record: TurnRecord) -> list[str]:
        """Store a turn on enough disks.

        Returns:
            The names of the keepers that were asked first and are noted in the
            record as its replicas.

        Raises:
            Refusal: too few keepers answer.
        """
        links = self.storage_candidates()
        replicas = [link.member.name for link in links[: self.required_copies]]
        stored = record._replace(replicas=replicas)
        sent_ms = self.clock.now_ms()
        await TurnReplication(
            self.links, stored, links, self.required_copies
        ).replicate()
        self.chains.cache.put(stored)
        self.retention.note_kept(stored.turn, stored.retention_ms, sent_ms)
        return replicas

    def storage_candidates(self) -> list[KeeperLink]:
        """Return the keepers that may store a turn, the preferred ones first.

        Those that answer come first, then those whose disk has room, then near ones.
        """
        staying = (link for link in self.links.ordered() if link.member.stays)
        return sorted(staying, key=lambda link: (link.is_lost, link.member.full))

    def require_room(self) -> None:
        """Check that a turn which has not run yet will find room on enough disks.

        Raises:
            Refusal: too few keepers have room.
        """
        answering = [
            link.member for link in self.storage_candidates() if not link.is_lost
        ]
        full = [member.name for member in answering if member.full]
        if full and len(answering) - len(full) < self.required_copies:
            raise Refusal(
                RefusalCode.STORAGE_FULL,
                f'the disks of {", ".join(full)} are nearly full',
                retry_after_ms=FULL_RETRY_AFTER_MS,
            )

    async def retry_until_acknowledged(
        self, operation: Callable[[], Awaitable[Result]]
    ) -> Result:
        """Repeat an operation until enough keepers have acknowledged it.

        The repetition ends by cancellation at the deadline of the caller.

        Args:
            operation: the operation, which must be idempotent.

        Raises:
            Refusal: the operation was refused for another reason than
                unavailable keepers.
        """
        while True:
            try:
                return await operation()
            except Refusal as refusal:
                if refusal.code != RefusalCode.KEEPERS_UNAVAILABLE:
                    raise
            await self.clock.sleep_ms(RETRY_INTERVAL_MS)

    async def read_prefix(self, prefix: str) -> Changes | None:
        """List a prefix of the store through the nearest keeper that reaches it.

        Returns:
            The objects; None if no keeper reaches the store.
        """
        for link in self.links.ordered():
            pending = self.links.request(link, ReadPrefix(prefix))
            listing: Listing | None = await answer_or_none(pending)
            if listing is not None:
                logger.info(
                    'store_read_by_keeper',
                    keeper=link.member.name,
                    prefix=prefix,
                    revision=listing.revision,
                )
                objects = [StoredObject(*listed) for listed in listing.objects]
                return Changes(listing.revision, objects)
        return None

    def push_records(self, records: Iterable[Any], names: set[str]) -> None:
        """Send records to some keepers, which store those that are new to them."""
        links = [link for link in self.links.ordered() if link.member.name in names]
        for batch in batched(map(encode_datagram, records)):
            if batch:
                self.tasks.spawn(self.tell(links, PushRecords(batch)), 'push_records')

    def settle(self, message: SettleTokens, asked: set[str]) -> None:
        """Queue a settlement for the keepers that were asked to reserve."""
        self.queued_settlements.append(QueuedSettlement(message, asked))
        if len(self.queued_settlements) == 1:
            self.tasks.spawn(self.send_settlements(), 'settle')

    async def send_settlements(self) -> None:
        """Wait for more settlements, then send each keeper its own in one message.

        A keeper that does not get a settlement goes on to count the whole
        reservation of the turn.
        """
        await self.clock.sleep_ms(SETTLE_INTERVAL_MS)
        queued = self.queued_settlements
        self.queued_settlements = []
        broadcast = Broadcast(self.links)
        for link in self.links.ordered():
            name = link.member.name
            settled = [one.message for one in queued if name in one.asked]
            if settled:
                broadcast.send(link, Settlements(settled))
        broadcast.limit_time()
        await broadcast.finish()


async def answer_or_none(pending: Any) -> Any:
    """Return an answer, or None after a failure.

    `KeeperLinks` has logged the loss of a keeper; a refusal by one isn't logged.
    """
    try:
        return await pending
    except PollenwalkError:
        return None
