"""The sidecar process: runs next to one upstream host and makes all calls to it."""

import random
from typing import NamedTuple

from loguru import logger

from pollenwalk.connection.channel import Listener, Network
from pollenwalk.connection.fleet_messages import Entries, Report, UpstreamConfig
from pollenwalk.connection.peer_server import COALESCE_MS, PeerServer
from pollenwalk.connection.upstream import Engine, Service
from pollenwalk.connection.wire import decode_datagram, encode_datagram
from pollenwalk.errors import Refusal
from pollenwalk.process.call_executor import CallExecutor
from pollenwalk.process.clock import Clock
from pollenwalk.process.sidecar_calls import SidecarCall
from pollenwalk.process.sidecar_service import SidecarService
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.traces import Tracer
from pollenwalk.version.config import spec_from_json
from pollenwalk.version.resources import Kind

INITIAL_REPORT_INTERVAL_MS = 1000
REPORTS_PER_SEED_REPORT = 10
SWEEP_INTERVAL_MS = 1000
ORPHAN_TIMEOUT_MS = 10_000
STOP_TIMEOUT_MS = 60_000
STOP_POLL_MS = 20
ID_BITS = 64


class SidecarSettings(NamedTuple):
    """Settings of one sidecar.

    Attributes:
        sidecar: id of the sidecar, the same after a restart.
        upstream: name of the declared upstream that its host belongs to.
        address: `ip:port` where entries connect, TCP and UDP.
        zone: availability zone of the host.
        entries: `ip:port` of the entries to report to at first; their replies
            name the others.
        coalesce_ms: maximum time in ms that tokens are buffered so that
            several can be sent in one message.
    """

    sidecar: str
    upstream: str
    address: str
    zone: str
    entries: list[str]
    coalesce_ms: float = COALESCE_MS


class Sidecar:
    """A running sidecar, from one start of its process to its end.

    Attributes:
        boot_id: random id of this start.
        spec_version: version of the declaration that is in force; 0 for none.
        entries: addresses of the entries to report to.
        entries_digest: digest of the entries' last reply. Reports repeat it,
            so that an entry replies only if the addresses or the report
            interval have changed.
        report_number: number of the last report, counted from 1.
        report_interval_ms: time between two reports, as the entries' last reply
            set it.
        leaving: whether new calls are refused.
        executor: runs the calls.
        service: handles the requests of entries and operators.
        server: receives these requests.
    """

    def __init__(
        self,
        settings: SidecarSettings,
        network: Network,
        clock: Clock,
        upstream: Engine | Service,
        rng: random.Random,
        tracer: Tracer,
    ) -> None:
        """Create a sidecar for `upstream` without starting it."""
        self.settings = settings
        self.network = network
        self.clock = clock
        self.tasks = TaskSet()
        self.boot_id = f'{rng.getrandbits(ID_BITS):016x}'
        self.executor = CallExecutor(upstream, clock, self.tasks, tracer)
        self.service = SidecarService(self)
        self.server = PeerServer(
            clock,
            self.service.handle,
            self.boot_id,
            settings.coalesce_ms,
        )
        self.spec_version = 0
        self.entries = list(settings.entries)
        self.report_interval_ms = float(INITIAL_REPORT_INTERVAL_MS)
        self.entries_digest = ''
        self.report_number = 0
        self.leaving = False
        self.listeners: list[Listener] = []

    async def start(self) -> None:
        """Listen for entries and start the background tasks."""
        address = self.settings.address
        self.listeners = [
            await self.network.listen(address, self.server.serve),
            await self.network.bind(address, self.handle_datagram),
        ]
        self.tasks.spawn(self.report_periodically(), 'report')
        self.tasks.spawn(self.sweep(), 'sweep')
        if self.executor.leases is not None:
            self.tasks.spawn(self.executor.leases.reclaim_periodically(), 'grants')

    async def stop(self) -> None:
        """Stop gracefully: refuse new calls and let the running ones finish.

        Reports at once that the host is leaving. Waits at most STOP_TIMEOUT_MS
        for running calls and for answers that are still being read.
        """
        self.leaving = True
        self.send_report()
        deadline_ms = self.clock.now_ms() + STOP_TIMEOUT_MS
        while self.has_open_calls() and self.clock.now_ms() < deadline_ms:
            await self.clock.sleep_ms(STOP_POLL_MS)
        await self.clock.sleep_ms(STOP_POLL_MS)
        await self.close()

    def has_open_calls(self) -> bool:
        """Return whether a call is running or its answer is still being read."""
        return any(
            not call.ended_ms or call.stream.followers
            for call in self.executor.calls.by_id.values()
        )

    async def close(self) -> None:
        """Cancel all tasks and close all connections immediately."""
        await self.tasks.cancel()
        await self.server.close()
        for listener in self.listeners:
            await listener.close()

    async def sweep(self) -> None:
        """Periodically stop orphaned calls and drop expired results."""
        while True:
            await self.clock.sleep_ms(SWEEP_INTERVAL_MS)
            self.executor.calls.drop_expired()
            for call in list(self.executor.calls.by_id.values()):
                if self.is_orphan(call):
                    await self.executor.stop_call(call)

    def is_orphan(self, call: SidecarCall) -> bool:
        """Return whether a running idempotent call has long had no follower.

        That is, each sweep of the last ORPHAN_TIMEOUT_MS has found it without one.
        Updates `call.unfollowed_since_ms`.
        """
        if call.stream.followers or call.ended_ms or not call.message.idempotent:
            call.unfollowed_since_ms = None
            return False
        now_ms = self.clock.now_ms()
        if call.unfollowed_since_ms is None:
            call.unfollowed_since_ms = now_ms
        return now_ms - call.unfollowed_since_ms > ORPHAN_TIMEOUT_MS

    async def report_periodically(self) -> None:
        """Report the load to the entries periodically, until cancelled."""
        while True:
            self.send_report()
            await self.clock.sleep_ms(self.report_interval_ms)

    def send_report(self) -> None:
        """Send a load report to each entry known to this sidecar."""
        self.report_number += 1
        settings = self.settings
        report = Report(
            settings.sidecar,
            self.boot_id,
            settings.upstream,
            settings.address,
            settings.zone,
            self.report_number,
            self.executor.slot_queue.running,
            len(self.executor.slot_queue.waiting),
            self.executor.slot_queue.slots,
            self.leaving,
            self.spec_version,
            self.entries_digest,
        )
        payload = encode_datagram(report)
        for address in self.report_addresses():
            self.network.send_datagram(settings.address, address, payload)

    def report_addresses(self) -> list[str]:
        """Return the addresses of the entries that get the current report.

        Every REPORTS_PER_SEED_REPORT-th report also goes to the entries from the
        settings, because all entries learned since then may have been replaced.
        """
        if self.report_number % REPORTS_PER_SEED_REPORT:
            return self.entries
        return list(dict.fromkeys([*self.entries, *self.settings.entries]))

    def handle_datagram(self, payload: bytes, sender: str) -> None:
        """Apply a datagram from an entry; drop one that can't be decoded."""
        try:
            message = decode_datagram(payload)
        except Refusal as refusal:
            logger.debug('datagram_dropped', sender=sender, reason=refusal.message)
            return
        if isinstance(message, Entries) and message.addresses:
            self.entries = message.addresses
            self.report_interval_ms = float(message.interval_ms)
            self.entries_digest = message.digest
        if isinstance(message, UpstreamConfig):
            self.apply_config(message)

    def apply_config(self, message: UpstreamConfig) -> None:
        """Apply a declaration of this sidecar's upstream if it is newer."""
        if message.name != self.settings.upstream:
            return
        if message.version <= self.spec_version:
            return
        self.executor.spec = spec_from_json(Kind.UPSTREAM, message.spec)
        self.spec_version = message.version
        self.executor.slot_queue.resize(
            self.executor.spec.slots, self.executor.spec.queue
        )
        self.send_report()
