"""The process beside an upstream host: the only one that talks to it."""

import random
from typing import NamedTuple

from loguru import logger

from pollenwalk.connection.channel import Listener, Network
from pollenwalk.connection.peer import COALESCE_MS, PeerServer
from pollenwalk.connection.upstream import Engine, Service
from pollenwalk.connection.wire import (
    Entries,
    Report,
    UpstreamConfig,
    decode_datagram,
    encode_datagram,
)
from pollenwalk.errors import (
    Refusal,
)
from pollenwalk.process.clock import Clock
from pollenwalk.process.sidecar_calls import SidecarCall
from pollenwalk.process.sidecar_service import SidecarService
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.traces import Tracer
from pollenwalk.process.upstream_calls import UpstreamCalls
from pollenwalk.version.config import spec_from_json
from pollenwalk.version.resources import Kind

REPORT_MS = 1000
SEED_EVERY = 10
SWEEP_MS = 1000
ORPHAN_MS = 10_000
STOP_PATIENCE_MS = 60_000
STOP_CHECK_MS = 20
ID_BITS = 64


class SidecarSettings(NamedTuple):
    """Where a sidecar runs and what it stands beside.

    Attributes:
        sidecar: its id, the same after a restart.
        upstream: the declared upstream it belongs to.
        address: `ip:port` for entries, TCP and UDP.
        zone: its availability zone.
        entries: `ip:port` of entries to report to at first.
        coalesce_ms: how long tokens may wait for company.
    """

    sidecar: str
    upstream: str
    address: str
    zone: str
    entries: list[str]
    coalesce_ms: float = COALESCE_MS


class Sidecar:
    """One start of a sidecar."""

    def __init__(
        self,
        settings: SidecarSettings,
        network: Network,
        clock: Clock,
        upstream: Engine | Service,
        rng: random.Random,
        tracer: Tracer,
    ) -> None:
        """Stand beside `upstream`; nothing is started yet."""
        self.settings = settings
        self.network = network
        self.clock = clock
        self.tasks = TaskSet()
        self.boot = f'{rng.getrandbits(ID_BITS):016x}'
        self.work = UpstreamCalls(upstream, clock, self.tasks, tracer)
        self.service = SidecarService(self)
        self.server = PeerServer(
            clock,
            self.service.handle,
            self.boot,
            settings.coalesce_ms,
        )
        self.spec_version = 0
        self.entries = list(settings.entries)
        self.interval_ms = float(REPORT_MS)
        self.digest = ''
        self.reports = 0
        self.leaving = False
        self.listeners: list[Listener] = []

    async def start(self) -> None:
        """Listen and begin to report."""
        address = self.settings.address
        self.listeners = [
            await self.network.listen(address, self.server.serve),
            await self.network.bind(address, self.datagram),
        ]
        self.tasks.spawn(self.report(), 'report')
        self.tasks.spawn(self.sweep(), 'sweep')
        if self.work.grants is not None:
            self.tasks.spawn(self.work.grants.watch(), 'grants')

    async def stop(self) -> None:
        """Stop gracefully: refuse new calls, end those in progress."""
        self.leaving = True
        self.send_report()
        until_ms = self.clock.now_ms() + STOP_PATIENCE_MS
        while self.busy() and self.clock.now_ms() < until_ms:
            await self.clock.sleep_ms(STOP_CHECK_MS)
        await self.clock.sleep_ms(STOP_CHECK_MS)
        await self.close()

    def busy(self) -> bool:
        """Tell whether a call runs or its answer is still being read."""
        return any(
            not call.ended_ms or call.stream.followers
            for call in self.work.calls.calls.values()
        )

    async def close(self) -> None:
        """End everything at once."""
        await self.tasks.cancel()
        await self.server.close()
        for listener in self.listeners:
            await listener.close()

    async def sweep(self) -> None:
        """Stop orphan calls and forget old ones."""
        while True:
            await self.clock.sleep_ms(SWEEP_MS)
            self.work.calls.drop_old()
            for call in list(self.work.calls.calls.values()):
                if self.is_orphan(call):
                    await self.work.stop_call(call)

    def is_orphan(self, call: SidecarCall) -> bool:
        """Tell whether a repeatable call has long had no follower."""
        if call.stream.followers or call.ended_ms or not call.message.idempotent:
            call.alone_ms = None
            return False
        now_ms = self.clock.now_ms()
        if call.alone_ms is None:
            call.alone_ms = now_ms
        return now_ms - call.alone_ms > ORPHAN_MS

    async def report(self) -> None:
        """Report the load for as long as the process lives."""
        while True:
            self.send_report()
            await self.clock.sleep_ms(self.interval_ms)

    def send_report(self) -> None:
        """Send one report to each entry."""
        self.reports += 1
        settings = self.settings
        report = Report(
            settings.sidecar,
            self.boot,
            settings.upstream,
            settings.address,
            settings.zone,
            self.reports,
            self.work.slot_queue.running,
            len(self.work.slot_queue.waiting),
            self.work.slot_queue.slots,
            self.leaving,
            self.spec_version,
            self.digest,
        )
        payload = encode_datagram(report)
        for address in self.targets():
            self.network.send_datagram(settings.address, address, payload)

    def targets(self) -> list[str]:
        """Give whom to report to; now and then also the first entries.

        All that were named since may have been replaced meanwhile.
        """
        if self.reports % SEED_EVERY:
            return self.entries
        return list(dict.fromkeys([*self.entries, *self.settings.entries]))

    def datagram(self, payload: bytes, sender: str) -> None:
        """Take an entry's reply to a report; noise is dropped."""
        try:
            message = decode_datagram(payload)
        except Refusal as refusal:
            logger.debug('datagram_dropped', sender=sender, reason=refusal.message)
            return
        if isinstance(message, Entries) and message.addresses:
            self.entries = message.addresses
            self.interval_ms = float(message.interval_ms)
            self.digest = message.digest
        if isinstance(message, UpstreamConfig):
            self.configure(message)

    def configure(self, message: UpstreamConfig) -> None:
        """Put a newer declaration in force."""
        if message.name != self.settings.upstream:
            return
        if message.version <= self.spec_version:
            return
        self.work.spec = spec_from_json(Kind.UPSTREAM, message.spec)
        self.spec_version = message.version
        self.work.slot_queue.resize(self.work.spec.slots, self.work.spec.queue)
        self.send_report()
