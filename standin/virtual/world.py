"""A whole system in virtual time, and the faults that can befall it."""

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

from pollenwalk.connection.call_messages import Answer
from pollenwalk.connection.program_messages import (
    BeginProgram,
    CallProgram,
    EndProgram,
    ViewProgram,
)
from pollenwalk.errors import ConnectionLost
from pollenwalk.process.acceptance import desired_key, encode_desired
from pollenwalk.process.clock import MS_PER_SECOND
from pollenwalk.process.entry import Entry, EntrySettings
from pollenwalk.process.sidecar import Sidecar, SidecarSettings
from pollenwalk.process.traces import Tracer
from pollenwalk.version.resources import parse_resources
from standin.declarations import DECLARATIONS, REGIONS, section_keys
from standin.engine import EngineShape, ModelEngine
from standin.entry_client import BeginSpec, CallSpec
from standin.hosts import ListedHosts
from standin.ledger import Ledger
from standin.link import Place
from standin.service import PlainService, ServiceShape
from standin.store import MemoryStore
from standin.virtual.edges import NodeEngine, NodeService, NodeStore
from standin.virtual.fabric import Fabric, VirtualNetwork
from standin.virtual.node import Node, NodeClock

STORE_ZONE = 'rimouski'
CALLER_TIMEOUT_MS = 45_000
READY_CHECK_MS = 20
READY_PATIENCE_MS = 30_000


Work = Callable[[], Awaitable[Any]]


class Shape(NamedTuple):
    """What a world is made of.

    Attributes:
        entries: zones of the entries.
        models: zones of the model servers.
        plains: zones of the plain servers.
        witnesses: witnesses of each entry.
        seed: of all randomness.
    """

    entries: tuple[str, ...] = ('rimouski', 'saguenay', 'envigado')
    models: tuple[str, ...] = ('rimouski', 'saguenay')
    plains: tuple[str, ...] = ('rimouski', 'saguenay')
    witnesses: int = 2
    seed: int = 1


class EntryProcess(NamedTuple):
    """A started entry."""

    node: Node
    entry: Entry
    store: NodeStore


class SidecarProcess(NamedTuple):
    """A started sidecar."""

    node: Node
    sidecar: Sidecar


class World:
    """Entries, sidecars and stand-ins in virtual time."""

    def __init__(self, shape: Shape) -> None:
        """Prepare; `start` brings it up."""
        self.shape = shape
        self.rng = random.Random(shape.seed)
        self.fabric = Fabric()
        self.outside = Node('outside', Place(STORE_ZONE, REGIONS[STORE_ZONE]))
        self.store_node = Node('store', self.outside.place)
        self.clock = NodeClock(self.outside)
        self.ledger = Ledger()
        self.store = MemoryStore(self.clock)
        self.entries: dict[str, EntryProcess] = {}
        self.sidecars: dict[str, SidecarProcess] = {}
        self.engines: dict[str, ModelEngine] = {}
        self.services: dict[str, PlainService] = {}
        self.zones: dict[str, str] = {}
        self.engine_shape = EngineShape()
        self.slots = 0
        self.hosts = ListedHosts(self.clock)

    async def start(self) -> None:
        """Start everything and wait until calls can be taken."""
        for resource in parse_resources(DECLARATIONS, 'declarations'):
            keys = section_keys(resource.id)
            if self.slots and keys.get('kind') == 'model':
                keys['slots'] = str(self.slots)
            body = encode_desired(resource.id, keys)
            await self.store.put(desired_key(resource.id), body, None)
        for number, zone in enumerate(self.shape.entries, start=1):
            self.zones[f'entry{number}'] = zone
            await self.start_entry(f'entry{number}')
        for number, zone in enumerate(self.shape.models):
            await self.start_model(f'advisory-{number}', zone)
        for number, zone in enumerate(self.shape.plains):
            await self.start_plain(f'orders-{number}', zone)
        await self.wait_ready()

    def node(self, name: str) -> Node:
        """Make the node of a process that starts."""
        zone = self.zones[name]
        return Node(name, Place(zone, REGIONS[zone]))

    def address(self, name: str) -> str:
        """Return a process's address, the same after a restart."""
        return f'{name}:1'

    async def start_entry(self, name: str) -> None:
        """Start an entry, or start it again."""
        node = self.node(name)
        self.fabric.map.places[self.address(name)] = node.place
        store = NodeStore(self.store, self.fabric, node, self.store_node)
        entry = Entry(
            EntrySettings(
                self.address(name),
                self.zones[name],
                REGIONS,
                self.shape.witnesses,
            ),
            VirtualNetwork(self.fabric, node),
            store,
            NodeClock(node),
            random.Random(self.rng.getrandbits(64)),
            Tracer(),
            None,
            self.hosts,
        )
        self.entries[name] = EntryProcess(node, entry, store)
        await entry.start()

    async def start_model(self, name: str, zone: str) -> None:
        """Start a model engine and its sidecar."""
        self.zones[name] = zone
        engine = ModelEngine(self.engine_shape, self.clock, self.ledger)
        engine.start()
        self.engines[name] = engine
        await self.start_sidecar(name)

    async def start_plain(self, name: str, zone: str) -> None:
        """Start a plain service and its sidecar."""
        self.zones[name] = zone
        shape = ServiceShape(name.rpartition('-')[0])
        self.services[name] = PlainService(shape, self.clock, self.ledger)
        await self.start_sidecar(name)

    async def start_sidecar(self, name: str) -> None:
        """Start a sidecar, or start it again beside the same upstream."""
        node = self.node(name)
        self.fabric.map.places[self.address(name)] = node.place
        sidecar = Sidecar(
            SidecarSettings(
                name,
                name.rpartition('-')[0],
                self.address(name),
                self.zones[name],
                [self.address(entry) for entry in self.entries],
            ),
            VirtualNetwork(self.fabric, node),
            NodeClock(node),
            self.upstream(name, node),
            random.Random(self.rng.getrandbits(64)),
            Tracer(),
        )
        self.sidecars[name] = SidecarProcess(node, sidecar)
        await sidecar.start()

    def upstream(self, name: str, node: Node) -> NodeEngine | NodeService:
        """Return the upstream beside a sidecar."""
        if name in self.engines:
            return NodeEngine(self.engines[name], node)
        return NodeService(self.services[name], self.fabric, node)

    async def wait_ready(self) -> None:
        """Wait until every entry can use every upstream host.

        Raises:
            TimeoutError: it takes too long.
        """
        until_ms = self.clock.now_ms() + READY_PATIENCE_MS
        while not all(self.sees_all(one.entry) for one in self.entries.values()):
            if self.clock.now_ms() > until_ms:
                raise TimeoutError('the world does not become ready')
            await self.clock.sleep_ms(READY_CHECK_MS)

    def sees_all(self, entry: Entry) -> bool:
        """Return whether an entry is ready and can use all upstream hosts."""
        usable = len(entry.fleet.available_hosts('advisory')) + len(
            entry.fleet.available_hosts('orders')
        )
        declared = len(entry.config.specs) == len(parse_resources(DECLARATIONS, ''))
        return entry.ready and declared and usable == len(self.sidecars)

    def process(self, name: str) -> EntryProcess | SidecarProcess:
        """Return a process by its name."""
        return self.entries.get(name) or self.sidecars[name]

    async def kill(self, name: str) -> None:
        """End a process at once; nothing of it runs on."""
        process = self.process(name)
        process.node.killed.set()
        process.node.running.set()
        for bound in (self.fabric.streams, self.fabric.datagrams):
            if bound.get(self.address(name), (None,))[0] is process.node:
                bound.pop(self.address(name))
        daemon = process[1]
        await daemon.tasks.cancel()
        if isinstance(daemon, Entry):
            await daemon.owner_tasks.cancel()
        await process.node.tasks.cancel()

    def pause(self, name: str) -> None:
        """Freeze a process."""
        self.process(name).node.running.clear()

    def resume(self, name: str) -> None:
        """Let a frozen process go on."""
        self.process(name).node.running.set()

    async def restart(self, name: str) -> None:
        """Start a killed or stopped process again at its address."""
        if name in self.entries:
            await self.start_entry(name)
        else:
            await self.start_sidecar(name)

    def owner_of(self, program: str) -> str:
        """Return the entry that owns a program now."""
        for name, process in self.entries.items():
            here = program in process.entry.owner.table.programs
            if here and not process.node.dead and not process.entry.journal.fenced:
                return name
        raise LookupError(f'nobody owns {program}')

    def held(self, programs: list[str]) -> int:
        """Count engine tokens held for some programs."""
        return sum(
            engine.cache.get(program, 0)
            for engine in self.engines.values()
            for program in programs
        )


class WorldEntryClient:
    """A client of a world's entries, as behind the platform's balancer."""

    def __init__(self, world: World, rng: random.Random) -> None:
        """Pick among the entries that the balancer believes alive."""
        self.world = world
        self.rng = rng
        self.reachable: list[str] | None = None

    def pick(self) -> EntryProcess:
        """Pick an entry; the balancer knows the dead, not the frozen."""
        alive = [
            process
            for name, process in self.world.entries.items()
            if not process.node.dead and not process.entry.stopping
            if self.reachable is None or name in self.reachable
        ]
        if not alive:
            raise ConnectionLost('no entry is alive')
        return self.rng.choice(alive)

    async def through(self, process: EntryProcess, work: Work) -> Any:
        """Run a request inside an entry, cut short when that is killed.

        Raises:
            ConnectionLost: no answer came.
        """
        running = process.node.tasks.spawn(self.gated(process, work), 'request')
        killed = asyncio.ensure_future(process.node.killed.wait())
        await asyncio.wait(
            (running, killed),
            timeout=CALLER_TIMEOUT_MS / MS_PER_SECOND,
            return_when=asyncio.FIRST_COMPLETED,
        )
        killed.cancel()
        if not running.done() or running.cancelled():
            running.cancel()
            raise ConnectionLost('no answer')
        return running.result()

    async def gated(self, process: EntryProcess, work: Work) -> Any:
        """Let nothing in or out while the entry is frozen."""
        await process.node.passed()
        try:
            return await work()
        finally:
            await process.node.passed()

    async def begin(self, spec: BeginSpec) -> dict[str, Any]:
        """Begin a program."""
        process = self.pick()
        message = BeginProgram(
            spec.declaration,
            spec.caller,
            spec.key,
            spec.budget,
            None,
            spec.parent,
        )
        view = await self.through(
            process,
            lambda: process.entry.routing.begin(message),
        )
        return view.body

    async def call(self, spec: CallSpec) -> dict[str, Any]:
        """Make a call."""
        process = self.pick()
        return await self.through(
            process,
            lambda: collect(process.entry, CallProgram(*spec)),
        )

    async def view(self, program: str) -> dict[str, Any]:
        """Read a program."""
        process = self.pick()
        return await self.read(process, ViewProgram(program))

    async def end(self, program: str) -> dict[str, Any]:
        """End a program."""
        process = self.pick()
        return await self.read(process, EndProgram(program))

    async def read(
        self,
        process: EntryProcess,
        message: ViewProgram | EndProgram,
    ) -> dict[str, Any]:
        """Read or end a program through an entry."""
        view = await self.through(
            process,
            lambda: process.entry.routing.view(message),
        )
        return view.body


async def collect(entry: Entry, request: CallProgram) -> dict[str, Any]:
    """Make a call and put its stream together, as an HTTP caller would."""
    texts: list[str] = []
    async for item in entry.routing.call(request):
        if isinstance(item, Answer):
            streamed = ''.join(texts) if texts else item.output.get('text', '')
            return {
                'output': item.output,
                'streamed': streamed,
                'tokens': item.tokens or len(texts),
            }
        texts[item.offset :] = item.texts
    raise ConnectionLost('the stream ended without an answer')
