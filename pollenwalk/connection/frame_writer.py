"""Sending of queued frames in batches over one channel."""

import asyncio

from pollenwalk.connection.channel import Channel
from pollenwalk.connection.wire import Frame, Tokens, encode_frames
from pollenwalk.process.clock import Clock


class FrameWriter:
    """Sends queued frames in batches and delays tokens to make batches larger.

    Attributes:
        coalesce_ms: maximum delay of tokens; 0 sends them at once.
        queue: frames that are not sent yet.
        nonempty: set while `queue` is not empty.
        urgent: set while `queue` contains a frame that must not be delayed.
    """

    def __init__(self, channel: Channel, clock: Clock, coalesce_ms: float) -> None:
        """Create a writer to `channel` that delays tokens by up to `coalesce_ms`."""
        self.channel = channel
        self.clock = clock
        self.coalesce_ms = coalesce_ms
        self.queue: list[Frame] = []
        self.nonempty = asyncio.Event()
        self.urgent = asyncio.Event()

    def put(self, frame: Frame) -> None:
        """Queue a frame.

        Tokens may be delayed, but not the first ones of an answer. All other
        messages are urgent.
        """
        self.queue.append(frame)
        self.nonempty.set()
        if not isinstance(frame.body, Tokens) or not frame.body.offset:
            self.urgent.set()

    async def run(self) -> None:
        """Send queued frames until the channel ends.

        Raises:
            ConnectionLost: the channel has ended.
        """
        while True:
            await self.nonempty.wait()
            await self.wait_for_batch()
            batch = self.queue
            self.queue = []
            self.nonempty.clear()
            self.urgent.clear()
            await self.channel.send(encode_frames(batch))

    async def wait_for_batch(self) -> None:
        """Wait until `coalesce_ms` has passed or an urgent frame is queued."""
        if self.urgent.is_set() or not self.coalesce_ms:
            return
        try:
            async with self.clock.timeout_ms(self.coalesce_ms):
                await self.urgent.wait()
        except TimeoutError:
            return
