"""The turns and token accounts of one keeper, in memory and on disk."""

import asyncio
from collections.abc import Iterable, Iterator
from typing import Any

from loguru import logger

from pollenwalk.connection.crash_messages import CrashNote
from pollenwalk.connection.wire import decode_datagram, encode_datagram
from pollenwalk.errors import PollenwalkError
from pollenwalk.process.clock import Clock
from pollenwalk.process.crash_records import CrashRecords
from pollenwalk.process.record_log import RecordDisk
from pollenwalk.program.ledger import Ledger
from pollenwalk.program.turn_index import TurnIndex
from pollenwalk.program.turns import (
    Chain,
    ReserveTokens,
    SettleTokens,
    TokenEntry,
    TurnRecord,
)

# The log is compacted once this much has been written to it. Expired records may
# thus fill about a tenth of the smallest disk of any deployment, which has 350 MB.
COMPACTION_THRESHOLD_BYTES = 32_000_000


class KeeperState:
    """The records of one keeper.

    Attributes:
        log: the records on disk.
        turns: the turns in memory.
        ledger: the token accounts in memory.
        crashes: requests on which hosts crash.
    """

    def __init__(self, disk: RecordDisk, clock: Clock) -> None:
        """Create an empty state, whose records are stored on `disk`."""
        self.log = disk
        self.turns = TurnIndex(clock)
        self.ledger = Ledger(clock)
        self.crashes = CrashRecords(clock)

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
        for record in self.log.open():
            count += 1
            message = self.decode_or_log(record)
            if isinstance(message, CrashNote):
                crash_notes.append(message)
            else:
                self.apply(message)
        self.crashes.restore(crash_notes)
        if first_start and not self.complete:
            self.log.mark_complete()
        logger.info(
            'records_read',
            records=count,
            turns=len(self.turns.records),
            crashes=self.crashes.size,
            complete=self.complete,
        )

    def decode_or_log(self, record: bytes) -> Any:
        """Decode a record from the disk; log an unreadable one and return None."""
        try:
            return decode_datagram(record)
        except PollenwalkError as error:
            logger.error('record_unreadable', reason=error.message)
            return None

    def apply(self, message: Any) -> None:
        """Apply a record to the turns and accounts in memory."""
        if isinstance(message, TurnRecord):
            self.turns.put(message)
            settled = SettleTokens(
                message.program,
                message.turn,
                message.tokens,
                message.retention_ms,
            )
            self.ledger.settle(settled)
        elif isinstance(message, ReserveTokens):
            self.ledger.reserve(message)
        elif isinstance(message, SettleTokens):
            self.ledger.settle(message)

    async def store_record(self, message: Any) -> None:
        """Apply a record and wait until it is synced to disk."""
        self.apply(message)
        await self.log.append(encode_datagram(message))

    async def store_crash(self, note: CrashNote) -> None:
        """Store a report of a crash, which is known in memory already, on disk."""
        await self.log.append(encode_datagram(note))

    async def reserve(self, message: ReserveTokens) -> list[TokenEntry]:
        """Reserve tokens for a turn.

        Returns:
            The entries of all turns of the program, once the reservation is
            synced to disk.
        """
        entries = self.ledger.reserve(message)
        await self.log.append(encode_datagram(message))
        return entries

    def find_chain(self, turn: str) -> Chain:
        """Return a turn and its predecessors, as far as this keeper has them.

        The returned turns are marked as just used.
        """
        return self.turns.touch_chain(turn)._replace(complete=self.complete)

    def account_records(self) -> Iterator[bytes]:
        """Yield the encoded reservations and settlements of all accounts."""
        for program, account in list(self.ledger.accounts.items()):
            for entry in list(account.entries.values()):
                yield encode_datagram(
                    entry_to_record(program, entry, account.retention_ms)
                )

    def encoded_turns(self, turns: Iterable[str]) -> Iterator[bytes]:
        """Yield those of the given turns that this keeper has, encoded."""
        records = map(self.turns.records.get, turns)
        return (encode_datagram(record) for record in records if record is not None)

    async def add_records(self, records: Iterable[bytes]) -> int:
        """Store those of another keeper's records that are new.

        Returns:
            The number of new records, once they are synced to disk.
        """
        new: list[bytes] = []
        for record in records:
            message = decode_datagram(record)
            if self.is_new(message):
                self.apply(message)
                new.append(record)
        await asyncio.gather(*map(self.log.append, new))
        return len(new)

    def is_new(self, message: Any) -> bool:
        """Return whether a record adds a turn, a reservation or a settlement."""
        if isinstance(message, TurnRecord):
            return message.turn not in self.turns.records
        account = self.ledger.accounts.get(message.program)
        entry = account.entries.get(message.turn) if account else None
        settles = isinstance(message, SettleTokens)
        return entry is None or (settles and not entry.settled)

    async def compact(self) -> None:
        """Rewrite the log with the live records once it has grown enough."""
        if self.log.bytes_since_compaction < COMPACTION_THRESHOLD_BYTES:
            return
        await self.log.start_compaction()
        live_records = (
            *self.account_records(),
            *self.encoded_turns(list(self.turns.records)),
            *map(encode_datagram, list(self.crashes.notes())),
        )
        await asyncio.gather(*map(self.log.append, live_records))
        await self.log.finish_compaction()
        logger.info('compacted', records=len(live_records))

    def expire(self) -> None:
        """Remove the expired turns and accounts from memory."""
        turns = len(self.turns.expire())
        accounts = len(self.ledger.accounts)
        self.ledger.expire()
        accounts -= len(self.ledger.accounts)
        if turns or accounts:
            logger.info('expired', turns=turns, accounts=accounts)


def entry_to_record(program: str, entry: TokenEntry, retention_ms: float) -> Any:
    """Return the record that creates an account entry."""
    if entry.settled:
        return SettleTokens(program, entry.turn, entry.tokens, retention_ms)
    return ReserveTokens(program, entry.turn, entry.tokens, retention_ms)
