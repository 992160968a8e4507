"""One request to an upstream host and its answer, on a pooled connection."""

from collections.abc import AsyncIterator
from http import HTTPStatus
from types import TracebackType

from pollenwalk.connection.connection_pool import ConnectionPool
from pollenwalk.connection.upstream_connection import UpstreamConnection
from pollenwalk.process.host_table import HostState
from pollenwalk.request.http_messages import AnswerHead

SUCCESS_STATUSES = range(HTTPStatus.OK, HTTPStatus.MULTIPLE_CHOICES)


class Exchange:
    """A connection to a host while it answers one call.

    As a context manager it gives the connection back to the pool if the answer
    was read to its end, and closes it otherwise.

    Attributes:
        head: status and headers of the answer, once received.
        complete: whether the answer was read to its end.
    """

    def __init__(
        self, pool: ConnectionPool, state: HostState, connection: UpstreamConnection
    ) -> None:
        """Use `connection`, taken from `pool`, for a call at the host of `state`."""
        self.pool = pool
        self.state = state
        self.connection = connection
        self.head = AnswerHead(0, [])
        self.complete = False
        self.closed = False

    def __enter__(self) -> 'Exchange':
        """Return this exchange."""
        return self

    def __exit__(
        self,
        _kind: type[BaseException] | None,
        _error: BaseException | None,
        _trace: TracebackType | None,
    ) -> None:
        """Close the exchange."""
        self.close()

    def close(self) -> None:
        """Reuse or close the connection; the call no longer counts as in flight.

        Only a connection whose answer was read to its end is reused.
        """
        if self.closed:
            return
        self.closed = True
        self.state.in_flight -= 1
        if self.complete:
            self.pool.release(self.state.registration, self.connection)
        else:
            self.connection.abort()

    @property
    def succeeded(self) -> bool:
        """Return whether the answer's status is a success."""
        return self.head.status in SUCCESS_STATUSES

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks as they arrive.

        Raises:
            BrokenAnswer: the answer broke off.
        """
        async for chunk in self.connection.chunks():
            yield chunk
        self.complete = True

    async def body(self) -> bytes:
        """Read and return the whole body.

        Raises:
            BrokenAnswer: the answer broke off.
        """
        return b''.join([chunk async for chunk in self.chunks()])
