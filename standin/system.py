"""A whole system on loopback: stand-ins outside, the real daemons inside."""

import asyncio
import random
from typing import NamedTuple

from pollenwalk.connection.engine_http import HttpEngine
from pollenwalk.connection.grpc_network import GrpcNetwork
from pollenwalk.connection.http_api import CallersApi
from pollenwalk.connection.http_server import HttpServer, free_port
from pollenwalk.connection.service_http import HttpService
from pollenwalk.connection.store_http import HttpStore
from pollenwalk.process.acceptance import desired_key, encode_desired
from pollenwalk.process.clock import LoopClock
from pollenwalk.process.entry import Entry, EntrySettings
from pollenwalk.process.metrics import EntryMetrics
from pollenwalk.process.sidecar import Sidecar, SidecarSettings
from pollenwalk.process.traces import Tracer
from pollenwalk.version.resources import parse_resources
from standin.declarations import DECLARATIONS, REGIONS, section_keys
from standin.engine import EngineApi, EngineShape, ModelEngine
from standin.ledger import Ledger
from standin.link import LinkedNetwork, Map, Place
from standin.linked_store import LinkedStore
from standin.service import PlainService, ServiceApi, ServiceShape
from standin.store import MemoryStore, StoreApi

LOOPBACK = '127.0.0.1'
READY_CHECK_MS = 20
READY_PATIENCE_MS = 20_000


class Servers(NamedTuple):
    """Upstream hosts of one kind: their upstream and zones."""

    upstream: str
    zones: tuple[str, ...]


class Layout(NamedTuple):
    """What runs where.

    Attributes:
        models: model servers.
        plains: plain servers.
        entries: zones of the entries.
        store_zone: where the platform's store is.
    """

    models: tuple[Servers, ...]
    plains: tuple[Servers, ...]
    entries: tuple[str, ...]
    store_zone: str


BOTH = Layout(
    (
        Servers('advisory', ('rimouski', 'rimouski', 'saguenay', 'gatineau')),
        Servers('appraisal', ('envigado', 'envigado', 'bello', 'bello', 'yumbo')),
    ),
    (
        Servers('orders', ('rimouski', 'saguenay', 'gatineau', 'saguenay') * 2),
        Servers('ledger', ('envigado', 'bello', 'yumbo') * 2),
    ),
    ('rimouski', 'yumbo'),
    'rimouski',
)


class System:
    """Everything in one process on real sockets."""

    def __init__(self, layout: Layout, seed: int, shape: EngineShape) -> None:
        """Prepare; nothing is started yet."""
        self.layout = layout
        self.rng = random.Random(seed)
        self.shape = shape
        self.clock = LoopClock()
        self.ledger = Ledger()
        self.map = Map()
        self.network = GrpcNetwork()
        self.store = MemoryStore(self.clock)
        self.servers: list[HttpServer] = []
        self.stores: list[HttpStore] = []
        self.clients: list[HttpEngine | HttpService] = []
        self.engines: list[ModelEngine] = []
        self.services: list[PlainService] = []
        self.sidecars: list[Sidecar] = []
        self.entries: list[Entry] = []
        self.entry_servers: list[HttpServer] = []
        self.urls: list[str] = []

    async def start(self, ports: list[int]) -> None:
        """Start everything; entry `n` serves callers on `ports[n]`."""
        store_url = await self.serve(StoreApi(self.store).app())
        peers = [f'{LOOPBACK}:{free_port()}' for _ in self.layout.entries]
        await self.declare()
        for zone, address, port in zip(
            self.layout.entries,
            peers,
            ports,
            strict=True,
        ):
            await self.start_entry(zone, address, port, store_url)
        await self.start_upstreams(peers)
        await self.wait_ready()

    async def serve(self, app: object) -> str:
        """Serve a stand-in and give its URL."""
        port = free_port()
        server = HttpServer(app, LOOPBACK, port)
        await server.start()
        self.servers.append(server)
        return f'http://{LOOPBACK}:{port}'

    async def declare(self) -> None:
        """Write the resources as an operator would."""
        for resource in parse_resources(DECLARATIONS, 'declarations'):
            body = encode_desired(resource.id, section_keys(resource.id))
            await self.store.put(desired_key(resource.id), body, None)

    def place(self, zone: str) -> Place:
        """Return a zone's place."""
        return Place(zone, REGIONS[zone])

    def linked(self, zone: str) -> LinkedNetwork:
        """Return the network as seen from a zone."""
        return LinkedNetwork(self.network, self.map, self.place(zone), self.clock)

    def new_rng(self) -> random.Random:
        """Return a process its own randomness."""
        return random.Random(self.rng.getrandbits(64))

    async def start_entry(
        self,
        zone: str,
        address: str,
        port: int,
        store_url: str,
    ) -> None:
        """Start one entry and its HTTP server."""
        client = HttpStore(store_url)
        self.stores.append(client)
        store = LinkedStore(
            client,
            self.map,
            self.place(zone),
            self.place(self.layout.store_zone),
            self.clock,
        )
        entry = Entry(
            EntrySettings(address, zone, REGIONS),
            self.linked(zone),
            store,
            self.clock,
            self.new_rng(),
            Tracer(),
        )
        await entry.start()
        server = HttpServer(
            CallersApi(entry, EntryMetrics()).app(),
            LOOPBACK,
            port,
        )
        await server.start()
        self.entries.append(entry)
        self.entry_servers.append(server)
        self.urls.append(f'http://{LOOPBACK}:{port}')

    async def start_upstreams(self, peers: list[str]) -> None:
        """Start the upstream hosts, each with its sidecar."""
        for servers in self.layout.models:
            for number, zone in enumerate(servers.zones):
                engine = ModelEngine(self.shape, self.clock, self.ledger)
                engine.start()
                self.engines.append(engine)
                client = HttpEngine(await self.serve(EngineApi(engine).app()))
                await self.start_sidecar(servers.upstream, number, zone, client, peers)
        for servers in self.layout.plains:
            shape = ServiceShape(servers.upstream)
            for number, zone in enumerate(servers.zones):
                service = PlainService(shape, self.clock, self.ledger)
                self.services.append(service)
                plain = HttpService(await self.serve(ServiceApi(service).app()))
                await self.start_sidecar(servers.upstream, number, zone, plain, peers)

    async def start_sidecar(
        self,
        upstream: str,
        number: int,
        zone: str,
        client: HttpEngine | HttpService,
        peers: list[str],
    ) -> None:
        """Start one sidecar beside a stand-in."""
        self.clients.append(client)
        settings = SidecarSettings(
            f'{upstream}-{number}',
            upstream,
            f'{LOOPBACK}:{free_port()}',
            zone,
            peers,
        )
        sidecar = Sidecar(
            settings,
            self.linked(zone),
            self.clock,
            client,
            self.new_rng(),
            Tracer(),
        )
        await sidecar.start()
        self.sidecars.append(sidecar)

    async def wait_ready(self) -> None:
        """Wait until every entry sees every upstream host.

        Raises:
            TimeoutError: it takes too long.
        """
        until_ms = self.clock.now_ms() + READY_PATIENCE_MS
        while not all(self.sees_all(entry) for entry in self.entries):
            if self.clock.now_ms() > until_ms:
                raise TimeoutError('the system does not become ready')
            await self.clock.sleep_ms(READY_CHECK_MS)

    def sees_all(self, entry: Entry) -> bool:
        """Return whether an entry is ready and can use all upstream hosts."""
        usable = sum(
            len(entry.fleet.available_hosts(servers.upstream))
            for servers in (*self.layout.models, *self.layout.plains)
        )
        declared = len(entry.config.specs) == len(parse_resources(DECLARATIONS, ''))
        return entry.ready and declared and usable == len(self.sidecars)

    def held(self, programs: list[str]) -> int:
        """Count engine tokens still held for some programs."""
        return sum(
            engine.cache.get(program, 0)
            for engine in self.engines
            for program in programs
        )

    async def stop(self) -> None:
        """Stop gracefully, from the callers inwards."""
        for entry, server in zip(self.entries, self.entry_servers, strict=True):
            await entry.stop()
            await server.stop()
        await asyncio.gather(*(sidecar.stop() for sidecar in self.sidecars))
        self.store.close()
        clients = (*self.clients, *self.stores)
        await asyncio.gather(*(client.close() for client in clients))
        await asyncio.gather(*(engine.close() for engine in self.engines))
        await asyncio.gather(*(server.stop() for server in self.servers))
