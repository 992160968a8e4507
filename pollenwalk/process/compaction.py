"""Compaction of an owner's journal.

Old programs are written again as snapshots, a few at a time, until no record
in the oldest segments is needed any more; then those are deleted. So a
takeover has little to read, however long the owner has been running.
"""

from loguru import logger

from pollenwalk.errors import Fenced, StoreUnavailable
from pollenwalk.process.program_owner import ProgramOwner
from pollenwalk.process.segments import segment_key
from pollenwalk.process.store import ObjectStore
from pollenwalk.program.program import snapshot_of
from pollenwalk.program.records import Begun, Claimed, Record, Snapshot

CHECK_INTERVAL_MS = 1000
MAX_SEGMENTS = 256
MAX_SNAPSHOTS_PER_ROUND = 64


class Compaction:
    """Rewrites old programs and deletes segments that are no longer needed.

    Attributes:
        first_segments: for each program, the first segment that may have
            records needed to rebuild it.
        claims_segment: the same for the claims of idempotency keys.
        oldest_segment: the first segment that has not been deleted.
    """

    def __init__(self, owner: ProgramOwner, store: ObjectStore) -> None:
        """Compact the journal of `owner`."""
        self.owner = owner
        self.store = store
        self.journal = owner.context.recorder.journal
        self.first_segments: dict[str, int] = {}
        self.claims_segment = 1
        self.oldest_segment = 1

    def start(self) -> None:
        """Track the recorded programs and start to compact in the background."""
        self.owner.context.recorder.on_committed = self.track_first_segments
        self.owner.tasks.spawn(self.run(), 'compaction')

    def track_first_segments(self, records: list[Record], segment: int) -> None:
        """Set `first_segments` for programs that were created or rewritten.

        Args:
            records: records that were committed.
            segment: the next segment when their commit started; they are in
                it or a later one.
        """
        for record in records:
            if isinstance(record, Begun | Snapshot):
                self.first_segments[record.program] = segment

    async def run(self) -> None:
        """Compact regularly until the journal is fenced."""
        while not self.journal.fenced:
            await self.owner.context.clock.sleep_ms(CHECK_INTERVAL_MS)
            try:
                await self.compact()
            except Fenced:
                return
            except StoreUnavailable as error:
                logger.info('compaction_put_off', reason=error.message)

    async def compact(self) -> None:
        """Rewrite old programs if the journal is long; delete unneeded segments.

        Does nothing during an adoption, as other entries may then read this
        journal to find out about it.
        """
        if self.owner.adoptions_in_progress:
            return
        self.sync_programs()
        if self.journal.next_segment - self.oldest_segment > MAX_SEGMENTS:
            await self.rewrite_claims()
            for program_id in self.oldest_programs():
                await self.rewrite_program(program_id)
        await self.delete_segments_before(self.first_needed_segment())

    def sync_programs(self) -> None:
        """Match `first_segments` with the programs that the owner has now.

        A program without an entry, such as an adopted one, may need any
        segment that is left.
        """
        known = self.owner.table.programs
        self.first_segments = {
            program: segment
            for program, segment in self.first_segments.items()
            if program in known
        }
        for program in known:
            self.first_segments.setdefault(program, self.oldest_segment)

    def oldest_programs(self) -> list[str]:
        """Return the programs whose needed records begin earliest."""
        return sorted(self.first_segments, key=self.first_segments.__getitem__)[
            :MAX_SNAPSHOTS_PER_ROUND
        ]

    async def rewrite_program(self, program_id: str) -> None:
        """Commit a snapshot of one program, under its lock."""
        live = self.owner.find(program_id)
        async with live.lock:
            snapshot = snapshot_of(live.program)
            segment = self.journal.next_segment
            await self.journal.commit([snapshot])
            self.first_segments[program_id] = segment

    async def rewrite_claims(self) -> None:
        """Commit all claims again; they are small and expire soon."""
        claims = [
            Claimed(caller, key, program)
            for (caller, key), program in self.owner.table.claims.items()
        ]
        segment = self.journal.next_segment
        if claims:
            await self.journal.commit(claims)
        self.claims_segment = segment

    def first_needed_segment(self) -> int:
        """Return the first segment that is still needed.

        The last two segments stay, since they name the witnesses.
        """
        keep_from = max(self.journal.next_segment - 2, 1)
        return min([keep_from, self.claims_segment, *self.first_segments.values()])

    async def delete_segments_before(self, number: int) -> None:
        """Delete the segments below a number, within the write limit."""
        while self.oldest_segment < number:
            if self.journal.write_limiter is not None:
                await self.journal.write_limiter.acquire()
            key = segment_key(self.owner.context.incarnation, self.oldest_segment)
            await self.store.delete(key)
            self.oldest_segment += 1
