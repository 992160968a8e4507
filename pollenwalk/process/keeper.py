"""A keeper: one of the processes that store turns and token accounts.

Gateways write each record to several keepers themselves and regard it as stored
once it is on enough disks. So there is no leader, and no takeover when a keeper
dies.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, NamedTuple

from loguru import logger

from pollenwalk.connection.channel import Listener, StreamNetwork
from pollenwalk.connection.crash_messages import CrashNote
from pollenwalk.connection.peer_messages import Done, Hello
from pollenwalk.connection.peer_server import PeerServer
from pollenwalk.connection.store_messages import (
    FollowPrefix,
    ReadPrefix,
)
from pollenwalk.errors import (
    Refusal,
    RefusalCode,
    StoreUnavailable,
)
from pollenwalk.policy.quota_bucket import QuotaBound
from pollenwalk.process.clock import MS_PER_SECOND, Clock
from pollenwalk.process.configuration_lease import WATCH_SHARE
from pollenwalk.process.keeper_feed import KeeperFeed
from pollenwalk.process.keeper_links import KeeperLinks
from pollenwalk.process.keeper_members import KEEPERS_PREFIX, Member
from pollenwalk.process.keeper_memory import KeeperMemory, MemoryMessage
from pollenwalk.process.keeper_metrics import KeeperMetrics
from pollenwalk.process.keeper_state import KeeperState
from pollenwalk.process.member_readings import MemberReadings
from pollenwalk.process.pauses import PauseWatch
from pollenwalk.process.prefix_watcher import PrefixWatcher, WatchHandlers
from pollenwalk.process.quota_borrowing import QuotaBorrowing
from pollenwalk.process.recent_members import RecentMembers
from pollenwalk.process.share_borrowing import ShareBorrowing
from pollenwalk.process.store import Backoff, ObjectStore
from pollenwalk.process.store_mirror import StoreMirrors
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.turn_admission import TurnAdmission
from pollenwalk.process.turn_copies import TurnCopies
from pollenwalk.process.waits import Waits
from pollenwalk.program.turns import (
    CheckReachable,
    CopiesEnsured,
    EnsureCopies,
    ExtendTurns,
    FindChain,
    FindMissing,
    KeepTurns,
    ListTurns,
    Missing,
    PullAccounts,
    PullTurns,
    PushRecords,
    RaiseRetention,
    Reachable,
    RecordBatch,
    ReserveTokens,
    Settlements,
    Spent,
    Stored,
    TurnList,
    TurnRecord,
)

# Intervals of the checks whether the own object in the store is as it should be, by
# whether it was at the last check.
REGISTRATION_CHECK_MS = {False: 100.0, True: 400.0}
EXPIRE_INTERVAL_MS = 5000.0
# Longest duration of a watch. A keeper is given at least several seconds to retire, and
# a stalled watch must end well before.
WATCH_WAIT_MS = 2500
RetentionMessage = KeepTurns | ExtendTurns | RaiseRetention
CopyMessage = FindMissing | ListTurns | CheckReachable | EnsureCopies


class KeeperSettings(NamedTuple):
    """The settings that a keeper reads at its start.

    Attributes:
        name: name of the keeper, which is that of its host.
        zone: availability zone of the keeper.
        regions: the region of each zone.
        address: `host:port` that the keeper listens on.
        first_start: whether an empty disk is expected, as the keeper has never
            stored anything.
        tolerated_losses: how many keepers may be lost at the same time without
            loss of data.
        quota_bound: how exactly quotas of organisations are kept; None if none are.
        revocation_ms: time within which the revocation of a key must be in force; 0 if
            gateways that are cut off may go on with the keys they know.
    """

    name: str
    zone: str
    regions: dict[str, str]
    address: str
    first_start: bool
    tolerated_losses: int
    quota_bound: QuotaBound | None = None
    revocation_ms: float = 0


class Keeper:
    """One keeper process.

    Attributes:
        own_member: this keeper's object in the store, as it should be.
        mirrors: the parts of the store that this keeper follows for others.
        feed: follows the store through the first keeper of the region.
        recent: reads the list of keepers anew after a pause.
        admission: decides which turns are stored here.
        copies: copies this keeper's turns to others.
        memory: answers what needs no disk.
        quota_borrowing: borrows the shares of others; None before the start, or if no
            quotas are kept.
        was_member: whether the store listed this keeper when it started, and nobody
            had taken its place.
        admitted: whether this keeper may be listed. One that is not listed at its start
            first looks for a lost one whose place it takes.
        waits: what this keeper waits for, and for whom.
        retired: whether all records have been copied to other keepers, so that
            this one must not be listed.
        log_writer: the task that writes the record log.
    """

    def __init__(
        self,
        settings: KeeperSettings,
        state: KeeperState,
        store: ObjectStore,
        network: StreamNetwork,
        clock: Clock,
    ) -> None:
        """Create a keeper whose disk has not been read yet."""
        self.settings = settings
        self.state = state
        self.store = store
        self.network = network
        self.clock = clock
        self.tasks = TaskSet()
        self.metrics = KeeperMetrics()
        self.waits = Waits(clock, self.metrics.awaited)
        self.links = KeeperLinks(
            network,
            clock,
            self.tasks,
            settings.zone,
            settings.regions,
        )
        self.mirrors = StoreMirrors(
            store, clock, self.tasks, settings.revocation_ms * WATCH_SHARE
        )
        self.feed = KeeperFeed(
            store, self.links, clock, do_nothing, self.mirrors, settings.name
        )
        readings = MemberReadings(store, clock, self.tasks)
        self.recent = RecentMembers(readings, PauseWatch(clock))
        self.admission = TurnAdmission(
            settings.name, state, self.links.members, self.recent
        )
        self.copies = TurnCopies(
            state, self.links, clock, self.tasks, settings.name, self.required_copies
        )
        self.memory = KeeperMemory(
            clock,
            settings.name,
            self.links.members,
            settings.regions,
            state.crashes,
            self.metrics,
            settings.quota_bound,
        )
        self.memory.permits.on_crash = self.store_crash
        self.quota_borrowing: QuotaBorrowing | None = None
        self.server = PeerServer(clock, self.answer, settings.name, 0)
        self.own_member = Member(
            settings.name, settings.address, settings.zone, extends_turns=True
        )
        self.was_member = False
        self.admitted = settings.first_start
        self.retired = False
        self.listener: Listener | None = None
        self.log_writer: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Read the disk, then serve messages and watch the list of keepers."""
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
        watcher = PrefixWatcher(
            self.feed, self.clock, KEEPERS_PREFIX, handlers, WATCH_WAIT_MS
        )
        self.recent.watcher = watcher
        self.tasks.spawn(self.recent.pauses.run(), 'watch_pauses')
        self.tasks.spawn(watcher.run(), 'follow_keepers')
        self.tasks.spawn(self.keep_registered(), 'register')
        self.tasks.spawn(self.expire(), 'expire')
        borrowing = ShareBorrowing(
            self.memory.permits, self.links, self.clock, self.settings.name
        )
        self.tasks.spawn(borrowing.run(), 'borrow_shares')
        quotas = self.memory.quotas
        if quotas is not None:
            self.quota_borrowing = QuotaBorrowing(quotas, self.links, self.clock)
            self.tasks.spawn(self.quota_borrowing.run(), 'borrow_quotas')

    async def stop(self) -> None:
        """Cancel all tasks and close the connections and the log."""
        await self.tasks.cancel()
        await self.server.close()
        if self.listener is not None:
            await self.listener.close()
        self.state.log.close()

    @property
    def required_copies(self) -> int:
        """Return how many keepers must store a turn."""
        return self.settings.tolerated_losses + 1

    def other_members(self) -> list[Member]:
        """Return the other keepers: answering ones first, near ones before others."""
        members = (link.member for link in self.links.ordered())
        return [member for member in members if member.name != self.settings.name]

    async def answer(self, _: Hello, message: Any) -> AsyncIterator[Any]:
        """Yield the answers to a message of a gateway or of another keeper."""
        if isinstance(message, PullAccounts | PullTurns):
            async for batch in self.state.record_batches(message):
                yield RecordBatch(self.state.complete, batch)
            return
        started_ms = self.clock.now_ms()
        answer = await self.answer_single(message)
        kind = {'kind': type(message).__name__}
        took_ms = self.clock.now_ms() - started_ms
        self.metrics.messages_total.inc(kind)
        self.metrics.answer_seconds.observe(kind, took_ms / MS_PER_SECOND)
        yield answer

    def refresh_metrics(self) -> None:
        """Update the gauges."""
        self.refresh_disk_metrics()
        self.metrics.turns.set({}, len(self.state.turns))
        self.metrics.turn_bytes.set({}, self.state.turns.size_bytes)
        self.metrics.unreadable.set({}, self.links.members.unreadable.total)
        self.metrics.accounts.set({}, len(self.state.ledger.accounts))
        self.metrics.complete.set({}, int(self.state.complete))
        limits = self.memory.permits.limits
        self.metrics.limits_per_second.set({}, limits.total_per_second())
        quotas = self.memory.quotas
        if quotas is not None:
            known = len(quotas.shares.by_organisation)
            self.metrics.quota_organisations.set({}, known)

    def refresh_disk_metrics(self) -> None:
        """Update the gauges of the disk."""
        state = self.state
        self.metrics.disk_bytes.set({}, state.log.size_bytes)
        self.metrics.pending_bytes.set({}, state.log.pending_bytes)
        self.metrics.disk_full.set({}, int(state.room.is_nearly_full))
        self.metrics.damaged.set({}, len(state.turns.damaged))

    async def answer_single(self, message: Any) -> Any:
        """Return the answer to a message that has a single answer.

        Raises:
            Refusal: the message is not one for keepers, this keeper is retiring
                and accepts no new turns, or it can't reach the store either.
        """
        if isinstance(message, ReserveTokens):
            entries = await self.state.reserve(message)
            return Spent(self.state.complete, entries)
        if isinstance(message, FindChain):
            return await self.state.find_chain(message.turn)
        if isinstance(message, RetentionMessage | CopyMessage):
            return await self.answer_about_turns(message)
        if isinstance(message, FollowPrefix | ReadPrefix):
            return await self.mirrors.answer(message)
        if isinstance(message, MemoryMessage):
            return self.memory.answer(message)
        await self.store_records(message)
        return Stored(self.state.complete)

    async def answer_about_turns(self, message: RetentionMessage | CopyMessage) -> Any:
        """Return the answer to a message about turns that this keeper may have."""
        if isinstance(message, RetentionMessage):
            return await self.answer_about_retention(message)
        return await self.answer_about_copies(message)

    async def answer_about_retention(self, message: RetentionMessage) -> Any:
        """Return the answer to a process that tells for how long turns are needed."""
        if isinstance(message, KeepTurns):
            return Missing(self.state.turns.index.keep(message.turns))
        if isinstance(message, ExtendTurns):
            await self.check_copies_count()
            return Missing(await self.state.extend_turns(message))
        await self.state.raise_retention(message)
        return Done()

    async def answer_about_copies(self, message: CopyMessage) -> Any:
        """Return the answer to a process that ensures that turns have enough copies."""
        turns = self.state.turns
        if isinstance(message, FindMissing):
            return Missing([turn for turn in message.turns if turn not in turns])
        if isinstance(message, ListTurns):
            return TurnList(self.state.complete, list(turns))
        if isinstance(message, CheckReachable):
            return Reachable(await self.links.reaches(message.keeper))
        return CopiesEnsured(await self.copies.ensure_for(message.keepers))

    def store_crash(self, note: CrashNote) -> None:
        """Store a report of a crash on disk, without waiting for that."""
        self.tasks.spawn(self.state.store_crash(note), 'store_crash')

    async def store_records(self, message: Any) -> None:
        """Store the records of a message on disk.

        Raises:
            Refusal: the message is not one for keepers, or this keeper stores no
                turns now.
        """
        takes_turns = isinstance(message, TurnRecord | PushRecords)
        if takes_turns and self.own_member.retiring:
            raise Refusal(RefusalCode.RETIRING, 'this keeper is retiring')
        if takes_turns:
            await self.admission.check()
        if isinstance(message, TurnRecord):
            await self.state.store_record(message)
        elif isinstance(message, Settlements):
            await asyncio.gather(*map(self.state.store_record, message.settled))
        elif isinstance(message, PushRecords):
            await self.state.add_records(message.records)
        else:
            raise Refusal(RefusalCode.PROTOCOL, 'not a message for a keeper')

    async def check_copies_count(self) -> None:
        """Check that what is kept here counts in the future.

        Raises:
            Refusal: this keeper is retiring, or no longer listed.
        """
        removed = await self.admission.was_removed_in_a_pause()
        if removed or self.own_member.retiring:
            raise Refusal(RefusalCode.RETIRING, 'this keeper is retiring')

    def on_store_unavailable(self, error: StoreUnavailable) -> None:
        """Record that the store did not answer."""
        self.mirrors.store_unavailable = True
        self.waits.update('list', ['store'], error.message)
        log_store_unavailable(error)

    def on_keepers_read(self) -> None:
        """Record that the store answered.

        After the first read, also record whether this keeper was listed.
        """
        self.mirrors.store_unavailable = False
        self.waits.update('list', [])
        if not self.links.members.loaded:
            self.links.members.mark_loaded()
            self.was_member = self.links.members.is_counted(self.settings.name)
        if self.memory.quotas is not None:
            # Seen at once, so that no list is missed and the first one is that which
            # was read first: a keeper that adds itself to it must wait longer.
            self.memory.quotas.shares.refresh()

    async def keep_registered(self) -> None:
        """Register this keeper whenever its object in the store must be written."""
        backoff = Backoff(self.clock)
        while True:
            is_full = self.state.room.update()
            self.own_member = self.own_member._replace(full=is_full)
            is_registered = self.state.complete and not self.needs_registration()
            await self.clock.sleep_ms(REGISTRATION_CHECK_MS[is_registered])
            if not self.links.members.loaded or not self.needs_registration():
                continue
            try:
                await self.register()
            except StoreUnavailable as error:
                self.waits.update('registration', ['store'], error.message)
                log_store_unavailable(error)
                await backoff.pause()
                continue
            self.waits.update('registration', [])
            backoff = Backoff(self.clock)

    async def register(self) -> None:
        """Write this keeper's object in the store.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        await self.store.put(self.own_member.key, self.own_member.encode(), None)
        logger.info('registered', keeper=self.own_member.name)
        self.links.members.note_registered(self.own_member)

    def needs_registration(self) -> bool:
        """Return whether this keeper's object in the store must be written.

        A keeper that still fetches records is not listed, as it can't tell
        whether a record exists.
        """
        members = self.links.members
        is_listed = members.registered.get(self.own_member.name) == self.own_member
        should_be_listed = self.state.complete and self.admitted and not self.retired
        overwritten = self.own_member.key in members.unreadable.versions
        return should_be_listed and (overwritten or not is_listed)

    async def expire(self) -> None:
        """Remove expired records from memory and compact the log at regular intervals."""
        while True:
            await self.clock.sleep_ms(EXPIRE_INTERVAL_MS)
            self.mirrors.stop_unused()
            self.state.expire()
            await self.state.compact()


def do_nothing() -> None:
    """Ignore that the store has failed, as a keeper removes no entry for it."""


def log_store_unavailable(error: StoreUnavailable) -> None:
    """Log that the store did not answer."""
    logger.warning('store_unavailable', what='keepers', reason=error.message)
