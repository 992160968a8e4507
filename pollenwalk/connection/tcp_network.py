"""Channels over plain TCP, for large numbers of small messages.

A message costs a fifth of the CPU time of a message over gRPC. TCP keep-alive,
set on each socket, detects an unreachable peer.
"""

import asyncio
from collections import deque

from pollenwalk.connection.addresses import CONNECT_ERRORS, split_address
from pollenwalk.connection.channel import Channel, ChannelHandler, Listener
from pollenwalk.connection.keepalive import enable_keepalive
from pollenwalk.errors import ConnectionLost

LENGTH_BYTES = 4
# The same limit of 32 MiB as over gRPC.
MAX_FRAME_BYTES = 33_554_432
# Frames that have arrived and are not received yet, above which reading is paused.
MAX_WAITING_FRAMES = 1000


class TcpChannel(asyncio.Protocol):
    """A channel over one TCP connection; implements `Channel`.

    A frame is sent after its length, a little-endian number of LENGTH_BYTES. Frames are
    split off as bytes arrive, which costs less than a stream reader.

    Attributes:
        transport: the connection; None until it is made.
        incomplete: bytes of a frame that has not arrived whole.
        frames: the frames that have arrived and are not received yet.
        waiting: done once a frame arrives or the connection ends; None while nobody
            waits.
        lost: why the connection has ended; None while it is open.
        writable: cleared while the transport's write buffer is full.
        paused: whether reading is paused.
    """

    def __init__(self) -> None:
        """Create a channel that is not connected."""
        self.transport: asyncio.Transport | None = None
        self.incomplete = bytearray()
        self.frames: deque[bytes] = deque()
        self.waiting: asyncio.Future[None] | None = None
        self.lost: str | None = None
        self.writable = asyncio.Event()
        self.writable.set()
        self.paused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and enable TCP keep-alive."""
        self.transport = transport
        enable_keepalive(transport.get_extra_info('socket'))

    def data_received(self, chunk: bytes) -> None:
        """Split off the frames that are whole."""
        self.incomplete += chunk
        start = 0
        while len(self.incomplete) - start >= LENGTH_BYTES:
            body = start + LENGTH_BYTES
            length = int.from_bytes(self.incomplete[start:body], 'little')
            if length > MAX_FRAME_BYTES:
                self.end(f'frame of {length} bytes exceeds the limit')
                self.transport.abort()
                return
            if len(self.incomplete) - body < length:
                break
            start = body + length
            self.frames.append(bytes(self.incomplete[body:start]))
        if start:
            self.incomplete = self.incomplete[start:]
        if len(self.frames) > MAX_WAITING_FRAMES and not self.paused:
            self.paused = True
            self.transport.pause_reading()
        self.wake()

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end of the connection."""
        self.end(f'the connection has ended: {error!r}')

    def end(self, reason: str) -> None:
        """Make sending fail, and receiving once all frames have been received."""
        self.lost = self.lost or reason
        self.writable.set()
        self.wake()

    def wake(self) -> None:
        """Let the receiver look again."""
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(None)

    def pause_writing(self) -> None:
        """Make `send` wait, as the transport's write buffer is full."""
        self.writable.clear()

    def resume_writing(self) -> None:
        """Let `send` go on."""
        self.writable.set()

    async def send(self, frame: bytes) -> None:
        """Send one frame.

        Raises:
            ConnectionLost: the connection has ended.
        """
        if self.lost is None:
            length = len(frame).to_bytes(LENGTH_BYTES, 'little')
            self.transport.write(length + frame)
            if not self.writable.is_set():
                await self.writable.wait()
        if self.lost is not None:
            raise ConnectionLost(self.lost)

    async def receive(self) -> bytes:
        """Wait for the next frame and return it.

        Raises:
            ConnectionLost: the connection has ended, or the frame is too large.
        """
        while not self.frames:
            if self.lost is not None:
                raise ConnectionLost(self.lost)
            self.waiting = asyncio.get_running_loop().create_future()
            await self.waiting
        frame = self.frames.popleft()
        if self.paused and not self.frames and self.lost is None:
            self.paused = False
            self.transport.resume_reading()
        return frame

    async def close(self) -> None:
        """Close the connection at once; unsent data is discarded."""
        if self.transport is not None:
            self.transport.abort()


class ServedChannel(TcpChannel):
    """A channel that another process has opened.

    Attributes:
        handler: serves the channel.
        serving: the task that runs it.
    """

    def __init__(self, handler: ChannelHandler) -> None:
        """Create a channel that `handler` serves once it is connected."""
        super().__init__()
        self.handler = handler
        self.serving: asyncio.Task[None] | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and start to serve."""
        super().connection_made(transport)
        loop = asyncio.get_running_loop()
        self.serving = loop.create_task(self.handler(self))


class TcpListener:
    """A TCP server on one address; implements `Listener`."""

    def __init__(self, server: asyncio.Server) -> None:
        """Wrap a running server."""
        self.server = server

    async def close(self) -> None:
        """Stop listening; accepted channels stay open."""
        self.server.close()


class TcpNetwork:
    """A network of TCP connections; implements `StreamNetwork`."""

    async def connect(self, address: str) -> Channel:
        """Open a channel to `ip:port`.

        Raises:
            ConnectionLost: the address can't be reached.
        """
        loop = asyncio.get_running_loop()
        try:
            host, port = split_address(address)
            _, channel = await loop.create_connection(TcpChannel, host, port)
        except CONNECT_ERRORS as error:
            raise ConnectionLost(f'{address}: {error}') from error
        return channel

    async def listen(self, address: str, handler: ChannelHandler) -> Listener:
        """Accept channels on `ip:port` and run `handler` for each of them.

        Raises:
            OSError: the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        host, port = split_address(address)
        server = await loop.create_server(lambda: ServedChannel(handler), host, port)
        return TcpListener(server)
