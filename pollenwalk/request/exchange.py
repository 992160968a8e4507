"""A host's answer to one call, from its beginning until the host is free."""

from collections.abc import AsyncIterator
from http import HTTPStatus
from types import TracebackType

from pollenwalk.connection.link_pool import LinkPool
from pollenwalk.connection.upstream_link import UpstreamLink
from pollenwalk.process.host_table import HostState
from pollenwalk.request.http_messages import AnswerHead

SUCCESSES = range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES)


class Exchange:
    """Holds a connection; leaving the block before the end cuts it.

    Attributes:
        head: the beginning of the answer, once it is there.
        whole: whether the answer was read to its end.
    """

    def __init__(self, pool: LinkPool, state: HostState, link: UpstreamLink) -> None:
        """Take over a connection to a host."""
        self.pool = pool
        self.state = state
        self.link = link
        self.head = AnswerHead(0, [])
        self.whole = False
        self.closed = False

    def __enter__(self) -> 'Exchange':
        """Hold the connection."""
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        """Free the host."""
        self.close()

    def close(self) -> None:
        """Keep the connection if its answer was read whole, else cut it."""
        if self.closed:
            return
        self.closed = True
        self.state.in_flight -= 1
        if self.whole:
            self.pool.give_back(self.state.registration, self.link)
        else:
            self.link.abort()

    @property
    def succeeded(self) -> bool:
        """Tell whether the answer is a success."""
        return self.head.status in SUCCESSES

    async def chunks(self) -> AsyncIterator[bytes]:
        """Give the body as it comes.

        Raises:
            BrokenAnswer: it ended early.
        """
        async for chunk in self.link.chunks():
            yield chunk
        self.whole = True

    async def body(self) -> bytes:
        """Read the whole body."""
        return b''.join([chunk async for chunk in self.chunks()])
