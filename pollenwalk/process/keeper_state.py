"""What one keeper holds: turns and accounts, in memory and on disk."""

import asyncio
from collections.abc import Collection, Iterable, Iterator
from typing import Any

from loguru import logger

from pollenwalk.connection.wire import decode_datagram, encode_datagram
from pollenwalk.errors import PollenwalkError
from pollenwalk.process.clock import Clock
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

# A tenth of the smallest disk of the deployments (350 MB) may be over.
COMPACT_BYTES = 32_000_000


class KeeperState:
    """The records of one keeper."""

    def __init__(self, disk: RecordDisk, clock: Clock) -> None:
        """Keep records on `disk`."""
        self.log = disk
        self.turns = TurnIndex(clock)
        self.ledger = Ledger(clock)

    @property
    def complete(self) -> bool:
        """Tell whether the keeper can answer for the past.

        It can where it holds all that it has ever acknowledged, or has
        fetched from others what a lost disk held.
        """
        return self.log.complete

    def open(self, first_start: bool) -> None:
        """Read what is on the disk.

        Args:
            first_start: whether an empty disk is as it should be.
        """
        count = 0
        for record in self.log.open():
            count += 1
            self.apply_encoded(record)
        if first_start and not self.complete:
            self.log.mark_complete()
        logger.info(
            'records_read',
            records=count,
            turns=len(self.turns.records),
            complete=self.complete,
        )

    def apply_encoded(self, record: bytes) -> None:
        """Apply an encoded record that is on the disk."""
        try:
            message = decode_datagram(record)
        except PollenwalkError as error:
            logger.error('record_unreadable', reason=error.message)
            return
        self.apply(message)

    def apply(self, message: Any) -> None:
        """Apply a record in memory."""
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
        """Apply a record and wait until it is on the disk."""
        self.apply(message)
        await self.log.append(encode_datagram(message))

    async def reserve(self, message: ReserveTokens) -> list[TokenEntry]:
        """Reserve tokens; gives all that is known once it is on the disk."""
        entries = self.ledger.reserve(message)
        await self.log.append(encode_datagram(message))
        return entries

    def chain(self, turn: str) -> Chain:
        """Find a turn and those before it."""
        return self.turns.use_chain(turn)._replace(complete=self.complete)

    def account_records(self) -> Iterator[bytes]:
        """Encode all that is known of programs' tokens."""
        for program, account in list(self.ledger.accounts.items()):
            for entry in list(account.entries.values()):
                yield encode_datagram(
                    entry_to_record(program, entry, account.retention_ms)
                )

    def underreplicated_turns(
        self, alive: Collection[str], required_copies: int
    ) -> Iterator[bytes]:
        """Encode the turns of which fewer copies are left than needed.

        Args:
            alive: the keepers whose copies count.
            required_copies: that are needed.
        """
        for record in list(self.turns.records.values()):
            if len(set(record.replicas).intersection(alive)) < required_copies:
                yield encode_datagram(record)

    async def add_records(self, records: Iterable[bytes]) -> int:
        """Keep another keeper's records; gives how many were new."""
        new: list[bytes] = []
        for record in records:
            message = decode_datagram(record)
            if self.is_new(message):
                self.apply(message)
                new.append(record)
        await asyncio.gather(*map(self.log.append, new))
        return len(new)

    def is_new(self, message: Any) -> bool:
        """Tell whether a record adds anything."""
        if isinstance(message, TurnRecord):
            return message.turn not in self.turns.records
        account = self.ledger.accounts.get(message.program)
        entry = account.entries.get(message.turn) if account else None
        settles = isinstance(message, SettleTokens)
        return entry is None or (settles and not entry.settled)

    async def compact(self) -> None:
        """Write all that is held anew once the disk holds much that is over."""
        if self.log.bytes_since_compaction < COMPACT_BYTES:
            return
        await self.log.start_compaction()
        everything = (*self.account_records(), *self.underreplicated_turns((), 1))
        await asyncio.gather(*map(self.log.append, everything))
        await self.log.finish_compaction()
        logger.info('compacted', records=len(everything))

    def expire(self) -> None:
        """Forget what is over."""
        self.turns.expire()
        self.ledger.expire()


def entry_to_record(program: str, entry: TokenEntry, retention_ms: float) -> Any:
    """Turn an entry of an account back into the record that made it."""
    if entry.settled:
        return SettleTokens(program, entry.turn, entry.tokens, retention_ms)
    return ReserveTokens(program, entry.turn, entry.tokens, retention_ms)
