"""Base class of the HTTP clients of external systems."""

import aiohttp
from aiohttp.connector import Connection

from pollenwalk.request.http_messages import FINAL_STATUSES

# Maximum size of a response body that is read as a whole.
MAX_RESPONSE_BYTES = 8_388_608


class CheckedResponse(aiohttp.ClientResponse):
    """A response whose status is one of HTTP."""

    async def start(self, connection: Connection) -> 'CheckedResponse':
        """Read the status and the headers.

        Raises:
            aiohttp.ClientResponseError: the status is none of HTTP.
        """
        await super().start(connection)
        if self.status not in FINAL_STATUSES:
            raise aiohttp.ClientResponseError(
                self.request_info,
                self.history,
                status=self.status,
                message='the status is none of HTTP',
            )
        return self


class HttpClient:
    """Holds the HTTP session for one base URL, opened at the first request.

    Attributes:
        reuses_connections: whether connections stay open for later requests.
    """

    reuses_connections = True

    def __init__(self, url: str) -> None:
        """Create a client of the system at `url` without connecting yet."""
        self.url = url
        self.session: aiohttp.ClientSession | None = None

    def open_session(self) -> aiohttp.ClientSession:
        """Return the session, created at the first call."""
        if self.session is None:
            self.session = aiohttp.ClientSession(
                connector=self.make_connector(),
                response_class=CheckedResponse,
            )
        return self.session

    def make_connector(self) -> aiohttp.TCPConnector:
        """Create the connector, with no limit on the number of connections."""
        return aiohttp.TCPConnector(
            limit=0,
            force_close=not self.reuses_connections,
        )

    async def close(self) -> None:
        """Close the session and its connections."""
        if self.session is not None:
            await self.session.close()


async def read_body(response: aiohttp.ClientResponse) -> bytes:
    """Read and return the whole body of a response.

    Raises:
        aiohttp.ClientError: the body is incomplete or exceeds MAX_RESPONSE_BYTES.
    """
    body = bytearray()
    async for chunk in response.content.iter_any():
        body += chunk
        if len(body) > MAX_RESPONSE_BYTES:
            raise aiohttp.ClientPayloadError(
                f'the body exceeds {MAX_RESPONSE_BYTES} bytes'
            )
    return bytes(body)
