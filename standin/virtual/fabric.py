"""The network between nodes: latency, cuts, and broken connections.

While a path is cut, frames of open connections wait, as TCP would hold them,
and arrive late if it heals in time; datagrams are lost.
"""

import asyncio
from typing import NamedTuple

from pollenwalk.connection.channel import (
    Channel,
    ChannelHandler,
    DatagramHandler,
    Listener,
)
from pollenwalk.errors import ConnectionLost
from pollenwalk.process.clock import MS_PER_SECOND
from pollenwalk.process.tasks import TaskSet
from standin.link import Map
from standin.virtual.node import Node

BREAK_MS = 6000
CONNECT_MS = 1500
LOCAL_MS = 0.1
HOLD_CHECK_MS = 50


class Bound(NamedTuple):
    """Who listens on an address."""

    node: Node
    handler: ChannelHandler | DatagramHandler


class Fabric:
    """All paths between all nodes."""

    def __init__(self) -> None:
        """Start with no listeners and no cuts."""
        self.map = Map()
        self.streams: dict[str, Bound] = {}
        self.datagrams: dict[str, Bound] = {}
        self.cuts: dict[tuple[str, str], None] = {}
        self.slow_ms: dict[tuple[str, str], float] = {}
        self.tasks = TaskSet()

    def now_ms(self) -> float:
        """Return the virtual time."""
        return asyncio.get_running_loop().time() * MS_PER_SECOND

    def cut(self, source: str, target: str) -> None:
        """Cut the path from one node to another, in one direction."""
        self.cuts[source, target] = None

    def heal(self) -> None:
        """Restore all paths."""
        self.cuts.clear()
        self.slow_ms.clear()

    def is_cut(self, source: Node, target: Node) -> bool:
        """Return whether a path is cut."""
        has_hosts = source.has_host and target.has_host
        return not has_hosts or (source.name, target.name) in self.cuts

    def delay_ms(self, source: Node, target: Node, size: int) -> float:
        """Return the time a message takes."""
        one_way_ms = self.map.delay_ms(source.place, target.place, size, self.now_ms())
        extra_ms = self.slow_ms.get((source.name, target.name), 0)
        return one_way_ms + extra_ms + LOCAL_MS


class Pipe:
    """One direction of a connection."""

    def __init__(self, fabric: Fabric, source: Node, target: Node) -> None:
        """Carry frames from `source` to `target`."""
        self.fabric = fabric
        self.source = source
        self.target = target
        self.sent: asyncio.Queue[tuple[bytes, float]] = asyncio.Queue()
        self.arrived: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.broken = False
        self.closed = False
        self.carrying = fabric.tasks.spawn(self.carry(), 'pipe')

    def put(self, frame: bytes) -> None:
        """Send a frame to the other side."""
        delay_ms = self.fabric.delay_ms(self.source, self.target, len(frame))
        self.sent.put_nowait((frame, self.fabric.now_ms() + delay_ms))

    async def carry(self) -> None:
        """Deliver frames in order, each at its time."""
        while True:
            frame, due_ms = await self.sent.get()
            await asyncio.sleep(max(due_ms - self.fabric.now_ms(), 0) / MS_PER_SECOND)
            while self.fabric.is_cut(self.source, self.target):
                await asyncio.sleep(HOLD_CHECK_MS / MS_PER_SECOND)
            self.arrived.put_nowait(frame)

    def end(self) -> None:
        """Deliver nothing more; what has arrived can still be read."""
        if not self.closed:
            self.closed = True
            self.carrying.cancel()
            self.arrived.put_nowait(None)


class VirtualChannel:
    """One side of a connection."""

    def __init__(self, node: Node, inbound: Pipe, outbound: Pipe) -> None:
        """Read from `inbound` and write to `outbound` as `node`."""
        self.node = node
        self.inbound = inbound
        self.outbound = outbound

    async def send(self, frame: bytes) -> None:
        """Send a frame; a broken connection shows here or at the reader."""
        await self.node.passed()
        if self.outbound.closed:
            raise ConnectionLost('the connection is broken')
        self.outbound.put(frame)

    async def receive(self) -> bytes:
        """Read the next frame."""
        frame = await self.inbound.arrived.get()
        await self.node.passed()
        if frame is None:
            self.inbound.arrived.put_nowait(None)
            raise ConnectionLost('the connection is broken')
        return frame

    async def close(self) -> None:
        """Close both directions."""
        self.inbound.end()
        self.outbound.end()


class VirtualListener:
    """A bound address."""

    def __init__(self, table: dict[str, Bound], address: str, node: Node) -> None:
        """Remember what to remove."""
        self.table = table
        self.address = address
        self.node = node

    async def close(self) -> None:
        """Stop listening."""
        bound = self.table.get(self.address)
        if bound is not None and bound.node is self.node:
            self.table.pop(self.address)


class VirtualNetwork:
    """The network as one node sees it."""

    def __init__(self, fabric: Fabric, node: Node) -> None:
        """Act as `node`."""
        self.fabric = fabric
        self.node = node

    async def connect(self, address: str) -> Channel:
        """Open a connection; a frozen process still accepts it."""
        await self.node.passed()
        bound = self.fabric.streams.get(address)
        if bound is not None and self.blocked(bound.node):
            await asyncio.sleep(CONNECT_MS / MS_PER_SECOND)
            raise ConnectionLost(f'no path to {address}')
        if bound is None or bound.node.dead:
            await asyncio.sleep(LOCAL_MS / MS_PER_SECOND)
            raise ConnectionLost(f'nobody listens on {address}')
        there = Pipe(self.fabric, self.node, bound.node)
        back = Pipe(self.fabric, bound.node, self.node)
        self.fabric.tasks.spawn(self.watch(there, back), 'keepalive')
        server = VirtualChannel(bound.node, there, back)
        bound.node.tasks.spawn(bound.handler(server), 'serve')
        return VirtualChannel(self.node, back, there)

    def blocked(self, other: Node) -> bool:
        """Return whether the path to another node is cut in a direction."""
        fabric = self.fabric
        return fabric.is_cut(self.node, other) or fabric.is_cut(other, self.node)

    async def watch(self, there: Pipe, back: Pipe) -> None:
        """Break a connection as keep-alives would: after a silence."""
        silent_ms = 0.0
        while not (there.closed and back.closed):
            await asyncio.sleep(HOLD_CHECK_MS / MS_PER_SECOND)
            ended = there.source.dead or there.target.dead
            if ended and there.target.has_host:
                there.end()
                back.end()
                return
            silent = self.blocked(there.target) or there.target.paused
            silent_ms = silent_ms + HOLD_CHECK_MS if silent else 0
            if silent_ms > BREAK_MS:
                # A frozen target still reads later what has reached it.
                back.end()
                there.end()
                return

    async def listen(self, address: str, handler: ChannelHandler) -> Listener:
        """Accept connections."""
        self.fabric.streams[address] = Bound(self.node, handler)
        return VirtualListener(self.fabric.streams, address, self.node)

    async def bind(self, address: str, handler: DatagramHandler) -> Listener:
        """Receive datagrams."""
        self.fabric.datagrams[address] = Bound(self.node, handler)
        return VirtualListener(self.fabric.datagrams, address, self.node)

    def send_datagram(self, source: str, target: str, payload: bytes) -> None:
        """Send a datagram; on a cut path it is lost."""
        bound = self.fabric.datagrams.get(target)
        if bound is None or self.node.dead or self.fabric.is_cut(self.node, bound.node):
            return
        delay_ms = self.fabric.delay_ms(self.node, bound.node, len(payload))
        self.fabric.tasks.spawn(
            self.deliver(bound, payload, source, delay_ms),
            'datagram',
        )

    async def deliver(
        self,
        bound: Bound,
        payload: bytes,
        source: str,
        delay_ms: float,
    ) -> None:
        """Hand a datagram over at its time."""
        await asyncio.sleep(delay_ms / MS_PER_SECOND)
        await bound.node.passed()
        bound.handler(payload, source)
