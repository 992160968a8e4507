"""Adoption of the programs of an entry that is taken over.

Its journal is sealed by `Takeover`; then its programs are copied into this
entry's own journal.
"""

import msgspec
from loguru import logger

from pollenwalk.errors import StoreConflict, StoreUnavailable
from pollenwalk.process.directory import (
    Directory,
    decode_record,
    encode_record,
    record_key,
)
from pollenwalk.process.program_owner import ProgramOwner
from pollenwalk.process.segments import JournalContent, segment_key
from pollenwalk.process.store import Backoff, ObjectStore, StoredObject
from pollenwalk.process.takeover import Takeover, adopted_incarnations, replay
from pollenwalk.program.program import ProgramTable, snapshot_of
from pollenwalk.program.records import Adopted, Claimed, Snapshot

MAX_COMMIT_BYTES = 300_000


class Adoption:
    """Takes over dead entries for one owner: seals, then copies the programs.

    Attributes:
        adopted: incarnations whose programs are here.
    """

    def __init__(
        self,
        owner: ProgramOwner,
        takeover: Takeover,
        store: ObjectStore,
        directory: Directory,
    ) -> None:
        """Adopt programs into `owner`."""
        self.owner = owner
        self.takeover = takeover
        self.store = store
        self.directory = directory
        self.adopted: dict[str, None] = {}

    async def take_over(self, dead: str) -> bool:
        """Take over a dead entry unless another successor has.

        Returns:
            Whether its programs are here now.

        Raises:
            StoreUnavailable: the store does not answer; try again later.
            Fenced: this entry's own journal has been sealed.
        """
        if dead not in self.adopted:
            owner_id = await self.takeover.claim_ownership(dead)
            if owner_id != self.takeover.successor:
                return False
            await self.adopt_and_record_successor(dead)
        await self.record_successor(dead)
        return True

    async def adopt_and_record_successor(self, dead: str) -> None:
        """Adopt the programs with compaction suspended.

        Until the dead entry's record names its successor, other entries read
        this entry's journal to find out whether it has adopted, so no segment
        may be deleted.
        """
        self.owner.adoptions_in_progress += 1
        try:
            await self.adopt(dead)
            await self.record_successor(dead)
        finally:
            self.owner.adoptions_in_progress -= 1

    async def adopt(self, dead: str) -> None:
        """Copy a sealed journal's programs here and start to resolve their intents.

        The records of incarnations that the dead entry had adopted name this
        successor too, unless they name one already.
        """
        sealed = await self.takeover.read_sealed(dead)
        table = replay(sealed)
        await self.commit_snapshots(table, dead)
        self.owner.table.merge(table)
        self.owner.recovery.recover(table.programs.values())
        inherited = adopted_incarnations(sealed)
        self.adopted.update(dict.fromkeys([dead, *sorted(inherited)]))
        logger.info('entry_adopted', dead=dead, programs=len(table.programs))
        for incarnation in sorted(inherited):
            await self.record_successor(incarnation)
        await self.delete_segments(dead, sealed.content)

    async def commit_snapshots(self, table: ProgramTable, dead: str) -> None:
        """Commit snapshots of all programs, then the claims and `Adopted`.

        The snapshots take effect only with the `Adopted` record.
        """
        journal = self.owner.context.recorder.journal
        for chunk in snapshot_chunks(table, dead):
            await journal.commit(chunk)
        claims = [
            Claimed(caller, key, program)
            for (caller, key), program in table.claims.items()
        ]
        await journal.commit([*claims, Adopted(dead)])

    async def record_successor(self, dead: str) -> None:
        """Write the successor into a dead entry's record, with retries."""
        backoff = Backoff(self.owner.context.clock)
        while not await self.try_record_successor(dead):
            await backoff.pause()

    async def try_record_successor(self, dead: str) -> bool:
        """Try once to write the successor.

        Returns:
            Whether the record names a successor now, or does not exist.
        """
        try:
            stored = await self.store.get(record_key(dead))
            if stored is not None:
                self.directory.apply(await self.write_successor(stored))
        except (StoreConflict, StoreUnavailable):
            return False
        return True

    async def write_successor(self, stored: StoredObject) -> StoredObject:
        """Write the successor into a record unless it names one already.

        Returns:
            The record as stored now.
        """
        record = decode_record(stored.body)
        if record.successor:
            return stored
        updated = record._replace(successor=self.takeover.successor)
        body = encode_record(updated)
        version = await self.store.put(stored.key, body, stored.version)
        return stored._replace(body=body, version=version)

    async def delete_segments(self, dead: str, content: JournalContent) -> None:
        """Delete a dead journal's segments except its seals.

        The seals stay for ever, as they fence the old owner. If the store does
        not answer, the remaining segments stay too.
        """
        for number, segment in sorted(content.segments.items()):
            if segment.sealed_by:
                return
            try:
                await self.store.delete(segment_key(dead, number))
            except StoreUnavailable:
                return


def snapshot_chunks(table: ProgramTable, origin: str) -> list[list[Snapshot]]:
    """Split a table's programs into commits of at most `MAX_COMMIT_BYTES`.

    A commit has at least one program, however large.

    Args:
        table: the programs.
        origin: the incarnation that they are adopted from.
    """
    commits: list[list[Snapshot]] = [[]]
    size = 0
    for program in table.programs.values():
        snapshot = snapshot_of(program, origin)
        snapshot_bytes = len(msgspec.msgpack.encode(snapshot))
        if commits[-1] and size + snapshot_bytes > MAX_COMMIT_BYTES:
            commits.append([])
            size = 0
        commits[-1].append(snapshot)
        size += snapshot_bytes
    return [commit for commit in commits if commit]
