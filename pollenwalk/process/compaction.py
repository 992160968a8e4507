"""Keeping a home's journal short.

Old programs are written again as snapshots, a few at a time, until no record
in the oldest segments is needed any more; then those are deleted. A takeover
so reads little, however long the home has lived.
"""

from loguru import logger

from pollenwalk.errors import Fenced, StoreUnavailable
from pollenwalk.process.program_owner import ProgramOwner
from pollenwalk.process.segments import segment_key
from pollenwalk.process.store import ObjectStore
from pollenwalk.program.program import snapshot_of
from pollenwalk.program.records import Begun, Claimed, Record, Snapshot

CHECK_MS = 1000
MAX_SEGMENTS = 256
SNAPSHOTS_PER_ROUND = 64


class Compaction:
    """Tracks which segments are still needed."""

    def __init__(self, owner: ProgramOwner, store: ObjectStore) -> None:
        """Compact the journal of `home`."""
        self.owner = owner
        self.store = store
        self.journal = owner.context.recorder.journal
        self.base_of: dict[str, int] = {}
        self.claims_base = 1
        self.floor = 1

    def start(self) -> None:
        """Follow what is recorded and compact in the background."""
        self.owner.context.recorder.on_committed = self.touched
        self.owner.tasks.spawn(self.run(), 'compaction')

    def touched(self, records: list[Record], segment: int) -> None:
        """Note that a program's records begin no earlier than a segment."""
        for record in records:
            if isinstance(record, Begun | Snapshot):
                self.base_of[record.program] = segment

    async def run(self) -> None:
        """Compact for as long as the home lives."""
        while not self.journal.fenced:
            await self.owner.context.clock.sleep_ms(CHECK_MS)
            try:
                await self.compact()
            except Fenced:
                return
            except StoreUnavailable as error:
                logger.info('compaction_put_off', reason=error.message)

    async def compact(self) -> None:
        """Write the oldest programs again, then delete what nobody needs."""
        if self.owner.adopting:
            return
        self.forget_dropped()
        if self.journal.next_segment - self.floor > MAX_SEGMENTS:
            await self.rewrite_claims()
            for program_id in self.oldest():
                await self.rewrite(program_id)
        await self.delete_below(self.needed_floor())

    def forget_dropped(self) -> None:
        """Forget programs that the home has dropped."""
        known = self.owner.table.programs
        self.base_of = {
            program: base for program, base in self.base_of.items() if program in known
        }
        for program in known:
            self.base_of.setdefault(program, self.floor)

    def oldest(self) -> list[str]:
        """Give the programs whose records begin earliest."""
        return sorted(self.base_of, key=self.base_of.__getitem__)[:SNAPSHOTS_PER_ROUND]

    async def rewrite(self, program_id: str) -> None:
        """Write one program's whole state again, under its lock."""
        live = self.owner.find(program_id)
        async with live.lock:
            snapshot = snapshot_of(live.program)
            base = self.journal.next_segment
            await self.journal.commit([snapshot])
            self.base_of[program_id] = base

    async def rewrite_claims(self) -> None:
        """Write all claims again; they are small and expire soon."""
        claims = [
            Claimed(caller, key, program)
            for (caller, key), program in self.owner.table.claims.items()
        ]
        base = self.journal.next_segment
        if claims:
            await self.journal.commit(claims)
        self.claims_base = base

    def needed_floor(self) -> int:
        """Give the first segment that is still needed.

        The last segments stay, since they name the witnesses.
        """
        newest = max(self.journal.next_segment - 2, 1)
        return min([newest, self.claims_base, *self.base_of.values()])

    async def delete_below(self, floor: int) -> None:
        """Delete the segments before a number."""
        while self.floor < floor:
            if self.journal.pace is not None:
                await self.journal.pace.turn()
            key = segment_key(self.owner.context.incarnation, self.floor)
            await self.store.delete(key)
            self.floor += 1
