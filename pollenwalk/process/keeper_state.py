"""The turns and token accounts of one keeper, in memory and on disk."""

import asyncio
from collections.abc import AsyncIterator, Iterable, Iterator
from typing import Any

from loguru import logger

from pollenwalk.connection.crash_messages import CrashNote
from pollenwalk.connection.wire import decode_datagram, encode_datagram
from pollenwalk.errors import Refusal
from pollenwalk.process.clock import Clock
from pollenwalk.process.crash_records import CrashRecords
from pollenwalk.process.disk_room import DiskRoom
from pollenwalk.process.log_compaction import LogCompaction, decode_or_log
from pollenwalk.process.record_batches import batched
from pollenwalk.process.record_log import RecordDisk
from pollenwalk.process.segment_files import Location
from pollenwalk.process.stored_turns import StoredTurns
from pollenwalk.process.turn_extensions import TurnExtensions
from pollenwalk.process.turn_reader import TurnReader
from pollenwalk.program.ledger import Ledger, entry_to_record
from pollenwalk.program.turns import (
    Chain,
    ExtendTurns,
    PullAccounts,
    PullTurns,
    RaiseRetention,
    ReserveTokens,
    SettleTokens,
    TokenEntry,
    TurnRecord,
)

# How many ids of turns one line of the log may have.
MAX_LOGGED_TURNS = 5


class KeeperState:
    """The records of one keeper.

    Attributes:
        log: the records on disk.
        turns: the turns in memory.
        reader: reads turns from memory and disk.
        extensions: what keeps turns for longer than their records say.
        ledger: the token accounts in memory.
        crashes: requests on which hosts crash.
        room: how full the disk is.
        compaction: keeps the log small.
    """

    def __init__(self, disk: RecordDisk, clock: Clock, disk_bytes: float = 0) -> None:
        """Create an empty state, whose records are stored on `disk`.

        Args:
            disk: the log.
            clock: the clock of the keeper.
            disk_bytes: how much fits on the disk; 0 if that is not known.
        """
        self.log = disk
        self.room = DiskRoom(disk, disk_bytes)
        self.turns = StoredTurns(clock)
        self.reader = TurnReader(disk, self.turns)
        self.extensions = TurnExtensions(self.turns)
        self.ledger = Ledger(clock)
        self.crashes = CrashRecords(clock)
        self.compaction = LogCompaction(
            disk,
            clock,
            self.turns,
            self.reader,
            self.extensions,
            self.ledger,
            self.crashes,
            self.room,
        )

    @property
    def complete(self) -> bool:
        """Return whether the keeper can tell that a record does not exist.

        It can if it has all records that it has ever acknowledged, or has
        fetched the records of a lost disk from other keepers.
        """
        return self.log.complete

    def open(self, first_start: bool) -> None:
        """Read all records from the disk.

        Args:
            first_start: whether an empty disk is expected, and so complete.
        """
        count = 0
        crash_notes: list[CrashNote] = []
        extensions: list[ExtendTurns] = []
        for stored in self.log.open():
            count += 1
            message = decode_or_log(stored.record)
            if isinstance(message, CrashNote):
                crash_notes.append(message)
            elif isinstance(message, ExtendTurns):
                extensions.append(message)
            self.restore(message, stored.location)
        self.crashes.restore(crash_notes)
        self.extensions.restore(extensions)
        if first_start and not self.complete:
            self.log.mark_complete()
        logger.info(
            'records_read',
            records=count,
            turns=len(self.turns),
            crashes=self.crashes.size,
            complete=self.complete,
        )

    def restore(self, message: Any, location: Location) -> None:
        """Apply a record that has been read from the disk."""
        if isinstance(message, TurnRecord):
            self.turns.add_from_disk(message, location)
            self.settle_turn(message)
            return
        self.apply_tokens(message)
        self.note_small(message, location)

    def note_small(self, message: Any, location: Location) -> None:
        """Note where a record is that is not a turn."""
        self.compaction.note_small(location, getattr(message, 'retention_ms', 0))

    def apply_tokens(self, message: Any) -> None:
        """Apply a reservation or settlement to the accounts in memory."""
        if isinstance(message, ReserveTokens):
            self.ledger.reserve(message)
        elif isinstance(message, SettleTokens):
            self.ledger.settle(message)

    def settle_turn(self, record: TurnRecord) -> None:
        """Settle the tokens of a turn in the accounts in memory."""
        settled = SettleTokens(
            record.program, record.turn, record.tokens, record.retention_ms
        )
        self.ledger.settle(settled)

    async def store_record(self, message: Any) -> None:
        """Apply a record and wait until it is synced to disk."""
        if isinstance(message, TurnRecord):
            await self.store_turn(message)
            return
        self.apply_tokens(message)
        await self.append_small(message)

    async def store_turn(self, record: TurnRecord) -> None:
        """Add a turn and wait until it is synced to disk, unless it is already.

        It is counted at once, so that a handover that begins now includes it.

        Raises:
            Refusal: the disk has no room for it.
        """
        self.settle_turn(record)
        if self.turns.is_synced(record.turn):
            await self.extend_turns(ExtendTurns([record.turn], record.retention_ms))
            return
        self.turns.add_unsynced(record)
        synced = self.log.append(encode_datagram(record))
        synced.add_done_callback(lambda future: self.place(record, future))
        # The record is written even if nobody waits for it any more.
        await asyncio.shield(synced)

    async def extend_turns(self, message: ExtendTurns) -> list[str]:
        """Keep turns for as long as they are needed now.

        Returns:
            The ids of those that this keeper does not have, once it is synced to disk
            for how long the others are needed.

        Raises:
            Refusal: the disk has no room for that.
        """
        missing = self.turns.index.keep(message.turns, message.retention_ms)
        unsaved = self.extensions.unsaved(message)
        if unsaved is not None:
            await self.append_small(unsaved)
            self.extensions.note_saved(unsaved)
        return missing

    async def raise_retention(self, message: RaiseRetention) -> None:
        """Keep turns and accounts for a raised retention; it is on disk afterwards.

        Raises:
            Refusal: the disk has no room for that.
        """
        for extension in self.extensions.raised(message):
            await self.extend_turns(extension)
        raised = list(self.ledger.raised(message))
        await asyncio.gather(*map(self.append_small, raised))
        for record in raised:
            self.apply_tokens(record)

    def place(self, record: TurnRecord, synced: asyncio.Future[Location]) -> None:
        """Note where a turn has been written; forget one that could not be."""
        if synced.cancelled():
            return
        if synced.exception() is None:
            if record.turn not in self.turns:
                # An earlier attempt to write it failed.
                self.turns.add_unsynced(record)
            self.turns.place(record.turn, synced.result())
        elif record.turn in self.turns and not self.turns.is_synced(record.turn):
            self.turns.remove(record.turn)

    async def append_small(self, message: Any) -> None:
        """Append a record that is not a turn, and wait until it is synced.

        Raises:
            Refusal: the disk has no room for it.
        """
        synced = self.log.append(encode_datagram(message))
        self.note_small(message, await asyncio.shield(synced))

    async def store_crash(self, note: CrashNote) -> None:
        """Store a report of a crash, which is known in memory already, on disk."""
        await self.append_small(note)

    async def reserve(self, message: ReserveTokens) -> list[TokenEntry]:
        """Reserve tokens for a turn.

        Returns:
            The entries of all turns of the program, once the reservation is
            synced to disk.
        """
        entries = self.ledger.reserve(message)
        await self.append_small(message)
        return entries

    async def find_chain(self, turn: str) -> Chain:
        """Return a turn and its predecessors, as far as this keeper has them.

        The returned turns are marked as just used.
        """
        return await self.reader.find_chain(turn, self.complete)

    async def record_batches(
        self, message: PullAccounts | PullTurns
    ) -> AsyncIterator[list[bytes]]:
        """Yield the encoded records that another keeper asks for, in batches.

        There is at least one batch; the last one may be empty.
        """
        if isinstance(message, PullAccounts):
            for batch in batched(self.account_records()):
                yield batch
            return
        async for records in self.reader.batches(message.turns):
            yield list(map(encode_datagram, records))
        yield []

    def account_records(self) -> Iterator[bytes]:
        """Yield the encoded reservations and settlements of all accounts."""
        for program, account in list(self.ledger.accounts.items()):
            for entry in list(account.entries.values()):
                yield encode_datagram(
                    entry_to_record(program, entry, account.retention_ms)
                )

    async def add_records(self, records: Iterable[bytes]) -> int:
        """Store those of another keeper's records that are new.

        Returns:
            The number of new records, once they are synced to disk.
        """
        messages = map(decode_datagram, records)
        new = [message for message in messages if self.is_new(message)]
        await asyncio.gather(*map(self.store_record, new))
        return len(new)

    def is_new(self, message: Any) -> bool:
        """Return whether a record adds a turn, a retention or an entry of an account."""
        if isinstance(message, TurnRecord):
            extension = ExtendTurns([message.turn], message.retention_ms)
            is_longer = self.extensions.unsaved(extension) is not None
            return is_longer or not self.turns.is_synced(message.turn)
        account = self.ledger.accounts.get(message.program)
        entry = account.entries.get(message.turn) if account else None
        settles = isinstance(message, SettleTokens)
        return entry is None or (settles and not entry.settled)

    async def compact(self) -> None:
        """Rewrite the parts of the log of which little is needed.

        A segment that finds no room stays until some of the others are deleted.
        """
        try:
            await self.compaction.run()
        except Refusal as refusal:
            logger.warning('compaction_failed', reason=refusal.message)

    def expire(self) -> None:
        """Remove the expired turns and accounts from memory."""
        expired = self.turns.expire()
        accounts = len(self.ledger.accounts)
        self.ledger.expire()
        accounts -= len(self.ledger.accounts)
        if expired or accounts:
            logger.info(
                'expired',
                turns=len(expired),
                accounts=accounts,
                continued=continued(expired, self.turns)[:MAX_LOGGED_TURNS],
            )


def continued(expired: list[str], turns: StoredTurns) -> list[str]:
    """Return those expired turns that a turn which is still there continues."""
    if not expired:
        return []
    previous = {entry.previous for entry in turns.entries()}
    return [turn for turn in expired if turn in previous]
