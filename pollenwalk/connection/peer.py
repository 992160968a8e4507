"""Exchanges with another process over one channel.

The side that connects asks; the side that listens answers each question with
a stream of messages. Frames of all exchanges that fall due within a short
window travel together, which is what makes a streamed token cheap.
"""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

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

COALESCE_MS = 4
CONNECT_TIMEOUT_MS = 2000

Handler = Callable[[Hello, Any], AsyncIterator[Any]]


END = object()


def ends_exchange(item: Any) -> bool:
    """Tell whether an exchange ends with this."""
    return item is END or isinstance(item, Exception)


class FrameWriter:
    """Sends queued frames together; tokens wait a few ms for company."""

    def __init__(self, channel: Channel, clock: Clock, window_ms: float) -> None:
        """Write to `channel`, holding tokens for at most `window_ms`."""
        self.channel = channel
        self.clock = clock
        self.window_ms = window_ms
        self.queue: list[Frame] = []
        self.waiting = asyncio.Event()
        self.urgent = asyncio.Event()

    def put(self, frame: Frame) -> None:
        """Queue a frame; all but tokens, and a first token, go out at once."""
        self.queue.append(frame)
        self.waiting.set()
        if not isinstance(frame.body, Tokens) or not frame.body.offset:
            self.urgent.set()

    async def run(self) -> None:
        """Write until the channel ends."""
        while True:
            await self.waiting.wait()
            await self.wait_for_batch()
            batch = self.queue
            self.queue = []
            self.waiting.clear()
            self.urgent.clear()
            await self.channel.send(encode_frames(batch))

    async def wait_for_batch(self) -> None:
        """Wait for more tokens unless something urgent is queued."""
        if self.urgent.is_set() or not self.window_ms:
            return
        try:
            async with self.clock.timeout_ms(self.window_ms):
                await self.urgent.wait()
        except TimeoutError:
            return


class PendingRequests:
    """The open questions of one connection."""

    def __init__(self) -> None:
        """Start with none."""
        self.queues: dict[int, asyncio.Queue[Any]] = {}
        self.last = 0

    def open(self) -> tuple[int, asyncio.Queue[Any]]:
        """Number a new question and make the queue of its answers."""
        self.last += 1
        queue: asyncio.Queue[Any] = asyncio.Queue()
        self.queues[self.last] = queue
        return self.last, queue

    def take(self, frame: Frame) -> None:
        """Hand an answer to the question it belongs to."""
        queue = self.queues.get(frame.exchange)
        if queue is None:
            return
        if frame.kind == END_KIND:
            queue.put_nowait(END)
        elif isinstance(frame.body, RefusalBody):
            queue.put_nowait(frame.body.to_refusal())
        else:
            queue.put_nowait(frame.body)

    def fail(self) -> None:
        """End all open questions: the connection is gone."""
        for queue in self.queues.values():
            queue.put_nowait(ConnectionLost('the peer is gone'))


class Connection:
    """One open connection to a peer that answers questions."""

    def __init__(self, channel: Channel, clock: Clock, tasks: TaskSet) -> None:
        """Take over a fresh channel."""
        self.channel = channel
        self.tasks = tasks
        self.writer = FrameWriter(channel, clock, 0)
        self.exchanges = PendingRequests()
        self.lost = False
        self.boot_id = ''

    async def handshake(self, hello: Hello) -> None:
        """Say who we are and learn the peer's boot id."""
        self.tasks.spawn(self.write(), 'connection_write')
        self.tasks.spawn(self.read(), 'connection_read')
        welcome = await self.request(hello)
        self.boot_id = welcome.boot_id

    async def write(self) -> None:
        """Run the writer until the channel ends."""
        try:
            await self.writer.run()
        except ConnectionLost:
            self.end()

    async def read(self) -> None:
        """Deliver answers until the channel ends."""
        try:
            while True:
                for frame in decode_frames(await self.channel.receive()):
                    self.exchanges.take(frame)
        except PollenwalkError:
            self.end()

    def end(self) -> None:
        """Fail what is open and refuse what comes."""
        self.lost = True
        self.exchanges.fail()

    async def close(self) -> None:
        """End the connection from this side."""
        self.end()
        await self.channel.close()

    async def stream(self, message: Any) -> AsyncIterator[Any]:
        """Ask a question and give its answers as they come.

        Raises:
            ConnectionLost: the connection ended first.
            Refusal: the peer refused.
        """
        if self.lost:
            raise ConnectionLost('the peer is gone')
        number, queue = self.exchanges.open()
        self.writer.put(Frame(number, type(message).__name__, message))
        item = None
        try:
            while True:
                item = await queue.get()
                if ends_exchange(item):
                    break
                yield item
        finally:
            self.exchanges.queues.pop(number, None)
            if not ends_exchange(item) and not self.lost:
                self.writer.put(Frame(number, CANCEL_KIND, None))
        if item is not END:
            raise item

    async def request(self, message: Any) -> Any:
        """Ask a question that has one answer."""
        answers = [answer async for answer in self.stream(message)]
        if not answers:
            raise ConnectionLost('the peer gave no answer')
        return answers[0]


class Peer:
    """A peer at a known address, connected again when needed."""

    def __init__(
        self,
        address: str,
        network: StreamNetwork,
        clock: Clock,
        tasks: TaskSet,
    ) -> None:
        """Remember how to connect; nothing is opened yet."""
        self.address = address
        self.network = network
        self.clock = clock
        self.tasks = tasks
        self.incarnation = ''
        self.zone = ''
        self.epoch = 0
        self.lock = asyncio.Lock()
        self.connection: Connection | None = None
        # Set where every question is answered soon, so that silence means
        # that the connection is dead.
        self.close_on_timeout = False

    def identify(self, incarnation: str, zone: str) -> 'Peer':
        """Set who this side is, for the greeting."""
        self.incarnation = incarnation
        self.zone = zone
        return self

    async def ensure_connected(self) -> Connection:
        """Give the open connection, opening one when there is none.

        Raises:
            ConnectionLost: the peer can't be reached within the timeout.
            Refusal: the peer speaks another protocol version.
        """
        async with self.lock:
            if self.connection is None or self.connection.lost:
                await self.close()
                self.connection = await self.open()
            return self.connection

    async def open(self) -> Connection:
        """Open and greet within the connect timeout."""
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
            raise ConnectionLost(f'{self.address} does not answer') from error
        return connection

    async def request(self, message: Any, timeout_ms: float) -> Any:
        """Ask a question that has one answer, within a time.

        Raises:
            ConnectionLost: no answer in time, or the connection ended.
            Refusal: the peer refused.
        """
        try:
            async with self.clock.timeout_ms(timeout_ms):
                connection = await self.ensure_connected()
                return await connection.request(message)
        except TimeoutError as error:
            self.drop_unresponsive()
            raise ConnectionLost(f'{self.address} is silent') from error

    def drop_unresponsive(self) -> None:
        """Give up a connection on which no answer came."""
        if self.close_on_timeout and self.connection is not None:
            self.tasks.spawn(self.connection.close(), 'drop_silent')
            self.connection = None

    async def stream(self, message: Any) -> AsyncIterator[Any]:
        """Ask a question and give its answers as they come."""
        connection = await self.ensure_connected()
        answers = connection.stream(message)
        try:
            async for answer in answers:
                yield answer
        finally:
            await answers.aclose()

    async def close(self) -> None:
        """Close what is open."""
        if self.connection is not None:
            await self.connection.close()


class RequestTasks:
    """The tasks that answer the open questions of one channel."""

    def __init__(self, tasks: TaskSet) -> None:
        """Run them in the channel's `tasks`."""
        self.tasks = tasks
        self.running: dict[int, asyncio.Task[Any]] = {}

    def start(self, frame: Frame, answering: Coroutine[Any, Any, None]) -> None:
        """Answer a question in a task of its own."""
        task = self.tasks.spawn(answering, f'answer_{frame.kind}')
        self.running[frame.exchange] = task
        task.add_done_callback(lambda _: self.running.pop(frame.exchange, None))

    def cancel(self, exchange: int) -> None:
        """Stop answering a question, if it is still open."""
        task = self.running.pop(exchange, None)
        if task is not None:
            task.cancel()


class PeerServer:
    """Answers the questions of every process that connects."""

    def __init__(
        self,
        clock: Clock,
        handler: Handler,
        boot_id: str,
        window_ms: float = COALESCE_MS,
    ) -> None:
        """Serve `handler`; `boot_id` names this start of the process."""
        self.clock = clock
        self.handler = handler
        self.boot_id = boot_id
        self.window_ms = window_ms
        self.channels: dict[Channel, None] = {}

    async def serve(self, channel: Channel) -> None:
        """Serve one channel until it ends."""
        tasks = TaskSet()
        writer = FrameWriter(channel, self.clock, self.window_ms)
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
        """Run the writer; the reader notices the end by itself."""
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
        """Start a task for each question, stop it when it is cancelled."""
        hello: Hello | None = None
        questions = RequestTasks(tasks)
        while True:
            for frame in decode_frames(await channel.receive()):
                if hello is None:
                    hello = self.welcome(frame, writer)
                elif frame.kind == CANCEL_KIND:
                    questions.cancel(frame.exchange)
                else:
                    answering = self.answer(hello, frame, writer)
                    questions.start(frame, answering)

    def welcome(self, frame: Frame, writer: FrameWriter) -> Hello:
        """Check the greeting and answer it."""
        hello = frame.body
        if not isinstance(hello, Hello):
            raise Refusal(RefusalCode.PROTOCOL, 'no greeting')
        if hello.protocol != PROTOCOL_VERSION:
            refusal = Refusal(
                RefusalCode.PROTOCOL,
                f'protocol {hello.protocol} is not {PROTOCOL_VERSION}',
            )
            self.reply(writer, frame, RefusalBody.from_refusal(refusal))
            return hello._replace(incarnation='')
        self.reply(writer, frame, Welcome(PROTOCOL_VERSION, self.boot_id))
        writer.put(Frame(frame.exchange, END_KIND, None))
        return hello

    def reply(self, writer: FrameWriter, frame: Frame, message: Any) -> None:
        """Queue one message of an exchange."""
        writer.put(Frame(frame.exchange, type(message).__name__, message))

    async def answer(
        self,
        hello: Hello,
        frame: Frame,
        writer: FrameWriter,
    ) -> None:
        """Run the handler and send what it yields."""
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
            # A defect must not leave the asker waiting for ever.
            logger.opt(exception=error).error('handler_failed', kind=frame.kind)
            self.reply(writer, frame, RefusalBody.from_refusal(as_refusal(error)))
            return
        writer.put(Frame(frame.exchange, END_KIND, None))

    async def close(self) -> None:
        """End all accepted channels."""
        for channel in list(self.channels):
            await channel.close()


def as_refusal(error: Exception) -> Refusal:
    """Describe any failure of a handler without claiming 'not run'."""
    if isinstance(error, Refusal):
        return error
    return Refusal(RefusalCode.OUTCOME_UNKNOWN, str(error), Outcome.UNKNOWN)
