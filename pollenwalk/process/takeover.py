"""Takes over the journal of a dead entry.

The successor seals the dead owner's journal in the store, then at one witness,
and only then reads what was acknowledged. If several entries try, the one
whose seal was written first gets the programs, unless its own journal is
sealed before it has adopted them.
"""

import random
from typing import NamedTuple

from loguru import logger

from pollenwalk.connection.journal_messages import WitnessBatches, WitnessSeal
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
from pollenwalk.program.records import Adopted, Record, Snapshot, decode_records

WITNESS_SEAL_TIMEOUT_MS = 15_000
WITNESS_RETRY_MS = 500


class SealedJournal(NamedTuple):
    """A journal that can no longer be written.

    Attributes:
        content: what was read from the store.
        tail: records that only a witness held.
        tail_lost: whether no witness could be read, so that records may be
            missing.
    """

    content: JournalContent
    tail: list[Record]
    tail_lost: bool

    def records(self) -> list[Record]:
        """Return all records in journal order."""
        return [*self.content.records(), *self.tail]


class Takeover:
    """Seals and reads the journals of dead entries for one successor."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        peers: PeerSource,
        witness_log: WitnessLog,
        successor: str,
        rng: random.Random,
    ) -> None:
        """Act for the incarnation `successor`."""
        self.rng = rng
        self.store = store
        self.clock = clock
        self.peers = peers
        self.witness_log = witness_log
        self.successor = successor

    async def claim_ownership(self, dead: str) -> str:
        """Seal a dead entry's journal unless another successor owns it.

        Args:
            dead: the incarnation that is believed dead.

        Returns:
            The incarnation that owns the programs now.

        Raises:
            StoreUnavailable: the store did not answer while the journal was
                read.
        """
        while True:
            content = await read_journal(self.store, dead)
            if content.sealed_by and not await self.is_orphaned_seal(
                dead, content.sealed_by
            ):
                return content.sealed_by
            if await self.seal(dead, content):
                return self.successor

    async def seal(self, dead: str, content: JournalContent) -> bool:
        """Add a seal to a journal, which may end with the seal of a dead successor.

        Returns:
            Whether this successor's seal is written; False if another entry
            wrote the segment first.
        """
        seal = Segment(
            make_nonce(self.rng),
            content.last_batch + 1,
            [],
            content.witnesses,
            self.successor,
        )
        key = segment_key(dead, content.last_segment_number + 1)
        body = encode_segment(seal)
        created = await create_once(self.store, self.clock, key, body)
        if created:
            logger.info('journal_sealed', dead=dead, by=self.successor)
        return created

    async def is_orphaned_seal(self, dead: str, owner_id: str) -> bool:
        """Return whether the writer of a seal can no longer adopt the programs.

        It can't once its own journal is sealed without the adoption in it. An
        adoption may also be missing there because compaction deleted it, but
        only after the dead entry's record has named its successor. Therefore
        that record is read last.

        Args:
            dead: the sealed incarnation.
            owner_id: the incarnation that wrote the seal.
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

    async def read_sealed(self, dead: str) -> SealedJournal:
        """Read a sealed journal and the batches that only its witnesses hold.

        If no witness can be read within `WITNESS_SEAL_TIMEOUT_MS`, the tail is
        reported as lost.
        """
        content = await read_journal(self.store, dead)
        witnesses = content.witnesses
        if not witnesses:
            return SealedJournal(content, [], tail_lost=False)
        message = WitnessSeal(dead, content.last_batch)
        until_ms = self.clock.now_ms() + WITNESS_SEAL_TIMEOUT_MS
        while True:
            held = await self.seal_first_reachable(content, message)
            if held is not None:
                break
            if self.clock.now_ms() > until_ms:
                logger.error('journal_tail_lost', dead=dead)
                return SealedJournal(content, [], tail_lost=True)
            await self.clock.sleep_ms(WITNESS_RETRY_MS)
        records = [record for batch in held.batches for record in decode_records(batch)]
        return SealedJournal(content, records, tail_lost=False)

    async def seal_first_reachable(
        self,
        content: JournalContent,
        message: WitnessSeal,
    ) -> WitnessBatches | None:
        """Seal at the first witness that answers, and return its batches.

        Returns:
            The batches, or None if no witness answers.
        """
        for ref in content.witnesses:
            if ref.incarnation == self.successor:
                return self.witness_log.seal(message)
            held = await seal_at_witness(ref, self.peers(ref.address), message)
            if held is not None:
                return held
        return None


def replay(sealed: SealedJournal) -> ProgramTable:
    """Rebuild the programs of a sealed journal.

    Programs that its owner was adopting from another journal are included
    only if that adoption was completed.
    """
    table = ProgramTable()
    pending_snapshots: dict[str, list[Snapshot]] = {}
    for record in sealed.records():
        if isinstance(record, Snapshot) and record.origin:
            pending_snapshots.setdefault(record.origin, []).append(record)
        elif isinstance(record, Adopted):
            for snapshot in pending_snapshots.pop(record.incarnation, []):
                table.apply(snapshot)
        else:
            table.apply(record)
    for program in table.programs.values():
        account_for_losses(program, sealed.tail_lost)
    return table


def account_for_losses(program: Program, tail_lost: bool) -> None:
    """Count a reservation as spent; mark a program uncertain if records are lost.

    The dead owner may have spent what was reserved without recording it.
    """
    if program.ended:
        return
    program.budget = program.budget.forfeit()
    program.uncertain = program.uncertain or tail_lost


def adopted_incarnations(sealed: SealedJournal) -> set[str]:
    """Return the incarnations whose programs a journal has adopted."""
    return {
        record.incarnation for record in sealed.records() if isinstance(record, Adopted)
    }
