"""The directory of all entries, read from their records in the store.

A record is written only when an entry starts and when another entry takes it
over, as at a graceful stop. It is never renewed, so every entry can afford to
watch all records. Whether an entry is alive is known from heartbeats, not from
its record.
"""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from pollenwalk.process.clock import Clock
from pollenwalk.process.prefix_watcher import watch_prefix
from pollenwalk.process.store import ObjectStore, StoredObject

PREFIX = 'entries/'
MAX_SUCCESSORS = 1000


class EntryRecord(NamedTuple):
    """One incarnation of an entry.

    Attributes:
        incarnation: its id, which is part of its programs' ids.
        address: `ip:port` where peers reach it.
        zone: its availability zone.
        region: its region.
        started_ms: wall-clock time of its start, by which the entries are
            found that may have been a key's registrar earlier.
        successor: the incarnation that took over its programs; empty if none.
    """

    incarnation: str
    address: str
    zone: str
    region: str
    started_ms: int
    successor: str = ''


DECODER = msgspec.json.Decoder(EntryRecord)


def record_key(incarnation: str) -> str:
    """Return the key of an entry's record in the store."""
    return f'{PREFIX}{incarnation}'


def encode_record(record: EntryRecord) -> bytes:
    """Encode a record."""
    return msgspec.json.encode(record)


def decode_record(body: bytes) -> EntryRecord:
    """Decode a record."""
    return DECODER.decode(body)


def rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Rank names for a key by rendezvous hashing, highest hash first.

    Adding or removing a name leaves the order of the others unchanged.

    Source: D. Thaler and C. Ravishankar, "Using name-based mappings to
    increase hit rates" (1998).
    """
    return sorted(names, key=lambda name: rendezvous_weight(key, name), reverse=True)


def rendezvous_weight(key: str, name: str) -> bytes:
    """Return a name's hash for a key, by which names are ranked."""
    return hashlib.blake2b(f'{key}\0{name}'.encode(), digest_size=8).digest()


class Directory:
    """This process's view of all entries.

    Attributes:
        records: the known records by incarnation.
        versions: the store's version of each record, deleted ones included.
        change_count: how many changes have been applied.
    """

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        """Start empty."""
        self.store = store
        self.clock = clock
        self.records: dict[str, EntryRecord] = {}
        self.versions: dict[str, int] = {}
        self.change_count = 0

    async def follow(self) -> None:
        """Apply changes of the records until cancelled."""
        await watch_prefix(self.store, self.clock, PREFIX, self.apply)

    def apply(self, stored: StoredObject) -> None:
        """Apply a changed or deleted record unless a newer one is known."""
        incarnation = stored.key.removeprefix(PREFIX)
        if self.versions.get(incarnation, 0) >= stored.version:
            return
        self.versions[incarnation] = stored.version
        self.change_count += 1
        if stored.body:
            self.records[incarnation] = decode_record(stored.body)
        else:
            self.records.pop(incarnation, None)

    async def refresh(self) -> None:
        """Read all records once.

        Raises:
            StoreUnavailable: the store did not answer.
        """
        changes = await self.store.scan(PREFIX)
        for stored in changes.objects:
            self.apply(stored)

    def resolve_owner(self, incarnation: str) -> EntryRecord | None:
        """Follow the successors of an incarnation to the current owner.

        Returns:
            The owner's record; None if a record is missing or after
            `MAX_SUCCESSORS` steps.
        """
        record = self.records.get(incarnation)
        for _ in range(MAX_SUCCESSORS):
            if record is None or not record.successor:
                return record
            record = self.records.get(record.successor)
        return None

    def live_entries(self, region: str = '') -> list[EntryRecord]:
        """Return the entries that have not been taken over.

        Some may be dead, as their records don't show that.

        Args:
            region: return only entries of this region; empty for all.
        """
        return [
            record
            for record in self.records.values()
            if not record.successor and region in {'', record.region}
        ]

    def observers(self, incarnation: str, count: int) -> list[EntryRecord]:
        """Return the entries that monitor an entry, those of its region first.

        Args:
            incarnation: the monitored entry.
            count: how many to return at most.
        """
        monitored = self.records.get(incarnation)
        if monitored is None:
            return []
        others = {
            record.incarnation: record
            for record in self.live_entries()
            if record.incarnation != incarnation
        }
        ranked = rendezvous(incarnation, others)
        same_region = [
            name for name in ranked if others[name].region == monitored.region
        ]
        other_regions = [
            name for name in ranked if others[name].region != monitored.region
        ]
        return [others[name] for name in [*same_region, *other_regions][:count]]

    def witness_candidates(self, incarnation: str, count: int) -> list[EntryRecord]:
        """Return the preferred witnesses of an entry, the best first.

        Entries in other zones of the same region come first: their round trips
        are short, but they don't fail with the entry's own zone.

        Args:
            incarnation: the entry whose batches they are to hold.
            count: how many to return at most.
        """
        own_record = self.records.get(incarnation)
        if own_record is None:
            return []
        others = {
            record.incarnation: record
            for record in self.live_entries()
            if record.incarnation != incarnation
        }
        ranked = sorted(
            rendezvous(incarnation, others),
            key=lambda name: (
                others[name].zone == own_record.zone,
                others[name].region != own_record.region,
            ),
        )
        return [others[name] for name in ranked[:count]]
