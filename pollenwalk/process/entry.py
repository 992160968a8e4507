"""An entry: serves callers' requests and owns a share of the programs."""

import random
from typing import Any, NamedTuple

from loguru import logger

from pollenwalk.connection.channel import Listener, Network
from pollenwalk.connection.fleet_messages import Beat, Report, UpstreamConfig
from pollenwalk.connection.peer_server import PeerServer
from pollenwalk.connection.wire import decode_datagram, encode_datagram
from pollenwalk.errors import Refusal, StoreUnavailable
from pollenwalk.policy.placement import ExpectedFinish, Placement
from pollenwalk.process.acceptance import AcceptanceController
from pollenwalk.process.adoption import Adoption
from pollenwalk.process.clock import Clock
from pollenwalk.process.compaction import Compaction
from pollenwalk.process.directory import (
    Directory,
    EntryRecord,
    encode_record,
    record_key,
    rendezvous,
)
from pollenwalk.process.entry_monitor import EntryMonitor
from pollenwalk.process.entry_service import EntryService
from pollenwalk.process.fleet import Fleet, Location
from pollenwalk.process.host_list import HostList, poll_host_list
from pollenwalk.process.journal import Journal
from pollenwalk.process.liveness import CHECK_INTERVAL_MS, OBSERVERS, Liveness
from pollenwalk.process.peers import Peers
from pollenwalk.process.program_owner import ProgramOwner
from pollenwalk.process.recorder import Recorder
from pollenwalk.process.report_targets import ReportTargets
from pollenwalk.process.store import ObjectStore, create_once
from pollenwalk.process.takeover import Takeover
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.traces import Tracer
from pollenwalk.process.witness import WitnessLog
from pollenwalk.process.write_limiter import WriteLimiter
from pollenwalk.program.program import ProgramTable
from pollenwalk.request.entry_context import EntryContext
from pollenwalk.request.retry import RetryBudgets
from pollenwalk.request.routing import Routing
from pollenwalk.version.config import Accepted, AcceptedResources
from pollenwalk.version.resources import Kind, ResourceId

ID_BITS = 48
# How long other entries are asked to take over before the entry keeps its programs.
HANDOVER_TIMEOUT_MS = 10_000
# Time for calls that have been given a host to reach its sidecar.
HANDOVER_GRACE_MS = 150
POLL_MS = 20
DRAIN_TIMEOUT_MS = 120_000
ACCEPTANCE_KEY = 'judge'


class EntrySettings(NamedTuple):
    """The settings of an entry.

    Attributes:
        address: `ip:port` where peers reach it, by TCP and UDP.
        zone: its availability zone.
        regions: the region of each zone.
        witnesses: how many other entries keep copies of its journal batches;
            none do while fewer than that many other entries are usable.
        journal_interval_ms: minimum time between two journal segments.
        store_writes_per_second: write budget of all entries together.
    """

    address: str
    zone: str
    regions: dict[str, str]
    witnesses: int = 2
    journal_interval_ms: float = 2.0
    store_writes_per_second: float = 200.0


class Entry:
    """An entry; if another entry takes it over, it starts a new incarnation.

    Attributes:
        tasks: tasks that run until the entry is closed.
        owner_tasks: tasks of the current incarnation, such as its calls and its
            journal.
        ready: whether the current incarnation is registered and may own programs.
        stopping: whether the entry is shutting down.
    """

    def __init__(
        self,
        settings: EntrySettings,
        network: Network,
        store: ObjectStore,
        clock: Clock,
        rng: random.Random,
        tracer: Tracer,
        placement: Placement | None = None,
        hosts: HostList | None = None,
    ) -> None:
        """Create the components; `start` starts them."""
        self.settings = settings
        self.network = network
        self.store = store
        self.clock = clock
        self.rng = rng
        self.tracer = tracer
        self.hosts = hosts
        self.placement = placement or ExpectedFinish()
        self.tasks = TaskSet()
        self.config = AcceptedResources()
        self.acceptance = AcceptanceController(store, clock, self.config)
        self.fleet = Fleet(clock, settings.regions)
        self.config.on_accept = self.push_upstream_config
        self.peers = Peers(network, clock, self.tasks)
        self.directory = Directory(store, clock)
        self.report_targets = ReportTargets(self.directory, settings.regions)
        self.liveness = Liveness(self.directory, network, clock)
        self.witness_log = WitnessLog()
        self.retries = RetryBudgets()
        self.listeners: list[Listener] = []
        self.entry_monitor = EntryMonitor(self)
        self.ready = False
        self.stopping = False
        self.owner_tasks = TaskSet()
        self.start_incarnation()

    async def take_over(self, dead: str) -> bool:
        """Take over an entry that is dead or hands over its programs.

        Returns:
            Whether its programs are here now.
        """
        return await self.entry_monitor.take_over(dead)

    @property
    def location(self) -> Location:
        """Return this entry's zone and region."""
        zone = self.settings.zone
        return Location(zone, self.settings.regions.get(zone, ''))

    @property
    def own_record(self) -> EntryRecord:
        """Return this entry's record as it is written at registration."""
        return EntryRecord(
            self.incarnation,
            self.settings.address,
            self.location.zone,
            self.location.region,
            self.started_ms,
        )

    def start_incarnation(self) -> None:
        """Create the components of a new incarnation, which owns no programs."""
        self.incarnation = f'{self.rng.getrandbits(ID_BITS):012x}'
        self.started_ms = self.clock.wall_ms()
        self.peers.identify(self.incarnation, self.settings.zone)
        self.journal = Journal(
            self.store,
            self.clock,
            self.owner_tasks,
            self.incarnation,
            self.rng,
        )
        self.journal.min_interval_ms = self.settings.journal_interval_ms
        self.journal.write_limiter = WriteLimiter(
            self.clock,
            self.settings.store_writes_per_second,
            lambda: len(self.directory.live_entries()),
        )
        self.journal.peers = self.peers.at
        self.journal.on_fenced = self.handle_fenced
        table = ProgramTable()
        recorder = Recorder(self.journal, table, self.clock, self.owner_tasks)
        context = EntryContext(
            self.incarnation,
            self.clock,
            self.rng,
            self.location,
            self.config,
            self.fleet,
            self.peers.at,
            self.placement,
            self.retries,
            recorder,
            self.tracer,
        )
        self.owner = ProgramOwner(context, table, self.owner_tasks)
        self.compaction = Compaction(self.owner, self.store)
        self.takeover = Takeover(
            self.store,
            self.clock,
            self.peers.at,
            self.witness_log,
            self.incarnation,
            self.rng,
        )
        self.adoption = Adoption(
            self.owner,
            self.takeover,
            self.store,
            self.directory,
        )
        self.routing = Routing(self.owner, self.directory, self.peers.at, self.location)
        self.service = EntryService(self)
        self.server = PeerServer(self.clock, self.service.handle, self.incarnation)

    async def start(self) -> None:
        """Start the listeners and the background tasks, registration included."""
        address = self.settings.address
        self.listeners = [
            await self.network.listen(address, self.serve),
            await self.network.bind(address, self.handle_datagram),
        ]
        self.tasks.spawn(self.directory.follow(), 'directory')
        self.tasks.spawn(self.acceptance.follow_statuses(), 'verdicts')
        self.tasks.spawn(self.acceptance.follow_desired_resources(), 'wishes')
        self.tasks.spawn(
            self.acceptance.evaluate_desired_resources(self.decides_acceptance), 'judge'
        )
        self.tasks.spawn(self.entry_monitor.watch_entries(), 'liveness')
        self.tasks.spawn(self.register(), 'register')
        if self.hosts is not None:
            following = poll_host_list(self.hosts, self.fleet, self.clock)
            self.tasks.spawn(following, 'hosts')

    async def serve(self, channel: Any) -> None:
        """Serve a peer's channel as the current incarnation."""
        await self.server.serve(channel)

    async def register(self) -> None:
        """Write this incarnation's record, then start to own programs.

        Waits until the record has been read back and the configuration has
        been read once.
        """
        own_record = self.own_record
        key = record_key(own_record.incarnation)
        await create_once(self.store, self.clock, key, encode_record(own_record))
        while own_record.incarnation not in self.directory.records:
            await self.try_refresh()
        while not self.acceptance.synced:
            await self.clock.sleep_ms(POLL_MS)
        self.journal.start()
        self.compaction.start()
        self.owner.start()
        self.ready = True
        logger.info('entry_ready', incarnation=own_record.incarnation)

    async def try_refresh(self) -> None:
        """Read the directory once; if the store does not answer, pause."""
        try:
            await self.directory.refresh()
        except StoreUnavailable:
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)

    def handle_fenced(self) -> None:
        """Refuse open calls once a successor has sealed the journal.

        Unless the entry is stopping, it then starts a new incarnation.
        """
        self.ready = False
        self.owner.refuse_open_calls()
        if not self.stopping:
            self.tasks.spawn(self.restart_incarnation(), 'reincarnate')

    async def restart_incarnation(self) -> None:
        """Close the old incarnation and register a new one without programs."""
        old_tasks = self.owner_tasks
        self.owner_tasks = TaskSet()
        await self.server.close()
        self.start_incarnation()
        await self.register()
        await old_tasks.cancel()

    def decides_acceptance(self) -> bool:
        """Return whether this entry decides which desired resources are accepted."""
        names = [record.incarnation for record in self.directory.live_entries()]
        ranked = rendezvous(ACCEPTANCE_KEY, names)
        return bool(ranked) and ranked[0] == self.incarnation

    def handle_datagram(self, payload: bytes, sender: str) -> None:
        """Process a sidecar's report or an entry's heartbeat.

        Datagrams that can't be decoded are dropped.
        """
        try:
            message = decode_datagram(payload)
        except Refusal as refusal:
            logger.debug('datagram_dropped', sender=sender, reason=refusal.message)
            return
        if isinstance(message, Beat):
            self.liveness.record_alive(message.incarnation)
        elif isinstance(message, Report):
            self.fleet.record_report(message)
            self.reply_to_report(message)

    def reply_to_report(self, report: Report) -> None:
        """Send a sidecar the entries to report to and its configuration.

        The entries are sent only if their digest differs from the report's, the
        configuration only if it is newer than the report's version.
        """
        entries = self.report_targets.entries_for(report, len(self.fleet.hosts))
        self.fleet.report_interval_ms = entries.interval_ms
        if entries.digest != report.digest and entries.addresses:
            self.send(report.address, entries)
        accepted = self.config.accepted.get(
            ResourceId(Kind.UPSTREAM, report.upstream),
        )
        if accepted is None or accepted.spec is None:
            return
        if accepted.version > report.version:
            self.send(
                report.address,
                UpstreamConfig(accepted.name, accepted.version, accepted.spec),
            )

    def push_upstream_config(self, accepted: Accepted) -> None:
        """Send an upstream's accepted configuration to its sidecars.

        If the datagram is lost, the reply to the next report repeats it.
        """
        if accepted.kind != Kind.UPSTREAM or accepted.spec is None:
            return
        message = UpstreamConfig(accepted.name, accepted.version, accepted.spec)
        for host in self.fleet.hosts.values():
            if host.report.upstream == accepted.name:
                self.send(host.report.address, message)

    def send(self, address: str, message: Any) -> None:
        """Send a message as a datagram."""
        payload = encode_datagram(message)
        self.network.send_datagram(self.settings.address, address, payload)

    async def stop(self) -> None:
        """Hand the programs over, wait for open requests, and close.

        Open requests are waited for at most `DRAIN_TIMEOUT_MS`.
        """
        self.stopping = True
        await self.hand_over()
        until_ms = self.clock.now_ms() + DRAIN_TIMEOUT_MS
        while self.routing.open_requests and self.clock.now_ms() < until_ms:
            await self.clock.sleep_ms(POLL_MS)
        await self.close()

    async def hand_over(self) -> None:
        """Ask another entry to take over the programs, running calls included.

        If none does within `HANDOVER_TIMEOUT_MS`, or there is none, this
        entry keeps its programs and refuses new calls.
        """
        if not self.ready or self.journal.fenced:
            return
        if self.directory.observers(self.incarnation, 1):
            # Calls that have been given a host should reach its sidecar before
            # the successor starts.
            self.journal.handing_over = True
            await self.clock.sleep_ms(HANDOVER_GRACE_MS)
        until_ms = self.clock.now_ms() + HANDOVER_TIMEOUT_MS
        while self.clock.now_ms() < until_ms:
            others = self.directory.observers(self.incarnation, OBSERVERS)
            if not others:
                break
            for other in others:
                if await self.service.request_handover(other):
                    return
            await self.clock.sleep_ms(CHECK_INTERVAL_MS)
        self.journal.handing_over = False
        self.owner.stopping = True

    async def close(self) -> None:
        """Cancel all tasks and close all connections, without waiting for requests."""
        self.ready = False
        await self.owner_tasks.cancel()
        await self.tasks.cancel()
        await self.server.close()
        await self.peers.close()
        for listener in self.listeners:
            await listener.close()
