"""The requests on one connection that wait for answers."""

import asyncio
from typing import Any, Protocol

from pollenwalk.connection.wire import END_KIND, Frame
from pollenwalk.errors import ConnectionLost, RefusalBody

# The last item of an exchange that was not refused.
END = object()


def ends_exchange(item: Any) -> bool:
    """Return whether an item of an answer queue is the last of its exchange."""
    return item is END or isinstance(item, Exception)


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

    def remove(self, number: int) -> None:
        """Remove a request that has ended; later answers to it are ignored."""
        self.queues.pop(number, None)

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
