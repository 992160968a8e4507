"""An entry: takes callers' requests and is home to a share of the programs."""

import random
from typing import Any, NamedTuple

from loguru import logger

from pollenwalk.connection.channel import Listener, Network
from pollenwalk.connection.peer import PeerServer
from pollenwalk.connection.wire import (
    Beat,
    Report,
    UpstreamConfig,
    decode_datagram,
    encode_datagram,
)
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
from pollenwalk.process.entry_service import EntryService
from pollenwalk.process.fleet import Fleet, Location
from pollenwalk.process.host_list import HostList, poll_host_list
from pollenwalk.process.journal import Journal
from pollenwalk.process.liveness import LOOK_MS, OBSERVERS, Liveness
from pollenwalk.process.neighbours import Neighbours
from pollenwalk.process.pacing import Pace
from pollenwalk.process.peers import Peers
from pollenwalk.process.program_owner import ProgramOwner
from pollenwalk.process.recorder import Recorder
from pollenwalk.process.store import ObjectStore, create_once
from pollenwalk.process.subsets import Subsets
from pollenwalk.process.takeover import Takeover
from pollenwalk.process.tasks import TaskSet
from pollenwalk.process.traces import Tracer
from pollenwalk.process.witness import WitnessLog
from pollenwalk.program.program import ProgramTable
from pollenwalk.request.entry_context import EntryContext
from pollenwalk.request.retry import RetryBudgets
from pollenwalk.request.routing import Routing
from pollenwalk.version.config import Accepted, Configuration
from pollenwalk.version.resources import Kind, ResourceId

ID_BITS = 48
HANDOVER_PATIENCE_MS = 10_000
HANDOVER_GRACE_MS = 150
DRAIN_CHECK_MS = 20
DRAIN_PATIENCE_MS = 120_000
JUDGE = 'judge'


class EntrySettings(NamedTuple):
    """Where an entry runs.

    Attributes:
        address: `ip:port` for peers, TCP and UDP.
        zone: its availability zone.
        regions: the region of each zone.
        witnesses: how many other entries hold its batches; fewer than that
            many other entries alive means none.
        journal_interval_ms: shortest time between two segments.
        store_writes_per_second: of all entries together.
    """

    address: str
    zone: str
    regions: dict[str, str]
    witnesses: int = 2
    journal_interval_ms: float = 2.0
    store_writes_per_second: float = 200.0


class Entry:
    """One start of an entry."""

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
        """Put the parts together; nothing is started yet."""
        self.settings = settings
        self.network = network
        self.store = store
        self.clock = clock
        self.rng = rng
        self.tracer = tracer
        self.hosts = hosts
        self.placement = placement or ExpectedFinish()
        self.tasks = TaskSet()
        self.config = Configuration()
        self.acceptance = AcceptanceController(store, clock, self.config)
        self.fleet = Fleet(clock, settings.regions)
        self.config.on_accept = self.accepted
        self.peers = Peers(network, clock, self.tasks)
        self.directory = Directory(store, clock)
        self.subsets = Subsets(self.directory, settings.regions)
        self.liveness = Liveness(self.directory, network, clock)
        self.witness_log = WitnessLog()
        self.retries = RetryBudgets()
        self.listeners: list[Listener] = []
        self.neighbours = Neighbours(self)
        self.ready = False
        self.stopping = False
        self.owner_tasks = TaskSet()
        self.incarnate()

    async def take_over(self, dead: str) -> bool:
        """Take a dead entry over; a silent store puts it off."""
        return await self.neighbours.take_over(dead)

    @property
    def location(self) -> Location:
        """Give where this entry is."""
        zone = self.settings.zone
        return Location(zone, self.settings.regions.get(zone, ''))

    @property
    def own(self) -> EntryRecord:
        """Give this entry's record as written at its start."""
        return EntryRecord(
            self.incarnation,
            self.settings.address,
            self.location.zone,
            self.location.region,
            self.started_ms,
        )

    def incarnate(self) -> None:
        """Begin a new incarnation with no programs."""
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
        self.journal.interval_ms = self.settings.journal_interval_ms
        self.journal.pace = Pace(
            self.clock,
            self.settings.store_writes_per_second,
            lambda: len(self.directory.live()),
        )
        self.journal.peers = self.peers.at
        self.journal.on_fenced = self.fenced
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
        """Listen, register and begin to work."""
        address = self.settings.address
        self.listeners = [
            await self.network.listen(address, self.serve),
            await self.network.bind(address, self.datagram),
        ]
        self.tasks.spawn(self.directory.follow(), 'directory')
        self.tasks.spawn(self.acceptance.follow_statuses(), 'verdicts')
        self.tasks.spawn(self.acceptance.follow_desired_resources(), 'wishes')
        self.tasks.spawn(
            self.acceptance.evaluate_desired_resources(self.judges), 'judge'
        )
        self.tasks.spawn(self.neighbours.watch_entries(), 'liveness')
        self.tasks.spawn(self.register(), 'register')
        if self.hosts is not None:
            following = poll_host_list(self.hosts, self.fleet, self.clock)
            self.tasks.spawn(following, 'hosts')

    async def serve(self, channel: Any) -> None:
        """Serve a peer's channel under the present incarnation."""
        await self.server.serve(channel)

    async def register(self) -> None:
        """Write this incarnation's record, then be home to programs."""
        own = self.own
        key = record_key(own.incarnation)
        await create_once(self.store, self.clock, key, encode_record(own))
        while own.incarnation not in self.directory.records:
            await self.try_refresh()
        while not self.acceptance.synced:
            await self.clock.sleep_ms(DRAIN_CHECK_MS)
        self.journal.start()
        self.compaction.start()
        self.owner.start()
        self.ready = True
        logger.info('entry_ready', incarnation=own.incarnation)

    async def try_refresh(self) -> None:
        """Read the directory once; a silent store is asked again later."""
        try:
            await self.directory.refresh()
        except StoreUnavailable:
            await self.clock.sleep_ms(LOOK_MS)

    def fenced(self) -> None:
        """Go on as a new incarnation: a successor has our programs."""
        self.ready = False
        self.owner.abandon()
        if not self.stopping:
            self.tasks.spawn(self.reincarnate(), 'reincarnate')

    async def reincarnate(self) -> None:
        """Leave the old programs to their successor and register anew."""
        old_tasks = self.owner_tasks
        self.owner_tasks = TaskSet()
        await self.server.close()
        self.incarnate()
        await self.register()
        await old_tasks.cancel()

    def judges(self) -> bool:
        """Tell whether this entry is the one that judges wishes."""
        names = [record.incarnation for record in self.directory.live()]
        ranked = rendezvous(JUDGE, names)
        return bool(ranked) and ranked[0] == self.incarnation

    def datagram(self, payload: bytes, sender: str) -> None:
        """Take a report or a heartbeat; noise is dropped."""
        try:
            message = decode_datagram(payload)
        except Refusal as refusal:
            logger.debug('datagram_dropped', sender=sender, reason=refusal.message)
            return
        if isinstance(message, Beat):
            self.liveness.heard(message.incarnation)
        elif isinstance(message, Report):
            self.fleet.record_report(message)
            self.reply(message)

    def reply(self, report: Report) -> None:
        """Tell a sidecar which entries there are and what is in force."""
        entries = self.subsets.entries(report, len(self.fleet.hosts))
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

    def accepted(self, accepted: Accepted) -> None:
        """Send a newer declaration to its upstream's hosts at once.

        A lost datagram is made up for by the next report.
        """
        if accepted.kind != Kind.UPSTREAM or accepted.spec is None:
            return
        message = UpstreamConfig(accepted.name, accepted.version, accepted.spec)
        for host in self.fleet.hosts.values():
            if host.report.upstream == accepted.name:
                self.send(host.report.address, message)

    def send(self, address: str, message: Any) -> None:
        """Send a datagram."""
        payload = encode_datagram(message)
        self.network.send_datagram(self.settings.address, address, payload)

    async def stop(self) -> None:
        """Stop gracefully: hand the programs over, finish what is open."""
        self.stopping = True
        await self.hand_over()
        until_ms = self.clock.now_ms() + DRAIN_PATIENCE_MS
        while self.routing.open_requests and self.clock.now_ms() < until_ms:
            await self.clock.sleep_ms(DRAIN_CHECK_MS)
        await self.close()

    async def hand_over(self) -> None:
        """Let another entry take over now, running calls included."""
        if not self.ready or self.journal.fenced:
            return
        if self.directory.observers(self.incarnation, 1):
            # What is under way shall arrive before the successor begins.
            self.journal.closing = True
            await self.clock.sleep_ms(HANDOVER_GRACE_MS)
        until_ms = self.clock.now_ms() + HANDOVER_PATIENCE_MS
        while self.clock.now_ms() < until_ms:
            others = self.directory.observers(self.incarnation, OBSERVERS)
            if not others:
                break
            for other in others:
                if await self.service.ask_handover(other):
                    return
            await self.clock.sleep_ms(LOOK_MS)
        self.journal.closing = False
        self.owner.stopping = True

    async def close(self) -> None:
        """End everything at once."""
        self.ready = False
        await self.owner_tasks.cancel()
        await self.tasks.cancel()
        await self.server.close()
        await self.peers.close()
        for listener in self.listeners:
            await listener.close()
