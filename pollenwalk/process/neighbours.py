"""Looking after the other entries: heartbeats, witnesses, takeovers."""

from loguru import logger

from pollenwalk.connection.wire import Beat
from pollenwalk.errors import Fenced, PollenwalkError, StoreUnavailable
from pollenwalk.process.directory import EntryRecord
from pollenwalk.process.entry_interface import EntryInterface
from pollenwalk.process.liveness import LOOK_MS
from pollenwalk.process.segments import WitnessRef

FORGET_SILENT_MS = 60_000
PROBES = 2
PROBE_MS = 1000


class Neighbours:
    """What one entry does about the others."""

    def __init__(self, entry: EntryInterface) -> None:
        """Act for `entry`, whichever incarnation it has."""
        self.entry = entry
        self.taking_over: dict[str, None] = {}

    async def watch_entries(self) -> None:
        """Send heartbeats and take over the dead, as long as we live."""
        while True:
            self.entry.liveness.notice_own_pause()
            if self.entry.ready:
                self.entry.liveness.beat(self.entry.own)
                self.choose_witnesses()
                for record in self.entry.liveness.suspects(self.entry.own):
                    self.suspect(record)
                for record in self.forerunners():
                    self.suspect(record)
            self.entry.fleet.drop_silent(FORGET_SILENT_MS)
            await self.entry.clock.sleep_ms(LOOK_MS)

    def forerunners(self) -> list[EntryRecord]:
        """Give earlier incarnations at our own address; they are dead."""
        return [
            record
            for record in self.entry.directory.live()
            if record.address == self.entry.settings.address
            and record.incarnation != self.entry.incarnation
        ]

    def choose_witnesses(self) -> None:
        """Name the entries that should hold our batches."""
        count = self.entry.settings.witnesses
        failed = self.entry.journal.failed_witnesses()
        refs = [
            WitnessRef(record.incarnation, record.address)
            for record in self.entry.directory.witnesses(
                self.entry.incarnation, count + 1
            )
        ]
        usable = [ref for ref in refs if ref not in failed][:count]
        self.entry.journal.want_witnesses(usable if len(usable) == count else [])

    def suspect(self, record: EntryRecord) -> None:
        """Start looking into a silent entry, once at a time."""
        if record.incarnation in self.taking_over or self.entry.stopping:
            return
        self.taking_over[record.incarnation] = None
        self.entry.tasks.spawn(self.look_into(record), 'takeover')

    async def look_into(self, record: EntryRecord) -> None:
        """Take a silent entry over unless it answers."""
        try:
            if await self.answers(record):
                self.entry.liveness.heard(record.incarnation)
                return
            logger.warning('entry_silent', incarnation=record.incarnation)
            await self.take_over(record.incarnation)
        finally:
            self.taking_over.pop(record.incarnation, None)

    async def answers(self, record: EntryRecord) -> bool:
        """Tell whether this very incarnation still answers."""
        if record.address == self.entry.settings.address:
            return False
        for _ in range(PROBES):
            boot_id = await self.probe(record.address)
            if boot_id:
                return boot_id == record.incarnation
        return False

    async def probe(self, address: str) -> str:
        """Ask who is at an address; empty when nobody answers in time.

        The first try may only find out that an old connection has ended.
        """
        peer = self.entry.peers.at(address)
        try:
            await peer.request(Beat(self.entry.incarnation, 0), PROBE_MS)
            return (await peer.ensure_connected()).boot_id
        except PollenwalkError:
            return ''

    async def take_over(self, dead: str) -> bool:
        """Take a dead entry over; a silent store puts it off."""
        try:
            return await self.entry.adoption.take_over(dead)
        except (StoreUnavailable, Fenced) as error:
            logger.warning('takeover_put_off', dead=dead, reason=error.message)
            return False
