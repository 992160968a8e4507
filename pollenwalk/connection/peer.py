"""Requests to other processes, multiplexed over one channel.

The side that connects sends requests; the side that listens answers each
request with a stream of messages. A request with its answers is an exchange.
Frames of all exchanges that are queued within a short window are sent in one
batch, which reduces the cost of streamed tokens.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any, Protocol

from loguru import logger

from pollenwalk.connection.channel import Channel, StreamNetwork
from pollenwalk.connection.wire import (
    CANCEL_KIND,
    END_KIND,
    PROTOCOL_VERSION,
    Frame,
    Hello,
    Tokens,
    Welcome,
    decode_frames,
    encode_frames,
)
from pollenwalk.errors import (
    ConnectionLost,
    Outcome,
    PollenwalkError,
    Refusal,
    RefusalBody,
    RefusalCode,
)
from pollenwalk.process.clock import Clock
from pollenwalk.process.tasks import TaskSet

# Maximum delay of tokens that wait for more frames to be sent with them.
COALESCE_MS = 4
CONNECT_TIMEOUT_MS = 2000

Handler = Callable[[Hello, Any], AsyncIterator[Any]]


END = object()


def ends_exchange(item: Any) -> bool:
    """Return whether an item of an answer queue is the last of its exchange."""
    return item is END or isinstance(item, Exception)


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


class AnswerTaker(Protocol):
    """Takes the items of an exchange, as a queue does."""

    def put_nowait(self, item: Any) -> None:
        """Take an answer, a refusal or END."""


class FirstAnswer:
    """Takes the first answer to a request; stands in place of a queue.

    Attributes:
        received: done once the first answer, a refusal or the end has arrived.
    """

    def __init__(self) -> None:
        """Wait for an answer."""
        loop = asyncio.get_running_loop()
        self.received: asyncio.Future[Any] = loop.create_future()

    def put_nowait(self, item: Any) -> None:
        """Take an item of the exchange, unless there was one before."""
        if self.received.done():
            return
        if item is END:
            item = ConnectionLost('the peer ended the exchange without an answer')
        if isinstance(item, Exception):
            self.received.set_exception(item)
        else:
            self.received.set_result(item)


class PendingRequests:
    """The requests of a connection whose answers are not complete.

    Attributes:
        queues: what takes the received answers, by number of the exchange.
        last_number: number of the exchange that was begun last.
    """

    def __init__(self) -> None:
        """Create an empty table."""
        self.queues: dict[int, AnswerTaker] = {}
        self.last_number = 0

    def add(self, queue: AnswerTaker) -> int:
        """Add a request whose answers `queue` takes; return its exchange's number."""
        self.last_number += 1
        self.queues[self.last_number] = queue
        return self.last_number

    def deliver(self, frame: Frame) -> None:
        """Queue what a frame contains for the request that it answers.

        A refusal is queued as an exception, and the end of the exchange as END.
        The frame is ignored if the request has ended.
        """
        queue = self.queues.get(frame.exchange)
        if queue is None:
            return
        if frame.kind == END_KIND:
            queue.put_nowait(END)
        elif isinstance(frame.body, RefusalBody):
            queue.put_nowait(frame.body.to_refusal())
        else:
            queue.put_nowait(frame.body)

    def fail_all(self) -> None:
        """Make all requests raise `ConnectionLost`."""
        for queue in list(self.queues.values()):
            queue.put_nowait(ConnectionLost('connection to the peer lost'))


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
            self.pending.queues.pop(number, None)
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
            self.pending.queues.pop(number, None)

    def abandon(self, number: int) -> None:
        """Cancel a request at the peer, and ignore its answers."""
        self.pending.queues.pop(number, None)
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


class RequestTasks:
    """The tasks that answer the requests of one channel.

    Attributes:
        tasks: all tasks of the channel.
        running: tasks of requests in progress by number of the exchange.
    """

    def __init__(self, tasks: TaskSet) -> None:
        """Create an empty table whose tasks are spawned in `tasks`."""
        self.tasks = tasks
        self.running: dict[int, asyncio.Task[Any]] = {}

    def start(self, frame: Frame, answering: Coroutine[Any, Any, None]) -> None:
        """Start a task that answers the request in `frame`."""
        task = self.tasks.spawn(answering, f'answer_{frame.kind}')
        self.running[frame.exchange] = task
        task.add_done_callback(lambda _: self.running.pop(frame.exchange, None))

    def cancel(self, exchange: int) -> None:
        """Cancel the task of a request, if it is still running."""
        task = self.running.pop(exchange, None)
        if task is not None:
            task.cancel()


class PeerServer:
    """Answers the requests of all processes that connect.

    Attributes:
        channels: the open channels; a dict serves as an ordered set.
    """

    def __init__(
        self,
        clock: Clock,
        handler: Handler,
        boot_id: str,
        coalesce_ms: float = COALESCE_MS,
    ) -> None:
        """Create a server that answers requests with `handler`.

        Args:
            clock: clock of the process.
            handler: called for each request with the peer's `Hello` and the
                request; yields the answers.
            boot_id: id of this start of the process.
            coalesce_ms: maximum delay of tokens that wait for more frames to be
                sent with them.
        """
        self.clock = clock
        self.handler = handler
        self.boot_id = boot_id
        self.coalesce_ms = coalesce_ms
        self.channels: dict[Channel, None] = {}

    async def serve(self, channel: Channel) -> None:
        """Serve one channel until it ends, then cancel its tasks."""
        tasks = TaskSet()
        writer = FrameWriter(channel, self.clock, self.coalesce_ms)
        self.channels[channel] = None
        tasks.spawn(self.write(writer), 'server_write')
        try:
            await self.read(channel, writer, tasks)
        except PollenwalkError as error:
            logger.debug('channel_ended', reason=error.message)
        finally:
            self.channels.pop(channel, None)
            await tasks.cancel()
            await channel.close()

    async def write(self, writer: FrameWriter) -> None:
        """Run the writer until the channel ends, which the reader also detects."""
        try:
            await writer.run()
        except ConnectionLost:
            return

    async def read(
        self,
        channel: Channel,
        writer: FrameWriter,
        tasks: TaskSet,
    ) -> None:
        """Handle the handshake, requests and cancellations of a channel.

        Raises:
            ConnectionLost: the channel has ended.
            Refusal: a frame is invalid, or the first one is not `Hello`.
        """
        hello: Hello | None = None
        requests = RequestTasks(tasks)
        while True:
            for frame in decode_frames(await channel.receive()):
                if hello is None:
                    hello = self.answer_hello(frame, writer)
                elif frame.kind == CANCEL_KIND:
                    requests.cancel(frame.exchange)
                else:
                    answering = self.answer(hello, frame, writer)
                    requests.start(frame, answering)

    def answer_hello(self, frame: Frame, writer: FrameWriter) -> Hello:
        """Check the first frame of a channel, answer it and return its `Hello`.

        If the protocol versions differ, the answer is a refusal and the
        incarnation is removed from the returned `Hello`.

        Raises:
            Refusal: the frame does not contain a `Hello`.
        """
        hello = frame.body
        if not isinstance(hello, Hello):
            raise Refusal(RefusalCode.PROTOCOL, 'the first message is not Hello')
        if hello.protocol != PROTOCOL_VERSION:
            refusal = Refusal(
                RefusalCode.PROTOCOL,
                f'protocol version {hello.protocol}, expected {PROTOCOL_VERSION}',
            )
            self.reply(writer, frame, RefusalBody.from_refusal(refusal))
            return hello._replace(incarnation='')
        self.reply(writer, frame, Welcome(PROTOCOL_VERSION, self.boot_id))
        writer.put(Frame(frame.exchange, END_KIND, None))
        return hello

    def reply(self, writer: FrameWriter, frame: Frame, message: Any) -> None:
        """Queue an answer to the request in `frame`."""
        writer.put(Frame(frame.exchange, type(message).__name__, message))

    async def answer(
        self,
        hello: Hello,
        frame: Frame,
        writer: FrameWriter,
    ) -> None:
        """Run the handler for a request and send the answers that it yields.

        Any error of the handler is sent as a refusal.
        """
        if hello.protocol != PROTOCOL_VERSION:
            refusal = Refusal(RefusalCode.PROTOCOL, 'protocol version differs')
            self.reply(writer, frame, RefusalBody.from_refusal(refusal))
            return
        try:
            async for message in self.handler(hello, frame.body):
                self.reply(writer, frame, message)
        except PollenwalkError as error:
            self.reply(writer, frame, RefusalBody.from_refusal(as_refusal(error)))
            return
        except Exception as error:  # noqa: BLE001
            # Without an answer, the requesting process would wait forever.
            logger.opt(exception=error).error('handler_failed', kind=frame.kind)
            self.reply(writer, frame, RefusalBody.from_refusal(as_refusal(error)))
            return
        writer.put(Frame(frame.exchange, END_KIND, None))

    async def close(self) -> None:
        """Close all accepted channels."""
        for channel in list(self.channels):
            await channel.close()


def as_refusal(error: Exception) -> Refusal:
    """Return the refusal for an error of a handler.

    Errors other than refusals become one with an unknown outcome, as the call
    may have run.
    """
    if isinstance(error, Refusal):
        return error
    return Refusal(RefusalCode.OUTCOME_UNKNOWN, str(error), Outcome.UNKNOWN)
