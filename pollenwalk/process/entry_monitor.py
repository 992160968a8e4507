"""Monitors the other entries: heartbeats, choice of witnesses, takeovers."""

from loguru import logger

from pollenwalk.connection.fleet_messages import Beat
from pollenwalk.errors import Fenced, PollenwalkError, StoreUnavailable
from pollenwalk.process.directory import EntryRecord
from pollenwalk.process.entry_interface import EntryInterface
from pollenwalk.process.liveness import CHECK_INTERVAL_MS
from pollenwalk.process.segments import WitnessRef

# After this time without a report a host is dropped from the fleet.
SILENT_HOST_TIMEOUT_MS = 60_000
PROBE_ATTEMPTS = 2
PROBE_TIMEOUT_MS = 1000


class EntryMonitor:
    """Sends heartbeats, chooses witnesses and takes over dead entries.

    Attributes:
        taking_over: incarnations that are being probed or taken over.
    """

    def __init__(self, entry: EntryInterface) -> None:
        """Act for `entry`, also after it has changed its incarnation."""
        self.entry = entry
        self.taking_over: dict[str, None] = {}

    async def watch_entries(self) -> None:
        """Check all other entries and the hosts regularly until cancelled.

        While this entry is ready, each check sends a heartbeat if one is due,
        chooses the witnesses and probes silent entries, which may lead to
        takeovers. It drops silent hosts in any case.
        """
        while True:
            self.entry.liveness.reset_after_pause()
            if self.entry.ready:
                self.entry.liveness.send_heartbeat(self.entry.own_record)
                self.choose_witnesses()
                for record in self.entry.liveness.silent_entries(self.entry.own_record):
                    self.start_probe(record)
                for record in self.predecessors():
                    self.start_probe(record)
            self.entry.fleet.drop_silent(SILENT_HOST_TIMEOUT_MS)
            await self.entry.clock.sleep_ms(CHECK_INTERVAL_MS)

    def predecessors(self) -> list[EntryRecord]:
        """Return earlier incarnations at this entry's address, which are dead."""
        return [
            record
            for record in self.entry.directory.live_entries()
            if record.address == self.entry.settings.address
            and record.incarnation != self.entry.incarnation
        ]

    def choose_witnesses(self) -> None:
        """Choose the entries that are to hold this entry's batches.

        One candidate more than configured is considered, to replace one that
        has failed. If there are still too few, no witnesses are used.
        """
        count = self.entry.settings.witnesses
        failed = self.entry.journal.failed_witnesses()
        refs = [
            WitnessRef(record.incarnation, record.address)
            for record in self.entry.directory.witness_candidates(
                self.entry.incarnation, count + 1
            )
        ]
        usable = [ref for ref in refs if ref not in failed][:count]
        self.entry.journal.set_witnesses(usable if len(usable) == count else [])

    def start_probe(self, record: EntryRecord) -> None:
        """Start to probe a silent entry, and to take it over if it is dead.

        Does nothing if that is already under way or this entry is stopping.
        """
        if record.incarnation in self.taking_over or self.entry.stopping:
            return
        self.taking_over[record.incarnation] = None
        self.entry.tasks.spawn(self.probe_and_take_over(record), 'takeover')

    async def probe_and_take_over(self, record: EntryRecord) -> None:
        """Take over a silent entry unless it answers a probe."""
        try:
            if await self.is_alive(record):
                self.entry.liveness.record_alive(record.incarnation)
                return
            logger.warning('entry_silent', incarnation=record.incarnation)
            await self.take_over(record.incarnation)
        finally:
            self.taking_over.pop(record.incarnation, None)

    async def is_alive(self, record: EntryRecord) -> bool:
        """Return whether the record's incarnation answers at its address.

        Other incarnations at this entry's own address are dead.
        """
        if record.address == self.entry.settings.address:
            return False
        for _ in range(PROBE_ATTEMPTS):
            boot_id = await self.probe(record.address)
            if boot_id:
                return boot_id == record.incarnation
        return False

    async def probe(self, address: str) -> str:
        """Return the incarnation that answers at an address.

        An attempt may fail only because an old connection has ended, so
        callers try more than once.

        Returns:
            The incarnation; empty if there is no answer in `PROBE_TIMEOUT_MS`.
        """
        peer = self.entry.peers.at(address)
        try:
            await peer.request(Beat(self.entry.incarnation, 0), PROBE_TIMEOUT_MS)
            return (await peer.ensure_connected()).boot_id
        except PollenwalkError:
            return ''

    async def take_over(self, dead: str) -> bool:
        """Take over an entry that is dead or hands over its programs.

        Returns:
            Whether its programs are here now; False also if the store did not
            answer, in which case a later check tries again, or if this entry's
            own journal has been sealed.
        """
        try:
            return await self.entry.adoption.take_over(dead)
        except (StoreUnavailable, Fenced) as error:
            logger.warning('takeover_put_off', dead=dead, reason=error.message)
            return False
