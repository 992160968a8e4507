"""Messages to several keepers, with their answers in the order of arrival.

On an open connection a message needs no task of its own, and all messages of a
broadcast share one timeout.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterable
from typing import Any, NamedTuple

from pollenwalk.connection.peer import Connection
from pollenwalk.connection.pending_requests import END
from pollenwalk.errors import ConnectionLost, PollenwalkError
from pollenwalk.process.keeper_links import (
    REQUEST_TIMEOUT_MS,
    KeeperLink,
    KeeperLinks,
)


class Answered(NamedTuple):
    """What came of the message to one keeper.

    Attributes:
        link: the connection to the keeper.
        answer: its answer; None if it is lost, refused or did not answer in time.
    """

    link: KeeperLink
    answer: Any


class OpenRequest:
    """The message to one keeper on an open connection; takes its answer.

    Attributes:
        number: number of the exchange on the connection.
    """

    def __init__(
        self,
        broadcast: 'Broadcast',
        link: KeeperLink,
        connection: Connection,
        message: Any,
    ) -> None:
        """Send the message."""
        self.broadcast = broadcast
        self.link = link
        self.connection = connection
        self.number = connection.begin(message, self)

    def put_nowait(self, item: Any) -> None:
        """Take the answer, the refusal, or the end of the exchange without one."""
        self.connection.pending.remove(self.number)
        if self.link.member.name not in self.broadcast.open:
            return
        if item is END or isinstance(item, ConnectionLost):
            self.broadcast.links.mark_lost(self.link, ConnectionLost(str(item)))
        failed = item is END or isinstance(item, Exception)
        self.broadcast.take(Answered(self.link, None if failed else item))

    def close(self) -> None:
        """Wait for no answer any more."""
        self.connection.abandon(self.number)


class Broadcast:
    """Sends a message to each of several keepers and collects what comes of it.

    Attributes:
        open: the requests without an answer, by the keeper's name.
        asked: names of all keepers that the message was sent to.
        received: what has come and was not taken yet.
    """

    def __init__(self, links: KeeperLinks) -> None:
        """Send to nobody yet."""
        self.links = links
        self.open: dict[str, OpenRequest | None] = {}
        self.asked: dict[str, None] = {}
        self.received: asyncio.Queue[Answered] = asyncio.Queue()
        self.tasks: set[asyncio.Task[None]] = set()

    def send_to(self, targets: Iterable[KeeperLink], message: Any) -> None:
        """Send one message to some keepers."""
        for link in targets:
            self.send(link, message)
        self.limit_time()

    def limit_time(self) -> None:
        """Regard the keepers as lost that have not answered within the timeout."""
        if self.open:
            self.start(self.expire(list(self.open)))

    def send(self, link: KeeperLink, message: Any) -> None:
        """Send a message to one keeper; a lost one counts as failed at once."""
        name = link.member.name
        self.asked[name] = None
        self.open[name] = None
        connection = link.peer.open_connection
        if link.is_lost:
            self.take(Answered(link, None))
        elif connection:
            self.open[name] = OpenRequest(self, link, connection, message)
        else:
            self.start(self.connect_and_send(link, message))

    def start(self, work: Any) -> None:
        """Run a coroutine until the broadcast is closed."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def connect_and_send(self, link: KeeperLink, message: Any) -> None:
        """Send a message to a keeper to which no connection is open."""
        try:
            answer = await self.links.request(link, message)
        except PollenwalkError:
            # `KeeperLinks` has logged the loss of a keeper.
            answer = None
        self.take(Answered(link, answer))

    async def expire(self, names: list[str]) -> None:
        """Regard the keepers as lost that have not answered within the timeout."""
        with contextlib.suppress(TimeoutError):
            async with self.links.clock.timeout_ms(REQUEST_TIMEOUT_MS):
                await asyncio.get_running_loop().create_future()
        for name in names:
            request = self.open.get(name)
            if request is not None:
                request.link.peer.drop_unresponsive()
                self.links.mark_lost(request.link, ConnectionLost('no answer in time'))
                self.take(Answered(request.link, None))

    def take(self, answered: Answered) -> None:
        """Record what came of the message to one keeper."""
        name = answered.link.member.name
        if name in self.open:
            self.open.pop(name)
            self.received.put_nowait(answered)

    @property
    def outstanding(self) -> int:
        """Return how many results have not been taken yet."""
        return len(self.open) + self.received.qsize()

    async def next(self) -> Answered:
        """Wait for the next result."""
        return await self.received.get()

    async def finish(self) -> None:
        """Wait until every keeper has answered or failed."""
        try:
            while self.outstanding:
                await self.next()
        finally:
            self.close()

    def close(self) -> None:
        """Wait for no answers any more."""
        requests = [request for request in self.open.values() if request is not None]
        self.open.clear()
        for request in requests:
            request.close()
        for task in list(self.tasks):
            task.cancel()


async def request_each(
    links: KeeperLinks, asked: list[KeeperLink], message: Any
) -> AsyncIterator[Any]:
    """Send a message to some keepers and yield the answers as they arrive.

    Keepers that fail or don't answer in time are skipped. Requests that are still
    open when the caller stops iterating are cancelled.
    """
    broadcast = Broadcast(links)
    broadcast.send_to(asked, message)
    try:
        while broadcast.outstanding:
            answered = await broadcast.next()
            if answered.answer is not None:
                yield answered.answer
    finally:
        broadcast.close()
