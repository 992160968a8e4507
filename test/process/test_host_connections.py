"""Connections that a host accepts from all gateways together."""

import asyncio

import testtools

from pollenwalk.process.gateway import Gateway
from standin.platform.host import Line, Received, Script, ScriptedHost, answer
from test.helper import on_loop
from test.process.test_limited_hosts import ROUTE, LimitedUpstream
from test.process.test_stream_versions import NEAR

MAX_CONNECTIONS = 6
# Calls at once at each gateway.
CALLS = 3
GATEWAYS = 4
RUN_S = 0.05
ONCE = {**ROUTE, 'name': 'once', 'path_prefix': '/once/', 'kind': 'unsafe'}


class CrowdedHost(ScriptedHost):
    """A host that resets connections beyond those that it accepts.

    Attributes:
        open_connections: the connections accepted now.
    """

    def __init__(self, name: str, script: Script) -> None:
        """Create a host without connections."""
        super().__init__(name, script)
        self.open_connections = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection, or reset it."""
        if self.open_connections >= MAX_CONNECTIONS:
            Line(reader, writer).reset()
            return
        self.open_connections += 1
        try:
            await super().serve(reader, writer)
        finally:
            self.open_connections -= 1


async def answers_later(line: Line, request: Received) -> None:
    """Answer after a while."""
    await asyncio.sleep(RUN_S)
    line.say(answer(request))


class CrowdedUpstream(LimitedUpstream):
    """An upstream whose only host accepts few connections."""

    host_type = CrowdedHost

    async def start(self) -> None:
        """Start the keeper and the host."""
        await self.keeper.start()
        service = {'name': 'up', 'max_conns': MAX_CONNECTIONS}
        configuration = {
            'version': 1,
            'routes': [ONCE],
            'services': [service],
            'limits': {'max_body_bytes': 1000},
        }
        await self.write('config/main', configuration)
        await self.add_host('crowded', 'v1', NEAR, answers_later)

    async def call_at_once(self, gateway: Gateway) -> list[Exception]:
        """Make some calls at once; return their errors."""
        calls = (
            self.call(gateway, self.make_request('/once/1', f'{id(gateway)}-{number}'))
            for number in range(CALLS)
        )
        ended = await asyncio.gather(*calls)
        return [one.error for one in ended if one.error is not None]


class SharedConnectionsTest(testtools.TestCase):
    """What idle connections of some gateways leave for the others."""

    @on_loop
    async def test_idle_connections_leave_room(self) -> None:
        # One gateway after the other has CALLS calls, never more than the host accepts.
        upstream = CrowdedUpstream(None)
        await upstream.start()
        try:
            errors = [
                error
                for gateway in await upstream.start_gateways(GATEWAYS)
                for error in await upstream.call_at_once(gateway)
            ]
        finally:
            await upstream.stop()
        self.assertEqual([], errors)
