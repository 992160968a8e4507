"""Channels over gRPC streams and datagrams over UDP.

gRPC carries the frames as opaque bytes, which the module `wire` encodes and
decodes. The gRPC service therefore needs no generated code.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any, Protocol

import grpc

from pollenwalk.connection.addresses import split_address
from pollenwalk.connection.channel import (
    Channel,
    ChannelHandler,
    DatagramHandler,
    Listener,
)
from pollenwalk.errors import ConnectionLost

SERVICE = 'pollenwalk.Peer'
METHOD = 'Exchange'
MAX_FRAME_MIB = 32
MAX_FRAME_BYTES = MAX_FRAME_MIB * 1024 * 1024
# Interval of keep-alive pings, and time after which a connection is closed if a
# ping is not acknowledged.
KEEPALIVE_MS = 5000
CHANNEL_OPTIONS = (
    ('grpc.max_send_message_length', MAX_FRAME_BYTES),
    ('grpc.max_receive_message_length', MAX_FRAME_BYTES),
    ('grpc.so_reuseport', 0),
    ('grpc.enable_http_proxy', 0),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.keepalive_time_ms', KEEPALIVE_MS),
    ('grpc.keepalive_timeout_ms', KEEPALIVE_MS),
    ('grpc.keepalive_permit_without_calls', 1),
    ('grpc.http2.max_pings_without_data', 0),
    # Pings are not limited, as the other side is also a pollenwalk process.
    ('grpc.http2.max_ping_strikes', 0),
    ('grpc.http2.min_recv_ping_interval_without_data_ms', KEEPALIVE_MS // 2),
)
# Time that open streams get to finish after a listener is closed.
STOP_GRACE_S = 0.2


class FrameStream(Protocol):
    """What both sides of a gRPC stream have to send messages."""

    async def write(self, message: bytes, /) -> None:
        """Send one message."""


async def write_frame(stream: FrameStream, frame: bytes) -> None:
    """Send one frame as a message of a stream.

    Raises:
        ConnectionLost: the stream has ended.
    """
    try:
        await stream.write(frame)
    except (grpc.RpcError, asyncio.InvalidStateError) as error:
        raise ConnectionLost('the stream has ended') from error


class ClientChannel:
    """The connecting side of a gRPC stream; implements `Channel`."""

    def __init__(self, channel: grpc.aio.Channel) -> None:
        """Open the only stream of a gRPC channel."""
        self.channel = channel
        self.call = channel.stream_stream(f'/{SERVICE}/{METHOD}')(
            wait_for_ready=False,
        )

    async def send(self, frame: bytes) -> None:
        """Send one frame as a message of the stream.

        Raises:
            ConnectionLost: the stream has ended.
        """
        await write_frame(self.call, frame)

    async def receive(self) -> bytes:
        """Wait for the next frame and return it.

        Raises:
            ConnectionLost: the stream has ended.
        """
        try:
            frame = await self.call.read()
        except (grpc.RpcError, asyncio.InvalidStateError) as error:
            raise ConnectionLost('the stream has ended') from error
        if frame is grpc.aio.EOF:
            raise ConnectionLost('the peer closed the stream')
        return frame

    async def close(self) -> None:
        """Cancel the stream and close its gRPC channel."""
        self.call.cancel()
        await self.channel.close()


class ServerChannel:
    """The listening side of a gRPC stream; implements `Channel`.

    Attributes:
        closed: set by `close`; the service method then returns.
    """

    def __init__(
        self,
        requests: AsyncIterator[bytes],
        context: grpc.aio.ServicerContext,
    ) -> None:
        """Wrap the arguments of a gRPC service method."""
        self.requests = requests
        self.context = context
        self.closed = asyncio.Event()

    async def send(self, frame: bytes) -> None:
        """Send one frame as a message of the stream.

        Raises:
            ConnectionLost: the stream has ended.
        """
        await write_frame(self.context, frame)

    async def receive(self) -> bytes:
        """Wait for the next frame and return it.

        Raises:
            ConnectionLost: the stream has ended.
        """
        try:
            return await anext(self.requests)
        except (StopAsyncIteration, grpc.RpcError) as error:
            raise ConnectionLost('the peer closed the stream') from error

    async def close(self) -> None:
        """Make the service method return, which ends the stream."""
        self.closed.set()


class GrpcListener:
    """A gRPC server on one address; implements `Listener`."""

    def __init__(self, server: grpc.aio.Server) -> None:
        """Wrap a running server."""
        self.server = server

    async def close(self) -> None:
        """Stop listening; streams still open after STOP_GRACE_S are aborted."""
        await self.server.stop(STOP_GRACE_S)


class DatagramListener(asyncio.DatagramProtocol):
    """A bound UDP address; implements `Listener`."""

    def __init__(self, handler: DatagramHandler) -> None:
        """Create a protocol that passes each datagram to `handler`."""
        self.handler = handler
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        """Store the transport, which is also used for sending."""
        self.transport = transport

    def datagram_received(self, payload: bytes, sender: Any) -> None:
        """Call the handler with the payload and the sender's `ip:port`."""
        self.handler(payload, f'{sender[0]}:{sender[1]}')

    async def close(self) -> None:
        """Close the socket."""
        if self.transport is not None:
            self.transport.close()


class GrpcNetwork:
    """The network of the daemons; implements `Network`.

    Attributes:
        bound: datagram listeners by their own `ip:port`.
    """

    def __init__(self) -> None:
        """Create a network without bound addresses."""
        self.bound: dict[str, DatagramListener] = {}

    async def connect(self, address: str) -> Channel:
        """Return a channel to `ip:port` without waiting for the connection.

        If nothing listens there, the first `send` of the channel raises
        `ConnectionLost`.
        """
        channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        return ClientChannel(channel)

    async def listen(self, address: str, handler: ChannelHandler) -> Listener:
        """Accept channels on `ip:port` and run `handler` for each of them.

        Raises:
            OSError: the address can't be bound.
        """

        async def exchange(  # noqa: WPS430
            requests: AsyncIterator[bytes],
            context: grpc.aio.ServicerContext,
        ) -> None:
            channel = ServerChannel(requests, context)
            handler_task = asyncio.ensure_future(handler(channel))
            closed_task = asyncio.ensure_future(channel.closed.wait())
            try:
                await asyncio.wait(
                    (handler_task, closed_task),
                    return_when=asyncio.FIRST_COMPLETED,
                )
            finally:
                closed_task.cancel()
                handler_task.cancel()

        server = grpc.aio.server(options=CHANNEL_OPTIONS)
        method = grpc.stream_stream_rpc_method_handler(exchange)
        server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler(SERVICE, {METHOD: method}),)
        )
        try:
            port = server.add_insecure_port(address)
        except RuntimeError as error:
            raise OSError(f'{address}: {error}') from error
        if not port:
            raise OSError(f'{address} cannot be bound')
        await server.start()
        return GrpcListener(server)

    async def bind(self, address: str, handler: DatagramHandler) -> Listener:
        """Receive datagrams on `ip:port` and call `handler` for each of them.

        Raises:
            OSError: the address can't be bound.
        """
        loop = asyncio.get_running_loop()
        _, listener = await loop.create_datagram_endpoint(
            lambda: DatagramListener(handler),
            local_addr=split_address(address),
        )
        self.bound[address] = listener
        return listener

    def send_datagram(self, source: str, target: str, payload: bytes) -> None:
        """Send a datagram from a bound address.

        Nothing is sent if `source` is not bound or is already closed.
        """
        listener = self.bound.get(source)
        if listener is None or listener.transport is None:
            return
        if listener.transport.is_closing():
            return
        listener.transport.sendto(payload, split_address(target))
