"""Requests to other processes, multiplexed over one channel.

The side that connects sends requests; the side that listens answers each
request with a stream of messages (`peer_server`). A request with its answers is an
exchange. Frames of all exchanges that are queued within a short window are sent in one
batch, which reduces the cost of streamed tokens.
"""

import asyncio
from collections.abc import AsyncIterator
from typing import Any

from pollenwalk.connection.channel import Channel, StreamNetwork
from pollenwalk.connection.frame_writer import FrameWriter
from pollenwalk.connection.peer_messages import PROTOCOL_VERSION, Hello
from pollenwalk.connection.pending_requests import (
    END,
    AnswerTaker,
    FirstAnswer,
    PendingRequests,
    ends_exchange,
)
from pollenwalk.connection.wire import CANCEL_KIND, Frame, decode_frames
from pollenwalk.errors import ConnectionLost, PollenwalkError
from pollenwalk.process.clock import Clock
from pollenwalk.process.tasks import TaskSet

CONNECT_TIMEOUT_MS = 2000


class Connection:
    """The requesting side of a connection to a peer.

    Attributes:
        lost: whether the connection has ended.
        boot_id: id of this start of the peer; known after the handshake.
    """

    def __init__(self, channel: Channel, clock: Clock, tasks: TaskSet) -> None:
        """Create a connection over a new channel, without the handshake."""
        self.channel = channel
        self.tasks = tasks
        self.writer = FrameWriter(channel, clock, 0)
        self.pending = PendingRequests()
        self.lost = False
        self.boot_id = ''

    async def handshake(self, hello: Hello) -> None:
        """Start reading and writing, send `hello` and store the peer's boot id.

        Raises:
            ConnectionLost: the connection ended first.
            Refusal: the peer uses another protocol version.
        """
        self.tasks.spawn(self.write(), 'connection_write')
        self.tasks.spawn(self.read(), 'connection_read')
        welcome = await self.request(hello)
        self.boot_id = welcome.boot_id

    async def write(self) -> None:
        """Send queued frames until the channel ends."""
        try:
            await self.writer.run()
        except ConnectionLost:
            self.mark_lost()

    async def read(self) -> None:
        """Deliver received answers until the channel ends or a frame is invalid."""
        try:
            while True:
                for frame in decode_frames(await self.channel.receive()):
                    self.pending.deliver(frame)
        except PollenwalkError:
            self.mark_lost()

    def mark_lost(self) -> None:
        """Make pending and later requests raise `ConnectionLost`."""
        self.lost = True
        self.pending.fail_all()

    async def close(self) -> None:
        """Fail the pending requests and close the channel."""
        self.mark_lost()
        await self.channel.close()

    async def stream(self, message: Any) -> AsyncIterator[Any]:
        """Send a request and yield its answers as they arrive.

        Closing the iterator before the last answer cancels the request at the
        peer.

        Raises:
            ConnectionLost: the connection ended first.
            Refusal: the peer refused the request.
        """
        queue: asyncio.Queue[Any] = asyncio.Queue()
        number = self.begin(message, queue)
        item = None
        try:
            while True:
                item = await queue.get()
                if ends_exchange(item):
                    break
                yield item
        finally:
            self.pending.remove(number)
            if not ends_exchange(item) and not self.lost:
                self.writer.put(Frame(number, CANCEL_KIND, None))
        if item is not END:
            raise item

    async def request(self, message: Any) -> Any:
        """Send a request and return its only answer.

        Raises:
            ConnectionLost: the connection ended first, or there was no answer.
            Refusal: the peer refused the request.
        """
        answer = FirstAnswer()
        number = self.begin(message, answer)
        try:
            return await answer.received
        except asyncio.CancelledError:
            self.abandon(number)
            raise
        finally:
            self.pending.remove(number)

    def abandon(self, number: int) -> None:
        """Cancel a request at the peer, and ignore its answers."""
        self.pending.remove(number)
        if not self.lost:
            self.writer.put(Frame(number, CANCEL_KIND, None))

    def begin(self, message: Any, queue: AnswerTaker) -> int:
        """Send a request whose answers `queue` takes; return its exchange's number.

        Raises:
            ConnectionLost: the connection has ended.
        """
        if self.lost:
            raise ConnectionLost('connection to the peer lost')
        number = self.pending.add(queue)
        self.writer.put(Frame(number, type(message).__name__, message))
        return number


class Peer:
    """A process at a known address; the connection to it is opened on demand.

    Attributes:
        incarnation: id of this start of the requesting process; sent in `Hello`.
        zone: availability zone of the requesting process; sent in `Hello`.
        epoch: number of attempts to connect so far.
        connection: the latest connection; None before the first.
        close_on_timeout: whether a request that times out closes the connection.
            It is set for peers that answer every request quickly, where a
            timeout means that the connection is dead.
    """

    def __init__(
        self,
        address: str,
        network: StreamNetwork,
        clock: Clock,
        tasks: TaskSet,
    ) -> None:
        """Create a peer without connecting to it."""
        self.address = address
        self.network = network
        self.clock = clock
        self.tasks = tasks
        self.incarnation = ''
        self.zone = ''
        self.epoch = 0
        self.lock = asyncio.Lock()
        self.connection: Connection | None = None
        self.close_on_timeout = False

    def identify(self, incarnation: str, zone: str) -> 'Peer':
        """Set the incarnation and zone to send in `Hello`; return this peer."""
        self.incarnation = incarnation
        self.zone = zone
        return self

    @property
    def open_connection(self) -> Connection | None:
        """Return the open connection; None if there is none."""
        if self.connection is None or self.connection.lost:
            return None
        return self.connection

    async def ensure_connected(self) -> Connection:
        """Return the open connection; open a new one if there is none.

        Raises:
            ConnectionLost: the peer can't be reached within CONNECT_TIMEOUT_MS.
            Refusal: the peer uses another protocol version.
        """
        connection = self.open_connection
        if connection is not None:
            return connection
        async with self.lock:
            if self.open_connection is None:
                await self.close()
                self.connection = await self.connect()
            return self.connection

    async def connect(self) -> Connection:
        """Open a connection with the next epoch and do the handshake.

        Raises:
            ConnectionLost: the peer can't be reached within CONNECT_TIMEOUT_MS.
            Refusal: the peer uses another protocol version.
        """
        self.epoch += 1
        hello = Hello(
            PROTOCOL_VERSION,
            self.incarnation,
            self.epoch,
            self.zone,
        )
        try:
            async with self.clock.timeout_ms(CONNECT_TIMEOUT_MS):
                channel = await self.network.connect(self.address)
                connection = Connection(channel, self.clock, self.tasks)
                await connection.handshake(hello)
        except TimeoutError as error:
            raise ConnectionLost(f'connecting to {self.address} timed out') from error
        return connection

    async def request(self, message: Any, timeout_ms: float) -> Any:
        """Send a request, connecting first if needed, and return its only answer.

        Raises:
            ConnectionLost: no answer within `timeout_ms`, or the connection ended.
            Refusal: the peer refused the request.
        """
        try:
            async with self.clock.timeout_ms(timeout_ms):
                connection = await self.ensure_connected()
                return await connection.request(message)
        except TimeoutError as error:
            self.drop_unresponsive()
            raise ConnectionLost(f'{self.address} did not answer in time') from error

    def drop_unresponsive(self) -> None:
        """Close the connection after a timeout, if `close_on_timeout` is set."""
        if self.close_on_timeout and self.connection is not None:
            self.tasks.spawn(self.connection.close(), 'drop_silent')
            self.connection = None

    async def stream(self, message: Any) -> AsyncIterator[Any]:
        """Send a request, connecting first if needed, and yield its answers.

        Raises:
            ConnectionLost: the peer can't be reached, or the connection ended.
            Refusal: the peer refused the request.
        """
        connection = await self.ensure_connected()
        answers = connection.stream(message)
        try:
            async for answer in answers:
                yield answer
        finally:
            await answers.aclose()

    async def close(self) -> None:
        """Close the connection, if there is one."""
        if self.connection is not None:
            await self.connection.close()
