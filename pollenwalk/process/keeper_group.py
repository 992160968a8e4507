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
from pollenwalk.process.turn_replication import TurnReplication, keepers_unavailable
from pollenwalk.process.turn_retention import TurnRetention
from pollenwalk.process.turn_search import TurnSearch
from pollenwalk.program.turn_index import TurnIndex
from pollenwalk.program.turns import (
    Chain,
    PushRecords,
    Settlements,
    SettleTokens,
    TurnRecord,
)

# Size of a gateway's cache of turns. The smallest gateway has 128 MB of memory.
CACHE_BYTES = 16_000_000
# Settlements are sent in batches at this interval. It is much shorter than the
# second for which a finished turn may still count with its whole reservation.
SETTLE_INTERVAL_MS = 30.0
# Pause before the retry of an operation that too few keepers acknowledged. It is
# half of the interval at which lost keepers are probed.
RETRY_INTERVAL_MS = 100.0
# Retry-After while too few keepers have room. Turns expire and leave room all the time.
FULL_RETRY_AFTER_MS = 2000
# Retry-After while a predecessor of a turn is at no keeper that answers. One that is away
# takes seconds to come back.
INCOMPLETE_RETRY_AFTER_MS = 5000

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
    """Stores and finds records at all keepers that the store lists.

    Attributes:
        cache: the turns that this gateway used last.
        retry_advisor: sets Retry-After of refusals because of unavailable
            keepers.
        queued_settlements: settlements that will be sent with the next batch.
        retention: tells the keepers which turns are used.
        raises: tells the keepers which retentions are raised.
        readings: read the list of keepers as it is now.
        pauses: notices pauses of this gateway; must be run.
        recent: has what counts keepers go by a list that is newer than any pause.
        turn_search: finds turns at the keepers.
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
        self.cache: TurnIndex[TurnRecord] = TurnIndex(clock, CACHE_BYTES)
        self.retry_advisor = RetryAdvisor(clock)
        self.queued_settlements: list[QueuedSettlement] = []
        self.retention = TurnRetention(
            links, clock, tasks, self.required_copies, self.store_turn
        )
        self.raises = RetentionRaises(links, clock, tasks)
        self.readings = MemberReadings(store, clock, tasks, self.read_prefix)
        self.pauses = PauseWatch(clock)
        self.recent = RecentMembers(self.readings, self.pauses)
        self.turn_search = TurnSearch(links, clock, self.readings, tolerated_losses)

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
        self.cache.put(stored)
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

    async def load_chain(
        self, turn: str, retention_ms: float | None = None
    ) -> list[TurnRecord]:
        """Return a turn and all its predecessors, which are about to be continued.

        Args:
            turn: id of the turn.
            retention_ms: how long they are needed after the new turn; None for as long
                as the turn itself.

        Returns:
            The turns, the oldest first.

        Raises:
            Refusal: the turn does not exist or has a gap before it, or too few keepers
                answered to know.
        """
        turns = await self.read_chain(turn)
        if retention_ms is None:
            retention_ms = turns[-1].retention_ms
        self.retention.use(turns, retention_ms)
        return turns

    async def confirm_chain(self, turns: list[str], retention_ms: float) -> None:
        """Wait until enough keepers will keep a chain for its retention from now on.

        Args:
            turns: ids of all turns of the chain, the oldest first.
            retention_ms: how long they are needed after an answer that ends now.

        Raises:
            Refusal: too few keepers answer.
        """
        retention = self.retention
        if not retention.unconfirmed(turns, retention_ms):
            return
        await retention.wait_for_renewals(turns)
        due = set(retention.unconfirmed(turns, retention_ms))
        if not due:
            return
        chain = await self.read_chain(turns[-1])
        records = [record for record in chain if record.turn in due]
        await retention.renew(records, retention_ms, at_once=True)
        if retention.unconfirmed(turns, retention_ms):
            raise keepers_unavailable(
                'too few keepers confirm that they keep the chain'
            )

    async def read_chain(self, turn: str) -> list[TurnRecord]:
        """Return a turn and all its predecessors, the oldest first.

        Raises:
            Refusal: the turn does not exist or has a gap before it, or too few keepers
                answered to know.
        """
        cached = self.cache.use_chain(turn)
        turns = cached.turns
        missing = cached.missing
        while missing:
            found = await self.find_part(turn, missing)
            for record in found.turns:
                self.cache.put(record)
            turns = [*found.turns, *turns]
            missing = found.missing
        return turns

    async def find_part(self, turn: str, missing: str) -> Chain:
        """Find the part of a turn's chain that ends with a missing turn.

        Raises:
            Refusal: the turn does not exist or has a gap before it, or too few keepers
                answered to know.
        """
        try:
            return await self.turn_search.find_chain(missing)
        except Refusal as refusal:
            if missing == turn or refusal.code != RefusalCode.UNKNOWN_TURN:
                raise
        # The turn itself may be known from the cache alone, and have expired, too.
        await self.turn_search.find_chain(turn)
        logger.error('history_incomplete', turn=turn, predecessor=missing)
        raise history_incomplete(turn, missing)

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


def history_incomplete(turn: str, predecessor: str) -> Refusal:
    """Return the refusal of a call that continues a turn with a gap before it.

    It does not deny the turn, which exists. As its predecessor was lost or may be at a
    keeper that is away, the caller may try again, but not soon.
    """
    return Refusal(
        RefusalCode.HISTORY_INCOMPLETE,
        f'turn {turn} exists, but its predecessor {predecessor} was not found',
        retry_after_ms=INCOMPLETE_RETRY_AFTER_MS,
    )


async def answer_or_none(pending: Any) -> Any:
    """Return an answer, or None after a failure.

    `KeeperLinks` has logged the loss of a keeper; a refusal by one isn't logged.
    """
    try:
        return await pending
    except PollenwalkError:
        return None
