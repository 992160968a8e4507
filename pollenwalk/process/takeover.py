"""Taking over the programs of a dead entry.

The successor seals the dead home's journal in the store, then at one witness,
and only then reads what was acknowledged. Whoever loses the seal leaves the
programs to the one who won it.
"""

import random
from typing import NamedTuple

from loguru import logger

from pollenwalk.connection.wire import WitnessBatches, WitnessSeal
from pollenwalk.process.clock import Clock
from pollenwalk.process.directory import decode_record, record_key
from pollenwalk.process.segments import (
    JournalContent,
    Segment,
    encode_segment,
    read_journal,
    segment_key,
)
from pollenwalk.process.store import ObjectStore, create_once, make_nonce
from pollenwalk.process.witness import PeerSource, WitnessLog, seal_at_witness
from pollenwalk.program.program import Program, ProgramTable
from pollenwalk.program.records import (
    Adopted,
    Record,
    Snapshot,
    decode_records,
)

WITNESS_PATIENCE_MS = 15_000
WITNESS_PAUSE_MS = 500


class Sealed(NamedTuple):
    """A journal that nobody writes to any more."""

    content: JournalContent
    tail: list[Record]
    tail_lost: bool

    def records(self) -> list[Record]:
        """Give all records in order."""
        return [*self.content.records(), *self.tail]


class Takeover:
    """One successor's takeover of one dead incarnation."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        peers: PeerSource,
        witness_log: WitnessLog,
        successor: str,
        rng: random.Random,
    ) -> None:
        """Prepare to act for the incarnation `successor`."""
        self.rng = rng
        self.store = store
        self.clock = clock
        self.peers = peers
        self.witness_log = witness_log
        self.successor = successor

    async def claim_ownership(self, dead: str) -> str:
        """Seal a journal unless somebody has, and tell whose seal it is.

        Args:
            dead: the incarnation that is believed dead.

        Returns:
            The incarnation that owns the programs now.

        Raises:
            StoreUnavailable: the store gave no answer while reading.
        """
        while True:
            content = await read_journal(self.store, dead)
            if content.sealed_by and not await self.is_orphan(dead, content.sealed_by):
                return content.sealed_by
            if await self.seal(dead, content):
                return self.successor

    async def seal(self, dead: str, content: JournalContent) -> bool:
        """Seal a journal, or seal it once more after a successor that died.

        Returns:
            Whether the seal is ours.
        """
        seal = Segment(
            make_nonce(self.rng),
            content.last_batch + 1,
            [],
            content.witnesses,
            self.successor,
        )
        key = segment_key(dead, content.last_number + 1)
        body = encode_segment(seal)
        ours = await create_once(self.store, self.clock, key, body)
        if ours:
            logger.info('journal_sealed', dead=dead, by=self.successor)
        return ours

    async def is_orphan(self, dead: str, owner_id: str) -> bool:
        """Tell whether the owner of a seal can never adopt any more.

        That is so once its own journal is sealed without the adoption in it.
        The adoption may only be missing there after the dead entry's record
        has named its successor, so the record is read last.
        """
        if owner_id == self.successor:
            return False
        content = await read_journal(self.store, owner_id)
        if not content.sealed_by:
            return False
        sealed = await self.read_sealed(owner_id)
        if dead in adopted_incarnations(sealed):
            return False
        stored = await self.store.get(record_key(dead))
        return stored is None or not decode_record(stored.body).successor

    async def read_sealed(self, dead: str) -> Sealed:
        """Read a sealed journal and what its witnesses hold beyond it."""
        content = await read_journal(self.store, dead)
        witnesses = content.witnesses
        if not witnesses:
            return Sealed(content, [], tail_lost=False)
        message = WitnessSeal(dead, content.last_batch)
        until_ms = self.clock.now_ms() + WITNESS_PATIENCE_MS
        while True:
            held = await self.seal_any(content, message)
            if held is not None:
                break
            if self.clock.now_ms() > until_ms:
                logger.error('journal_tail_lost', dead=dead)
                return Sealed(content, [], tail_lost=True)
            await self.clock.sleep_ms(WITNESS_PAUSE_MS)
        records = [record for batch in held.batches for record in decode_records(batch)]
        return Sealed(content, records, tail_lost=False)

    async def seal_any(
        self,
        content: JournalContent,
        message: WitnessSeal,
    ) -> WitnessBatches | None:
        """Seal at the first witness that can be reached."""
        for ref in content.witnesses:
            if ref.incarnation == self.successor:
                return self.witness_log.seal(message)
            held = await seal_at_witness(ref, self.peers(ref.address), message)
            if held is not None:
                return held
        return None


def replay(sealed: Sealed) -> ProgramTable:
    """Rebuild the programs of a sealed journal.

    Programs that were being adopted from a third journal count only when
    that adoption was completed.
    """
    table = ProgramTable()
    arriving: dict[str, list[Snapshot]] = {}
    for record in sealed.records():
        if isinstance(record, Snapshot) and record.origin:
            arriving.setdefault(record.origin, []).append(record)
        elif isinstance(record, Adopted):
            for snapshot in arriving.pop(record.incarnation, []):
                table.apply(snapshot)
        else:
            table.apply(record)
    for program in table.programs.values():
        mark_replayed(program, sealed.tail_lost)
    return table


def mark_replayed(program: Program, tail_lost: bool) -> None:
    """Count what a dead home may have spent, and note lost records."""
    if program.ended:
        return
    program.budget = program.budget.forfeit()
    program.uncertain = program.uncertain or tail_lost


def adopted_incarnations(sealed: Sealed) -> set[str]:
    """Give the incarnations whose programs a journal has adopted."""
    return {
        record.incarnation for record in sealed.records() if isinstance(record, Adopted)
    }
