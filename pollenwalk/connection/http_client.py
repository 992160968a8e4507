"""The HTTP session that every client of an outside system keeps."""

import aiohttp


class HttpClient:
    """Talks to one URL; connections open at first use."""

    keeps_connections = True

    def __init__(self, url: str) -> None:
        """Talk to the system at `url`."""
        self.url = url
        self.session: aiohttp.ClientSession | None = None

    def open_session(self) -> aiohttp.ClientSession:
        """Give the session, making it at first use."""
        if self.session is None:
            self.session = aiohttp.ClientSession(connector=self.make_connector())
        return self.session

    def make_connector(self) -> aiohttp.TCPConnector:
        """Make what opens the connections."""
        return aiohttp.TCPConnector(
            limit=0,
            force_close=not self.keeps_connections,
        )

    async def close(self) -> None:
        """Close all connections."""
        if self.session is not None:
            await self.session.close()
