"""Channels over plain TCP, for large numbers of small messages.

A message costs a fifth of the CPU time of a message over gRPC. TCP keep-alive,
set on each socket, detects an unreachable peer.
"""

import asyncio

from pollenwalk.connection.addresses import CONNECT_ERRORS, split_address
from pollenwalk.connection.channel import Channel, ChannelHandler, Listener
from pollenwalk.connection.keepalive import enable_keepalive
from pollenwalk.errors import ConnectionLost

LENGTH_BYTES = 4
# The same limit of 32 MiB as over gRPC.
MAX_FRAME_BYTES = 33_554_432


class TcpChannel:
    """A channel over one TCP connection; implements `Channel`.

    A frame is sent after its length, a little-endian number of LENGTH_BYTES.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Wrap an open connection and enable TCP keep-alive on it."""
        self.reader = reader
        self.writer = writer
        enable_keepalive(writer.get_extra_info('socket'))

    async def send(self, frame: bytes) -> None:
        """Send one frame.

        Raises:
            ConnectionLost: the connection has ended.
        """
        self.writer.write(len(frame).to_bytes(LENGTH_BYTES, 'little') + frame)
        try:
            await self.writer.drain()
        except OSError as error:
            raise ConnectionLost('the connection has ended') from error

    async def receive(self) -> bytes:
        """Wait for the next frame and return it.

        Raises:
            ConnectionLost: the connection has ended, or the frame is too large.
        """
        try:
            head = await self.reader.readexactly(LENGTH_BYTES)
            length = int.from_bytes(head, 'little')
            if length > MAX_FRAME_BYTES:
                raise ConnectionLost(f'frame of {length} bytes exceeds the limit')
            return await self.reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError) as error:
            raise ConnectionLost('the connection has ended') from error

    async def close(self) -> None:
        """Close the connection at once; unsent data is discarded."""
        self.writer.transport.abort()


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
        try:
            reader, writer = await asyncio.open_connection(*split_address(address))
        except CONNECT_ERRORS as error:
            raise ConnectionLost(f'{address}: {error}') from error
        return TcpChannel(reader, writer)

    async def listen(self, address: str, handler: ChannelHandler) -> Listener:
        """Accept channels on `ip:port` and run `handler` for each of them.

        Raises:
            OSError: the address can't be bound.
        """

        async def serve(  # noqa: WPS430
            reader: asyncio.StreamReader,
            writer: asyncio.StreamWriter,
        ) -> None:
            await handler(TcpChannel(reader, writer))

        host, port = split_address(address)
        return TcpListener(await asyncio.start_server(serve, host, port))
