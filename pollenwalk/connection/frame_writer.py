"""Sending of queued frames in batches over one channel."""

import asyncio
from collections import deque
from collections.abc import Iterator

import msgspec

from pollenwalk.connection.call_messages import Tokens
from pollenwalk.connection.channel import Channel
from pollenwalk.connection.wire import Frame, encode_frame, encode_frames
from pollenwalk.process.clock import Clock

# Frames are sent together up to about this size. It takes 150 ms on the slowest link.
MAX_BATCH_BYTES = 262_144


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
        self.queue: deque[Frame] = deque()
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
            batch = list(self.take_batch())
            if not self.queue:
                self.nonempty.clear()
                self.urgent.clear()
            await self.channel.send(encode_frames(batch))

    def take_batch(self) -> Iterator[msgspec.Raw]:
        """Take frames from the queue until they have MAX_BATCH_BYTES; yield them encoded.

        A large answer is thus sent in parts, and its reader sees that it goes on.
        """
        size_bytes = 0
        while self.queue and size_bytes < MAX_BATCH_BYTES:
            frame = encode_frame(self.queue.popleft())
            size_bytes += len(frame)
            yield msgspec.Raw(frame)

    async def wait_for_batch(self) -> None:
        """Wait until `coalesce_ms` has passed or an urgent frame is queued."""
        if self.urgent.is_set() or not self.coalesce_ms:
            return
        try:
            async with self.clock.timeout_ms(self.coalesce_ms):
                await self.urgent.wait()
        except TimeoutError:
            return
