"""Base class of the HTTP clients of external systems."""

import aiohttp


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
            self.session = aiohttp.ClientSession(connector=self.make_connector())
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
