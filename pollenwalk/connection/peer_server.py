"""Answers to the requests of other processes, multiplexed over one channel each."""

import asyncio
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

from loguru import logger

from pollenwalk.connection.channel import Channel
from pollenwalk.connection.frame_writer import FrameWriter
from pollenwalk.connection.peer_messages import PROTOCOL_VERSION, Hello, Welcome
from pollenwalk.connection.wire import CANCEL_KIND, END_KIND, Frame, decode_frames
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

Handler = Callable[[Hello, Any], AsyncIterator[Any]]


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
