"""Interfaces of the network between processes, which tests can replace."""

from collections.abc import Awaitable, Callable
from typing import Protocol


class Channel(Protocol):
    """An ordered, bidirectional stream of frames between two processes.

    A frame here is a byte string whose boundaries are preserved. `peer` sends a
    batch of encoded `wire.Frame` objects in each of them.

    `send` and `receive` raise `ConnectionLost` once the channel has ended.
    """

    async def send(self, frame: bytes) -> None:
        """Send one frame to the other side."""

    async def receive(self) -> bytes:
        """Wait for the next frame and return it."""

    async def close(self) -> None:
        """Close the channel for both sides."""


class Listener(Protocol):
    """An address on which this process accepts channels or datagrams."""

    async def close(self) -> None:
        """Stop listening; over gRPC this also ends the accepted channels."""


ChannelHandler = Callable[[Channel], Awaitable[None]]
# Called with the payload of a datagram and the `ip:port` of its sender.
DatagramHandler = Callable[[bytes, str], None]


class StreamNetwork(Protocol):
    """A network that carries channels between processes."""

    async def connect(self, address: str) -> Channel:
        """Open a channel to `ip:port`.

        Over gRPC this returns before the connection is made, and the first `send`
        raises `ConnectionLost` if nothing listens there.

        Raises:
            ConnectionLost: the address can't be reached.
        """

    async def listen(self, address: str, handler: ChannelHandler) -> Listener:
        """Accept channels on `ip:port` and run `handler` for each of them.

        Raises:
            OSError: the address can't be bound.
        """


class Network(StreamNetwork, Protocol):
    """A network with channels, and datagrams for load reports and heartbeats."""

    async def bind(self, address: str, handler: DatagramHandler) -> Listener:
        """Receive datagrams on `ip:port` and call `handler` for each of them.

        The handler gets the payload and the sender's `ip:port`.
        """

    def send_datagram(self, source: str, target: str, payload: bytes) -> None:
        """Send a datagram from the bound address `source`; it may get lost."""
