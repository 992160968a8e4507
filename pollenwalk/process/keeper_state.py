"""What one keeper holds: turns and accounts, in memory and on disk."""

import asyncio
import os
from collections.abc import Collection, Iterable, Iterator
from pathlib import Path
from typing import Any

from loguru import logger

from pollenwalk.connection.wire import decode_datagram, encode_datagram
from pollenwalk.errors import PollenwalkError
from pollenwalk.process.clock import Clock
from pollenwalk.process.record_log import RecordLog, write_synced
from pollenwalk.program.ledger import Ledger
from pollenwalk.program.turn_index import TurnIndex
from pollenwalk.program.turns import (
    Chain,
    ReserveTokens,
    SettleTokens,
    TokenEntry,
    TurnRecord,
)

COMPLETE_MARK = 'complete'


class KeeperState:
    """The records of one keeper.

    Attributes:
        complete: whether it holds all that it has ever acknowledged, or has
            fetched from others what a lost disk held.
    """

    def __init__(self, folder: Path, clock: Clock) -> None:
        """Keep records in `folder`."""
        self.folder = folder
        self.log = RecordLog(folder)
        self.turns = TurnIndex(clock)
        self.ledger = Ledger(clock)
        self.segments: dict[str, int] = {}
        self.complete = False

    def open(self, first_start: bool) -> None:
        """Read what is on the disk.

        Args:
            first_start: whether an empty disk is as it should be.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        known = COMPLETE_MARK in os.listdir(self.folder)
        count = 0
        for segment, record in self.log.replay():
            count += 1
            self.take(record, segment)
        self.log.open()
        if known or first_start:
            self.mark_complete()
        logger.info(
            'records_read',
            records=count,
            turns=len(self.turns.records),
            complete=self.complete,
        )

    def mark_complete(self) -> None:
        """Remember across restarts that the disk is complete."""
        self.complete = True
        write_synced(self.folder / COMPLETE_MARK, b'1')

    def take(self, record: bytes, segment: int) -> None:
        """Apply an encoded record that is on the disk."""
        try:
            message = decode_datagram(record)
        except PollenwalkError as error:
            logger.error('record_unreadable', segment=segment, reason=error.message)
            return
        self.apply(message)
        if isinstance(message, TurnRecord):
            self.segments[message.turn] = segment

    def apply(self, message: Any) -> None:
        """Apply a record in memory."""
        if isinstance(message, TurnRecord):
            self.turns.put(message)
            settled = SettleTokens(
                message.program,
                message.turn,
                message.tokens,
                message.kept_ms,
            )
            self.ledger.settle(settled)
        elif isinstance(message, ReserveTokens):
            self.ledger.reserve(message)
        elif isinstance(message, SettleTokens):
            self.ledger.settle(message)

    async def keep(self, message: Any) -> None:
        """Apply a record and wait until it is on the disk."""
        self.apply(message)
        segment = await self.log.append(encode_datagram(message))
        if isinstance(message, TurnRecord):
            self.segments[message.turn] = segment

    async def reserve(self, message: ReserveTokens) -> list[TokenEntry]:
        """Reserve tokens; gives all that is known once it is on the disk."""
        entries = self.ledger.reserve(message)
        await self.log.append(encode_datagram(message))
        return entries

    def chain(self, turn: str) -> Chain:
        """Find a turn and those before it."""
        return self.turns.chain(turn)._replace(complete=self.complete)

    def account_records(self) -> Iterator[bytes]:
        """Encode all that is known of programs' tokens."""
        for program, account in list(self.ledger.accounts.items()):
            for entry in list(account.entries.values()):
                yield encode_datagram(as_record(program, entry, account.kept_ms))

    def scarce_turns(self, alive: Collection[str], copies: int) -> Iterator[bytes]:
        """Encode the turns of which fewer copies are left than needed.

        Args:
            alive: the keepers whose copies count.
            copies: that are needed.
        """
        for record in list(self.turns.records.values()):
            if len(set(record.holders).intersection(alive)) < copies:
                yield encode_datagram(record)

    async def take_over(self, records: Iterable[bytes]) -> int:
        """Keep another keeper's records; gives how many were new."""
        new = [record for record in records if self.is_new(decode_datagram(record))]
        for record in new:
            self.apply(decode_datagram(record))
        if new:
            segments = await asyncio.gather(*map(self.log.append, new))
            self.note_segments(new, segments)
        return len(new)

    def is_new(self, message: Any) -> bool:
        """Tell whether a record adds anything."""
        if isinstance(message, TurnRecord):
            return message.turn not in self.turns.records
        account = self.ledger.accounts.get(message.program)
        entry = account.entries.get(message.turn) if account else None
        settles = isinstance(message, SettleTokens)
        return entry is None or (settles and not entry.settled)

    def note_segments(self, records: list[bytes], segments: list[int]) -> None:
        """Remember where turns are on the disk."""
        for record, segment in zip(records, segments, strict=True):
            message = decode_datagram(record)
            if isinstance(message, TurnRecord):
                self.segments[message.turn] = segment

    def expire(self) -> None:
        """Forget what is over."""
        for record in self.turns.expire():
            self.segments.pop(record.turn, None)
        self.ledger.expire()


def as_record(program: str, entry: TokenEntry, kept_ms: float) -> Any:
    """Turn an entry of an account back into the record that made it."""
    if entry.settled:
        return SettleTokens(program, entry.turn, entry.tokens, kept_ms)
    return ReserveTokens(program, entry.turn, entry.tokens, kept_ms)
