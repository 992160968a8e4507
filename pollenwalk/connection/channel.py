"""How processes reach each other, behind types that tests can replace."""

from collections.abc import Awaitable, Callable
from typing import Protocol


class Channel(Protocol):
    """An ordered stream of frames between two processes.

    Every method raises `ConnectionLost` once the channel has ended.
    """

    async def send(self, frame: bytes) -> None:
        """Hand one frame to the other side."""

    async def receive(self) -> bytes:
        """Wait for the next frame."""

    async def close(self) -> None:
        """End the channel for both sides."""


class Listener(Protocol):
    """A listening address."""

    async def close(self) -> None:
        """Stop listening and end the accepted channels."""


ChannelHandler = Callable[[Channel], Awaitable[None]]
DatagramHandler = Callable[[bytes, str], None]


class StreamNetwork(Protocol):
    """Channels between processes."""

    async def connect(self, address: str) -> Channel:
        """Open a channel to `ip:port`; raises `ConnectionLost`."""

    async def listen(self, address: str, handler: ChannelHandler) -> Listener:
        """Accept channels on `ip:port`."""


class Network(StreamNetwork, Protocol):
    """Channels for requests and datagrams for control."""

    async def bind(self, address: str, handler: DatagramHandler) -> Listener:
        """Receive datagrams on `ip:port`."""

    def send_datagram(self, source: str, target: str, payload: bytes) -> None:
        """Send a datagram that may get lost."""
