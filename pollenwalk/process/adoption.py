"""Bringing a sealed home's programs into this entry's own journal."""

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

CHUNK_BYTES = 300_000


class Adoption:
    """Takes over dead entries for one home."""

    def __init__(
        self,
        owner: ProgramOwner,
        takeover: Takeover,
        store: ObjectStore,
        directory: Directory,
    ) -> None:
        """Adopt into `home`."""
        self.owner = owner
        self.takeover = takeover
        self.store = store
        self.directory = directory
        self.adopted: dict[str, None] = {}

    async def take_over(self, dead: str) -> bool:
        """Take over a dead entry if its seal is or becomes ours.

        Returns:
            Whether its programs are here now.

        Raises:
            StoreUnavailable: the store does not answer; try again later.
            Fenced: this home has itself been sealed.
        """
        if dead not in self.adopted:
            owner_id = await self.takeover.claim_ownership(dead)
            if owner_id != self.takeover.successor:
                return False
            await self.adopt_and_name(dead)
        await self.name_successor(dead)
        return True

    async def adopt_and_name(self, dead: str) -> None:
        """Adopt; until the successor is named no segment may be deleted.

        Other entries look into our journal to see whether we have adopted.
        """
        self.owner.adopting += 1
        try:
            await self.adopt(dead)
            await self.name_successor(dead)
        finally:
            self.owner.adopting -= 1

    async def adopt(self, dead: str) -> None:
        """Copy all programs, then make the copy count."""
        sealed = await self.takeover.read_sealed(dead)
        table = replay(sealed)
        await self.copy(table, dead)
        self.owner.table.merge(table)
        self.owner.recovery.recover(table.programs.values())
        inherited = adopted_incarnations(sealed)
        self.adopted.update(dict.fromkeys([dead, *sorted(inherited)]))
        logger.info('entry_adopted', dead=dead, programs=len(table.programs))
        for incarnation in sorted(inherited):
            await self.name_successor(incarnation)
        await self.delete_segments(dead, sealed.content)

    async def copy(self, table: ProgramTable, dead: str) -> None:
        """Commit all programs and settled keys, then make them count."""
        journal = self.owner.context.recorder.journal
        for chunk in chunks(table, dead):
            await journal.commit(chunk)
        claims = [
            Claimed(caller, key, program)
            for (caller, key), program in table.claims.items()
        ]
        await journal.commit([*claims, Adopted(dead)])

    async def name_successor(self, dead: str) -> None:
        """Write into a dead entry's record who has its programs."""
        backoff = Backoff(self.owner.context.clock)
        while not await self.successor_named(dead):
            await backoff.pause()

    async def successor_named(self, dead: str) -> bool:
        """Try once to write the successor."""
        try:
            stored = await self.store.get(record_key(dead))
            if stored is not None:
                self.directory.take(await self.with_successor(stored))
        except (StoreConflict, StoreUnavailable):
            return False
        return True

    async def with_successor(self, stored: StoredObject) -> StoredObject:
        """Write the successor into a record that names none yet."""
        record = decode_record(stored.body)
        if record.successor:
            return stored
        named = record._replace(successor=self.takeover.successor)
        body = encode_record(named)
        version = await self.store.put(stored.key, body, stored.version)
        return stored._replace(body=body, version=version)

    async def delete_segments(self, dead: str, content: JournalContent) -> None:
        """Delete a dead journal but for its seals, which fence for ever."""
        for number, segment in sorted(content.segments.items()):
            if segment.sealed_by:
                return
            try:
                await self.store.delete(segment_key(dead, number))
            except StoreUnavailable:
                return


def chunks(table: ProgramTable, origin: str) -> list[list[Snapshot]]:
    """Split a table into commits of bounded size."""
    context: list[list[Snapshot]] = [[]]
    size = 0
    for program in table.programs.values():
        snapshot = snapshot_of(program, origin)
        weight = len(msgspec.msgpack.encode(snapshot))
        if context[-1] and size + weight > CHUNK_BYTES:
            context.append([])
            size = 0
        context[-1].append(snapshot)
        size += weight
    return [part for part in context if part]
