"""A network with latency between zones and a narrow link between regions.

It wraps another network, so the daemons' own transports run underneath, and
counts what crosses between regions.
"""

import asyncio
import contextlib
from typing import NamedTuple

from pollenwalk.connection.channel import (
    Channel,
    ChannelHandler,
    DatagramHandler,
    Listener,
    Network,
)
from pollenwalk.errors import ConnectionLost
from pollenwalk.process.clock import Clock

ZONE_MS = 0.5
REGION_MS = 30.0
LINK_BYTES_PER_MS = 15_000_000 / 8 / 1000


class Place(NamedTuple):
    """Where an address is."""

    zone: str
    region: str


class Map:
    """The places of all addresses, and the link's traffic."""

    def __init__(self) -> None:
        """Start with an empty map."""
        self.places: dict[str, Place] = {}
        self.crossed_bytes = 0
        self.free_at_ms: dict[str, float] = {}

    def delay_ms(self, source: Place, target: Place, size: int, now_ms: float) -> float:
        """Count a message and give the time it takes."""
        if source.region != target.region:
            self.crossed_bytes += size
            start_ms = max(now_ms, self.free_at_ms.get(source.region, 0))
            end_ms = start_ms + size / LINK_BYTES_PER_MS
            self.free_at_ms[source.region] = end_ms
            return end_ms - now_ms + REGION_MS
        return 0 if source.zone == target.zone else ZONE_MS


class LinkedChannel:
    """A channel whose frames take some time to arrive.

    Frames travel on their own, so a long delay does not slow the sender.
    """

    def __init__(
        self,
        inner: Channel,
        network: 'LinkedNetwork',
        target: Place,
    ) -> None:
        """Wrap the connecting side of a channel."""
        self.inner = inner
        self.network = network
        self.target = target
        self.sending = asyncio.ensure_future(asyncio.sleep(0))
        self.arrived: asyncio.Queue[bytes | Exception] = asyncio.Queue()
        self.reading: asyncio.Task[None] | None = None

    async def send(self, frame: bytes) -> None:
        """Send after the delay, in order."""
        due_ms = self.network.due_ms(self.network.place, self.target, len(frame))
        if due_ms is None:
            await self.inner.send(frame)
            return
        before = self.sending
        self.sending = asyncio.ensure_future(self.send_later(frame, due_ms, before))

    async def send_later(
        self,
        frame: bytes,
        due_ms: float,
        before: asyncio.Future[None],
    ) -> None:
        """Wait for the frame's time and for the frames before it."""
        clock = self.network.clock
        await clock.sleep_ms(due_ms - clock.now_ms())
        await asyncio.gather(before, return_exceptions=True)
        with contextlib.suppress(ConnectionLost):
            await self.inner.send(frame)

    async def receive(self) -> bytes:
        """Receive after the delay."""
        if self.network.place.region == self.target.region:
            return await self.inner.receive()
        if self.reading is None:
            self.reading = asyncio.ensure_future(self.read())
        frame = await self.arrived.get()
        if isinstance(frame, Exception):
            raise frame
        return frame

    async def read(self) -> None:
        """Read frames and hand each over when its time has come."""
        clock = self.network.clock
        loop = asyncio.get_running_loop()
        while True:
            try:
                frame: bytes | Exception = await self.inner.receive()
            except Exception as error:  # noqa: BLE001
                loop.call_later(REGION_MS / 1000, self.arrived.put_nowait, error)
                return
            size = len(frame)
            due_ms = self.network.due_ms(self.target, self.network.place, size)
            delay_s = ((due_ms or clock.now_ms()) - clock.now_ms()) / 1000
            loop.call_later(delay_s, self.arrived.put_nowait, frame)

    async def close(self) -> None:
        """Close the channel."""
        if self.reading is not None:
            self.reading.cancel()
        await self.inner.close()


class LinkedNetwork:
    """The network as seen from one place."""

    def __init__(self, inner: Network, where: Map, place: Place, clock: Clock) -> None:
        """Wrap `inner` for a process at `place`."""
        self.inner = inner
        self.where = where
        self.place = place
        self.clock = clock

    def due_ms(self, source: Place, target: Place, size: int) -> float | None:
        """Return when a message arrives; None for at once."""
        now_ms = self.clock.now_ms()
        delay_ms = self.where.delay_ms(source, target, size, now_ms)
        return now_ms + delay_ms if delay_ms else None

    def place_of(self, address: str) -> Place:
        """Return where an address is; an unknown one is here."""
        return self.where.places.get(address, self.place)

    async def connect(self, address: str) -> Channel:
        """Open a channel."""
        channel = await self.inner.connect(address)
        return LinkedChannel(channel, self, self.place_of(address))

    async def listen(self, address: str, handler: ChannelHandler) -> Listener:
        """Listen and put the address on the map."""
        self.where.places[address] = self.place
        return await self.inner.listen(address, handler)

    async def bind(self, address: str, handler: DatagramHandler) -> Listener:
        """Bind and put the address on the map."""
        self.where.places[address] = self.place
        return await self.inner.bind(address, handler)

    def send_datagram(self, source: str, target: str, payload: bytes) -> None:
        """Send a datagram after the delay."""
        due_ms = self.due_ms(self.place, self.place_of(target), len(payload))
        if due_ms is None:
            self.inner.send_datagram(source, target, payload)
            return
        asyncio.get_running_loop().call_later(
            (due_ms - self.clock.now_ms()) / 1000,
            self.inner.send_datagram,
            source,
            target,
            payload,
        )
