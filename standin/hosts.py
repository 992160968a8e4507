"""A stand-in for the platform's lagging list of hosts."""

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from pollenwalk.process.clock import Clock

LAG_MS = 1500


class ListedHosts:
    """Leaving hosts, known some time after they were marked."""

    def __init__(self, clock: Clock) -> None:
        """Start with no host leaving."""
        self.clock = clock
        self.marked_ms: dict[str, float] = {}

    def mark(self, address: str) -> None:
        """Let a host leave."""
        self.marked_ms[address] = self.clock.now_ms()

    async def fetch_leaving(self) -> list[str]:
        """Return the hosts that the list knows of by now."""
        limit_ms = self.clock.now_ms() - LAG_MS
        return [
            address
            for address, marked_ms in self.marked_ms.items()
            if marked_ms <= limit_ms
        ]


class HostsApi:
    """The stand-in list over HTTP."""

    def __init__(self, hosts: ListedHosts) -> None:
        """Serve `hosts`."""
        self.hosts = hosts

    def app(self) -> Starlette:
        """Build the application."""
        return Starlette(routes=[Route('/hosts', self.show)])

    async def show(self, request: Request) -> Response:
        """Show the list."""
        leaving = await self.hosts.fetch_leaving()
        return JSONResponse(dict.fromkeys(leaving, 'leaving'))
