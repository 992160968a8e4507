"""Clients that pipeline many requests and read nothing, at processes of their own."""

import asyncio
import contextlib
import resource
import socket
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

import testtools

from standin.platform.daemons import Daemons, exchange
from standin.platform.host import ScriptedHost
from test.helper import on_loop
from test.process.test_killed_daemons import CONFIGURATION, REGIONS
from test.request.test_forwarding import answers_hello

# The crowd: a quarter of the 1,200 connections that are to be expected.
CLIENTS = 300
PIPELINED = 2000
# The smallest gateway has 88 MB and uses 35 MB at the start, which leaves 53 MB for
# 1,200 connections; a quarter of that for a quarter of the connections.
MAX_GROWTH_KIB = 13 * 1024
# Descriptors that a process may have open beside those of the crowd.
MAX_OTHER_DESCRIPTORS = 100
# Descriptors of a gateway in the test of its descriptor limit; fewer than CLIENTS.
FEW_DESCRIPTORS = 200
# Receive buffer of each client; a small one is soon full.
RECEIVE_BYTES = 4096
# The crowd has had its effect if for QUIET_S nothing was accepted and the process's
# memory has not grown.
QUIET_S = 3.0
MAX_SEND_S = 40.0
SEND_INTERVAL_S = 0.02
ANSWER_S = 10.0
BODY = b'b' * 900
MISSING_HEADERS = b'GET /p/x HTTP/1.1\r\nHost: lookup.example\r\n\r\n'
NO_ROUTE = b'GET /nowhere HTTP/1.1\r\nHost: lookup.example\r\n\r\n'
READINESS = b'GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n'
METRICS = b'GET /metrics HTTP/1.1\r\nHost: metrics\r\n\r\n'
USUAL_HEADERS = (
    b'POST /p/x HTTP/1.1\r\nHost: lookup.example\r\n'
    b'X-Pollenwalk-Request-Id: crowd\r\nX-Pollenwalk-Deadline-Ms: 2000\r\n'
)
WITH_BODY = USUAL_HEADERS + b'Content-Length: 900\r\n\r\n' + BODY
ORDINARY = (
    b'POST /p/x HTTP/1.1\r\nHost: lookup.example\r\nConnection: close\r\n'
    b'X-Pollenwalk-Request-Id: ordinary\r\nX-Pollenwalk-Deadline-Ms: 2000\r\n'
    b'Content-Length: 2\r\n\r\n{}'
)


class Client:
    """A connection that sends and never reads.

    Attributes:
        left: what is not sent yet.
    """

    def __init__(self, address: str, content: bytes) -> None:
        """Connect without waiting."""
        ip, _, port = address.rpartition(':')
        self.left = memoryview(content)
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self.socket.setblocking(False)
        self.socket.connect_ex((ip, int(port)))

    def send(self) -> int:
        """Send what the other side accepts now; return how many bytes that was."""
        sent = 0
        try:
            while self.left:
                count = self.socket.send(self.left)
                self.left = self.left[count:]
                sent += count
        except BlockingIOError:
            return sent
        except OSError:
            self.left = self.left[:0]
        return sent


class Crowd:
    """Clients that all send the same."""

    def __init__(self, address: str, content: bytes) -> None:
        """Connect all clients."""
        self.clients = [Client(address, content) for _ in range(CLIENTS)]

    async def send(self, size: Callable[[], int]) -> None:
        """Send until nothing is accepted any more and a process grows no further.

        Args:
            size: returns the size of the process.
        """
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        last_s = began_s
        last_size = size()
        while loop.time() < min(last_s + QUIET_S, began_s + MAX_SEND_S):
            sent = sum(client.send() for client in self.clients)
            if sent or size() > last_size:
                last_s = loop.time()
                last_size = size()
            await asyncio.sleep(SEND_INTERVAL_S)

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients:
            client.socket.close()


class SmallSystem(Daemons):
    """A gateway, three keepers and a host."""

    def __init__(self) -> None:
        """Create a system without processes."""
        super().__init__(REGIONS)
        self.host = ScriptedHost('h', answers_hello)

    async def start_all(self) -> None:
        """Start everything and wait until the gateway is ready."""
        await self.start(CONFIGURATION)
        await self.list_host(await self.host.start(), 'here')
        for name, zone in (('k1', 'here'), ('k2', 'here'), ('k3', 'far')):
            self.add_keeper(name, zone)
        self.add_gateway('g1', 'here')
        await self.wait_ready()
        await self.call()

    async def call(self) -> bytes:
        """Send an ordinary request on a new connection; empty without an answer."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ANSWER_S):
                return await exchange(self.daemons['g1'].address, ORDINARY)
        return b''

    def listener(self, name: str, kind: str) -> str:
        """Return the address of a listener: `address`, `ready` or `metrics`."""
        daemon = self.daemons[name]
        if kind != 'metrics':
            return daemon.ready if kind == 'ready' else daemon.address
        lines = daemon.section.splitlines()
        line = next(one for one in lines if one.startswith('metrics = '))
        return line.removeprefix('metrics = ')

    def peak_kib(self, name: str) -> int:
        """Return the largest resident size of a process so far."""
        status = Path(f'/proc/{self.running[name].pid}/status').read_text('ascii')
        line = next(one for one in status.splitlines() if one.startswith('VmHWM'))
        return int(line.split()[1])

    def descriptors(self, name: str) -> int:
        """Return how many descriptors a process has open."""
        return len(list(Path(f'/proc/{self.running[name].pid}/fd').iterdir()))

    async def end(self) -> None:
        """End everything that was started."""
        await self.close()
        self.host.stop()


class Cost(NamedTuple):
    """What a crowd has cost a process.

    Attributes:
        alive: whether the process still runs.
        growth_kib: by how much its largest resident size has grown.
        descriptors: how many descriptors it has open, the crowd's included.
        answer: the answer to an ordinary request afterwards.
    """

    alive: bool
    growth_kib: int
    descriptors: int
    answer: bytes


async def measure(system: SmallSystem, name: str, address: str, content: bytes) -> Cost:
    """Send a crowd to one listener of a process; return what that costs.

    Args:
        system: the system, which runs.
        name: the process.
        address: the listener.
        content: what each client sends.
    """
    before_kib = system.peak_kib(name)
    crowd = Crowd(address, content)
    await crowd.send(lambda: system.peak_kib(name))
    alive = system.running[name].poll() is None
    growth_kib = system.peak_kib(name) - before_kib
    descriptors = system.descriptors(name)
    answer = await system.call()
    crowd.close()
    return Cost(alive, growth_kib, descriptors, answer)


class ClientsWithoutLimitsTest(testtools.TestCase):
    """A crowd must neither end a process nor take its memory or descriptors."""

    async def check(self, name: str, kind: str, content: bytes) -> None:
        """Check what a crowd costs that sends to one listener of a process.

        Args:
            name: the process.
            kind: the listener: `address`, `ready` or `metrics`.
            content: what each client sends.
        """
        system = SmallSystem()
        try:
            await system.start_all()
            cost = await measure(system, name, system.listener(name, kind), content)
        finally:
            await system.end()
        self.assertTrue(cost.alive)
        self.assertTrue(cost.growth_kib <= MAX_GROWTH_KIB, cost)
        self.assertTrue(cost.descriptors <= CLIENTS + MAX_OTHER_DESCRIPTORS, cost)
        self.assertTrue(cost.answer.endswith(b'hello'), cost)

    @on_loop
    async def test_routed_path_without_usual_headers(self) -> None:
        # Guards against requests read ahead, and answers held for such clients.
        await self.check('g1', 'address', MISSING_HEADERS * PIPELINED)

    @on_loop
    async def test_readiness_path(self) -> None:
        # Guards the readiness listener, which is not the callers' one.
        await self.check('g1', 'ready', READINESS * PIPELINED)

    @on_loop
    async def test_path_without_route(self) -> None:
        # Guards against refusals that are held for clients that do not read them.
        await self.check('g1', 'address', NO_ROUTE * PIPELINED)

    @on_loop
    async def test_short_bodies(self) -> None:
        # Guards against bodies of requests that wait being read ahead.
        await self.check('g1', 'address', WITH_BODY * PIPELINED)

    @on_loop
    async def test_metrics_of_a_gateway(self) -> None:
        # Guards the metrics listener, whose answers are long.
        await self.check('g1', 'metrics', METRICS * PIPELINED)

    @on_loop
    async def test_metrics_of_a_keeper(self) -> None:
        # Guards keepers, whose only HTTP listener is that of the metrics.
        await self.check('k1', 'metrics', METRICS * PIPELINED)

    @on_loop
    async def test_idle_connections_leave_descriptors(self) -> None:
        # Guards against a crowd that takes every descriptor, so that hosts, keepers
        # and other callers get no connection.
        system = SmallSystem()
        try:
            cost = await self.measure_few_descriptors(system)
        finally:
            await system.end()
        self.assertTrue(cost.alive)
        self.assertTrue(cost.descriptors < FEW_DESCRIPTORS, cost)
        self.assertTrue(cost.answer.endswith(b'hello'), cost)

    async def measure_few_descriptors(self, system: SmallSystem) -> Cost:
        """Measure a gateway with few descriptors and a crowd that is idle."""
        await system.start_all()
        resource.prlimit(
            system.running['g1'].pid,
            resource.RLIMIT_NOFILE,
            (FEW_DESCRIPTORS, FEW_DESCRIPTORS),
        )
        address = system.daemons['g1'].address
        return await measure(system, 'g1', address, MISSING_HEADERS[:-2])
