"""The entries, from their records in the store.

A record is written when an entry starts, stops or is taken over, never to
renew anything, so every entry can afford to watch all of them. Whether an
entry is alive is learnt from heartbeats.
"""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from pollenwalk.process.clock import Clock
from pollenwalk.process.prefix_watcher import watch_prefix
from pollenwalk.process.store import ObjectStore, StoredObject

PREFIX = 'entries/'
MAX_CHAIN = 1000


class EntryRecord(NamedTuple):
    """One incarnation of an entry.

    Attributes:
        incarnation: its id, part of its programs' ids.
        address: where peers connect.
        zone: its availability zone.
        region: its region.
        started_ms: calendar time of its start, for people.
        successor: the incarnation that took over its programs.
    """

    incarnation: str
    address: str
    zone: str
    region: str
    started_ms: int
    successor: str = ''


DECODER = msgspec.json.Decoder(EntryRecord)


def record_key(incarnation: str) -> str:
    """Name an entry's record."""
    return f'{PREFIX}{incarnation}'


def encode_record(record: EntryRecord) -> bytes:
    """Pack a record."""
    return msgspec.json.encode(record)


def decode_record(body: bytes) -> EntryRecord:
    """Unpack a record."""
    return DECODER.decode(body)


def rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Rank names for a key so that few ranks change with the names.

    Source: D. Thaler and C. Ravishankar, "Using name-based mappings to
    increase hit rates" (1998).
    """
    return sorted(names, key=lambda name: weight(key, name), reverse=True)


def weight(key: str, name: str) -> bytes:
    """Give a name's weight for a key."""
    return hashlib.blake2b(f'{key}\0{name}'.encode(), digest_size=8).digest()


class Directory:
    """What this process knows of all entries."""

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        """Start empty."""
        self.store = store
        self.clock = clock
        self.records: dict[str, EntryRecord] = {}
        self.versions: dict[str, int] = {}
        self.changes = 0

    async def follow(self) -> None:
        """Keep the view current for as long as the process lives."""
        await watch_prefix(self.store, self.clock, PREFIX, self.take)

    def take(self, stored: StoredObject) -> None:
        """Note a record unless a newer one is known."""
        incarnation = stored.key.removeprefix(PREFIX)
        if self.versions.get(incarnation, 0) >= stored.version:
            return
        self.versions[incarnation] = stored.version
        self.changes += 1
        if stored.body:
            self.records[incarnation] = decode_record(stored.body)
        else:
            self.records.pop(incarnation, None)

    async def refresh(self) -> None:
        """Read all records now; raises `StoreUnavailable`."""
        changes = await self.store.scan(PREFIX)
        for stored in changes.objects:
            self.take(stored)

    def resolve_owner(self, incarnation: str) -> EntryRecord | None:
        """Follow the successors of an incarnation to the present owner."""
        record = self.records.get(incarnation)
        for _ in range(MAX_CHAIN):
            if record is None or not record.successor:
                return record
            record = self.records.get(record.successor)
        return None

    def live(self, region: str = '') -> list[EntryRecord]:
        """Give the entries that nobody has taken over."""
        return [
            record
            for record in self.records.values()
            if not record.successor and region in {'', record.region}
        ]

    def observers(self, incarnation: str, count: int) -> list[EntryRecord]:
        """Give the entries that watch over one, its own region first."""
        watched = self.records.get(incarnation)
        if watched is None:
            return []
        others = {
            record.incarnation: record
            for record in self.live()
            if record.incarnation != incarnation
        }
        ranked = rendezvous(incarnation, others)
        near = [name for name in ranked if others[name].region == watched.region]
        far = [name for name in ranked if others[name].region != watched.region]
        return [others[name] for name in [*near, *far][:count]]

    def witnesses(self, incarnation: str, count: int) -> list[EntryRecord]:
        """Give the entries that should hold one's batches.

        Other zones of the same region go first: near, yet not lost with it.
        """
        own = self.records.get(incarnation)
        if own is None:
            return []
        others = {
            record.incarnation: record
            for record in self.live()
            if record.incarnation != incarnation
        }
        ranked = sorted(
            rendezvous(incarnation, others),
            key=lambda name: (
                others[name].zone == own.zone,
                others[name].region != own.region,
            ),
        )
        return [others[name] for name in ranked[:count]]
