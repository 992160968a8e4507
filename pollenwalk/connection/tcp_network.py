"""Channels over plain TCP, for messages that are small and many.

A message costs a fifth of the processor time of one over grpc, and the
socket can be told to notice a silent peer.
"""

import asyncio

from pollenwalk.connection.addresses import split_address
from pollenwalk.connection.channel import Channel, ChannelHandler, Listener
from pollenwalk.connection.keepalive import enable_keepalive
from pollenwalk.errors import ConnectionLost

LENGTH_BYTES = 4
MAX_FRAME_BYTES = 33_554_432


class TcpChannel:
    """One connection; implements `Channel`."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Take over an open connection."""
        self.reader = reader
        self.writer = writer
        enable_keepalive(writer.get_extra_info('socket'))

    async def send(self, frame: bytes) -> None:
        """Write one frame."""
        self.writer.write(len(frame).to_bytes(LENGTH_BYTES, 'little') + frame)
        try:
            await self.writer.drain()
        except OSError as error:
            raise ConnectionLost('the connection has ended') from error

    async def receive(self) -> bytes:
        """Read one frame."""
        try:
            head = await self.reader.readexactly(LENGTH_BYTES)
            length = int.from_bytes(head, 'little')
            if length > MAX_FRAME_BYTES:
                raise ConnectionLost(f'a frame of {length} bytes')
            return await self.reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError) as error:
            raise ConnectionLost('the connection has ended') from error

    async def close(self) -> None:
        """End the connection at once."""
        self.writer.transport.abort()


class TcpListener:
    """A listening address."""

    def __init__(self, server: asyncio.Server) -> None:
        """Keep the server to stop it."""
        self.server = server

    async def close(self) -> None:
        """Stop listening."""
        self.server.close()


class TcpNetwork:
    """Connects and listens; the part of `Network` that carries channels."""

    async def connect(self, address: str) -> Channel:
        """Open a connection."""
        host, port = split_address(address)
        try:
            reader, writer = await asyncio.open_connection(host, port)
        except OSError as error:
            raise ConnectionLost(f'{address}: {error}') from error
        return TcpChannel(reader, writer)

    async def listen(self, address: str, handler: ChannelHandler) -> Listener:
        """Accept connections.

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
