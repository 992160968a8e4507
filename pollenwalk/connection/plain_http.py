"""A small HTTP client for the platform's store, on the connections to upstream hosts.

The daemons on the platform's hosts need no other client, and loading a larger library
takes half of the time in which they start.
"""

from typing import NamedTuple

from pollenwalk.connection.connection_pool import ConnectionPool
from pollenwalk.connection.hosts import UpstreamHost
from pollenwalk.connection.upstream_connection import UpstreamConnection
from pollenwalk.errors import BrokenAnswer
from pollenwalk.process.clock import LoopClock

# Maximum size of an answer. The store's pages have about 1 MB.
MAX_ANSWER_BYTES = 33_554_432


class HttpRequest(NamedTuple):
    """A request.

    Attributes:
        url: `http://ip:port` of the server.
        method: HTTP method.
        target: path and query.
        body: the body, JSON; empty for none.
    """

    url: str
    method: str
    target: str
    body: bytes

    @property
    def address(self) -> str:
        """Return `ip:port` of the server."""
        return self.url.rpartition('/')[2]

    @property
    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the headers without Content-Length."""
        host = (b'host', self.address.encode())
        content = [(b'content-type', b'application/json')] if self.body else []
        return [host, *content]


class HttpAnswer(NamedTuple):
    """The HTTP status and the body of an answer."""

    status: int
    body: bytes


class PlainHttpClient:
    """Sends requests over connections that are kept for later ones.

    Attributes:
        pool: the idle connections.
    """

    def __init__(self) -> None:
        """Create a client without connections."""
        self.pool = ConnectionPool(LoopClock())

    async def request(self, request: HttpRequest) -> HttpAnswer:
        """Send a request and read the whole answer.

        The server may close a kept connection just as a request is sent on it. A GET
        is then sent once more, on a new connection.

        Raises:
            NotSent: the server can't be reached.
            BrokenAnswer: the answer broke off, or is no HTTP.
        """
        server = server_at(request.address)
        connection = await self.pool.acquire(server, '')
        is_kept = connection.carried > 0
        try:
            return await self.exchange(server, connection, request)
        except BrokenAnswer:
            if not is_kept or request.method != 'GET':
                raise
        connection = await self.pool.open_new(server)
        return await self.exchange(server, connection, request)

    async def exchange(
        self, server: UpstreamHost, connection: UpstreamConnection, request: HttpRequest
    ) -> HttpAnswer:
        """Send a request on one connection, and read the answer.

        Raises:
            NotSent: the connection had ended.
            BrokenAnswer: the answer broke off, is too large, or is no HTTP.
        """
        try:
            answer = await send_and_read(connection, request)
        except BaseException:
            connection.abort()
            raise
        self.pool.release(server, connection)
        return answer

    def close(self) -> None:
        """Close the idle connections."""
        self.pool.close()


async def send_and_read(
    connection: UpstreamConnection, request: HttpRequest
) -> HttpAnswer:
    """Send a request on a connection, and read the whole answer.

    Raises:
        NotSent: the connection had ended.
        BrokenAnswer: the answer broke off, is too large, or is no HTTP.
    """
    await connection.send(
        request.method.encode(), request.target.encode(), request.headers, request.body
    )
    head = await connection.read_any_head()
    body = bytearray()
    async for chunk in connection.chunks():
        body += chunk
        if len(body) > MAX_ANSWER_BYTES:
            raise BrokenAnswer(f'the body exceeds {MAX_ANSWER_BYTES} bytes')
    return HttpAnswer(head.status, bytes(body))


def server_at(address: str) -> UpstreamHost:
    """Return a server in the form in which the pool knows hosts."""
    return UpstreamHost(address, '', address, '', 1, False, 0, 0)
